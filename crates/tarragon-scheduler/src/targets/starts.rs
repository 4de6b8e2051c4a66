//! Limit on the requests that this process starts at a target per second. A cold target crashes if more
//! requests are started in a second than it can take, however few run concurrently.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Sliding window of the limit: it holds for any second, wherever it begins.
const LIMIT_WINDOW: Duration = Duration::from_secs(1);

/// Recent starts at a target and their limit.
#[derive(Debug, Clone, Default)]
pub struct StartLimit {
    limit: Option<u32>,
    recent: VecDeque<Instant>,
}

impl StartLimit {
    /// Sets the limit. Starts before the call count too.
    pub fn set_limit(&mut self, limit: Option<u32>) {
        self.limit = limit;
    }

    /// Records a start.
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
