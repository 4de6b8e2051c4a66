//! Ticketed calls: tickets, the way to their owner, waiting, and the end of the call.

use tarragon_cluster::ticket::CallBinding;
use tarragon_node::prelude::*;
use tarragon_protocol::peer::{ForwardedCall, PlainCall, TicketAnswer};

use super::World;
use crate::soak::{
    message::{AnswerSink, PeerCallId, PeerCallKind, RequestAnswer, SendingId, VmMessage},
    mutation::Mutation,
    target::RunKey,
};

/// Largest answer that is kept for a repeat.
const ANSWER_LIMIT: usize = 64 * 1024;

/// One that waits for the outcome of a ticket.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TicketWaiter {
    /// Request id under which it waits.
    pub(crate) request: RequestId,
    /// Who gets the answer.
    pub(crate) sink: AnswerSink,
    /// Until when it waits.
    pub(crate) deadline: std::time::Duration,
}

impl World {
    /// A ticket of the process on a VM, if it acts.
    pub(super) fn issue_ticket(&mut self, vm: usize) -> Option<String> {
        if !self.vms[vm].acts() {
            return None;
        }
        let boot = self.boot(vm);
        let process = self.vms[vm].process.as_mut()?;
        process.node.issue_ticket(boot)
    }

    /// A call with a ticket arrives at a VM, from a caller or forwarded by a peer.
    pub(super) fn take_ticketed(
        &mut self,
        vm: usize,
        sending: SendingId,
        sink: AnswerSink,
        remaining: std::time::Duration,
    ) {
        let forwarded = matches!(sink, AnswerSink::Peer(_));
        let text = match self.mutation {
            Some(Mutation::RunRepeats) => self.issue_ticket(vm),
            _ => self.sending(sending).ticket.clone(),
        };
        let Some(text) = text else { return };
        let call = self.plain_call(sending);
        let state = self.call_of(sending);
        let binding = CallBinding::of(&state.workspace, &state.service, &call);
        let profile = self.profile(vm, sending, remaining);
        let (request, deadline) = (profile.request, self.now + remaining);
        let (now, boot) = (self.instant(vm), self.boot(vm));
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        let Some(ticket) = process.node.read_ticket(&text) else {
            return self.fault_found(format!("VM {vm} can't read the ticket {text}"));
        };
        let call = TicketCall { binding, profile, answer_limit: ANSWER_LIMIT, forwarded };
        let mut actions = Vec::new();
        let start = process.node.present_ticket(now, boot, &ticket, call, &mut actions);
        self.journal.note(self.now, format_args!("vm{vm} sending {sending} {start:?}"));
        let waiter = TicketWaiter { request, sink, deadline };
        match start {
            TicketStart::Forward(to) => self.forward_ticket(vm, sending, text, &to, remaining),
            TicketStart::Started(sequence) => {
                self.wait_for_ticket(vm, sequence, waiter);
                self.hold(vm, request, sending, AnswerSink::Ticket(sequence), remaining);
            }
            TicketStart::Joined(sequence) => self.wait_for_ticket(vm, sequence, waiter),
            TicketStart::Answered(answer) => self.answer_ticketed(vm, sink, answer),
            TicketStart::Mismatch => {
                let message = "the ticket was used for another call";
                let refusal = Refusal::not_run(RefusalCode::TicketMismatch, message);
                self.answer_ticketed(vm, sink, TicketAnswer::Refused(refusal));
            }
        }
        self.act_all(vm, actions);
    }

    fn plain_call(&self, sending: SendingId) -> PlainCall {
        let call = self.sending(sending).call;
        PlainCall {
            method: "POST".to_owned(),
            path: self.callers.calls[call].plain_path.clone().unwrap_or_default(),
            headers: Vec::new(),
            body: format!("call {call}").into_bytes().into(),
        }
    }

    fn wait_for_ticket(&mut self, vm: usize, sequence: u64, waiter: TicketWaiter) {
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        process.ticket_waiters.entry(sequence).or_default().push(waiter);
    }

