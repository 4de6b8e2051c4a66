//! What entry VMs tell each other several times a second, in one datagram.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tarragon_protocol::peer::SuspectEntry;
use xxhash_rust::xxh3::xxh3_64;

use crate::{prelude::*, published::StoreRevision, sums::CentreSum};

/// Short form of a name in digests. Two names with the same key only mix two estimates.
pub type NameKey = u32;

/// Key of a name.
pub fn name_key(name: &str) -> NameKey {
    xxh3_64(name.as_bytes()) as NameKey
}

/// A process's use of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetUse {
    /// Target.
    pub target: NameKey,
    /// The sender's requests in flight there.
    pub in_flight: u16,
    /// Load that the target last told the sender.
    pub told: Option<ReportedLoad>,
}

/// Load as a target told it with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Requests that ran.
    pub running: u16,
    /// Requests that waited inside the target.
    pub waiting: u16,
    /// Milliseconds since then.
    pub age_ms: u32,
}

/// Units in the last one, two and three quarters of a quota's window.
pub type SpanSums = [u64; 3];

/// A process's use of one workspace's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSum {
    /// Workspace.
    pub workspace: NameKey,
    /// Units in the quota's window.
    pub units: u64,
    /// Units in the last parts of the window.
    pub recent: SpanSums,
    /// Units in the last half second.
    pub latest: u64,
}

impl UsageSum {
    /// No use.
    pub fn none(workspace: NameKey) -> UsageSum {
        UsageSum { workspace, units: 0, recent: SpanSums::default(), latest: 0 }
    }

    /// Adds the use of another process.
    pub fn add(&mut self, other: &UsageSum) {
        self.units += other.units;
        self.latest += other.latest;
        for (sum, part) in self.recent.iter_mut().zip(other.recent) {
            *sum += part;
        }
    }

    /// Takes off the use of a process that was added before.
    pub fn remove(&mut self, other: &UsageSum) {
        self.units = self.units.saturating_sub(other.units);
        self.latest = self.latest.saturating_sub(other.latest);
        for (sum, part) in self.recent.iter_mut().zip(other.recent) {
            *sum = sum.saturating_sub(part);
        }
    }
}

/// A process's digest.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerDigest {
    /// Sender's VM.
    pub vm: VmName,
    /// Sender's start.
    pub incarnation: Incarnation,
    /// Rises with each digest of this start.
    pub sequence: u64,
    /// Sender's data centre.
    pub data_centre: NameKey,
    /// Revision of the operators' state that the sender holds.
    pub operator_revision: StoreRevision,
    /// Milliseconds since the sender knew that state to be the last one; `None` if it has none.
    pub operator_age_ms: Option<u32>,
    /// Milliseconds since the listing of targets was read that the sender uses; `None` if it has none.
    pub listing_age_ms: Option<u32>,
    /// Hash of what that listing says.
    pub listing_hash: u64,
    /// Use of targets; none in a digest that tells the sum of its data centre.
    pub uses: Vec<TargetUse>,
    /// Units used by workspaces in the quota window; none in a digest that tells the sum of its data centre.
    pub usage: Vec<UsageSum>,
    /// Use of the sender's whole data centre. Peers of other data centres get it in place of the sender's own
    /// use in fleets so large that they hear from each process seldom.
    pub centre: Option<CentreSum>,
    /// Part of the quotas' window before the sender's start, of whose use it knows nothing, in milliseconds.
    pub unknown_ms: u32,
    /// Requests that may crash targets.
    pub suspects: Vec<SuspectEntry>,
    /// Starts of the processes of targets that have said a short time ago that they are leaving.
    pub leaving: Vec<u64>,
    /// Units that peers which were restarted a short time ago had used before, by address.
    pub former: Vec<(SocketAddr, Vec<UsageSum>)>,
    /// Whether this answers the receiver's first digest. An answer is not answered.
    pub answers: bool,
    /// Whether the sender asks the receiver for the sums of their data centre.
    pub requests_sums: bool,
    /// Processes that the sender has met, itself included.
    pub met: u32,
    /// Addresses of processes that the sender has heard of recently.
    pub members: Vec<SocketAddr>,
}

impl PeerDigest {
    /// The datagram.
    pub fn to_bytes(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Reads a datagram.
    pub fn from_bytes(bytes: &[u8]) -> Result<PeerDigest, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
