//! Messages between entry VMs.

use serde::{Deserialize, Serialize};

use crate::{engine::OrderChange, identity::TicketSequence, platform::ListedVm, prelude::*};

/// One process, as peers address it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// Name of the VM.
    pub vm: VmName,
    /// Process on it.
    pub incarnation: Incarnation,
}

/// The periodic message: what a process knows of itself and, in part, of others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GossipDigest {
    /// Sender.
    pub sender: PeerIdentity,
    /// Data centre of the sender.
    pub data_centre: DataCentreName,
    /// Peer address of the sender, for receivers whose VM list does not show it yet.
    pub peer_address: String,
    /// Rises with each digest of this incarnation.
    pub heartbeat: u64,
    /// Version of the VM list that the sender uses.
    pub vm_list_version: u64,
    /// Version of the configuration in force at the sender.
    pub configuration: ConfigurationVersion,
    /// Lowest tier that the sender admits.
    pub shed_floor: Tier,
    /// Whether the sender is shutting down.
    pub draining: bool,
    /// Waiting requests by tier, indexed by [`Tier::index`].
    pub waiting: [u32; Tier::COUNT],
    /// What the sender has heard of others in its data centre.
    pub members: Vec<MemberEntry>,
    /// Load of targets that the sender has polled or heard of.
    pub loads: Vec<LoadEntry>,
    /// Load of further targets whose restart id the receiver is likely to know.
    pub load_updates: Vec<LoadUpdate>,
    /// Numbers of the grants of the receiver that the sender holds. Complete, so that the receiver can take
    /// back a slot whose grant or return was lost.
    pub borrowed: Vec<u64>,
    /// Requests that are suspected or found to crash targets.
    pub suspects: Vec<SuspectEntry>,
    /// Incarnations whose records another process holds now.
    pub successors: Vec<SuccessorEntry>,
}

/// Heartbeat of a third process, as heard by the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The process.
    pub peer: PeerIdentity,
    /// Its highest heartbeat heard of.
    pub heartbeat: u64,
    /// Its peer address, if the sender's VM list does not show it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<String>,
}

/// Load of one target, shortened for gossip.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadEntry {
    /// Target.
    pub target: TargetName,
    /// Restart id of the report.
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

/// A [`LoadEntry`] with a check of the restart id in place of the id, which would take up most of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Target.
    pub target: TargetName,
    /// Hash of the restart id. An update whose check does not fit the known id is ignored.
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

/// What is known of a request that may crash targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Targets that crashed while it ran, up to two, each with its restart id before the crash.
    pub crashes: Vec<(TargetName, u64)>,
    /// Whether the request is refused everywhere.
    pub convicted: bool,
    /// Milliseconds since the last crash.
    pub age_ms: u64,
}

/// Says who answers for the tickets of a process that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuccessorEntry {
    /// The process that issued the tickets.
    pub owner: PeerIdentity,
    /// The process that holds its records.
    pub successor: PeerIdentity,
    /// Peer address of the successor.
    pub peer_address: String,
    /// Milliseconds since the handover.
    pub age_ms: u64,
}

/// News that is sent to all members of a data centre at once. The next digests repeat it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerAnnouncement {
    /// The sender has a newer configuration in force.
    Configuration(ConfigurationVersion),
    /// The sender admits nothing below this tier.
    ShedFloor(Tier),
    /// A request is suspected or found to crash targets.
    Suspect(SuspectEntry),
    /// A target turned cold.
    Load(LoadEntry),
    /// The sender starts to shut down.
    Draining,
    /// A process answers for the tickets of another one.
    Successor(SuccessorEntry),
}

/// A slot that one process lends to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Number that the borrower names when it returns the slot.
    pub grant: u64,
    /// Target.
    pub target: TargetName,
    /// Milliseconds within which the slot must be put to use.
    pub use_within_ms: u64,
}

/// A whole non-idempotent call, on its way to the owner of its ticket.
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
    /// Milliseconds until the deadline when the call was forwarded.
    pub remaining_ms: u64,
    /// Method, path with query, headers and body to forward.
    pub call: PlainCall,
}

/// A call of a plain service.
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
    pub body: Vec<u8>,
}

/// The whole answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers to pass on.
    pub headers: Vec<(String, String)>,
    /// Body.
    #[serde(with = "base64_bytes")]
    pub body: Vec<u8>,
}

/// What the owner of a ticket says of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketAnswer {
    /// The call was done; this is its answer.
    Done(PlainAnswer),
    /// No answer from a target. [`Refusal::outcome`] tells whether the call can have run.
    Refused(Refusal),
}

/// Records of a process that is shutting down.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverMessage {
    /// The process that issued the tickets. It dispatches nothing any more.
    pub owner: PeerIdentity,
    /// All its records.
    pub records: Vec<HandoverRecord>,
    /// Milliseconds until the last ticket's record may be dropped.
    pub keep_ms: u64,
    /// Owner's boot clock at the time of the message, in milliseconds. The successor needs it to tell a
    /// ticket that was never used from one that is so old that its record may have been dropped.
    pub owner_boot_ms: u64,
}

/// One record of a handover.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRecord {
    /// Number of the ticket.
    pub sequence: TicketSequence,
    /// Hash of the call that used the ticket.
    pub binding: String,
    /// Final answer.
    pub answer: TicketAnswer,
}

/// A change of one part of a configuration: keep a prefix and a suffix, replace what is between.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartSplice {
    /// Name of the part.
    pub name: String,
    /// Bytes kept from the start of the old content.
    pub keep_prefix: usize,
    /// Bytes kept from the end of the old content.
    pub keep_suffix: usize,
    /// New content between them.
    pub middle: String,
    /// SHA-256 of the new content, in hexadecimal.
    pub hash: String,
}

/// Answer to `pull_configuration`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationTransfer {
    /// Version that the receiver must have; 0 for a transfer of whole parts.
    pub base: ConfigurationVersion,
    /// Version that results.
    pub version: ConfigurationVersion,
    /// Names of all parts of the result, in order; empty if they are those of the base.
    pub part_names: Vec<String>,
    /// Changed parts. A part that the receiver does not have is one whose prefix and suffix are empty.
    pub splices: Vec<PartSplice>,
}

/// Changes of the VM list from one version to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListTransfer {
    /// Version that the receiver must have; 0 for a whole list.
    pub base: u64,
    /// Version that results.
    pub version: u64,
    /// VMs that are new or have changed.
    pub changed: Vec<ListedVm>,
    /// VMs that are gone.
    pub removed: Vec<VmName>,
}

/// An order that a process wants a target to take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedOrder {
    /// Target.
    pub target: TargetName,
    /// Change.
    pub change: OrderChange,
}

mod base64_bytes {
    use base64::{Engine, engine::general_purpose::STANDARD};
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<Vec<u8>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(D::Error::custom)
    }
}
