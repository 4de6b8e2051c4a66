//! The check right before the first byte of an attempt goes out.

use super::*;

/// Gap of the boot clock between two ticks that shows that the process was paused.
pub(super) const PAUSE_GAP: Duration = Duration::from_secs(3);

/// Longest time after a pause for which writes wait for news from a peer. A process without reachable
/// peers then goes on with what it knows.
pub(super) const PAUSE_HOLD: Duration = Duration::from_secs(2);

/// Whether the first byte of an attempt may be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCheck {
    /// Write now.
    Write,
    /// The process was paused and has not heard what happened since: ask again in 100 ms.
    Wait,
    /// The target is out of service: end the attempt as [`AttemptEnd::NotSent`].
    OutOfService,
    /// The deadline has passed or the ticket does not allow it: end the attempt as
    /// [`AttemptEnd::Withheld`].
    Withhold,
}

impl Node {
    /// Decides whether an attempt may be written. To be called right before the first byte; `boot` must be
    /// read after the connection is ready, since that can take long.
    pub fn check_write(
        &mut self,
        request: RequestId,
        target: &TargetName,
        boot: Duration,
        actions: &mut Vec<NodeAction>,
    ) -> WriteCheck {
        if self.holds_writes(boot) {
            return WriteCheck::Wait;
        }
        if self.targets.get(target) != Some(&true) {
            return WriteCheck::OutOfService;
        }
        if self.tickets.is_open(request) && !self.may_write(request, boot, actions) {
            return WriteCheck::Withhold;
        }
        WriteCheck::Write
    }

    /// Whether the process was paused and has neither heard a peer nor waited long enough since. A paused
    /// task can reach its write before the tick that notices the pause.
    fn holds_writes(&self, boot: Duration) -> bool {
        let unnoticed = boot.saturating_sub(self.boot) > PAUSE_GAP;
        unnoticed || self.hold_until.is_some_and(|until| boot < until)
    }

    /// Notes the boot clock of a tick.
    pub(super) fn observe_boot(&mut self, boot: Duration) {
        let gap = boot.saturating_sub(self.boot);
        if gap > PAUSE_GAP && self.boot != Duration::ZERO {
            self.hold_until = Some(boot + PAUSE_HOLD);
        }
        self.boot = boot;
    }
}
