//! Orders to engines, planned from the rules and from the reports that this process has polled.

use tarragon_scheduler::placement::{DEFAULT_CONCURRENT_LOADS, PlacementTarget, plan_orders};

use super::*;

/// Time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// What placement knows of the targets of the data centre.
#[derive(Debug, Default)]
pub(super) struct PlacementView {
    targets: IndexMap<TargetName, PlacementTarget>,
    next_plan: Option<Instant>,
}

impl PlacementView {
    /// Takes the published targets. Reports of targets that stay are kept.
    pub(super) fn list(&mut self, entries: &[TargetEntry]) {
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

    /// Takes a full report of a target.
    pub(super) fn report(&mut self, target: &TargetName, report: Option<LoadReport>) {
        if let Some(target) = self.targets.get_mut(target) {
            target.report = report;
        }
    }
}

impl Node {
    /// Plans orders where the rules name models. Which process sends an order, and when, is decided by the
    /// target's owner.
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
