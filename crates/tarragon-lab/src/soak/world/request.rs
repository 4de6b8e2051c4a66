//! The server part of a process for one request: it hands it to the node, follows the attempts and passes
//! the answer on.

use std::time::Duration;

use tarragon_node::prelude::*;
use tarragon_protocol::peer::PlainAnswer;
use tarragon_scheduler::event::{AttemptEnd, AttemptProgress, SchedulerEvent};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{World, WorldEvent};
use crate::{
    engine::EngineCall,
    soak::{
        message::{AnswerSink, RequestAnswer, SendingId, VmMessage},
        mutation::Mutation,
        network::Endpoint,
        target::{RunKey, TargetCall, TargetWork},
    },
};

/// Time after the deadline in which the node's own refusal is awaited.
pub(super) const DECISION_GRACE: Duration = Duration::from_millis(500);

/// Delay after which a process that was paused checks a write again.
const WRITE_RETRY: Duration = Duration::from_millis(100);

/// A request in a process.
#[derive(Debug, Clone)]
pub(crate) struct ServerRequest {
    /// Who waits for the answer.
    pub(crate) sink: AnswerSink,
    /// Sending that it belongs to.
    pub(crate) sending: SendingId,
    /// Tokens delivered so far.
    pub(crate) delivered: u32,
    /// The attempt in progress.
    pub(crate) attempt: Option<ServerAttempt>,
    /// After this time the caller has no use for the answer.
    pub(crate) deadline: Duration,
    /// Whether a target can have run it.
    pub(crate) may_have_run: bool,
    /// Peers that a relay tries if the present one can't be reached.
    pub(crate) relay_left: Vec<PeerAddress>,
}

/// An attempt in progress.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServerAttempt {
    /// The attempt.
    pub(crate) key: RunKey,
    /// Index of the target.
    pub(crate) target: usize,
    /// When its first byte was written.
    pub(crate) written: Option<Duration>,
    /// Number of its first token.
    pub(crate) first_index: u32,
}

impl World {
    /// Takes a request of a caller or of a peer into a process.
    pub(super) fn accept(
        &mut self,
        vm: usize,
        sending: SendingId,
        sink: AnswerSink,
        remaining: Duration,
    ) {
        let relayed = matches!(sink, AnswerSink::Peer(_));
        let profile = self.profile(vm, sending, remaining);
        let request = profile.request;
        self.hold(vm, request, sending, sink, remaining);
        let event = if relayed {
            NodeEvent::RelayArrived(Box::new(profile))
        } else {
            NodeEvent::Arrived(Box::new(profile))
        };
        self.feed(vm, event);
    }

    /// Adds a request to a process's table.
    pub(super) fn hold(
        &mut self,
        vm: usize,
        request: RequestId,
        sending: SendingId,
        sink: AnswerSink,
        remaining: Duration,
    ) {
        let deadline = self.now + remaining;
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        let held = ServerRequest {
            sink,
            sending,
            delivered: 0,
            attempt: None,
            deadline,
            may_have_run: false,
            relay_left: Vec::new(),
        };
        process.requests.insert(request, held);
    }

    /// What the scheduler needs to know of a sending. Gives it a new request id.
    pub(super) fn profile(
        &mut self,
        vm: usize,
        sending: SendingId,
        remaining: Duration,
    ) -> RequestProfile {
        let now = self.instant(vm);
        let call = self.call_of(sending).clone();
        let tier = match (self.mutation, call.tier) {
            (Some(Mutation::InvertTiers), Tier::Urgent) => Tier::Routine,
            (Some(Mutation::InvertTiers), Tier::Routine) => Tier::Urgent,
            (_, tier) => tier,
        };
        let mut fingerprint = xxh3_64_with_seed(&call.plan.unique.to_le_bytes(), 1);
        if self.mutation == Some(Mutation::ChangeFingerprints) {
            fingerprint ^= sending as u64 + 1;
        }
        let kind = match call.plain_path {
            Some(_) => CallKind::Plain,
            None => CallKind::Model(ModelCall {
                model: self.topology.workload.engines.model.as_str().into(),
                prompt_tokens: call.plan.prompt_tokens,
                max_tokens: call.plan.output_tokens * 2,
                blocks: call.plan.blocks(),
            }),
        };
        let process = self.vms[vm].process.as_mut();
        let request = process.map_or(0, |process| process.next_request());
        RequestProfile {
            parts: Vec::new(),
            request,
            workspace: call.workspace,
            service: call.service,
            tier,
            deadline: now + remaining,
            idempotent: !call.ticketed,
            fingerprint,
            kind,
            options: CallOptions::default(),
        }
    }

