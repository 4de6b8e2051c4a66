//! Test driver for a scheduler: builds requests, advances the clock and collects actions.

use std::time::{Duration, Instant};

use tarragon_protocol::load::TargetState;
pub use tarragon_scheduler::prelude::*;

/// A scheduler with a clock and the actions of the last event.
pub struct Driver {
    pub scheduler: Scheduler,
    pub now: Instant,
    pub actions: Vec<SchedulerAction>,
    next: RequestId,
    reporting: Vec<String>,
    running: Vec<(RequestId, AttemptNumber)>,
}

/// A request to submit. The default is an idempotent model call that every target can take.
pub struct Call {
    pub workspace: &'static str,
    pub service: &'static str,
    pub tier: Tier,
    pub deadline: Duration,
    pub idempotent: bool,
    pub fingerprint: Option<Fingerprint>,
    pub prompt: u32,
    pub model: &'static str,
    pub blocks: Vec<BlockHash>,
    pub terms: CallOptions,
}

impl Default for Call {
    fn default() -> Call {
        Call {
            workspace: "depot",
            service: "pool",
            tier: Tier::Normal,
            deadline: Duration::from_secs(60),
            idempotent: true,
            fingerprint: None,
            prompt: 100,
            model: "assess",
            blocks: Vec::new(),
            terms: CallOptions::default(),
        }
    }
}

impl Call {
    pub fn tier(tier: Tier) -> Call {
        Call { tier, ..Call::default() }
    }
}

impl Driver {
    pub fn new(limits: SchedulerLimits) -> Driver {
        let now = Instant::now();
        Driver {
            scheduler: Scheduler::new(limits, 7),
            now,
            actions: Vec::new(),
            next: 1,
            reporting: Vec::new(),
            running: Vec::new(),
        }
    }

    /// A scheduler whose targets many processes compete for.
    pub fn contended(targets: usize, slots: u32) -> Driver {
        let mut driver = Driver::with_targets(targets, slots);
        driver.scheduler.set_contended(true);
        driver
    }

    /// Warm targets `t0`, `t1`, … of the service `pool`, with this many slots each.
    pub fn with_targets(targets: usize, slots: u32) -> Driver {
        let mut driver = Driver::new(SchedulerLimits::default());
        for index in 0..targets {
            driver.add_target("pool", &format!("t{index}"), slots);
        }
        driver
    }

    pub fn handle(&mut self, event: SchedulerEvent) -> &[SchedulerAction] {
        self.actions.clear();
        if let SchedulerEvent::AttemptEnded(request, attempt, _) = event {
            self.running.retain(|running| *running != (request, attempt));
        }
        self.scheduler.handle(self.now, event, &mut self.actions);
        let started = self.dispatched();
        self.running.extend(started.into_iter().map(|(request, attempt, _)| (request, attempt)));
        &self.actions
    }

    pub fn add_target(&mut self, service: &str, name: &str, slots: u32) {
        self.list_target(service, name, true);
        self.set_slots(name, slots, false);
        self.report(name, 1, TargetState::Warm);
        self.reporting.push(name.to_owned());
    }

    pub fn list_target(&mut self, service: &str, name: &str, in_service: bool) {
        let entry = TargetEntry {
            target: name.into(),
            service: service.into(),
            in_service,
            remote: false,
            build: None,
            process: None,
        };
        self.handle(SchedulerEvent::TargetListed(entry));
    }

    /// The entry published now still names this process for the target.
    pub fn confirm_process(&mut self, name: &str, restart: u64) {
        let target = name.into();
        let read = self.now;
        self.handle(SchedulerEvent::ProcessConfirmed { target, restart, read });
    }

    pub fn set_slots(&mut self, name: &str, slots: u32, cold: bool) {
        let target = name.into();
        let slots = TargetSlots { target, slots, capacity: slots, cold };
        self.handle(SchedulerEvent::SlotsChanged(slots));
    }

    pub fn report(&mut self, name: &str, restart: u64, state: TargetState) -> &[SchedulerAction] {
        self.report_running(name, restart, state, 0)
    }

    pub fn report_running(
        &mut self,
        name: &str,
        restart: u64,
        state: TargetState,
        running: u32,
    ) -> &[SchedulerAction] {
        self.report_load(name, restart, state, running, Duration::ZERO)
    }

