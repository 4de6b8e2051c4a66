//! A minimal environment of a scheduler, which generates its events and checks its actions.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use proptest::{prelude::*, sample::Index, test_runner::TestCaseError};
use tarragon_config::rules::{PolicyRule, RuleSet, WorkspaceRule};
use tarragon_protocol::{
    engine::{CacheChange, CacheEvent},
    load::TargetState,
    peer::{PeerIdentity, SuspectEntry},
};
use tarragon_scheduler::prelude::*;

#[derive(Debug, Clone)]
pub enum Step {
    Arrive {
        tier: usize,
        workspace: u8,
        service: u8,
        idempotent: bool,
        prompt: u32,
        fingerprint: u8,
    },
    End(Index, AttemptEnd),
    Progress(Index, u32, u64),
    Disconnect(Index),
    Advance(u64),
    List(u8, bool),
    Remove(u8),
    Slots(u8, u32, bool),
    Report(u8, u64, u64),
    Cache(u8, u64, u8),
    Peer(u8, usize),
    ForgetPeer(u8),
    Suspect(u8, bool),
    Rules(u8),
}

/// State of a request as its caller and the targets see it.
#[derive(Debug)]
struct Call {
    idempotent: bool,
    attempts: AttemptNumber,
    running: bool,
    ended: bool,
    may_have_run: bool,
}

pub struct World {
    scheduler: Scheduler,
    now: Instant,
    calls: IndexMap<RequestId, Call>,
}

impl World {
    pub fn new(seed: u64) -> World {
        let limits = SchedulerLimits { waiting: 12, waiting_tokens: 40_000 };
        let scheduler = Scheduler::new(limits, seed);
        let mut world = World { scheduler, now: Instant::now(), calls: IndexMap::new() };
        for target in 0..6 {
            for step in [Step::List(target, true), Step::Slots(target, 2, false)] {
                let event = external_event(&step, world.now);
                world.scheduler.handle(world.now, event, &mut Vec::new());
            }
        }
        world
    }

