//! A dump of the state of a node, for operators and tests.

use serde::Serialize;
use tarragon_cluster::{cluster::ClusterDump, ticket::decision::TicketDump};
use tarragon_scheduler::scheduler::{ChoiceExplanation, SchedulerDump};

use super::*;

/// Dump of the state of a node.
#[derive(Debug, Clone, Serialize)]
pub struct NodeDump {
    /// Peers, configuration, slots and orders.
    pub cluster: ClusterDump,
    /// Queue, targets and estimates.
    pub scheduler: SchedulerDump,
    /// Records of non-idempotent calls.
    pub tickets: TicketDump,
    /// Whether new requests are relayed to other processes.
    pub relaying: bool,
    /// Whether the process is shutting down.
    pub draining: bool,
    /// Number of violations of each invariant that was violated.
    pub violations: Vec<(&'static str, u64)>,
}

impl Node {
    /// Returns a dump of the present state.
    pub fn dump(&self, now: Instant) -> NodeDump {
        let violations = self.violations().into_iter().filter(|(_, count)| *count > 0);
        NodeDump {
            cluster: self.cluster.dump(now),
            scheduler: self.scheduler.dump(now),
            tickets: self.tickets.table.dump(),
            relaying: !self.relay_peers.is_empty(),
            draining: self.draining,
            violations: violations.collect(),
        }
    }

    /// Explains which target a request would be sent to if it arrived now.
    pub fn explain(&self, now: Instant, profile: &RequestProfile) -> ChoiceExplanation {
        self.scheduler.explain(profile, now)
    }

    /// All invariants, each with the number of its violations. Those of the cluster component are counted over
    /// all nodes in the operating system process.
    pub fn violations(&self) -> Vec<(&'static str, u64)> {
        let mut counts: Vec<(&'static str, u64)> = self.scheduler.invariants().counts().collect();
        counts.extend(tarragon_cluster::invariant::violations());
        counts
    }
}
