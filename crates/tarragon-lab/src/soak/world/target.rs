//! What happens at the targets.

use std::time::Duration;

use tarragon_protocol::prelude::*;
use tarragon_scheduler::event::AttemptEnd;

use super::{ENGINE_STEP, World, WorldEvent};
use crate::soak::{
    check::{ArrivalFacts, CheckName},
    message::VmMessage,
    mutation::Mutation,
    target::{RunKey, TargetCall, TargetWork, plain_answer},
};

/// Time from the start of a poisoned call to the crash.
const POISON_TIME: Duration = Duration::from_millis(300);
/// Time that a crashed target is down.
const CRASH_DOWN: Duration = Duration::from_secs(2);
/// Targets that one crashing request may bring down: two by the design's bound, and one more for a VM that
/// the news has not reached.
const CRASHES_ALLOWED: u32 = 3;

impl World {
    pub(super) fn at_target(
        &mut self,
        index: usize,
        key: RunKey,
        call: TargetCall,
        decided: Duration,
    ) {
        let target = &mut self.targets[index];
        if !target.listens(self.now) {
            return self.tell_end(index, key, AttemptEnd::Broken, None);
        }
        if target.cancelled.shift_remove(&key) {
            return;
        }
        let (ask, poison, restart) = (call.ask, call.poison, target.restart);
        let is_engine = matches!(call.work, TargetWork::Engine(_));
        let time = target.receive(self.now, key, call);
        let facts = ArrivalFacts {
            vm: key.vm,
            data_centre: self.vms[key.vm].data_centre,
            target_data_centre: target.data_centre,
            target: target.name.clone(),
            state: target.state,
            state_since: target.state_since,
            running: target.running.len() as u32,
            bears: target.bears(),
            decided,
        };
        self.journal.note(self.now, format_args!("{} runs ask {ask}", facts.target));
        self.observer.arrived(self.now, &facts);
        self.observer.ran(ask);
        if poison {
            self.schedule(POISON_TIME, WorldEvent::Crash(index, key, restart));
        } else if let Some(time) = time {
            self.schedule(time, WorldEvent::PlainEnds(index, key, restart));
        }
        if is_engine && !std::mem::replace(&mut self.targets[index].stepping, true) {
            self.schedule(ENGINE_STEP, WorldEvent::EngineStep(index));
        }
    }

    pub(super) fn engine_step(&mut self, index: usize) {
        let progress = self.targets[index].step(self.now);
        for news in progress {
            let figures = [news.tokens, news.prefill_tokens, news.cached_tokens];
            let lead = news.at.saturating_sub(self.now);
            let delay = lead + self.target_delay(news.key.vm, index);
            let message = VmMessage::Progress(news.key, figures);
            let only = Some(news.key.incarnation);
            self.schedule(delay, WorldEvent::AtVm(news.key.vm, only, message));
            if news.finished {
                if let Some(call) = self.targets[index].finish(&news.key) {
                    self.note_prefill(index, &call, news.prefill_tokens, news.cached_tokens, true);
                }
                let message = VmMessage::Ended(news.key, AttemptEnd::Finished, None);
                self.schedule(delay, WorldEvent::AtVm(news.key.vm, only, message));
            }
        }
        if self.targets[index].running.is_empty() {
            self.targets[index].stepping = false;
        } else {
            self.schedule(ENGINE_STEP, WorldEvent::EngineStep(index));
        }
    }

    fn note_prefill(
        &mut self,
        index: usize,
        call: &TargetCall,
        computed: u32,
        cached: u32,
        whole: bool,
    ) {
        if let TargetWork::Engine(work) = &call.work {
            let home = self.targets[index].data_centre;
            self.figures.prefilled(home, &work.blocks, computed, cached, whole);
        }
    }

    pub(super) fn plain_ends(&mut self, index: usize, key: RunKey, restart: u64) {
        if self.targets[index].restart != restart {
            return;
        }
        let Some(call) = self.targets[index].finish(&key) else { return };
        let answer = Some(plain_answer(call.call));
        self.tell_end(index, key, AttemptEnd::Finished, answer);
    }

    pub(super) fn cancel_at_target(&mut self, index: usize, key: RunKey) {
        let target = &mut self.targets[index];
        let running = target.running.get(&key).cloned();
        let sunk = target.engine.as_ref().and_then(|engine| engine.computed(key));
        if target.cancel(&key) {
            if let (Some(call), Some((computed, cached))) = (running, sunk) {
                self.note_prefill(index, &call, computed, cached, false);
            }
        } else if running.is_none() {
            target.cancelled.insert(key);
        }
    }

    pub(super) fn poison_strikes(&mut self, index: usize, key: RunKey, restart: u64) {
        let target = &self.targets[index];
        let Some(call) = target.running.get(&key).filter(|_| target.restart == restart) else {
            return;
        };
        let fingerprint = call.fingerprint;
        self.journal.note(self.now, format_args!("{} crashes on {fingerprint:x}", target.name));
        self.observer.crashed(fingerprint, CRASHES_ALLOWED);
        self.crash_target(index, CRASH_DOWN);
    }

    /// Stops a target's process; it listens again, cold, after a time.
    pub(crate) fn crash_target(&mut self, index: usize, down: Duration) {
        let broken = self.targets[index].crash(self.now, down);
        self.journal.note(self.now, format_args!("{} restarts", self.targets[index].name));
        for key in broken.into_keys() {
            self.tell_end(index, key, AttemptEnd::Broken, None);
        }
    }

    fn tell_end(
        &mut self,
        index: usize,
        key: RunKey,
        end: AttemptEnd,
        answer: Option<tarragon_protocol::peer::PlainAnswer>,
    ) {
        let delay = self.target_delay(key.vm, index);
        let message = VmMessage::Ended(key, end, answer);
        self.schedule(delay, WorldEvent::AtVm(key.vm, Some(key.incarnation), message));
    }

    pub(super) fn poll_at_target(&mut self, index: usize, vm: usize, incarnation: Incarnation) {
        let target = &self.targets[index];
        let report = target.lagging_report(self.now).map(|report| self.mutated_report(report));
        let state = target.lagging_report(self.now).map(|report| report.state);
        let name = target.name.clone();
        let after = self.vms[vm].process.as_ref().and_then(|process| process.cache_seen.get(&name));
        let after = after.copied().unwrap_or(0);
        let events = match (&target.engine, &report) {
            (Some(engine), Some(_)) => engine.events_after(after),
            _ => Vec::new(),
        };
        let delay = self.target_delay(vm, index);
        let message = VmMessage::Polled(name, report, state, events);
        self.schedule(delay, WorldEvent::AtVm(vm, Some(incarnation), message));
    }

    fn mutated_report(&self, mut report: LoadReport) -> LoadReport {
        let hidden = match self.mutation {
            Some(Mutation::HideCold) => Some(TargetState::Cold),
            Some(Mutation::HideLeaving) => Some(TargetState::Leaving),
            _ => None,
        };
        if hidden == Some(report.state) {
            report.state = TargetState::Warm;
            report.capacity = report.capacity.max(24);
        }
        report
    }

    /// Reports a broken rule that no single check owns.
    pub(super) fn fault_found(&mut self, detail: String) {
        self.observer.violate(CheckName::Answered, detail);
    }
}