    pub fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match step {
            Step::Arrive { .. } => return self.arrive(step),
            Step::End(pick, end) => {
                if let Some(request) = self.pick_running(pick) {
                    return self.end(request, *end);
                }
            }
            Step::Progress(pick, tokens, first) => {
                if let Some(request) = self.pick_running(pick) {
                    let attempt = self.calls[&request].attempts;
                    self.calls[&request].may_have_run = true;
                    return self.handle(SchedulerEvent::AttemptProgress(AttemptProgress {
                        request,
                        attempt,
                        tokens: *tokens,
                        prefill_tokens: tokens.is_multiple_of(2).then_some(100),
                        cached_tokens: tokens.is_multiple_of(2).then_some(64),
                        first_token: Duration::from_millis(*first),
                    }));
                }
            }
            Step::Disconnect(pick) => {
                if let Some(request) = self.pick(pick, |call| !call.ended) {
                    return self.disconnect(request);
                }
            }
            Step::Advance(millis) => {
                self.now += Duration::from_millis(*millis);
                return self.handle(SchedulerEvent::Tick);
            }
            _ => return self.handle(external_event(step, self.now)),
        }
        Ok(())
    }

    pub fn statistics(&self) -> &SchedulerStatistics {
        self.scheduler.statistics()
    }

    /// Lets all deadlines pass, finishes the running attempts, and checks that every request has ended and
    /// that all counters are zero.
    pub fn finish(&mut self) -> Result<(), TestCaseError> {
        // In half of the cases the process hands its queue to a peer.
        if self.calls.len().is_multiple_of(2) {
            self.handle(SchedulerEvent::DrainStarted)?;
            for profile in self.scheduler.release_waiting() {
                let call = &mut self.calls[&profile.request];
                prop_assert!(!call.ended && call.attempts == 0, "handed over: {call:?}");
                call.ended = true;
            }
        }
        for _ in 0..60 {
            self.now += Duration::from_secs(1);
            self.handle(SchedulerEvent::Tick)?;
            while let Some(request) = self.calls.iter().find(|(_, call)| call.running) {
                let request = *request.0;
                self.end(request, AttemptEnd::Finished)?;
            }
        }
        let open = self.calls.iter().find(|(_, call)| !call.ended);
        prop_assert!(open.is_none(), "never ended: {open:?}");
        let dump = self.scheduler.dump(self.now);
        prop_assert_eq!((dump.in_flight, dump.waiting_tokens, dump.waiting), (0, 0, [0; 4]));
        for target in &dump.targets {
            prop_assert_eq!((target.in_flight, target.pending_prefill), (0, 0));
        }
        for usage in &dump.workspaces {
            let counts = (usage.in_flight, usage.waiting, usage.queued_tokens);
            prop_assert_eq!(counts, (0, 0, 0), "{}", usage.workspace);
        }
        Ok(())
    }

    fn arrive(&mut self, step: &Step) -> Result<(), TestCaseError> {
        let Step::Arrive { tier, workspace, service, idempotent, prompt, fingerprint } = step
        else {
            return Ok(());
        };
        let request = self.calls.len() as RequestId + 1;
        let blocks = (0..u64::from(prompt / 64)).map(|block| block + 1_000).collect();
        let kind = match service {
            0 => CallKind::Plain,
            _ => CallKind::Model(ModelCall {
                model: "assess".into(),
                prompt_tokens: *prompt,
                max_tokens: 500,
                blocks,
            }),
        };
        let profile = RequestProfile {
            parts: Vec::new(),
            request,
            workspace: format!("w{workspace}").into(),
            service: format!("s{service}").into(),
            tier: Tier::DESCENDING[*tier],
            deadline: self.now + Duration::from_millis(u64::from(*prompt) * 4),
            idempotent: *idempotent,
            fingerprint: u64::from(*fingerprint),
            kind,
            options: CallOptions::default(),
        };
        let call = Call {
            idempotent: *idempotent,
            attempts: 0,
            running: false,
            ended: false,
            may_have_run: false,
        };
        self.calls.insert(request, call);
        self.handle(SchedulerEvent::Arrived(Box::new(profile)))
    }

    fn end(&mut self, request: RequestId, end: AttemptEnd) -> Result<(), TestCaseError> {
        let call = &mut self.calls[&request];
        call.running = false;
        let attempt = call.attempts;
        let unwritten = [
            AttemptEnd::NotSent,
            AttemptEnd::Unreached,
            AttemptEnd::Withheld,
            AttemptEnd::Rejected,
        ];
        call.may_have_run |= !unwritten.contains(&end);
        if end == AttemptEnd::Finished {
            call.ended = true;
        }
        if !unwritten.contains(&end) {
            self.handle(SchedulerEvent::AttemptStarted(request, attempt))?;
        }
        self.handle(SchedulerEvent::AttemptEnded(request, attempt, end))
    }

    fn disconnect(&mut self, request: RequestId) -> Result<(), TestCaseError> {
        let call = &mut self.calls[&request];
        call.ended = call.idempotent || !call.running;
        self.handle(SchedulerEvent::Disconnected(request))
    }

    fn handle(&mut self, event: SchedulerEvent) -> Result<(), TestCaseError> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        for action in actions {
            self.check(action)?;
        }
        Ok(())
    }

    fn check(&mut self, action: SchedulerAction) -> Result<(), TestCaseError> {
        match action {
            SchedulerAction::Dispatch { request, attempt, .. } => {
                let call = &mut self.calls[&request];
                prop_assert!(!call.ended && !call.running, "dispatched: {request} {call:?}");
                prop_assert!(
                    call.idempotent || !call.may_have_run,
                    "run twice: {request} {call:?}"
                );
                prop_assert_eq!(attempt, call.attempts + 1);
                call.attempts = attempt;
                call.running = true;
            }
            SchedulerAction::Refuse { request, refusal } => {
                let call = &mut self.calls[&request];
                prop_assert!(!call.ended && !call.running, "refused: {request} {call:?}");
                if call.may_have_run {
                    prop_assert_eq!(refusal.outcome, CallOutcome::Unknown, "{}", request);
                }
                call.ended = true;
            }
            SchedulerAction::Cancel { request, .. } => {
                prop_assert!(self.calls[&request].running, "cancelled: {request}");
            }
            _ => {}
        }
        Ok(())
    }

    fn pick_running(&self, pick: &Index) -> Option<RequestId> {
        self.pick(pick, |call| call.running)
    }

    fn pick<F>(&self, pick: &Index, filter: F) -> Option<RequestId>
    where
        F: Fn(&Call) -> bool,
    {
        let open: Vec<RequestId> =
            self.calls.iter().filter(|(_, call)| filter(call)).map(|(id, _)| *id).collect();
        (!open.is_empty()).then(|| open[pick.index(open.len())])
    }
}

