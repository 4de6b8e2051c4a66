//! Messages exchanged by entry VMs.

use bytes::Bytes;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{engine::OrderChange, identity::TicketSequence, platform::ListedVm, prelude::*};

/// Identifies one process among its peers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// Name of the VM.
    pub vm: VmName,
    /// Incarnation of the process on this VM.
    pub incarnation: Incarnation,
}

/// The periodic gossip message: the sender's own state and part of what it knows of other processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GossipDigest {
    /// Process that sends the digest.
    pub sender: PeerIdentity,
    /// Data centre of the sender.
    pub data_centre: DataCentreName,
    /// Peer address of the sender, for receivers whose VM list does not contain it yet.
    pub peer_address: String,
    /// Sequence number; increases with each digest of this incarnation.
    pub heartbeat: u64,
    /// Version of the VM list that the sender uses.
    pub vm_list_version: u64,
    /// Version of the sender's active configuration.
    pub configuration: ConfigurationVersion,
    /// Lowest tier that the sender admits; it sheds lower ones.
    pub shed_floor: Tier,
    /// Whether the sender is shutting down.
    pub draining: bool,
    /// Number of waiting requests of each tier, indexed by [`Tier::index`].
    pub waiting: [u32; Tier::COUNT],
    /// Heartbeats of other processes in the sender's data centre.
    pub members: Vec<MemberEntry>,
    /// Load of targets, polled by the sender or received from its peers.
    pub loads: Vec<LoadEntry>,
    /// Load of further targets whose restart id the receiver is likely to know.
    pub load_updates: Vec<LoadUpdate>,
    /// Numbers of all slot grants from the receiver that the sender holds. The list is complete, so that the
    /// receiver can reclaim a slot if the message that granted or returned it was lost.
    pub borrowed: Vec<u64>,
    /// Requests that are suspected or confirmed to crash targets.
    pub suspects: Vec<SuspectEntry>,
    /// Ended processes whose ticket records another process has taken over.
    pub successors: Vec<SuccessorEntry>,
}

/// Heartbeat of a process other than sender and receiver, as known to the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Process.
    pub peer: PeerIdentity,
    /// Highest known heartbeat of the process.
    pub heartbeat: u64,
    /// Peer address of the process, if the sender's VM list does not contain it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<String>,
}

/// Load of one target, in the compact form used for gossip.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadEntry {
    /// Target.
    pub target: TargetName,
    /// Restart id of the target in the report.
    #[serde(rename = "restart")]
    pub restart_id: u64,
    /// State of the report.
    pub state: TargetState,
    /// Concurrent requests that the target can carry.
    #[serde(rename = "bears")]
    pub capacity: u32,
    /// Requests running and waiting at the target.
    pub occupied: u32,
    /// Age of the figures when the digest was sent, in milliseconds.
    pub age_ms: u64,
}

/// A [`LoadEntry`] with a short hash in place of the restart id, since the id would take up most of the
/// space.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Target.
    pub target: TargetName,
    /// Hash of the restart id. An update whose hash does not match the known restart id is ignored.
    #[serde(rename = "restart_check")]
    pub restart_id_hash: [u8; 2],
    /// State of the report.
    pub state: TargetState,
    /// Concurrent requests that the target can carry.
    #[serde(rename = "bears")]
    pub capacity: u32,
    /// Requests running and waiting at the target.
    pub occupied: u32,
    /// Age of the figures when the digest was sent, in milliseconds.
    pub age_ms: u64,
}

/// What may crash the targets that run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SuspectCause {
    /// A request, each time that it is sent.
    Request(Fingerprint),
    /// All requests with a part of a prompt.
    Part(PartId),
}

impl fmt::Display for SuspectCause {
    /// Part ids are hexadecimal, as callers write them.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SuspectCause::Request(fingerprint) => write!(formatter, "request {fingerprint}"),
            SuspectCause::Part(part) => write!(formatter, "part {part:x}"),
        }
    }
}

/// A connection that broke while a target ran something suspected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSighting {
    /// Target.
    pub target: TargetName,
    /// Restart id of the target's process before the crash.
    pub restart: u64,
    /// Milliseconds from the break to the last crash of the entry.
    pub before_ms: u64,
    /// Whether the target's process is known to have crashed.
    pub confirmed: bool,
}

impl CrashSighting {
    /// Whether two sightings are of the same crash.
    pub fn is_same_crash(&self, other: &CrashSighting) -> bool {
        (&self.target, self.restart) == (&other.target, other.restart)
    }
}

/// A request or prompt part that is suspected or confirmed to crash targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// What is suspected.
    pub cause: SuspectCause,
    /// Position of a part in prompts; the largest number for a request.
    pub depth: u16,
    /// The latest crashes.
    pub crashes: Vec<CrashSighting>,
    /// Milliseconds from the last crash to the last known finish of a request with this cause; negative if it
    /// was earlier. `None` if none is known.
    pub finished_after_ms: Option<i64>,
    /// Whether the sender refuses it, since it is confirmed to crash targets.
    pub convicted: bool,
    /// Milliseconds since the last crash.
    pub age_ms: u64,
}