    pub fn report_aged(&mut self, name: &str, state: TargetState, running: u32, age: Duration) {
        self.report_load(name, 1, state, running, age);
    }

    fn report_load(
        &mut self,
        name: &str,
        restart: u64,
        state: TargetState,
        running: u32,
        age: Duration,
    ) -> &[SchedulerAction] {
        let report = LoadReport {
            restart_id: restart,
            state,
            capacity: 4,
            running,
            waiting: 0,
            free_cache_tokens: 1_000_000,
            models: vec!["assess".into()],
            fencing: 0,
            last_order_age_ms: None,
            lag_ms: 0,
        };
        self.handle(SchedulerEvent::LoadReported { target: name.into(), report, age })
    }

    /// Id of the next request to be sent.
    pub fn next_request(&self) -> RequestId {
        self.next
    }

    pub fn send(&mut self, ask: Call) -> RequestId {
        let request = self.next;
        self.next += 1;
        let kind = match ask.model {
            "" => CallKind::Plain,
            model => CallKind::Model(ModelCall {
                model: model.into(),
                prompt_tokens: ask.prompt,
                max_tokens: 200,
                blocks: ask.blocks,
            }),
        };
        let profile = RequestProfile {
            parts: Vec::new(),
            request,
            workspace: ask.workspace.into(),
            service: ask.service.into(),
            tier: ask.tier,
            deadline: self.now + ask.deadline,
            idempotent: ask.idempotent,
            fingerprint: ask.fingerprint.unwrap_or(request),
            kind,
            options: ask.terms,
        };
        self.handle(SchedulerEvent::Arrived(Box::new(profile)));
        request
    }

    pub fn end(&mut self, request: RequestId, attempt: u32, end: AttemptEnd) {
        if !matches!(end, AttemptEnd::NotSent | AttemptEnd::Unreached | AttemptEnd::Withheld) {
            self.handle(SchedulerEvent::AttemptStarted(request, attempt));
        }
        self.handle(SchedulerEvent::AttemptEnded(request, attempt, end));
    }

    pub fn progress(&mut self, request: RequestId, attempt: u32, tokens: u32, first_ms: u64) {
        self.handle(SchedulerEvent::AttemptProgress(AttemptProgress {
            request,
            attempt,
            tokens,
            prefill_tokens: None,
            cached_tokens: None,
            first_token: Duration::from_millis(first_ms),
        }));
    }

    /// Advances the clock while the targets keep reporting.
    pub fn advance(&mut self, duration: Duration) {
        self.advance_time(duration, true);
    }

    /// Advances the clock without reports from the targets.
    pub fn advance_silently(&mut self, duration: Duration) {
        self.advance_time(duration, false);
    }

    fn advance_time(&mut self, duration: Duration, reports: bool) {
        let end = self.now + duration;
        let mut all = Vec::new();
        while self.now < end {
            self.now = (self.now + Duration::from_millis(100)).min(end);
            for name in if reports { self.reporting.clone() } else { Vec::new() } {
                self.report(&name, 1, TargetState::Warm);
                all.append(&mut self.actions);
            }
            self.handle(SchedulerEvent::Tick);
            all.append(&mut self.actions);
        }
        self.actions = all;
    }

    /// Request and target of each dispatch of the last event.
    pub fn dispatched(&self) -> Vec<(RequestId, AttemptNumber, TargetName)> {
        self.actions
            .iter()
            .filter_map(|action| match action {
                SchedulerAction::Dispatch { request, attempt, target } => {
                    Some((*request, *attempt, target.clone()))
                }
                _ => None,
            })
            .collect()
    }

    /// Attempts that have not ended, in the order of their dispatch.
    pub fn running(&self) -> Vec<(RequestId, AttemptNumber)> {
        self.running.clone()
    }

    /// Request, code and outcome of each refusal of the last event.
    pub fn refused(&self) -> Vec<(RequestId, RefusalCode, CallOutcome)> {
        self.actions
            .iter()
            .filter_map(|action| match action {
                SchedulerAction::Refuse { request, refusal } => {
                    Some((*request, refusal.code, refusal.outcome))
                }
                _ => None,
            })
            .collect()
    }

    pub fn waiting(&self) -> u32 {
        self.scheduler.waiting_by_tier().iter().sum()
    }
}
