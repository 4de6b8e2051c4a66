//! Clocks that the runtime does not offer: the boot clock, which counts suspended time, and the
//! calendar time for the `created` field of answers.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

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
#[derive(Debug, Clone)]
pub struct RuntimeClock {
    start: tokio::time::Instant,
    suspended_ms: Arc<AtomicU64>,
}

impl RuntimeClock {
    /// A clock that shows one hour now, so that ages can be subtracted from it.
    pub fn new() -> RuntimeClock {
        RuntimeClock { start: tokio::time::Instant::now(), suspended_ms: Arc::default() }
    }

    /// Moves the boot clock, but not the runtime's clock, as a suspended machine does.
    pub fn suspend(&self, time: Duration) {
        let time = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.suspended_ms.fetch_add(time, Ordering::Relaxed);
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
        let suspended = Duration::from_millis(self.suspended_ms.load(Ordering::Relaxed));
        RUNTIME_CLOCK_START + self.start.elapsed() + suspended
    }

    fn unix_seconds(&self) -> u64 {
        self.boot().as_secs()
    }
}

/// The clock that a process uses.
#[derive(Debug, Clone)]
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