    fn forward_ticket(
        &mut self,
        vm: usize,
        sending: SendingId,
        ticket: String,
        to: &PeerAddress,
        remaining: std::time::Duration,
    ) {
        let state = self.call_of(sending);
        let forwarded = ForwardedCall {
            ticket,
            workspace: state.workspace.clone(),
            service: state.service.clone(),
            tier: state.tier,
            remaining_ms: remaining.as_millis() as u64,
            call: self.plain_call(sending),
        };
        let bytes = serde_json::to_vec(&forwarded).expect("a call can be written as JSON");
        if let Some(process) = self.vms[vm].process.as_mut() {
            process.forwards.insert(sending);
        }
        let kind = PeerCallKind::RunTicket(sending);
        self.call_peer(vm, to, kind, |id| VmMessage::RunTicket(id, sending, bytes));
    }

    /// A call arrives at the owner of its ticket.
    pub(super) fn run_ticket(
        &mut self,
        vm: usize,
        id: PeerCallId,
        sending: SendingId,
        bytes: &[u8],
    ) {
        let call: ForwardedCall = serde_json::from_slice(bytes).expect("the sender wrote it");
        let remaining = std::time::Duration::from_millis(call.remaining_ms);
        self.take_ticketed(vm, sending, AnswerSink::Peer(id), remaining);
    }

    /// The owner of a ticket answered a forwarded call, or can't be reached.
    pub(super) fn ticket_answered(
        &mut self,
        vm: usize,
        sending: SendingId,
        answer: Option<TicketAnswer>,
    ) {
        if let Some(process) = self.vms[vm].process.as_mut() {
            process.forwards.swap_remove(&sending);
        }
        let answer = answer.unwrap_or_else(|| {
            let message = "the owner of the ticket can't be reached";
            TicketAnswer::Refused(Refusal::unknown(RefusalCode::OwnerUnreachable, message))
        });
        self.answer_ticketed(vm, AnswerSink::Caller(sending), answer);
    }

    fn answer_ticketed(&mut self, vm: usize, sink: AnswerSink, answer: TicketAnswer) {
        match sink {
            AnswerSink::Caller(sending) => {
                let answer = match answer {
                    TicketAnswer::Done(answer) => RequestAnswer::Plain(answer),
                    TicketAnswer::Refused(refusal) => RequestAnswer::Refused(refusal),
                };
                self.answer_caller(sending, answer);
            }
            AnswerSink::Peer(id) => {
                let kind = self.peer_calls.get(&id).map(|call| call.kind.clone());
                if let Some(PeerCallKind::RunTicket(sending)) = kind {
                    self.answer_peer(vm, id, VmMessage::TicketAnswered(sending, Some(answer)));
                }
            }
            AnswerSink::Ticket(_) => {}
        }
    }

    /// The outcome of a ticket is final.
    pub(super) fn resolve_ticket(&mut self, vm: usize, sequence: u64, answer: TicketAnswer) {
        self.journal.note(self.now, format_args!("vm{vm} ticket {sequence} {answer:?}"));
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        process.requests.retain(|_, held| held.sink != AnswerSink::Ticket(sequence));
        for waiter in process.ticket_waiters.shift_remove(&sequence).unwrap_or_default() {
            self.note_shed(vm, waiter.sink, &answer);
            self.answer_ticketed(vm, waiter.sink, answer.clone());
        }
    }

    fn note_shed(&mut self, vm: usize, sink: AnswerSink, answer: &TicketAnswer) {
        let TicketAnswer::Refused(refusal) = answer else { return };
        let (RefusalCode::Shed, AnswerSink::Caller(sending)) = (refusal.code, sink) else { return };
        let tier = self.call_of(sending).tier;
        self.observer.shed(self.now, vm, tier);
    }

    /// The call of a ticket has ended at its target or relay.
    pub(super) fn finish_ticket(&mut self, vm: usize, request: RequestId, answer: RequestAnswer) {
        let answer = match answer {
            RequestAnswer::Plain(answer) => TicketAnswer::Done(answer),
            RequestAnswer::Refused(refusal) => TicketAnswer::Refused(refusal),
            RequestAnswer::Tokens(_) | RequestAnswer::Broken => {
                let message = "the connection broke off";
                TicketAnswer::Refused(Refusal::unknown(RefusalCode::TargetFailed, message))
            }
        };
        let boot = self.boot(vm);
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        let mut actions = Vec::new();
        process.node.finish_ticket(request, answer, boot, &mut actions);
        self.act_all(vm, actions);
    }

