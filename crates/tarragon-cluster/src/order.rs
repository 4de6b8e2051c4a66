//! Orders to engines: which of the planned changes to send, and when.
//!
//! Not all engines check the fencing number, and two VMs may each take themselves for the owner of a
//! target for a while. So the target's state is read right before each order, a change that the target
//! already has is not ordered, and the time since a target's last order is taken from the target's own
//! report.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tarragon_protocol::{
    engine::{EngineOrder, OrderChange},
    peer::PlannedOrder,
};

use crate::{fence::OwnerTable, prelude::*, rendezvous};

/// Least time between two orders to one target, from whichever VM.
pub const MIN_ORDER_INTERVAL: Duration = Duration::from_secs(60);

/// Time after which an unanswered read of a target counts as lost.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// A change that is sent once its target's state has been read.
#[derive(Debug, Clone)]
struct PendingOrder {
    change: OrderChange,
    requested_at: Instant,
}

/// Plan of the changes and state of the orders.
#[derive(Debug)]
pub struct OrderDispatcher {
    concurrent_loads: usize,
    plan: IndexMap<TargetName, Vec<OrderChange>>,
    version: ConfigurationVersion,
    pending: IndexMap<TargetName, PendingOrder>,
    last_orders: IndexMap<TargetName, Instant>,
    sent: u64,
    refused: u64,
}

impl OrderDispatcher {
    /// `concurrent_loads` is the number of targets of the data centre that may load one model at a time.
    pub fn new(concurrent_loads: usize) -> OrderDispatcher {
        OrderDispatcher {
            concurrent_loads,
            plan: IndexMap::new(),
            version: 0,
            pending: IndexMap::new(),
            last_orders: IndexMap::new(),
            sent: 0,
            refused: 0,
        }
    }

    /// Replaces the plan.
    pub fn set_plan(&mut self, version: ConfigurationVersion, orders: Vec<PlannedOrder>) {
        self.version = version;
        self.plan.clear();
        for order in orders {
            self.plan.entry(order.target).or_default().push(order.change);
        }
        self.pending.retain(|target, pending| {
            self.plan.get(target).is_some_and(|changes| changes.contains(&pending.change))
        });
    }

    /// Drops the plan and the pending orders, after a pause.
    pub fn clear(&mut self) {
        self.plan.clear();
        self.pending.clear();
    }

    /// Chooses the targets that get an order next and marks them as being read. Returns them.
    pub fn start_due_reads(
        &mut self,
        version: ConfigurationVersion,
        owners: &OwnerTable,
        now: Instant,
    ) -> Vec<TargetName> {
        if version != self.version {
            return Vec::new();
        }
        self.last_orders.retain(|_, at| now.saturating_duration_since(*at) < MIN_ORDER_INTERVAL);
        let lost = |pending: &PendingOrder| now - pending.requested_at >= READ_TIMEOUT;
        self.pending.retain(|_, pending| !lost(pending));
        let next: Vec<(TargetName, OrderChange)> = self
            .plan
            .iter()
            .filter(|(target, _)| owners.is_owner(target, now))
            .filter(|(target, _)| !self.last_orders.contains_key(*target))
            .filter(|(target, _)| !self.pending.contains_key(*target))
            .filter_map(|(target, changes)| {
                let change = changes.iter().find(|change| self.may_load(target, change))?;
                Some((target.clone(), change.clone()))
            })
            .collect();
        for (target, change) in &next {
            let pending = PendingOrder { change: change.clone(), requested_at: now };
            self.pending.insert(target.clone(), pending);
        }
        next.into_iter().map(|(target, _)| target).collect()
    }

    /// Handles the report of a target that was read. Returns the order if it is still needed and allowed.
    pub fn order_after_read(
        &mut self,
        target: &TargetName,
        report: &LoadReport,
        fencing: FencingNumber,
        now: Instant,
    ) -> Option<EngineOrder> {
        let pending = self.pending.swap_remove(target)?;
        let age = report.last_order_age_ms.map(Duration::from_millis);
        let early = age.is_some_and(|age| age < MIN_ORDER_INTERVAL);
        let outdated = report.fencing > fencing || report.state == TargetState::Leaving;
        if early || outdated || !is_needed(&pending.change, report) {
            let wait = age.filter(|_| early).unwrap_or(MIN_ORDER_INTERVAL - Duration::from_secs(5));
            self.last_orders.insert(target.clone(), now.checked_sub(wait).unwrap_or(now));
            return None;
        }
        self.last_orders.insert(target.clone(), now);
        self.sent += 1;
        Some(EngineOrder { fencing, change: pending.change })
    }

    /// Records whether an engine accepted an order.
    pub fn record_answer(&mut self, taken: bool) {
        self.refused += u64::from(!taken);
    }

    /// Numbers of orders sent and of orders refused.
    pub fn counts(&self) -> (u64, u64) {
        (self.sent, self.refused)
    }

    /// Whether a change keeps within the number of concurrent loads from the weight store. All VMs have
    /// the same plan, so they choose the same targets to load a model next without communication.
    fn may_load(&self, target: &TargetName, change: &OrderChange) -> bool {
        let OrderChange::Load { model, .. } = change else { return true };
        let loading: Vec<&TargetName> = self
            .plan
            .iter()
            .filter(|(_, changes)| changes.iter().any(|other| loads_model(other, model)))
            .map(|(target, _)| target)
            .collect();
        let ranked = rendezvous::ranked(model, &loading, |target| target);
        ranked.into_iter().take(self.concurrent_loads).any(|first| *first == target)
    }
}

fn loads_model(change: &OrderChange, wanted: &ModelName) -> bool {
    matches!(change, OrderChange::Load { model, .. } if model == wanted)
}

/// Whether a change is still needed according to the target's report. A report does not show versions,
/// adapters and roles; such changes are ordered as planned, and engines treat a repeated order as no
/// change.
fn is_needed(change: &OrderChange, report: &LoadReport) -> bool {
    match change {
        OrderChange::Load { model, version, adapter } => {
            let plain = *version <= 1 && adapter.is_none();
            !plain || !report.models.contains(model)
        }
        OrderChange::Unload { model } => report.models.contains(model),
        OrderChange::Role { .. } => true,
    }
}
