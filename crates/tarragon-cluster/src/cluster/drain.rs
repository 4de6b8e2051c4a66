//! Shutdown: what peers are told.

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

    /// Notes a successor, of this process or of one whose records it held, and tells all data centres.
    pub(super) fn note_handover(
        &mut self,
        now: Instant,
        entry: SuccessorEntry,
        actions: &mut Vec<ClusterAction>,
    ) {
        if self.news.take_successor(&entry, now) {
            self.announce_everywhere(now, PeerAnnouncement::Successor(entry), actions);
        }
    }
}
