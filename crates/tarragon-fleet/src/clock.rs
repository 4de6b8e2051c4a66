//! A clock that the processes of the fleet share without reading the time of day, which may jump.

use std::time::{Duration, Instant};

/// Longest time that is taken over from peers: ten years.
const LONGEST_TIME: Duration = Duration::from_secs(10 * 365 * 24 * 3_600);

/// Clock of one process. It runs at the speed of the monotonic clock and is set forward to that of any peer
/// that is ahead, so that all clocks agree to within the time that a digest takes.
#[derive(Debug, Clone, Copy)]
pub struct FleetClock {
    started: Instant,
    /// Time on the fleet's clock at the start of this process.
    offset: Duration,
}

impl FleetClock {
    /// A clock that has met no other and starts at zero.
    pub fn new(now: Instant) -> FleetClock {
        FleetClock { started: now, offset: Duration::ZERO }
    }

    /// Time on the fleet's clock.
    pub fn time(&self, now: Instant) -> Duration {
        self.offset + now.saturating_duration_since(self.started)
    }

    /// Sets the clock forward to that of a peer, if that is ahead. Times that no fleet reaches are ignored.
    pub fn advance(&mut self, peer_time: Duration, now: Instant) {
        if peer_time <= LONGEST_TIME {
            self.offset += peer_time.saturating_sub(self.time(now));
        }
    }

    /// Sets the clock forward by a time for which the machine was suspended, which the monotonic clock doesn't
    /// count.
    pub fn add_suspended(&mut self, suspended: Duration) {
        self.offset += suspended;
    }
}
