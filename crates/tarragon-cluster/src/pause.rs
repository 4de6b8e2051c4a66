//! Detects pauses of this process by the boot clock, which also counts the time while the VM is
//! suspended.

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
    /// Records the boot clock of a tick. Returns the gap if the process was paused.
    pub fn observe(&mut self, boot: Duration) -> Option<Duration> {
        let last = self.last.replace(boot)?;
        let gap = boot.saturating_sub(last);
        if gap <= PAUSE_LIMIT {
            return None;
        }
        self.pauses += 1;
        Some(gap)
    }

    /// Number of pauses so far.
    pub fn pauses(&self) -> u64 {
        self.pauses
    }
}