    /// Starts an attempt: connects to the target.
    pub(super) fn dispatch(
        &mut self,
        vm: usize,
        request: RequestId,
        attempt: AttemptNumber,
        target: &TargetName,
    ) {
        let Some(index) = self.targets.iter().position(|one| one.name == *target) else { return };
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        let incarnation = process.incarnation;
        let key = RunKey { vm, incarnation, request, attempt };
        let Some(held) = process.requests.get_mut(&request) else {
            let ended = VmMessage::Ended(key, AttemptEnd::Withheld, None);
            self.schedule(Duration::ZERO, WorldEvent::AtVm(vm, Some(incarnation), ended));
            return;
        };
        let first_index = held.delivered;
        held.attempt = Some(ServerAttempt { key, target: index, written: None, first_index });
        self.journal.note(self.now, format_args!("vm{vm} {request:x}/{attempt} > {target}"));
        let round_trip = self.target_delay(vm, index) + self.target_delay(vm, index);
        let listens = self.targets[index].listens(self.now);
        let connected = VmMessage::Connected(key, index, listens);
        self.schedule(round_trip, WorldEvent::AtVm(vm, Some(incarnation), connected));
    }

    /// The connection stands: the last checks are made and the first byte is written.
    pub(super) fn connected(&mut self, key: RunKey, target: usize, listens: bool) {
        let (vm, request) = (key.vm, key.request);
        let Some(held) = self.held(vm, request) else { return };
        if held.attempt.is_none_or(|attempt| attempt.key != key) {
            return;
        }
        if !listens {
            return self.end_attempt(key, AttemptEnd::NotSent, None);
        }
        if held.deadline <= self.now {
            return self.end_attempt(key, AttemptEnd::Withheld, None);
        }
        match self.check_write(key, target) {
            WriteCheck::Write => {}
            WriteCheck::Wait => {
                let again = VmMessage::Connected(key, target, true);
                let event = WorldEvent::AtVm(vm, Some(key.incarnation), again);
                return self.schedule(WRITE_RETRY, event);
            }
            WriteCheck::OutOfService => return self.end_attempt(key, AttemptEnd::NotSent, None),
            WriteCheck::Withhold => return self.end_attempt(key, AttemptEnd::Withheld, None),
        }
        let now = self.now;
        let call = self.target_call(vm, request);
        let (ask, tier) = (call.ask, self.callers.calls[call.call].tier);
        if let Some(held) = self.held_mut(vm, request) {
            held.may_have_run = true;
            if let Some(attempt) = &mut held.attempt {
                attempt.written = Some(now);
            }
        }
        self.observer.dispatched(ask);
        self.observer.begun(now, vm, tier);
        let delay = self.target_delay(vm, target);
        self.schedule(delay, WorldEvent::AtTarget(target, key, Box::new(call), now));
        let started = SchedulerEvent::AttemptStarted(request, key.attempt);
        self.feed(vm, NodeEvent::Scheduler(started));
    }

    fn target_call(&self, vm: usize, request: RequestId) -> TargetCall {
        let held = self.held(vm, request).expect("the caller has looked the request up");
        let sending = self.sending(held.sending);
        let call = &self.callers.calls[sending.call];
        let work = match call.plain_path {
            Some(_) => TargetWork::Plain(call.plan.work),
            None => TargetWork::Engine(EngineCall {
                prompt_tokens: call.plan.prompt_tokens + held.delivered,
                output_tokens: (call.plan.output_tokens - held.delivered).max(1),
                blocks: call.plan.blocks(),
            }),
        };
        TargetCall {
            call: sending.call,
            ask: sending.ask,
            fingerprint: call.plan.unique,
            poison: call.poison,
            work,
        }
    }

    /// Takes progress of a generation.
    pub(super) fn progress(&mut self, key: RunKey, figures: [u32; 3]) {
        let (vm, now) = (key.vm, self.now);
        let Some(held) = self.held_mut(vm, key.request) else { return };
        let Some(attempt) = held.attempt.filter(|attempt| attempt.key == key) else { return };
        let [tokens, prefill, cached] = figures;
        held.delivered = attempt.first_index + tokens;
        let sending = held.sending;
        let first_token = now.saturating_sub(attempt.written.unwrap_or(now));
        let call = self.sending(sending).call;
        self.figures.token(call, now);
        let progress = AttemptProgress {
            request: key.request,
            attempt: key.attempt,
            tokens,
            prefill_tokens: Some(prefill),
            cached_tokens: Some(cached),
            first_token,
        };
        self.feed(vm, NodeEvent::Scheduler(SchedulerEvent::AttemptProgress(progress)));
    }

    /// An attempt is over. The request ends with it if its answer is whole.
    pub(super) fn end_attempt(
        &mut self,
        key: RunKey,
        end: AttemptEnd,
        answer: Option<PlainAnswer>,
    ) {
        let vm = key.vm;
        self.journal
            .note(self.now, format_args!("vm{vm} {:x}/{} {end:?}", key.request, key.attempt));
        let mut whole = None;
        if let Some(held) = self.held_mut(vm, key.request)
            && held.attempt.is_some_and(|attempt| attempt.key == key)
        {
            held.attempt = None;
            if end == AttemptEnd::Finished {
                whole = Some(
                    answer.map_or(RequestAnswer::Tokens(held.delivered), RequestAnswer::Plain),
                );
            }
        }
        let event = SchedulerEvent::AttemptEnded(key.request, key.attempt, end);
        if let Some(whole) = whole {
            self.finish_request(vm, key.request, whole);
        }
        self.feed(vm, NodeEvent::Scheduler(event));
    }

