//! Non-idempotent calls: connects the ticket table with the scheduler, which knows the calls by request id.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tarragon_cluster::{
    key::PeerKeys,
    ticket::{
        AbandonDecision, CallBinding, Ticket, TicketDecision, TicketEnd, TicketLimits,
        TicketStatus, TicketTable, TicketUse, WriteDecision, decision::TicketDump,
    },
};
use tarragon_protocol::identity::TicketSequence;

use crate::prelude::*;

/// Time between two deletions of old records.
const PURGE_INTERVAL: Duration = Duration::from_secs(5);

/// A call with a ticket that is queued or dispatched.
#[derive(Debug, Clone, Copy)]
struct OpenCall {
    sequence: TicketSequence,
    /// Number of the last attempt that was written, unless it is known not to have run.
    written: Option<AttemptNumber>,
}

/// The ticket table, with the request id of each of its calls that is queued or dispatched.
pub(super) struct TicketCalls {
    pub(super) table: TicketTable,
    pub(super) keys: PeerKeys,
    open: IndexMap<RequestId, OpenCall>,
    next_purge: Duration,
}

impl TicketCalls {
    pub(super) fn new(identity: PeerIdentity, peer_address: String, keys: PeerKeys) -> TicketCalls {
        TicketCalls {
            table: TicketTable::new(identity, peer_address, TicketLimits::default()),
            keys,
            open: IndexMap::new(),
            next_purge: Duration::ZERO,
        }
    }

    pub(super) fn purge(&mut self, boot: Duration) {
        if boot >= self.next_purge {
            self.table.purge(boot);
            self.next_purge = boot + PURGE_INTERVAL;
        }
    }

    pub(super) fn is_open(&self, request: RequestId) -> bool {
        self.open.contains_key(&request)
    }

    /// Records that the request's last attempt did not run, so that another one may be written.
    pub(super) fn attempt_not_run(&mut self, request: RequestId) {
        if let Some(call) = self.open.get_mut(&request)
            && let Some(attempt) = call.written.take()
        {
            self.table.attempt_not_run(call.sequence, attempt);
        }
    }

    fn request_of(&self, sequence: TicketSequence) -> Option<RequestId> {
        self.open.iter().find(|(_, call)| call.sequence == sequence).map(|(request, _)| *request)
    }

    /// Records the final answer of a request's call.
    pub(super) fn finish(
        &mut self,
        request: RequestId,
        answer: TicketAnswer,
        boot: Duration,
        actions: &mut Vec<NodeAction>,
    ) {
        let Some(call) = self.open.swap_remove(&request) else { return };
        let end = self.table.finish(call.sequence, answer, boot);
        actions.extend(end.map(ticket_resolved));
    }
}

fn ticket_resolved(end: TicketEnd) -> NodeAction {
    NodeAction::TicketResolved { sequence: end.sequence, answer: end.answer }
}

impl Node {
    /// Issues a ticket of this process, as text. Returns `None` while the process is shutting down.
    pub fn issue_ticket(&mut self, boot: Duration) -> Option<String> {
        if self.draining {
            return None;
        }
        Some(self.tickets.table.issue(boot).to_text(&self.tickets.keys))
    }

    /// Parses a ticket and verifies that this deployment issued it.
    pub fn read_ticket(&self, text: &str) -> Option<Ticket> {
        Ticket::from_text(text, &self.tickets.keys).ok()
    }

    /// Decides how to proceed with a call that came with a ticket. The call is queued if it has to be run here.
    pub fn present_ticket(
        &mut self,
        now: Instant,
        boot: Duration,
        ticket: &Ticket,
        call: TicketCall,
        actions: &mut Vec<NodeAction>,
    ) -> TicketStart {
        let request = call.profile.request;
        let remaining = call.profile.deadline.saturating_duration_since(now);
        let ticket_use = TicketUse {
            ticket,
            binding: call.binding,
            deadline: boot + remaining,
            waiter: request,
            answer_limit: call.answer_limit,
            forwarded: call.forwarded,
            successor: self.cluster.successor_of(&ticket.owner),
        };
        match self.tickets.table.present(boot, &ticket_use) {
            TicketDecision::Forward(peer) => TicketStart::Forward(peer),
            TicketDecision::Join(sequence) => TicketStart::Joined(sequence),
            TicketDecision::Answer(answer) => TicketStart::Answered(answer),
            TicketDecision::Mismatch => TicketStart::Mismatch,
            TicketDecision::Start(sequence) => {
                self.tickets.open.insert(request, OpenCall { sequence, written: None });
                self.accept_request(now, Box::new(call.profile), actions);
                TicketStart::Started(sequence)
            }
        }
    }

