//! Load reports that lag behind the engine.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use tarragon_protocol::prelude::*;

/// Past reports, kept for the lag.
#[derive(Debug)]
pub(crate) struct ReportHistory {
    lag: Duration,
    reports: VecDeque<(Instant, LoadReport)>,
}

impl ReportHistory {
    pub(crate) fn new(lag: Duration) -> ReportHistory {
        ReportHistory { lag, reports: VecDeque::new() }
    }

    /// Adds the current state.
    pub(crate) fn push(&mut self, report: LoadReport, now: Instant) {
        self.reports.push_back((now, report));
        self.drop_old(now);
    }

    /// Forgets everything, as a restart does.
    pub(crate) fn clear(&mut self) {
        self.reports.clear();
    }

    /// The newest report that is at least as old as the lag, with its true age; the oldest one right
    /// after the start.
    pub(crate) fn lagging(&mut self, now: Instant) -> Option<LoadReport> {
        self.drop_old(now);
        let (at, report) = self.reports.front()?;
        let age = now.saturating_duration_since(*at).as_millis();
        let lag_ms = u64::try_from(age).unwrap_or(u64::MAX);
        let last_order_age_ms = report.last_order_age_ms.map(|age| age.saturating_add(lag_ms));
        Some(LoadReport { lag_ms, last_order_age_ms, ..report.clone() })
    }

    fn drop_old(&mut self, now: Instant) {
        while self.reports.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.reports.pop_front();
        }
    }
}
