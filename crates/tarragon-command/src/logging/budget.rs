//! A bound on the lines that a process logs in a second. Failures have a budget of their own, so that a flood
//! of plain events never hides them.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::Instant;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Filter};

/// Lines a second for plain events and for failures. A line costs some ten microseconds, so that both
/// together stay within one percent of a core.
const PLAIN_LINES: u32 = 400;
const FAILURE_LINES: u32 = 400;
const INTERVAL: Duration = Duration::from_secs(1);

/// Lines of the present second.
#[derive(Debug)]
struct BudgetState {
    since: Instant,
    plain: u32,
    failures: u32,
    /// Lines left out in this second.
    dropped: u32,
}

/// A filter that lets a bounded number of events through.
#[derive(Debug)]
pub(super) struct LineBudget {
    state: Mutex<BudgetState>,
}

impl Default for LineBudget {
    fn default() -> LineBudget {
        let state = BudgetState { since: Instant::now(), plain: 0, failures: 0, dropped: 0 };
        LineBudget { state: Mutex::new(state) }
    }
}

impl LineBudget {
    /// Whether one more event of a level may be written now.
    fn take(&self, level: Level, now: Instant) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_duration_since(state.since) >= INTERVAL {
            // Standard error, since a line about lost lines must not be lost with them.
            if state.dropped > 0 {
                eprintln!(
                    "{{\"level\":\"WARN\",\"message\":\"log lines were left out\",\"lines\":{}}}",
                    state.dropped
                );
            }
            *state = BudgetState { since: now, plain: 0, failures: 0, dropped: 0 };
        }
        let (used, limit) = if level <= Level::WARN {
            (&mut state.failures, FAILURE_LINES)
        } else {
            (&mut state.plain, PLAIN_LINES)
        };
        let allowed = *used < limit;
        if allowed {
            *used += 1;
        } else {
            state.dropped += 1;
        }
        allowed
    }
}

impl<S> Filter<S> for LineBudget
where
    S: Subscriber,
{
    fn enabled(&self, _metadata: &Metadata<'_>, _context: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _context: &Context<'_, S>) -> bool {
        self.take(*event.metadata().level(), Instant::now())
    }
}
