//! Steps that a scenario or an experiment takes by hand.

use std::collections::VecDeque;
use std::time::Duration;

use anyhow::{Context, ensure};

use super::{World, WorldEvent};
use crate::{soak::caller::CallEnd, workload::PlannedRequest};

/// Bound of each VM's queue under deliberate overload.
const OVERLOAD_QUEUE: usize = 16;
/// Calls per second under deliberate overload, about twice what the engines complete.
const OVERLOAD_RATE: f64 = 60.0;

impl World {
    /// Adds a call of a class. A patient caller repeats it without being told to.
    pub(crate) fn add_call(
        &mut self,
        class: &str,
        poison: bool,
        patient: bool,
    ) -> anyhow::Result<usize> {
        let classes = &self.topology.workload.classes;
        let index = classes.iter().position(|other| other.name == class);
        let index = index.with_context(|| format!("the workload has no class `{class}`"))?;
        let workload = &self.topology.workload;
        let plan = workload.draw_class(&mut self.random, self.now, index);
        let call = self.callers.add(self.now, workload, plan, poison);
        self.callers.calls[call].patient = patient;
        Ok(call)
    }

    /// Sends a call to a VM with its whole time left, after taking a ticket from another one if it needs one and has none.
    pub(crate) fn send_by_hand(
        &mut self,
        call: usize,
        vm: usize,
        ticket_vm: usize,
    ) -> anyhow::Result<()> {
        ensure!(vm.max(ticket_vm) < self.vms.len(), "there is no such VM");
        let state = &self.callers.calls[call];
        if state.ticketed && state.ticket.is_none() {
            let ticket = self.issue_ticket(ticket_vm).context("the VM issues no ticket")?;
            let ask = self.observer.ask(call, true);
            self.callers.calls[call].ticket = Some((ticket, ask));
        }
        let class = &self.topology.workload.classes[self.callers.calls[call].plan.class];
        self.callers.calls[call].deadline = self.now + Duration::from_millis(class.deadline_ms);
        self.callers.calls[call].end = None;
        self.send_to(call, vm);
        Ok(())
    }

    /// What the caller of a call knows of it.
    pub(crate) fn describe_call(&self, call: usize) -> String {
        let state = &self.callers.calls[call];
        let said = || state.last_words.as_deref().unwrap_or("no answer yet").to_owned();
        match state.end {
            Some(CallEnd::Done) => "done".to_owned(),
            Some(CallEnd::Late) => "done late".to_owned(),
            Some(CallEnd::NotRun | CallEnd::Unknown) | None => said(),
        }
    }

    /// Makes overload frequent, so that a run with tiers in the wrong order sheds within its steps.
    pub(crate) fn overload(&mut self) {
        self.queue_limit = OVERLOAD_QUEUE;
        self.callers.rate = OVERLOAD_RATE;
    }

    /// Starts or changes the stream of random calls.
    pub(crate) fn set_rate(&mut self, rate: f64) {
        let idle = self.callers.rate == 0.0;
        self.callers.rate = rate;
        if idle && rate > 0.0 {
            self.schedule(Duration::ZERO, WorldEvent::Arrival);
        }
    }

    /// Plays a plan of calls from now on. Callers do not repeat their calls.
    pub(crate) fn play(&mut self, plan: Vec<PlannedRequest>) {
        let begin = self.now;
        let shifted =
            plan.into_iter().map(|one| PlannedRequest { start: begin + one.start, ..one });
        let plan: VecDeque<PlannedRequest> = shifted.collect();
        let Some(first) = plan.front() else { return };
        let delay = first.start - begin;
        self.callers.plan = plan;
        self.callers.planned_only = true;
        self.callers.max_sendings = 1;
        self.schedule(delay, WorldEvent::Arrival);
    }
}
