//! Clocks that the runtime does not offer: the boot clock, which counts suspended time, and the
//! calendar time for the `created` field of answers.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Source of the boot clock.
pub trait BootClock: Clone + Send + Sync + 'static {
    /// Time since the machine started, with the time that it was suspended.
    fn boot(&self) -> Duration;
    /// Seconds since 1970.
    fn unix_seconds(&self) -> u64;
}

/// The machine's clocks.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl BootClock for SystemClock {
    fn boot(&self) -> Duration {
        read_clock(ClockId::Boottime)
    }

    fn unix_seconds(&self) -> u64 {
        read_clock(ClockId::Realtime).as_secs()
    }
}

/// A clock that follows the runtime's clock, which tests can pause and advance.
#[derive(Debug, Clone, Copy)]
pub struct RuntimeClock {
    start: tokio::time::Instant,
}

impl RuntimeClock {
    /// A clock that shows one hour now, so that ages can be subtracted from it.
    pub fn new() -> RuntimeClock {
        RuntimeClock { start: tokio::time::Instant::now() }
    }
}

impl Default for RuntimeClock {
    fn default() -> RuntimeClock {
        RuntimeClock::new()
    }
}

/// What a [`RuntimeClock`] shows at its creation.
const RUNTIME_CLOCK_START: Duration = Duration::from_secs(3_600);

impl BootClock for RuntimeClock {
    fn boot(&self) -> Duration {
        RUNTIME_CLOCK_START + self.start.elapsed()
    }

    fn unix_seconds(&self) -> u64 {
        self.boot().as_secs()
    }
}

/// The clock that a process uses.
#[derive(Debug, Clone, Copy)]
pub enum ProcessClock {
    /// The machine's clocks.
    System(SystemClock),
    /// The runtime's clock, for tests.
    Runtime(RuntimeClock),
}

impl BootClock for ProcessClock {
    fn boot(&self) -> Duration {
        match self {
            ProcessClock::System(clock) => clock.boot(),
            ProcessClock::Runtime(clock) => clock.boot(),
        }
    }

    fn unix_seconds(&self) -> u64 {
        match self {
            ProcessClock::System(clock) => clock.unix_seconds(),
            ProcessClock::Runtime(clock) => clock.unix_seconds(),
        }
    }
}

/// The time of the runtime's clock, as the state machines take it.
pub fn now() -> std::time::Instant {
    tokio::time::Instant::now().into_std()
}

fn read_clock(id: ClockId) -> Duration {
    let time = clock_gettime(id);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::from_secs(seconds) + Duration::from_nanos(u64::try_from(time.tv_nsec).unwrap_or(0))
}