    /// Gives a request its answer and forgets it.
    pub(super) fn finish_request(&mut self, vm: usize, request: RequestId, answer: RequestAnswer) {
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        let Some(held) = process.requests.shift_remove(&request) else { return };
        if let Some(attempt) = held.attempt {
            self.cancel_at(vm, attempt);
        }
        let answer = match answer {
            RequestAnswer::Tokens(tokens) if self.mutation == Some(Mutation::CutAnswers) => {
                RequestAnswer::Tokens(tokens.saturating_sub(1))
            }
            answer => answer,
        };
        self.deliver(vm, request, held.sink, answer);
    }

    fn deliver(&mut self, vm: usize, request: RequestId, sink: AnswerSink, answer: RequestAnswer) {
        match sink {
            AnswerSink::Caller(sending) => self.answer_caller(sending, answer),
            AnswerSink::Peer(id) => {
                self.answer_relay(vm, id, answer);
            }
            AnswerSink::Ticket(_) => self.finish_ticket(vm, request, answer),
        }
    }

    /// Requests whose time is up get their answer here if the node has given none.
    pub(super) fn expire_requests(&mut self, vm: usize) {
        let Some(process) = &self.vms[vm].process else { return };
        let overdue = |held: &ServerRequest| {
            let grace = if held.attempt.is_some() { Duration::ZERO } else { DECISION_GRACE };
            held.deadline + grace <= self.now && !matches!(held.sink, AnswerSink::Ticket(_))
        };
        let requests = process.requests.iter().filter(|(_, held)| overdue(held));
        let requests: Vec<(RequestId, ServerRequest)> =
            requests.map(|(request, held)| (*request, held.clone())).collect();
        for (request, held) in requests {
            let message = "the deadline passed before an answer";
            let code = RefusalCode::DeadlineExceeded;
            let refusal = if held.may_have_run {
                Refusal::unknown(code, message)
            } else {
                Refusal::not_run(code, message)
            };
            self.finish_request(vm, request, RequestAnswer::Refused(refusal));
            self.feed(vm, NodeEvent::Scheduler(SchedulerEvent::Disconnected(request)));
            if let Some(attempt) = held.attempt {
                self.end_attempt(attempt.key, AttemptEnd::Cancelled, None);
            }
        }
    }

    /// Closes the connection of an attempt.
    pub(super) fn cancel_at(&mut self, vm: usize, attempt: ServerAttempt) {
        if attempt.written.is_none() {
            return;
        }
        let delay = self.target_delay(vm, attempt.target);
        self.schedule(delay, WorldEvent::CancelAtTarget(attempt.target, attempt.key));
    }

    /// The node wants an attempt stopped.
    pub(super) fn cancel_attempt(&mut self, vm: usize, request: RequestId, number: AttemptNumber) {
        let Some(held) = self.held(vm, request) else { return };
        let Some(attempt) = held.attempt.filter(|attempt| attempt.key.attempt == number) else {
            return;
        };
        self.journal.note(self.now, format_args!("vm{vm} {request:x}/{number} cancel"));
        self.cancel_at(vm, attempt);
        let ended = VmMessage::Ended(attempt.key, AttemptEnd::Cancelled, None);
        let only = Some(attempt.key.incarnation);
        self.schedule(Duration::ZERO, WorldEvent::AtVm(vm, only, ended));
    }

    /// The caller of a request has gone.
    pub(super) fn caller_gone(&mut self, vm: usize, sending: SendingId) {
        let sink = AnswerSink::Caller(sending);
        if self.leave_ticket(vm, sending) {
            return;
        }
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        let found = process.requests.iter().find(|(_, held)| held.sink == sink);
        let Some((request, held)) = found.map(|(request, held)| (*request, held.clone())) else {
            return;
        };
        process.requests.shift_remove(&request);
        self.feed(vm, NodeEvent::Scheduler(SchedulerEvent::Disconnected(request)));
        if let Some(attempt) = held.attempt {
            self.cancel_at(vm, attempt);
            self.end_attempt(attempt.key, AttemptEnd::Cancelled, None);
        }
    }

    pub(super) fn target_delay(&mut self, vm: usize, target: usize) -> Duration {
        let (home, far) = (self.vms[vm].data_centre, self.targets[target].data_centre);
        self.network.delay(&mut self.random, Endpoint::Vm(vm, home), Endpoint::Target(far))
    }

    pub(super) fn held(&self, vm: usize, request: RequestId) -> Option<&ServerRequest> {
        self.vms[vm].process.as_ref()?.requests.get(&request)
    }

    pub(super) fn held_mut(&mut self, vm: usize, request: RequestId) -> Option<&mut ServerRequest> {
        self.vms[vm].process.as_mut()?.requests.get_mut(&request)
    }

    pub(super) fn call_of(&self, sending: SendingId) -> &crate::soak::caller::CallerCall {
        &self.callers.calls[self.sending(sending).call]
    }
}
