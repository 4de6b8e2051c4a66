//! Invariants of the scheduler, checked in every build where the state changes.

use serde::Serialize;

/// A condition that no event may break.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SchedulerInvariant {
    /// No request is shed while this process's queue holds one of a lower tier.
    LowestTierShedFirst,
    /// No request is dispatched to a target whose slots are all in use.
    SlotsRespected,
    /// A non-idempotent request is not dispatched again after an attempt that may have run.
    DispatchedOnce,
    /// No dispatch to a target that is out of service.
    InServiceOnly,
    /// No dispatch after the deadline.
    BeforeDeadline,
    /// A cold target never has more of this process's requests than its share.
    ColdShare,
    /// No dispatch below the highest shed floor in effect.
    FloorRespected,
    /// A suspect runs alone among suspects, and not beside work of a higher tier.
    SuspectAlone,
    /// A stream goes on only at targets of the build that began it.
    BuildKept,
    /// Usage counters never fall below zero.
    CountersBalanced,
}

impl SchedulerInvariant {
    /// All invariants, in the order of their counters.
    pub const ALL: [SchedulerInvariant; 10] = [
        SchedulerInvariant::LowestTierShedFirst,
        SchedulerInvariant::SlotsRespected,
        SchedulerInvariant::DispatchedOnce,
        SchedulerInvariant::InServiceOnly,
        SchedulerInvariant::BeforeDeadline,
        SchedulerInvariant::ColdShare,
        SchedulerInvariant::FloorRespected,
        SchedulerInvariant::SuspectAlone,
        SchedulerInvariant::BuildKept,
        SchedulerInvariant::CountersBalanced,
    ];

    /// Name in metrics and in the dump.
    pub fn name(self) -> &'static str {
        match self {
            SchedulerInvariant::LowestTierShedFirst => "lowest_tier_shed_first",
            SchedulerInvariant::SlotsRespected => "slots_respected",
            SchedulerInvariant::DispatchedOnce => "dispatched_once",
            SchedulerInvariant::InServiceOnly => "in_service_only",
            SchedulerInvariant::BeforeDeadline => "before_deadline",
            SchedulerInvariant::ColdShare => "cold_share",
            SchedulerInvariant::FloorRespected => "floor_respected",
            SchedulerInvariant::SuspectAlone => "suspect_alone",
            SchedulerInvariant::BuildKept => "build_kept",
            SchedulerInvariant::CountersBalanced => "counters_balanced",
        }
    }
}

/// Violations counted since the start of the process.
#[derive(Debug, Clone)]
pub struct InvariantCounters {
    violations: [u64; SchedulerInvariant::ALL.len()],
    strict: bool,
}

impl Default for InvariantCounters {
    /// Strict in debug builds, so that a test stops at the first violation.
    fn default() -> InvariantCounters {
        InvariantCounters {
            violations: [0; SchedulerInvariant::ALL.len()],
            strict: cfg!(debug_assertions),
        }
    }
}

impl InvariantCounters {
    /// Sets whether a violation panics instead of being logged.
    pub fn set_strict(&mut self, strict: bool) {
        self.strict = strict;
    }

    /// Counts and logs a violation unless `holds`.
    pub fn check<D>(&mut self, invariant: SchedulerInvariant, holds: bool, detail: D)
    where
        D: FnOnce() -> String,
    {
        if holds {
            return;
        }
        self.violations[invariant as usize] += 1;
        let detail = detail();
        assert!(!self.strict, "invariant {} violated: {detail}", invariant.name());
        tracing::error!(invariant = invariant.name(), detail, "invariant violated");
    }

    /// Name and number of violations of each invariant.
    pub fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        SchedulerInvariant::ALL
            .iter()
            .map(|invariant| (invariant.name(), self.violations[*invariant as usize]))
    }

    /// Number of all violations.
    pub fn total(&self) -> u64 {
        self.violations.iter().sum()
    }
}
