//! Detects that this process did not run for a while, on the boot clock, which counts suspended time.

use std::time::Duration;

/// Gap between two ticks from which the process counts as paused. Ticks come every 100 ms, so this is
/// thirty missed ones, and it is below the 3 s after which peers rely on having been heard.
pub const PAUSE_LIMIT: Duration = Duration::from_secs(3);

/// Watches the gaps between ticks.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last: Option<Duration>,
    pauses: u64,
}

impl PauseDetector {
    /// Takes the boot clock of a tick. Returns the gap if the process was paused.
    pub fn observe(&mut self, boot: Duration) -> Option<Duration> {
        let last = self.last.replace(boot)?;
        let gap = boot.saturating_sub(last);
        if gap <= PAUSE_LIMIT {
            return None;
        }
        self.pauses += 1;
        Some(gap)
    }

    /// Pauses so far.
    pub fn pauses(&self) -> u64 {
        self.pauses
    }
}
