//! What the callers do: send, wait, lose answers and repeat at other VMs.

use std::time::Duration;

use rand::{Rng, seq::IndexedRandom};
use tarragon_protocol::prelude::*;

use super::{World, WorldEvent};
use crate::soak::{
    caller::{CallEnd, Sending},
    message::{RequestAnswer, SendingId, VmMessage},
    mutation::Mutation,
    network::Endpoint,
};

/// Delay of a repeat after a broken connection or a lost answer.
const REPEAT_DELAY: Duration = Duration::from_millis(200);
/// Delay of a repeat after a refusal that names none.
const REFUSED_DELAY: Duration = Duration::from_secs(1);

impl World {
    pub(super) fn take_arrival(&mut self) {
        let planned = self.callers.plan.pop_front();
        if planned.is_none() && self.callers.planned_only {
            return;
        }
        let plan = match planned {
            Some(plan) => plan,
            None => self.topology.workload.draw(&mut self.random, self.now),
        };
        let is_engine = self.topology.workload.classes[plan.class].plain.is_none();
        let poison = is_engine && self.callers.poison_left > 0;
        self.callers.poison_left -= u32::from(poison);
        let call = self.callers.add(self.now, &self.topology.workload, plan, poison);
        self.figures.offer(self.now, self.callers.calls[call].tier);
        self.send_call(call);
        let gap = match (self.callers.plan.front(), self.callers.planned_only) {
            (Some(next), _) => next.start.saturating_sub(self.now),
            (None, true) => return,
            (None, false) => self.callers.gap(&mut self.random),
        };
        self.schedule(gap, WorldEvent::Arrival);
    }

    pub(super) fn send_call(&mut self, call: usize) {
        let state = &self.callers.calls[call];
        if state.end.is_some() {
            return;
        }
        if state.sendings >= self.callers.max_sendings || state.deadline <= self.now {
            return self.give_up(call);
        }
        let (last, needs_ticket) = (state.last_vm, state.ticketed && state.ticket.is_none());
        let Some(vm) = self.choose_vm(last) else {
            return self.schedule(REFUSED_DELAY, WorldEvent::SendCall(call));
        };
        if needs_ticket {
            let Some(ticket) = self.issue_ticket(vm) else {
                return self.schedule(REPEAT_DELAY, WorldEvent::SendCall(call));
            };
            let ask = self.observer.ask(call, true);
            self.callers.calls[call].ticket = Some((ticket, ask));
        }
        self.send_to(call, vm);
    }

    /// Sends a call to a VM, under its ticket if it has one.
    pub(crate) fn send_to(&mut self, call: usize, vm: usize) -> SendingId {
        let state = &mut self.callers.calls[call];
        state.sendings += 1;
        state.last_vm = Some(vm);
        let (ticket, ask) = match &state.ticket {
            Some((ticket, ask)) => (Some(ticket.clone()), *ask),
            None => (None, self.observer.ask(call, false)),
        };
        let deadline = state.deadline;
        let remaining = deadline.saturating_sub(self.now);
        let sending = self.callers.open(Sending { call, vm, ask, ticket, remaining, open: true });
        self.observer.opened(sending as u64, vm, deadline);
        self.journal.note(self.now, format_args!("call {call} sending {sending} > vm{vm}"));
        let to = Endpoint::Vm(vm, self.vms[vm].data_centre);
        let delay = self.network.delay(&mut self.random, Endpoint::Caller, to);
        self.schedule(delay, WorldEvent::AtVm(vm, None, VmMessage::Request(sending)));
        sending
    }

    /// The load balancer's choice: a ready VM, not the last one if there is another.
    fn choose_vm(&mut self, last: Option<usize>) -> Option<usize> {
        let ready =
            |vm: &usize| self.vms[*vm].process.as_ref().is_some_and(|process| process.ready);
        let ready: Vec<usize> = (0..self.vms.len()).filter(ready).collect();
        let others: Vec<usize> = ready.iter().copied().filter(|vm| Some(*vm) != last).collect();
        let choice = if others.is_empty() { ready } else { others };
        choice.choose(&mut self.random).copied()
    }