    /// The check right before the first byte of an attempt.
    pub(super) fn check_write(&mut self, key: RunKey, target: usize) -> WriteCheck {
        let boot = self.boot(key.vm);
        let name = self.targets[target].name.clone();
        let Some(process) = self.vms[key.vm].process.as_mut() else { return WriteCheck::Withhold };
        let mut actions = Vec::new();
        let check = process.node.check_write(key.request, &name, boot, &mut actions);
        self.act_all(key.vm, actions);
        check
    }

    /// The check of a ticketed call right before it is relayed.
    pub(super) fn may_relay(&mut self, vm: usize, request: RequestId) -> bool {
        let ticketed =
            self.held(vm, request).is_some_and(|held| matches!(held.sink, AnswerSink::Ticket(_)));
        if !ticketed {
            return true;
        }
        let boot = self.boot(vm);
        let Some(process) = self.vms[vm].process.as_mut() else { return false };
        let mut actions = Vec::new();
        let may_write = process.node.may_write(request, boot, &mut actions);
        self.act_all(vm, actions);
        may_write
    }

    /// A relayed call did not reach its peer, or was not dispatched there.
    pub(super) fn relay_not_run(&mut self, vm: usize, request: RequestId) {
        if let Some(process) = self.vms[vm].process.as_mut() {
            process.node.relay_not_run(request);
        }
    }

    /// A caller that waited for a ticket has gone. Returns false if it waits for none.
    pub(super) fn leave_ticket(&mut self, vm: usize, sending: SendingId) -> bool {
        let found = self.find_waiter(vm, |waiter| waiter.sink == AnswerSink::Caller(sending));
        let Some((sequence, waiter)) = found else { return false };
        self.abandon(vm, sequence, waiter.request);
        true
    }

    /// Waiters whose time is up learn that the call may still run, or that it was sealed.
    pub(super) fn expire_waiters(&mut self, vm: usize) {
        let now = self.now;
        let limit = |waiter: &TicketWaiter| waiter.deadline + super::request::DECISION_GRACE <= now;
        while let Some((sequence, waiter)) = self.find_waiter(vm, limit) {
            self.abandon(vm, sequence, waiter.request);
            let message = "the deadline passed before an answer";
            let refusal = Refusal::unknown(RefusalCode::DeadlineExceeded, message);
            self.answer_ticketed(vm, waiter.sink, TicketAnswer::Refused(refusal));
        }
    }

    fn find_waiter(
        &self,
        vm: usize,
        wanted: impl Fn(&TicketWaiter) -> bool,
    ) -> Option<(u64, TicketWaiter)> {
        let process = self.vms[vm].process.as_ref()?;
        let waiters = process.ticket_waiters.iter();
        let mut pairs =
            waiters.flat_map(|(sequence, list)| list.iter().map(|one| (*sequence, *one)));
        pairs.find(|(_, waiter)| wanted(waiter))
    }

    fn abandon(&mut self, vm: usize, sequence: u64, request: RequestId) {
        let (now, boot) = (self.instant(vm), self.boot(vm));
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        if let Some(waiters) = process.ticket_waiters.get_mut(&sequence) {
            waiters.retain(|waiter| waiter.request != request);
            if waiters.is_empty() {
                process.ticket_waiters.shift_remove(&sequence);
            }
        }
        let mut actions = Vec::new();
        process.node.abandon_ticket(now, boot, sequence, request, &mut actions);
        self.act_all(vm, actions);
        self.drop_sealed(vm, sequence);
    }

    /// Forgets the request of a ticket whose queued call was sealed: it has no attempt any more.
    fn drop_sealed(&mut self, vm: usize, sequence: u64) {
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        let waits = process.ticket_waiters.contains_key(&sequence);
        process.requests.retain(|_, held| {
            waits || held.sink != AnswerSink::Ticket(sequence) || held.may_have_run
        });
    }
}
