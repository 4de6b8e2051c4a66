//! Inputs of a running process.

use tarragon_cluster::{codec::decode_digest, signing::SignedMessage};
use tarragon_node::prelude::*;
use tarragon_protocol::peer::PeerAnnouncement;

use super::World;
use crate::soak::message::{AnswerSink, SendingId, VmMessage};

impl World {
    pub(super) fn take_input(&mut self, vm: usize, message: VmMessage) {
        match message {
            VmMessage::Request(sending) => self.take_request(vm, sending),
            VmMessage::CallerGone(sending) => self.caller_gone(vm, sending),
            VmMessage::Gossip(bytes) => {
                let Some((_, text)) = self.open_sealed(vm, &bytes) else { return };
                let digest = decode_digest(&text).expect("the sender wrote it");
                self.feed(vm, NodeEvent::Cluster(ClusterEvent::GossipReceived(digest)));
            }
            VmMessage::Announcement(bytes) => {
                let Some((peer, text)) = self.open_sealed(vm, &bytes) else { return };
                let announcement: PeerAnnouncement =
                    serde_json::from_str(&text).expect("the sender wrote it");
                let event = ClusterEvent::AnnouncementReceived(peer, announcement);
                self.feed(vm, NodeEvent::Cluster(event));
            }
            VmMessage::PeerFailed(peer) => {
                self.feed(vm, NodeEvent::Cluster(ClusterEvent::PeerUnreachable(peer)));
            }
            VmMessage::Pull(id, base) => self.serve_pull(vm, id, base),
            VmMessage::PullList(id, base) => self.serve_list_pull(vm, id, base),
            VmMessage::ListTransfer(peer, bytes) => self.take_list_transfer(vm, peer, &bytes),
            VmMessage::Transfer(peer, bytes) => self.take_transfer(vm, peer, &bytes),
            VmMessage::Borrow(id, target) => self.serve_borrow(vm, id, target),
            VmMessage::Borrowed(peer, target, grant) => {
                let event = ClusterEvent::BorrowAnswered(peer, target, grant);
                self.feed(vm, NodeEvent::Cluster(event));
            }
            VmMessage::SlotReturned(grant) => self.take_back(vm, &grant),
            VmMessage::Platform(read, answer) => {
                let event = ClusterEvent::PlatformAnswered(read, answer);
                self.feed(vm, NodeEvent::Cluster(event));
            }
            VmMessage::Polled(target, report, state, events) => {
                if let Some(state) = state {
                    self.observer.report_heard(self.now, vm, &target, state);
                }
                self.take_cache_events(vm, &target, events);
                self.feed(vm, NodeEvent::Cluster(ClusterEvent::TargetPolled(target, report)));
            }
            VmMessage::Connected(key, target, listens) => self.connected(key, target, listens),
            VmMessage::Progress(key, figures) => self.progress(key, figures),
            VmMessage::Ended(key, end, answer) => self.end_attempt(key, end, answer),
            VmMessage::RunTicket(id, sending, bytes) => self.run_ticket(vm, id, sending, &bytes),
            VmMessage::TicketAnswered(sending, answer) => self.ticket_answered(vm, sending, answer),
            VmMessage::Relayed(id, sending, remaining) => {
                self.accept(vm, sending, AnswerSink::Peer(id), remaining)
            }
            VmMessage::RelayAnswered(request, answer) => self.relay_answered(vm, request, answer),
            VmMessage::Handover(id, bytes) => self.take_handover(vm, id, &bytes),
            VmMessage::HandoverAnswered(peer, owners, successor, answered) => {
                self.handover_answered(vm, &peer, owners, successor, answered)
            }
        }
    }

    fn take_request(&mut self, vm: usize, sending: SendingId) {
        self.journal.note(self.now, format_args!("vm{vm} takes sending {sending}"));
        let sink = AnswerSink::Caller(sending);
        let remaining = self.sending(sending).remaining;
        if self.sending(sending).ticket.is_some() {
            self.take_ticketed(vm, sending, sink, remaining);
        } else {
            self.accept(vm, sending, sink, remaining);
        }
    }

    /// Verifies a message. A repeated one is dropped.
    fn open_sealed(&mut self, vm: usize, bytes: &[u8]) -> Option<(PeerIdentity, String)> {
        let message: SignedMessage = serde_json::from_slice(bytes).expect("the sender wrote it");
        let process = self.vms[vm].process.as_mut()?;
        let peer = process.seal.verify(&message).ok()?;
        Some((peer, message.payload))
    }

    fn take_cache_events(
        &mut self,
        vm: usize,
        target: &TargetName,
        events: Vec<tarragon_protocol::engine::CacheEvent>,
    ) {
        let Some(last) = events.last().map(|event| event.sequence) else { return };
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        process.cache_seen.insert(target.clone(), last);
        let event = SchedulerEvent::CacheReported(target.clone(), events);
        self.feed(vm, NodeEvent::Scheduler(event));
    }
}
