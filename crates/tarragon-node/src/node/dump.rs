//! The state of a node, for operators and tests.

use serde::Serialize;
use tarragon_cluster::{cluster::ClusterDump, ticket::decision::TicketDump};
use tarragon_scheduler::scheduler::{ChoiceExplanation, SchedulerDump};

use super::*;

/// State of a node.
#[derive(Debug, Clone, Serialize)]
pub struct NodeDump {
    /// Peers, configuration, slots and orders.
    pub cluster: ClusterDump,
    /// Queue, targets and learned values.
    pub scheduler: SchedulerDump,
    /// Records of non-idempotent calls.
    pub tickets: TicketDump,
    /// Whether new work is relayed to other processes.
    pub relaying: bool,
    /// Whether the process is shutting down.
    pub draining: bool,
    /// Violations by invariant, without those that hold.
    pub violations: Vec<(&'static str, u64)>,
}

impl Node {
    /// The present state.
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

    /// Why a request would go where, if it arrived now.
    pub fn explain(&self, now: Instant, profile: &RequestProfile) -> ChoiceExplanation {
        self.scheduler.explain(profile, now)
    }

    /// All invariants with the number of their violations. Those of the cluster count over all nodes of
    /// the operating system's process.
    pub fn violations(&self) -> Vec<(&'static str, u64)> {
        let mut counts: Vec<(&'static str, u64)> = self.scheduler.invariants().counts().collect();
        counts.extend(tarragon_cluster::invariant::violations());
        counts
    }
}
