//! Slots borrowed of peers: asked for while work waits, given back when they are idle.

use super::*;

/// Time for which a borrowed slot may be idle, so that it is not given back between two requests.
const IDLE_BEFORE_RETURN: Duration = Duration::from_secs(2);

/// Borrowed slots at one target.
#[derive(Debug, Clone, Copy)]
pub(super) struct BorrowedUse {
    count: u32,
    /// When all slots at the target were last in use.
    busy: Instant,
}

impl Node {
    /// Notes a grant that arrived.
    pub(super) fn note_grant(&mut self, now: Instant, target: &TargetName) {
        let usage =
            self.borrowed.entry(target.clone()).or_insert(BorrowedUse { count: 0, busy: now });
        usage.count += 1;
        usage.busy = now;
    }

    /// Asks for slots where work waits and gives idle ones back.
    pub(super) fn balance_slots(&mut self, now: Instant, actions: &mut Vec<NodeAction>) {
        if !self.draining {
            for target in self.scheduler.targets_needing_slots(now) {
                self.coordinate(now, ClusterEvent::SlotNeeded(target), actions);
            }
        }
        let mut idle = Vec::new();
        for (target, usage) in &mut self.borrowed {
            let in_use = self.scheduler.slot_usage(target);
            if in_use.is_some_and(|slots| slots.in_flight >= slots.slots) {
                usage.busy = now;
            } else if now.saturating_duration_since(usage.busy) >= IDLE_BEFORE_RETURN {
                idle.push(target.clone());
            }
        }
        for target in idle {
            self.return_slot(now, target, actions);
        }
    }

    fn return_slot(&mut self, now: Instant, target: TargetName, actions: &mut Vec<NodeAction>) {
        if let Some(usage) = self.borrowed.get_mut(&target) {
            usage.count -= 1;
            if usage.count == 0 {
                self.borrowed.swap_remove(&target);
            }
        }
        self.coordinate(now, ClusterEvent::BorrowedSlotReleased(target), actions);
    }

    /// Lends a slot to a peer, if one is idle here.
    pub fn lend_slot(
        &mut self,
        now: Instant,
        borrower: &PeerIdentity,
        target: &TargetName,
        actions: &mut Vec<NodeAction>,
    ) -> Option<SlotGrant> {
        // What waits here goes before the peer's work.
        if self.draining || self.scheduler.targets_needing_slots(now).contains(target) {
            return None;
        }
        let in_use = self.scheduler.slot_usage(target).map_or(0, |slots| slots.in_flight);
        let mut news = Vec::new();
        let grant = self.cluster.grant_slot(now, borrower, target, in_use, &mut news);
        for item in news {
            self.carry_news(now, item, actions);
        }
        grant
    }

    /// Takes a lent slot back from its borrower.
    pub fn accept_returned_slot(
        &mut self,
        now: Instant,
        grant: u64,
        actions: &mut Vec<NodeAction>,
    ) {
        let mut news = Vec::new();
        self.cluster.accept_return(now, grant, &mut news);
        for item in news {
            self.carry_news(now, item, actions);
        }
    }
}
