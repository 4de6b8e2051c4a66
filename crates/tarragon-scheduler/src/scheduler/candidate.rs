//! The targets that can take a request now, with the times to be expected there.

use std::time::Instant;

use crate::{
    choose::ChooseCandidate,
    job::{Job, block_tokens},
    prelude::*,
    targets::{TargetRow, TargetTable, estimate::AFFINITY_EXCESS},
};

/// Reused between decisions, so that a decision allocates nothing.
#[derive(Debug, Default)]
pub(super) struct CandidateList {
    /// Open targets, in the order of the table.
    pub items: Vec<ChooseCandidate>,
    hits: Vec<u32>,
}

/// What restricts the choice beside the open windows.
#[derive(Debug, Clone, Copy)]
pub(super) struct ChoiceBounds {
    /// The request may crash targets.
    pub suspect: bool,
    /// Suspects are in flight somewhere.
    pub suspects_run: bool,
}

impl CandidateList {
    /// Finds all targets that can take the job now.
    pub(super) fn collect(
        &mut self,
        targets: &TargetTable,
        job: &Job,
        bounds: ChoiceBounds,
        now: Instant,
    ) {
        self.items.clear();
        self.hits.clear();
        let mean = self.collect_open(targets, job, bounds, now);
        if bounds.suspects_run && !bounds.suspect {
            self.leave_suspects_alone(targets, job.tier());
        }
        if self.items.is_empty() {
            return;
        }
        let blocks = job.blocks();
        targets.prefixes.lookup(blocks, targets.capacity(), &mut self.hits);
        let size = job.size();
        for candidate in &mut self.items {
            let Some(row) = targets.row(candidate.target) else { continue };
            let attracts = used_share(row, candidate.window) <= mean + AFFINITY_EXCESS;
            let hit = if attracts { self.hits[candidate.target] } else { 0 };
            candidate.estimate = row.estimate(size, block_tokens(hit), now);
        }
    }

    /// Adds the open targets and returns the mean share of their windows that is in use.
    fn collect_open(
        &mut self,
        targets: &TargetTable,
        job: &Job,
        bounds: ChoiceBounds,
        now: Instant,
    ) -> f32 {
        let model = job.model();
        let mut used = 0.0;
        for index in &targets.pool(job.pool).members {
            let Some(row) = targets.row(*index) else { continue };
            if !row.may_work() {
                continue;
            }
            let window = row.window.size(now);
            if row.in_flight >= window || !row.holds(model) || job.avoid.contains(index) {
                continue;
            }
            if bounds.suspect && !suits_suspect(row, job.tier()) {
                continue;
            }
            used += used_share(row, window);
            self.items.push(ChooseCandidate {
                target: *index,
                in_flight: row.in_flight,
                window,
                estimate: Default::default(),
            });
        }
        used / self.items.len().max(1) as f32
    }

    /// Drops targets that run a suspect of a lower tier, unless there are no others.
    fn leave_suspects_alone(&mut self, targets: &TargetTable, tier: Tier) {
        let runs_lower = |candidate: &ChooseCandidate| {
            targets
                .row(candidate.target)
                .is_some_and(|row| row.suspects[..tier.index()].iter().any(|count| *count > 0))
        };
        if self.items.iter().any(|candidate| !runs_lower(candidate)) {
            self.items.retain(|candidate| !runs_lower(candidate));
        }
    }
}

fn used_share(row: &TargetRow, window: u32) -> f32 {
    row.in_flight as f32 / window.max(1) as f32
}

/// A suspect runs alone among suspects and not beside work of a higher tier.
pub(super) fn suits_suspect(row: &TargetRow, tier: Tier) -> bool {
    row.suspects.iter().all(|count| *count == 0)
        && row.highest_tier().is_none_or(|highest| highest <= tier)
}
