//! Checks of invariants, also in release builds. A violation is counted and logged; in debug builds, and
//! after [`panic_on_violation`], it also panics, so that a test or a randomised run ends where the fault
//! is.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Properties of the cluster that must hold at every change of state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// The version of the active configuration never decreases.
    ConfigurationVersionRises,
    /// The record of a ticket never leaves a final state.
    FinalRecordStays,
    /// A sealed, expired or finished ticket is never started.
    SealedTicketStaysUnused,
    /// A call whose bytes may have been written is never written again or reported as not run.
    WrittenAtMostOnce,
    /// Own slots and lent slots at a target stay within this process's share.
    SlotsWithinShare,
    /// A process that has frozen its records starts no call.
    FrozenStartsNothing,
}

impl Invariant {
    /// All invariants, in the order of their counters.
    pub const ALL: [Invariant; 6] = [
        Invariant::ConfigurationVersionRises,
        Invariant::FinalRecordStays,
        Invariant::SealedTicketStaysUnused,
        Invariant::WrittenAtMostOnce,
        Invariant::SlotsWithinShare,
        Invariant::FrozenStartsNothing,
    ];

    /// Name in metrics, logs and `docs/invariants.md`.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::ConfigurationVersionRises => "configuration_version_rises",
            Invariant::FinalRecordStays => "final_record_stays",
            Invariant::SealedTicketStaysUnused => "sealed_ticket_stays_unused",
            Invariant::WrittenAtMostOnce => "written_at_most_once",
            Invariant::SlotsWithinShare => "slots_within_share",
            Invariant::FrozenStartsNothing => "frozen_starts_nothing",
        }
    }
}

static VIOLATIONS: [AtomicU64; Invariant::ALL.len()] =
    [const { AtomicU64::new(0) }; Invariant::ALL.len()];
static PANIC_ON_VIOLATION: AtomicBool = AtomicBool::new(cfg!(debug_assertions));

/// Makes a violation panic in release builds too, for randomised runs.
pub fn panic_on_violation() {
    PANIC_ON_VIOLATION.store(true, Ordering::Relaxed);
}

/// Counts, logs and possibly panics if the condition does not hold. Returns the condition.
pub fn check_invariant<Detail>(invariant: Invariant, condition: bool, detail: Detail) -> bool
where
    Detail: FnOnce() -> String,
{
    if !condition {
        VIOLATIONS[invariant as usize].fetch_add(1, Ordering::Relaxed);
        let detail = detail();
        tracing::error!(invariant = invariant.name(), detail, "an invariant is violated");
        if PANIC_ON_VIOLATION.load(Ordering::Relaxed) {
            panic!("invariant {} is violated: {detail}", invariant.name());
        }
    }
    condition
}

/// Violations since the start of the process, by name.
pub fn violations() -> Vec<(&'static str, u64)> {
    Invariant::ALL
        .into_iter()
        .map(|invariant| (invariant.name(), VIOLATIONS[invariant as usize].load(Ordering::Relaxed)))
        .collect()
}
