//! Digests: the state reports that entry VMs send each other several times a second, each in one datagram.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tarragon_protocol::peer::SuspectEntry;
use xxhash_rust::xxh3::xxh3_64;

use crate::{node::RelayOffer, prelude::*, published::StorePosition, sums::CentreSum};

/// Hash that stands for a name in digests. If two names have the same one, only their usage estimates get
/// mixed.
pub type NameKey = u32;

/// Computes the key of a name.
pub fn name_key(name: &str) -> NameKey {
    xxh3_64(name.as_bytes()) as NameKey
}

/// Use of one target by a process, and the load that the target reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetUse {
    /// Key of the target's name.
    pub target: NameKey,
    /// Requests of the sender in flight at the target.
    pub in_flight: u16,
    /// Load that the target last reported to the sender.
    pub load: Option<ReportedLoad>,
}

/// Load that a target reported with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Requests running at the target.
    pub running: u16,
    /// Requests waiting inside the target.
    pub waiting: u16,
    /// Milliseconds since the report.
    pub age_ms: u32,
}

/// Units used in the last one, two and three quarters of the quota window.
pub type SpanSums = [u64; 3];

/// Quota usage of one workspace at one or more processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSum {
    /// Key of the workspace's name.
    pub workspace: NameKey,
    /// Units used in the quota window.
    pub units: u64,
    /// Units used in the last quarters of the window.
    pub recent: SpanSums,
    /// Units used in the last half second.
    pub latest: u64,
}

impl UsageSum {
    /// The usage of a workspace that has used nothing.
    pub fn none(workspace: NameKey) -> UsageSum {
        UsageSum { workspace, units: 0, recent: SpanSums::default(), latest: 0 }
    }

    /// Adds the usage at another process.
    pub fn add(&mut self, other: &UsageSum) {
        self.units = self.units.saturating_add(other.units);
        self.latest = self.latest.saturating_add(other.latest);
        for (sum, part) in self.recent.iter_mut().zip(other.recent) {
            *sum = sum.saturating_add(part);
        }
    }

    /// Subtracts the usage at a process that was added before.
    pub fn remove(&mut self, other: &UsageSum) {
        self.units = self.units.saturating_sub(other.units);
        self.latest = self.latest.saturating_sub(other.latest);
        for (sum, part) in self.recent.iter_mut().zip(other.recent) {
            *sum = sum.saturating_sub(part);
        }
    }
}

/// Digest of one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerDigest {
    /// VM of the sender.
    pub vm: VmName,
    /// Identifies the start of the sending process.
    pub incarnation: Incarnation,
    /// Increases with each digest of this start.
    pub sequence: u64,
    /// Key of the sender's data centre.
    pub data_centre: NameKey,
    /// Position in the history of the store of the operator state that the sender holds.
    pub operator_position: StorePosition,
    /// Version of the configuration in that state; 0 if the sender has none.
    pub operator_version: ConfigurationVersion,
    /// Milliseconds since that state was confirmed as the newest; `None` if the sender has none.
    pub operator_age_ms: Option<u32>,
    /// Milliseconds since the sender's listing of targets was read from the store; `None` if it has none.
    pub listing_age_ms: Option<u32>,
    /// Hash of the content of that listing.
    pub listing_hash: u64,
    /// Use of targets by the sender; empty if the digest has the sum of the data centre instead.
    pub target_uses: Vec<TargetUse>,
    /// Quota usage at the sender; empty if the digest has the sum of the data centre instead.
    pub quota_usage: Vec<UsageSum>,
    /// Usage of the sender's whole data centre, in place of the sender's own. It goes to peers of other data
    /// centres in fleets so large that they seldom get a digest from each single process, and to peers that
    /// requested it from a relay.
    pub centre_sum: Option<CentreSum>,
    /// Span of the quota window before the sender's start, for which it doesn't know its usage, in
    /// milliseconds.
    pub unknown_usage_ms: u32,
    /// Requests that are suspected of crashing targets.
    pub suspects: Vec<SuspectEntry>,
    /// Restart ids of the targets that recently reported that they are leaving.
    pub leaving_restart_ids: Vec<u64>,
    /// Time on the clock that the fleet shares, in milliseconds.
    pub fleet_time_ms: u64,
    /// What targets have said about the rates that they accept from all processes together.
    pub rates: Vec<RateNotice>,
    /// What targets have said about the rejections that they can bear from all processes together.
    pub rejection_limits: Vec<RejectionNotice>,
    /// Quota usage that recently restarted peers had before their restart, by address.
    pub former_usage: Vec<(SocketAddr, Vec<UsageSum>)>,
    /// Whether this answers the receiver's first digest. Answers get no answer themselves.
    pub is_answer: bool,
    /// Whether the sender requests the sums of their data centre from the receiver.
    pub requests_sums: bool,
    /// Number of processes that the sender has got digests from, itself included.
    pub met: u32,
    /// Addresses of some of the peers that are present at the sender.
    pub members: Vec<SocketAddr>,
    /// Whether the sender carries attempts of peers that have lost their links to targets.
    pub relay: RelayOffer,
}

impl PeerDigest {
    /// Encodes the digest as a datagram.
    pub fn to_bytes(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a datagram.
    pub fn from_bytes(bytes: &[u8]) -> Result<PeerDigest, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
