//! Plans orders to engines from the rules and from the load reports that this process has polled.

use tarragon_scheduler::placement::{DEFAULT_CONCURRENT_LOADS, PlacementTarget, plan_orders};

use super::*;

/// Time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// The data centre's targets, as needed to plan orders.
#[derive(Debug, Default)]
pub(super) struct PlacementView {
    targets: IndexMap<TargetName, PlacementTarget>,
    next_plan: Option<Instant>,
}

impl PlacementView {
    /// Replaces the list of targets. Reports of targets that are still listed are kept.
    pub(super) fn set_targets(&mut self, entries: &[TargetEntry]) {
        let mut previous = std::mem::take(&mut self.targets);
        for entry in entries {
            let known = previous.swap_remove(&entry.target);
            let report = known.and_then(|target| target.report);
            let target = PlacementTarget {
                target: entry.target.clone(),
                service: entry.service.clone(),
                in_service: entry.in_service,
                report,
                role: None,
            };
            self.targets.insert(entry.target.clone(), target);
        }
    }

    /// Replaces the load report of a target.
    pub(super) fn update_report(&mut self, target: &TargetName, report: Option<LoadReport>) {
        if let Some(target) = self.targets.get_mut(target) {
            target.report = report;
        }
    }
}

impl Node {
    /// Plans orders if there are rules for models. The owner of the target decides which process sends an
    /// order, and when.
    pub(super) fn plan_placement(&mut self, now: Instant, actions: &mut Vec<NodeAction>) {
        if self.placement.next_plan.is_some_and(|next| now < next) {
            return;
        }
        self.placement.next_plan = Some(now + PLAN_INTERVAL);
        let Some(configuration) = self.cluster.configuration().cloned() else { return };
        if configuration.rules.models.is_empty() {
            return;
        }
        let targets: Vec<PlacementTarget> = self.placement.targets.values().cloned().collect();
        let orders = plan_orders(&configuration.rules, &targets, DEFAULT_CONCURRENT_LOADS);
        let event = ClusterEvent::OrdersPlanned(configuration.version, orders);
        self.coordinate(now, event, actions);
    }
}
