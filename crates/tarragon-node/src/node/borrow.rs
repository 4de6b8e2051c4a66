//! Slots borrowed from peers: requested while requests wait, and returned when they are idle.

use super::*;

/// Time for which a borrowed slot may be idle before it is returned, so that it is not returned between two
/// requests.
const IDLE_BEFORE_RETURN: Duration = Duration::from_secs(2);

/// Slots borrowed at one target.
#[derive(Debug, Clone, Copy)]
pub(super) struct BorrowedSlots {
    count: u32,
    /// Last time at which all slots at the target were in use.
    last_busy: Instant,
}

impl Node {
    /// Records a received slot grant.
    pub(super) fn record_grant(&mut self, now: Instant, target: &TargetName) {
        let borrowed = self
            .borrowed
            .entry(target.clone())
            .or_insert(BorrowedSlots { count: 0, last_busy: now });
        borrowed.count += 1;
        borrowed.last_busy = now;
    }

    /// Requests slots at targets for which requests wait, and returns idle ones.
    pub(super) fn balance_slots(&mut self, now: Instant, actions: &mut Vec<NodeAction>) {
        if !self.draining {
            for target in self.scheduler.targets_needing_slots(now) {
                self.coordinate(now, ClusterEvent::SlotNeeded(target), actions);
            }
        }
        let mut idle = Vec::new();
        for (target, borrowed) in &mut self.borrowed {
            let in_use = self.scheduler.slot_usage(target);
            if in_use.is_some_and(|slots| slots.in_flight >= slots.slots) {
                borrowed.last_busy = now;
            } else if now.saturating_duration_since(borrowed.last_busy) >= IDLE_BEFORE_RETURN {
                idle.push(target.clone());
            }
        }
        for target in idle {
            self.return_slot(now, target, actions);
        }
    }

    fn return_slot(&mut self, now: Instant, target: TargetName, actions: &mut Vec<NodeAction>) {
        if let Some(borrowed) = self.borrowed.get_mut(&target) {
            borrowed.count -= 1;
            if borrowed.count == 0 {
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
        // Requests that wait here take precedence over those of the peer.
        if self.draining || self.scheduler.targets_needing_slots(now).contains(target) {
            return None;
        }
        let in_use = self.scheduler.slot_usage(target).map_or(0, |slots| slots.in_flight);
        let mut cluster_actions = Vec::new();
        let grant = self.cluster.grant_slot(now, borrower, target, in_use, &mut cluster_actions);
        for action in cluster_actions {
            self.apply_cluster_action(now, action, actions);
        }
        grant
    }

    /// Accepts a lent slot that its borrower returns.
    pub fn accept_returned_slot(
        &mut self,
        now: Instant,
        grant: u64,
        actions: &mut Vec<NodeAction>,
    ) {
        let mut cluster_actions = Vec::new();
        self.cluster.accept_return(now, grant, &mut cluster_actions);
        for action in cluster_actions {
            self.apply_cluster_action(now, action, actions);
        }
    }
}
