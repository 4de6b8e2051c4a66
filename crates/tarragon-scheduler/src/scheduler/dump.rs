//! A read-only snapshot of the state, for operators.

use std::time::Instant;

use indexmap::IndexMap;
use serde::Serialize;

use crate::{
    prelude::*,
    retry::RetryBudget,
    scheduler::Scheduler,
    targets::{TargetRow, rate::RateEstimate, window::TargetWindow},
};

/// Maximum number of workspaces in a dump, those with the most requests first.
const LISTED_WORKSPACES: usize = 100;

/// State of the scheduler.
#[derive(Debug, Clone, Serialize)]
pub struct SchedulerDump {
    /// Waiting requests by tier, the lowest first.
    pub waiting: [u32; Tier::COUNT],
    /// Predicted tokens of all waiting requests.
    pub waiting_tokens: u64,
    /// Requests in flight.
    pub in_flight: usize,
    /// Shed floor that this process announces.
    pub own_floor: Tier,
    /// Highest shed floor in effect, of this process and its peers.
    pub floor: Tier,
    /// Number of known peers.
    pub peers: usize,
    /// Fraction of the deployment-wide limits that this process may grant.
    pub limit_share: f64,
    /// Whether the process is shutting down.
    pub draining: bool,
    /// Retry budgets by service, in the order of their first use.
    pub retry_budgets: Vec<RetryBudget>,
    /// Targets.
    pub targets: Vec<TargetDump>,
    /// Number of workspaces with state.
    pub workspace_count: usize,
    /// Workspaces with the most requests.
    pub workspaces: Vec<WorkspaceDump>,
    /// Requests and prompt parts in the suspect table.
    pub suspects: usize,
    /// Number of learned answer lengths.
    pub length_estimates: usize,
    /// Number of prompt blocks in the prefix index.
    pub prefix_blocks: usize,
    /// Counters.
    pub statistics: SchedulerStatistics,
    /// Number of violations by invariant.
    pub violations: IndexMap<&'static str, u64>,
}

/// State of one target.
#[derive(Debug, Clone, Serialize)]
pub struct TargetDump {
    /// Name.
    pub target: TargetName,
    /// Service.
    pub service: String,
    /// Whether it may get new work.
    pub in_service: bool,
    /// Concurrent requests that it can serve from all processes together.
    #[serde(rename = "bears")]
    pub capacity: u32,
    /// Own requests in flight.
    pub in_flight: u32,
    /// Own requests that may be in flight now.
    pub window: u32,
    /// State from which the window is computed.
    pub window_state: TargetWindow,
    /// Uncached prompt tokens of own requests that have no first token yet.
    pub pending_prefill: u64,
    /// Learned speed.
    pub rates: RateEstimate,
    /// How long work takes now, as a multiple of the learned times.
    pub pace: f64,
    /// Models held, if known.
    pub models: Vec<ModelName>,
    /// Confidence in the prefix index for this target, from 0 to 1.
    pub cache_trust: f32,
    /// Tokens that the memory of its engine holds; 0 if unknown.
    pub memory_tokens: u64,
    /// Milliseconds since the load in the last report was measured.
    pub report_age_ms: Option<u64>,
}

/// Usage of one workspace.
#[derive(Debug, Clone, Serialize)]
pub struct WorkspaceDump {
    /// Name.
    pub workspace: WorkspaceName,
    /// Requests in flight.
    pub in_flight: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Predicted tokens of waiting requests.
    pub queued_tokens: u64,
}

impl Scheduler {
    /// Snapshot of the current state.
    pub fn dump(&self, now: Instant) -> SchedulerDump {
        SchedulerDump {
            waiting: self.waiting_by_tier(),
            waiting_tokens: self.queue.tokens(),
            in_flight: self.in_flight.len(),
            own_floor: self.pressure.own_floor(),
            floor: self.pressure.floor(now),
            peers: self.pressure.peer_count(),
            limit_share: self.limit_share,
            draining: self.draining,
            retry_budgets: self.retry_budgets.clone(),
            targets: self.targets.iter().map(|(_, row)| self.dump_target(row, now)).collect(),
            workspace_count: self.workspaces.len(),
            workspaces: self.dump_workspaces(),
            suspects: self.suspects.len(),
            length_estimates: self.costs.len(),
            prefix_blocks: self.targets.prefixes.len(),
            statistics: self.statistics.clone(),
            violations: self.invariants.counts().collect(),
        }
    }

    fn dump_target(&self, row: &TargetRow, now: Instant) -> TargetDump {
        let age = |taken| now.saturating_duration_since(taken).as_millis() as u64;
        TargetDump {
            target: row.name.clone(),
            service: self.targets.pool_name(row.service).to_owned(),
            in_service: row.accepts_work(),
            capacity: row.capacity,
            in_flight: row.in_flight,
            window: row.window.size(now),
            window_state: row.window.clone(),
            pending_prefill: row.pending_prefill,
            rates: row.rates,
            pace: row.pace.factor(now),
            models: row.models.clone(),
            cache_trust: row.trust.value(now),
            memory_tokens: row.memory.capacity(),
            report_age_ms: row.report.as_ref().map(|report| age(report.taken)),
        }
    }

    fn dump_workspaces(&self) -> Vec<WorkspaceDump> {
        let mut workspaces: Vec<WorkspaceDump> = self
            .workspaces
            .iter()
            .map(|usage| WorkspaceDump {
                workspace: usage.name.clone(),
                in_flight: usage.in_flight,
                waiting: usage.waiting,
                queued_tokens: usage.queued_tokens,
            })
            .collect();
        workspaces.sort_by_key(|usage| std::cmp::Reverse(usage.in_flight + usage.waiting));
        workspaces.truncate(LISTED_WORKSPACES);
        workspaces
    }
}
