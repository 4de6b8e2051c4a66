//! Announcements to peers during shutdown.

use super::*;

impl Cluster {
    pub(super) fn start_drain(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.announce(now, PeerAnnouncement::Draining, actions);
        self.update_service(now, actions);
    }

    /// Records the successor of this process, or of one whose records it held, and announces it to all
    /// data centres.
    pub(super) fn share_successor(
        &mut self,
        now: Instant,
        entry: SuccessorEntry,
        actions: &mut Vec<ClusterAction>,
    ) {
        if self.broadcasts.merge_successor(&entry, now) {
            self.announce_everywhere(now, PeerAnnouncement::Successor(entry), actions);
        }
    }
}
