//! What the observer knows of one process and of one time of shedding.

use std::time::Duration;

use indexmap::IndexMap;
use tarragon_protocol::prelude::ConfigurationVersion;

/// What the observer knows of the process on a VM.
#[derive(Debug, Clone)]
pub(super) struct ProcessView {
    /// Data centre.
    pub(super) home: usize,
    /// Whether the process runs.
    pub(super) running: bool,
    /// Whether the process is paused.
    pub(super) paused: bool,
    /// Since when nothing impairs the process.
    pub(super) clear_since: Duration,
    /// When the process was last impaired.
    pub(super) impaired: Option<Duration>,
    /// Version in force.
    pub(super) version: ConfigurationVersion,
    /// Data centres that are out by the version in force, with the time when it was put in force.
    pub(super) applied_out: IndexMap<usize, Duration>,
}

impl ProcessView {
    /// A process that has not started.
    pub(super) fn new(home: usize) -> ProcessView {
        ProcessView {
            home,
            running: false,
            paused: false,
            clear_since: Duration::ZERO,
            impaired: None,
            version: 0,
            applied_out: IndexMap::new(),
        }
    }

    /// Whether the process was impaired within this time.
    pub(super) fn impaired_after(&self, now: Duration, time: Duration) -> bool {
        self.impaired.is_some_and(|impaired| impaired + time >= now)
    }
}

/// A time in which a data centre sheds a tier without a longer gap.
#[derive(Debug, Clone, Copy)]
pub(super) struct ShedRun {
    /// First refusal.
    pub(super) began: Duration,
    last: Duration,
}

impl ShedRun {
    /// A run that starts with one refusal.
    pub(super) fn starting(now: Duration) -> ShedRun {
        ShedRun { began: now, last: now }
    }

    /// Adds a refusal; after a long gap a new run begins.
    pub(super) fn extend(&mut self, now: Duration, gap: Duration) {
        if now > self.last + gap {
            self.began = now;
        }
        self.last = now;
    }

    /// Whether the run has lasted at least this long and still goes on.
    pub(super) fn lasts(&self, now: Duration, time: Duration, gap: Duration) -> bool {
        now > self.began + time && now <= self.last + gap
    }
}
