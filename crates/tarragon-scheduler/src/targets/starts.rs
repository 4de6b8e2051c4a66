//! A bound on the requests that one process starts at a target in a second. A cold target that gets more
//! of them than it bears crashes, however few run at once.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Span that the bound covers: any second, wherever it begins.
const LIMIT_WINDOW: Duration = Duration::from_secs(1);

/// Recent starts at a target and their bound.
#[derive(Debug, Clone, Default)]
pub struct StartLimit {
    limit: Option<u32>,
    recent: VecDeque<Instant>,
}

impl StartLimit {
    /// Sets the bound. Starts before it count too.
    pub fn set_limit(&mut self, limit: Option<u32>) {
        self.limit = limit;
    }

    /// Notes a start.
    pub fn record(&mut self, now: Instant) {
        while self.recent.front().is_some_and(|start| !is_recent(*start, now)) {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
    }

    /// Whether one more request may be started.
    pub fn allows(&self, now: Instant) -> bool {
        let Some(limit) = self.limit else { return true };
        let recent = self.recent.iter().rev().take_while(|start| is_recent(**start, now)).count();
        recent < limit as usize
    }
}

fn is_recent(start: Instant, now: Instant) -> bool {
    now.saturating_duration_since(start) < LIMIT_WINDOW
}
