//! The targets that can take a request now, with their estimated times.

use crate::{
    choose::ChooseCandidate,
    job::{Job, block_tokens},
    prelude::*,
    targets::{
        TargetRow, TargetTable,
        estimate::{AFFINITY_EXCESS, CostEstimate},
        prefix::PrefixHits,
    },
};

/// Candidates of one decision. The buffers are reused, so that a decision allocates nothing.
#[derive(Debug, Default)]
pub(super) struct CandidateList {
    /// Candidate targets, in the order of the target table.
    pub items: Vec<ChooseCandidate>,
    hits: PrefixHits,
}

/// Restrictions on the choice: because of requests suspected of crashing targets, and because of the end of the
/// process.
#[derive(Debug, Clone, Copy)]
pub(super) struct ChoiceBounds {
    /// The request itself is suspected.
    pub suspect: bool,
    /// Any suspected request is in flight.
    pub suspects_run: bool,
    /// Seconds in which the answer has to be complete.
    pub time_left: Option<f32>,
}

impl CandidateList {
    /// Collects all targets that can take the job now.
    pub(super) fn collect(&mut self, targets: &TargetTable, job: &Job, bounds: ChoiceBounds) {
        self.items.clear();
        let blocks = job.blocks();
        targets.prefixes.lookup(blocks, targets.capacity(), &mut self.hits);
        let pool = targets.pool(job.pool);
        let affinity_limit = pool.used_share() + AFFINITY_EXCESS;
        let models = targets.models_of(job);
        let size = job.size();
        for index in &pool.members {
            let summary = targets.summary(*index);
            if !summary.is_open() || summary.models & models == 0 || job.avoid.contains(index) {
                continue;
            }
            if job.model().is_some() && summary.has_prefill_backlog(job.tier()) {
                continue;
            }
            let suits_build = |row: &TargetRow| row.suits_build(job.build);
            if job.build.is_some() && !targets.row(*index).is_some_and(suits_build) {
                continue;
            }
            let suits = |row| may_run_suspect(row, job.tier());
            if bounds.suspect && !targets.row(*index).is_some_and(suits) {
                continue;
            }
            let affinity_allowed =
                summary.in_flight as f32 <= affinity_limit * summary.window as f32;
            let hit = if affinity_allowed { self.hits.get(*index) } else { 0 };
            let estimate = summary.estimate(size, block_tokens(hit), job.tier());
            if bounds.time_left.is_some_and(|left| summary.exceeds(&estimate, left)) {
                continue;
            }
            self.items.push(ChooseCandidate {
                target: *index,
                in_flight: summary.in_flight,
                window: summary.window,
                estimate,
            });
        }
        if bounds.suspects_run && !bounds.suspect {
            self.avoid_suspects(targets, job.tier());
        }
    }

    /// The busy target that would have the first token soonest once it has a free slot, if it has more of the prompt
    /// cached than the open one. Valid after [`CandidateList::collect`] for the same job.
    pub(super) fn busy_holder(
        &self,
        targets: &TargetTable,
        job: &Job,
        open: &ChooseCandidate,
    ) -> Option<(usize, CostEstimate)> {
        if !self.hits.any() || !targets.summary(open.target).is_measured() {
            return None;
        }
        let pool = targets.pool(job.pool);
        let affinity_limit = pool.used_share() + AFFINITY_EXCESS;
        let models = targets.models_of(job);
        let holders = pool.members.iter().filter_map(|index| {
            let hit = block_tokens(self.hits.get(*index));
            if hit <= open.estimate.cached {
                return None;
            }
            let summary = targets.summary(*index);
            let suits = summary.window > 0
                && !summary.is_open()
                && summary.is_measured()
                && summary.models & models != 0
                && !job.avoid.contains(index)
                && targets.row(*index).is_some_and(|row| row.memory.is_known());
            // The cache counts there only if that holds with one request less, too.
            let left = summary.in_flight.saturating_sub(1) as f32;
            if !suits || left > affinity_limit * summary.window as f32 {
                return None;
            }
            let estimate = summary.estimate(job.size(), hit, job.tier());
            (estimate.cached > open.estimate.cached).then_some((*index, estimate))
        });
        holders.min_by(|(_, one), (_, other)| one.first_token.total_cmp(&other.first_token))
    }

    /// Removes targets that run a suspected request of a lower tier, unless there are no others.
    fn avoid_suspects(&mut self, targets: &TargetTable, tier: Tier) {
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

/// Whether a suspected request of this tier may run at a target: only if no other suspect runs there and no
/// request of a higher tier, which would be lost in a crash.
pub(super) fn may_run_suspect(row: &TargetRow, tier: Tier) -> bool {
    row.suspects.iter().all(|count| *count == 0)
        && row.highest_tier().is_none_or(|highest| highest <= tier)
}