fn target_name(target: u8) -> TargetName {
    format!("t{target}").into()
}

fn peer(peer: u8) -> PeerIdentity {
    PeerIdentity { vm: format!("vm{peer}").into(), incarnation: 1 }
}

fn external_event(step: &Step, now: Instant) -> SchedulerEvent {
    match step {
        Step::List(target, in_service) => SchedulerEvent::TargetListed(TargetEntry {
            target: target_name(*target),
            service: format!("s{}", target % 3).into(),
            in_service: *in_service || target % 2 == 0,
            remote: false,
            build: None,
            process: None,
        }),
        Step::Remove(target) => SchedulerEvent::TargetRemoved(target_name(*target)),
        Step::Slots(target, slots, cold) => SchedulerEvent::SlotsChanged(TargetSlots {
            target: target_name(*target),
            slots: *slots,
            capacity: *slots,
            cold: *cold,
        }),
        Step::Report(target, restart, age) => SchedulerEvent::LoadReported {
            target: target_name(*target),
            report: report(*restart),
            age: Duration::from_millis(*age),
        },
        Step::Cache(target, sequence, change) => {
            let change = match change {
                0 => CacheChange::Stored,
                1 => CacheChange::Evicted,
                _ => CacheChange::Cleared,
            };
            let event =
                CacheEvent { sequence: *sequence, change, blocks: vec![1_000, 1_001, 1_002] };
            SchedulerEvent::CacheReported(target_name(*target), vec![event])
        }
        Step::Peer(index, floor) => SchedulerEvent::PeerReported(PeerPressure {
            peer: peer(*index),
            shed_floor: Tier::DESCENDING[*floor],
            waiting: [3; 4],
            received: now,
        }),
        Step::ForgetPeer(index) => SchedulerEvent::PeerForgotten(peer(*index)),
        Step::Suspect(fingerprint, convicted) => SchedulerEvent::SuspectReported(SuspectEntry {
            convicted: *convicted,
            age_ms: 10,
            ..SuspectEntry::of_request(u64::from(*fingerprint), [(target_name(0), 9)])
        }),
        Step::Rules(variant) => SchedulerEvent::RulesChanged(Arc::new(rules(*variant))),
        _ => SchedulerEvent::Tick,
    }
}

fn report(restart: u64) -> LoadReport {
    LoadReport {
        restart_id: restart,
        state: TargetState::Warm,
        capacity: 4,
        running: 1,
        waiting: 0,
        free_cache_tokens: 1_000,
        models: vec!["assess".into()],
        fencing: 0,
        last_order_age_ms: None,
        lag_ms: 0,
    }
}

fn rules(variant: u8) -> RuleSet {
    let mut rules = RuleSet::default();
    let limited = WorkspaceRule {
        concurrency: Some(u32::from(variant)),
        queued_tokens: Some(5_000),
        rate: Some(20.0),
        ..WorkspaceRule::default()
    };
    rules.workspaces.insert("w0".into(), limited);
    let choose = ["random", "round-robin", "least-requests"][usize::from(variant)];
    let policy = PolicyRule { choose: Some(choose.to_owned()), ..PolicyRule::default() };
    rules.policies.insert("s1".into(), policy);
    rules
}
