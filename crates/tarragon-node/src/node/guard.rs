//! The check that is made immediately before the first byte of an attempt is written.

use super::*;

/// Time between two ticks, by the boot clock, above which the process is considered to have been paused.
pub(super) const PAUSE_GAP: Duration = Duration::from_secs(3);

/// Maximum time after a pause for which writes wait for gossip from a peer. After it, a process without
/// reachable peers continues with the state that it has.
pub(super) const MAX_WRITE_HOLD: Duration = Duration::from_secs(2);

/// Whether the first byte of an attempt may be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCheck {
    /// The first byte may be written now.
    Write,
    /// The process was paused and has not received current information yet: check again in 100 ms.
    Wait,
    /// The target is out of service: end the attempt as [`AttemptEnd::NotSent`].
    OutOfService,
    /// The deadline has passed or the ticket does not allow the write: end the attempt as
    /// [`AttemptEnd::Withheld`].
    Withhold,
}

impl Node {
    /// Decides whether the first byte of an attempt may be written. Must be called immediately before the
    /// write. `boot` must be read after the connection is ready, since connecting can take long.
    pub fn check_write(
        &mut self,
        request: RequestId,
        target: &TargetName,
        boot: Duration,
        actions: &mut Vec<NodeAction>,
    ) -> WriteCheck {
        if self.must_hold_writes(boot) {
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

    /// Whether the process was paused and since then has neither received gossip nor waited for
    /// [`MAX_WRITE_HOLD`]. After a pause, a task can get to its write before the tick that detects the pause.
    fn must_hold_writes(&self, boot: Duration) -> bool {
        let undetected_pause = boot.saturating_sub(self.boot) > PAUSE_GAP;
        undetected_pause || self.writes_held_until.is_some_and(|until| boot < until)
    }

    /// Updates the boot clock at a tick and holds writes if the process was paused.
    pub(super) fn update_boot_clock(&mut self, boot: Duration) {
        let gap = boot.saturating_sub(self.boot);
        if gap > PAUSE_GAP && self.boot != Duration::ZERO {
            self.writes_held_until = Some(boot + MAX_WRITE_HOLD);
        }
        self.boot = boot;
    }
}
