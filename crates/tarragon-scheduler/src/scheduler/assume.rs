//! Assumed models of targets whose list of models is unknown.
//!
//! Only the VMs that poll a target see its list of models; digests leave it out. For other targets, the
//! placement computed from the rules is assumed.

use std::time::Instant;

use crate::{
    placement::{self, PlacementTarget},
    prelude::*,
    scheduler::Scheduler,
    targets::TargetRow,
};

impl Scheduler {
    /// Expires old lists of models, and recomputes the assumed models after a change of rules or targets.
    pub(super) fn update_assumed_models(&mut self, now: Instant) {
        self.targets.forget_old_models(now);
        if !std::mem::take(&mut self.placement_changed) {
            return;
        }
        let targets: Vec<PlacementTarget> =
            self.targets.iter().map(|(_, row)| self.placement_target(row)).collect();
        let states = placement::desired_states(&self.rules, &targets);
        for target in &targets {
            let models: Vec<ModelName> = states
                .get(&target.target)
                .map(|state| state.models.iter().map(|desired| desired.model.clone()).collect())
                .unwrap_or_default();
            let ruled = self.rules.models.values().any(|rule| rule.service == target.service);
            let models = ruled.then_some(models);
            self.targets.set_assumed_models(&target.target, models.as_deref(), now);
        }
    }

    fn placement_target(&self, row: &TargetRow) -> PlacementTarget {
        PlacementTarget {
            target: row.name.clone(),
            service: self.targets.pool_name(row.service).into(),
            in_service: row.listed && row.in_service,
            report: None,
            role: None,
        }
    }
}