    /// The ticket's part of the check before the first byte of a non-idempotent call is written. If it returns
    /// false, nothing may be written, and the attempt ends as [`AttemptEnd::Withheld`].
    pub fn may_write(
        &mut self,
        request: RequestId,
        boot: Duration,
        actions: &mut Vec<NodeAction>,
    ) -> bool {
        let Some(call) = self.tickets.open.get_mut(&request) else { return false };
        match self.tickets.table.may_write(call.sequence, boot) {
            WriteDecision::Write(attempt) => {
                call.written = Some(attempt);
                true
            }
            WriteDecision::Withhold(end) => {
                actions.extend(end.map(ticket_resolved));
                false
            }
        }
    }

    /// Records the answer of a non-idempotent call.
    pub fn finish_ticket(
        &mut self,
        request: RequestId,
        answer: TicketAnswer,
        boot: Duration,
        actions: &mut Vec<NodeAction>,
    ) {
        self.tickets.finish(request, answer, boot, actions);
    }

    /// Records that a relayed call did not reach the peer or was not dispatched there.
    pub fn relay_not_run(&mut self, request: RequestId) {
        self.tickets.attempt_not_run(request);
    }

    /// Handles the disconnection of a caller that waited for a ticket's call. If no other caller waits for
    /// it, a queued call is sealed and removed from the queue; a dispatched one continues, so that a repeat
    /// of the call can get its answer.
    pub fn abandon_ticket(
        &mut self,
        now: Instant,
        boot: Duration,
        sequence: TicketSequence,
        waiter: RequestId,
        actions: &mut Vec<NodeAction>,
    ) {
        if self.tickets.table.abandon(sequence, waiter, boot) != AbandonDecision::Sealed {
            return;
        }
        if let Some(request) = self.tickets.request_of(sequence) {
            self.tickets.open.swap_remove(&request);
            self.schedule(now, SchedulerEvent::Disconnected(request), actions);
        }
    }

    /// Status of a ticket, to answer a peer's query.
    pub fn ticket_status(&self, ticket: &Ticket) -> TicketStatus {
        self.tickets.table.query(ticket)
    }

    /// Number of non-idempotent calls without a final answer.
    pub fn open_tickets(&self) -> usize {
        self.tickets.table.running()
    }

    /// Permanently stops the dispatch of non-idempotent calls and returns the records for the successor:
    /// those of this process and those adopted from other processes.
    pub fn freeze_tickets(
        &mut self,
        boot: Duration,
        actions: &mut Vec<NodeAction>,
    ) -> Vec<HandoverMessage> {
        let mut messages = vec![self.tickets.table.freeze(boot)];
        messages.extend(self.tickets.table.adopted_messages(boot));
        actions.extend(self.tickets.table.take_ended().into_iter().map(ticket_resolved));
        messages
    }

    /// Takes over the records of a process that has frozen them. Returns false if there is no room or this
    /// process is itself about to end.
    pub fn adopt_tickets(&mut self, message: &HandoverMessage, boot: Duration) -> bool {
        match self.tickets.table.adopt(message, boot) {
            Ok(()) => {
                let settings = self.cluster.settings();
                self.adoptions.push(SuccessorEntry {
                    owner: message.owner.clone(),
                    successor: settings.identity.clone(),
                    peer_address: settings.peer_address.clone(),
                    age_ms: 0,
                });
                true
            }
            Err(fault) => {
                tracing::warn!(owner = %message.owner.vm, ?fault, "refused the ticket records of a peer");
                false
            }
        }
    }

    /// Announces to peers which records were taken over since the last tick. The process that handed them over
    /// may have ended before its own announcement reached all peers.
    pub(super) fn announce_adoptions(&mut self, now: Instant, actions: &mut Vec<NodeAction>) {
        for entry in std::mem::take(&mut self.adoptions) {
            self.coordinate(now, ClusterEvent::HandoverCompleted(entry), actions);
        }
    }

    /// Dump of the ticket table.
    pub fn ticket_dump(&self) -> TicketDump {
        self.tickets.table.dump()
    }
}

/// Hash that binds a ticket to its call.
pub fn call_binding(
    workspace: &str,
    service: &str,
    call: &tarragon_protocol::peer::PlainCall,
) -> CallBinding {
    CallBinding::of(workspace, service, call)
}