    /// Sends an answer to a caller.
    pub(super) fn answer_caller(&mut self, sending: SendingId, answer: RequestAnswer) {
        let swallows = self.mutation == Some(Mutation::SwallowRefusals);
        if swallows && matches!(answer, RequestAnswer::Refused(_)) {
            return;
        }
        let vm = self.sending(sending).vm;
        let from = Endpoint::Vm(vm, self.vms[vm].data_centre);
        let delay = self.network.delay(&mut self.random, from, Endpoint::Caller);
        let lost =
            self.callers.lost_answers > 0.0 && self.random.random_bool(self.callers.lost_answers);
        let answer = if lost { RequestAnswer::Broken } else { answer };
        self.schedule(delay, WorldEvent::CallerHears(sending, answer));
    }

    /// A caller closes its connection before it has an answer.
    pub(crate) fn hang_up(&mut self, sending: SendingId) {
        if !self.callers.close(sending) {
            return;
        }
        self.observer.closed(sending as u64);
        let vm = self.sending(sending).vm;
        let to = Endpoint::Vm(vm, self.vms[vm].data_centre);
        let delay = self.network.delay(&mut self.random, Endpoint::Caller, to);
        self.schedule(delay, WorldEvent::AtVm(vm, None, VmMessage::CallerGone(sending)));
    }

    pub(super) fn caller_hears(&mut self, sending: SendingId, answer: RequestAnswer) {
        if !self.callers.close(sending) {
            return;
        }
        self.observer.closed(sending as u64);
        let call = self.sending(sending).call;
        self.journal.note(self.now, format_args!("call {call} hears {answer:?}"));
        match answer {
            RequestAnswer::Tokens(tokens) => {
                let wanted = self.callers.calls[call].plan.output_tokens;
                let fault = (tokens != wanted)
                    .then(|| format!("{tokens} tokens arrived as a whole answer of {wanted}"));
                self.observer.answered_whole(call, fault);
                self.conclude(call);
            }
            RequestAnswer::Plain(answer) => {
                let wanted = crate::soak::target::plain_answer(call);
                let fault = (answer != wanted).then(|| format!("got the answer {answer:?}"));
                self.observer.answered_whole(call, fault);
                self.conclude(call);
            }
            RequestAnswer::Refused(refusal) => self.hear_refusal(sending, refusal),
            RequestAnswer::Broken => {
                let state = &mut self.callers.calls[call];
                state.last = Some(CallOutcome::Unknown);
                state.last_words = Some("broken".to_owned());
                self.repeat_later(call, REPEAT_DELAY);
            }
        }
    }

    fn hear_refusal(&mut self, sending: SendingId, refusal: Refusal) {
        let Sending { call, ask, .. } = *self.sending(sending);
        let mut outcome = refusal.outcome;
        if outcome == CallOutcome::Unknown && self.mutation == Some(Mutation::ClaimNotRun) {
            outcome = CallOutcome::NotRun;
        }
        let state = &mut self.callers.calls[call];
        state.last = Some(outcome);
        state.last_words = Some(format!("{outcome} ({:?})", refusal.code));
        if outcome == CallOutcome::NotRun {
            state.ticket = None;
            self.observer.told_not_run(ask);
        }
        let obeys = self.mutation != Some(Mutation::ChangeFingerprints);
        let delay = refusal.retry_after.filter(|_| obeys).unwrap_or(REFUSED_DELAY);
        self.repeat_later(call, delay);
    }

    fn repeat_later(&mut self, call: usize, delay: Duration) {
        if self.callers.calls[call].patient {
            self.schedule(delay, WorldEvent::SendCall(call));
        }
    }

    fn conclude(&mut self, call: usize) {
        let state = &mut self.callers.calls[call];
        let end = if self.now <= state.deadline { CallEnd::Done } else { CallEnd::Late };
        state.end = Some(end);
        let (tier, start) = (state.tier, state.plan.start);
        let (tokens, is_plain) = (state.plan.output_tokens, state.plain_path.is_some());
        let good = if is_plain { 0 } else { tokens };
        self.figures.end(self.now, tier, end, good);
        if !is_plain {
            self.figures.generation(call, tier, start, tokens);
        }
    }

    fn give_up(&mut self, call: usize) {
        let state = &mut self.callers.calls[call];
        let end = match state.last {
            Some(CallOutcome::NotRun) | None => CallEnd::NotRun,
            Some(_) => CallEnd::Unknown,
        };
        state.end = Some(end);
        let tier = state.tier;
        self.figures.end(self.now, tier, end, 0);
    }
}
