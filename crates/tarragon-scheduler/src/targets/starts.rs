//! Limits on the requests that this process starts at a target: per second, since a cold target crashes if
//! more are started in a second than it can take, however few run concurrently; and to those for which there
//! is a permit, at a target that has named the rate that it accepts.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Sliding window of the limit: it holds for any second, wherever it begins.
const LIMIT_WINDOW: Duration = Duration::from_secs(1);

/// Most permits that are kept, so that a very high rate takes little memory.
const MAX_PERMITS: usize = 1_024;

/// When starts at a service will be permitted, if all of its targets need permits or none has a slot for this
/// process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartForecast {
    /// The next permit.
    pub next: Instant,
    /// Mean time between permits; zero if any number of requests may start from then on.
    pub interval: Duration,
}

impl StartForecast {
    /// Number of requests that delay a start, if so many others go first.
    pub fn delaying(&self, ahead: usize) -> usize {
        if self.interval.is_zero() { 0 } else { ahead }
    }

    /// When a request may start before which so many others take permits, if there are `permits` now.
    pub fn start(&self, ahead: usize, permits: usize, now: Instant) -> Instant {
        let Some(ahead) = ahead.checked_sub(permits) else { return now };
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.next.max(now) + self.interval.saturating_mul(ahead)
    }
}

/// Recent starts at a target and their limits.
#[derive(Debug, Clone, Default)]
pub struct StartLimit {
    limit: Option<u32>,
    recent: VecDeque<Instant>,
    /// When the permits for starts expire, the earliest first; `None` if starts need no permit.
    permits: Option<VecDeque<Instant>>,
}

impl StartLimit {
    /// Sets the limit. Starts before the call count too.
    pub fn set_limit(&mut self, limit: Option<u32>) {
        self.limit = limit;
    }

    /// Whether the limit leaves this process no start at all.
    pub fn is_barred(&self) -> bool {
        self.limit == Some(0)
    }

    /// Sets whether starts need permits. Permits from before are void.
    pub fn set_paced(&mut self, paced: bool) {
        self.permits = paced.then(VecDeque::new);
    }

    /// Adds permits, if starts need them.
    pub fn permit(&mut self, count: u32, until: Instant, now: Instant) {
        let Some(permits) = &mut self.permits else { return };
        permits.retain(|expiry| now < *expiry);
        let position = permits.partition_point(|expiry| *expiry <= until);
        let free = MAX_PERMITS.saturating_sub(permits.len());
        for _ in 0..free.min(count as usize) {
            permits.insert(position, until);
        }
    }

    /// Number of permits that can be used.
    pub fn permits(&self, now: Instant) -> usize {
        let permits = self.permits.iter().flatten();
        permits.filter(|expiry| now < **expiry).count()
    }

    /// Records a start, and takes a permit for it.
    pub fn record(&mut self, now: Instant) {
        if let Some(permits) = &mut self.permits {
            permits.retain(|expiry| now < *expiry);
            permits.pop_front();
        }
        while self.recent.front().is_some_and(|start| !is_recent(*start, now)) {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
    }

    /// Whether one more request may be started.
    pub fn allows(&self, now: Instant) -> bool {
        let permitted = |permits: &VecDeque<Instant>| permits.back().is_some_and(|end| now < *end);
        if !self.permits.as_ref().is_none_or(permitted) {
            return false;
        }
        let Some(limit) = self.limit else { return true };
        let recent = self.recent.iter().rev().take_while(|start| is_recent(**start, now)).count();
        recent < limit as usize
    }
}

fn is_recent(start: Instant, now: Instant) -> bool {
    now.saturating_duration_since(start) < LIMIT_WINDOW
}