impl SuspectEntry {
    /// An entry of a request with confirmed crashes at one time.
    pub fn of_request<C>(fingerprint: Fingerprint, crashes: C) -> SuspectEntry
    where
        C: IntoIterator<Item = (TargetName, u64)>,
    {
        let sighting =
            |(target, restart)| CrashSighting { target, restart, before_ms: 0, confirmed: true };
        SuspectEntry {
            cause: SuspectCause::Request(fingerprint),
            depth: u16::MAX,
            crashes: crashes.into_iter().map(sighting).collect(),
            finished_after_ms: None,
            convicted: false,
            age_ms: 0,
        }
    }
}

/// Names the process that has taken over the ticket records of a process that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuccessorEntry {
    /// The process that issued the tickets.
    pub owner: PeerIdentity,
    /// The process that holds its records now.
    pub successor: PeerIdentity,
    /// Peer address of the successor.
    pub peer_address: String,
    /// Milliseconds since the handover.
    pub age_ms: u64,
}

/// A change that is sent at once to all members of the data centre. The next digests repeat it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerAnnouncement {
    /// The sender has activated a newer configuration.
    Configuration(ConfigurationVersion),
    /// The sender sheds all requests below this tier.
    ShedFloor(Tier),
    /// A request is suspected or confirmed to crash targets.
    Suspect(SuspectEntry),
    /// A target has become cold.
    Load(LoadEntry),
    /// The sender has started to shut down.
    Draining,
    /// A process has taken over the ticket records of another one.
    Successor(SuccessorEntry),
}

/// A slot (permission for one concurrent request at a target) that one process lends to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Grant number, with which the borrower returns the slot.
    pub grant: u64,
    /// Target.
    pub target: TargetName,
    /// Milliseconds within which the borrower must use the slot.
    pub use_within_ms: u64,
}

/// A complete non-idempotent call that is forwarded to the owner of its ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedCall {
    /// The ticket as the caller sent it.
    pub ticket: String,
    /// Workspace.
    pub workspace: WorkspaceName,
    /// Service.
    pub service: ServiceName,
    /// Tier.
    pub tier: Tier,
    /// Milliseconds that were left until the deadline when the call was forwarded.
    pub remaining_ms: u64,
    /// Method, path with query, headers and body to forward.
    pub call: PlainCall,
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainCall {
    /// HTTP method.
    pub method: String,
    /// Path below the service, with query.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, String)>,
    /// Body.
    #[serde(with = "base64_bytes")]
    pub body: Bytes,
}

/// The complete answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers to pass on.
    pub headers: Vec<(String, String)>,
    /// Body.
    #[serde(with = "base64_bytes")]
    pub body: Bytes,
}

/// The ticket owner's answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketAnswer {
    /// The call has run; this is its answer.
    Done(PlainAnswer),
    /// There is no answer of a target. [`Refusal::outcome`] states whether the call may have run.
    Refused(Refusal),
}

/// Ticket records that a process hands over when it shuts down.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverMessage {
    /// The process that issued the tickets. It no longer dispatches anything.
    pub owner: PeerIdentity,
    /// All its records.
    pub records: Vec<HandoverRecord>,
    /// Milliseconds until the record of the last ticket may be deleted.
    pub keep_ms: u64,
    /// The owner's boot clock when the message was made, in milliseconds. With it the successor distinguishes
    /// a ticket that was never used from one so old that its record may have been deleted.
    pub owner_boot_ms: u64,
}

/// One record of a handover.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRecord {
    /// Number of the ticket.
    pub sequence: TicketSequence,
    /// Hash of the call for which the ticket was used.
    pub binding: String,
    /// Final answer to the call.
    pub answer: TicketAnswer,
}

/// A change of one part of a configuration, which keeps a prefix and a suffix of the old content and
/// replaces what is between them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartSplice {
    /// Name of the part.
    pub name: String,
    /// Length of the kept prefix, in bytes.
    pub keep_prefix: usize,
    /// Length of the kept suffix, in bytes.
    pub keep_suffix: usize,
    /// New content between prefix and suffix.
    pub middle: String,
    /// SHA-256 of the whole new content, in hexadecimal.
    pub hash: String,
}

/// Answer to `pull_configuration`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationTransfer {
    /// Version that the receiver must have for the changes to apply; 0 for a transfer of whole parts.
    pub base: ConfigurationVersion,
    /// Version that the changes result in.
    pub version: ConfigurationVersion,
    /// Names of all resulting parts, in order; empty if they are the same as in the base version.
    pub part_names: Vec<String>,
    /// Changed parts. A part that the receiver does not have yet is sent with an empty prefix and suffix.
    pub splices: Vec<PartSplice>,
}

/// Changes of the VM list from one version to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListTransfer {
    /// Version that the receiver must have for the changes to apply; 0 for a whole list.
    pub base: u64,
    /// Version that the changes result in.
    pub version: u64,
    /// New and changed VMs.
    pub changed: Vec<ListedVm>,
    /// VMs that were removed.
    pub removed: Vec<VmName>,
}

/// An order that a process plans to send to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedOrder {
    /// Target.
    pub target: TargetName,
    /// Change that the order asks for.
    pub change: OrderChange,
}

mod base64_bytes {
    use base64::{Engine, engine::general_purpose::STANDARD};
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<Bytes, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Bytes::from).map_err(D::Error::custom)
    }
}
