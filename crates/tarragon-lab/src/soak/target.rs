//! Fake targets: engines and plain services that execute calls in virtual time and report their load with
//! a lag.

use std::{collections::VecDeque, time::Duration};

use indexmap::{IndexMap, IndexSet};
use tarragon_protocol::{peer::PlainAnswer, prelude::*};

use super::check::AskId;
use crate::engine::{EngineCall, EngineProfile, EngineProgress, FakeEngine};

/// Time that a target stays cold after a start.
const COLD_TIME: Duration = Duration::from_secs(12);
/// Slowness of a cold engine relative to a warm one.
const COLD_FACTOR: f64 = 3.0;
/// Additional slowness of a cold target that gets more work than it bears.
const COLLAPSE_FACTOR: f64 = 5.0;

/// Identifies one attempt of one process at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct RunKey {
    /// Index of the VM.
    pub(crate) vm: usize,
    /// Process that sent the attempt.
    pub(crate) incarnation: Incarnation,
    /// Request.
    pub(crate) request: RequestId,
    /// Attempt.
    pub(crate) attempt: AttemptNumber,
}

/// A call that a target executes.
#[derive(Debug, Clone)]
pub(crate) struct TargetCall {
    /// Logical call of the caller.
    pub(crate) call: usize,
    /// What the sending asked for.
    pub(crate) ask: AskId,
    /// Same for each sending of the request.
    pub(crate) fingerprint: Fingerprint,
    /// Whether running it crashes the target.
    pub(crate) poison: bool,
    /// What it takes to execute it.
    pub(crate) work: TargetWork,
}

/// What it takes to execute a call.
#[derive(Debug, Clone)]
pub(crate) enum TargetWork {
    /// Generation.
    Engine(EngineCall),
    /// Time of a plain service.
    Plain(Duration),
}

/// One fake target.
pub(crate) struct FakeTarget {
    /// Name.
    pub(crate) name: TargetName,
    /// Service.
    pub(crate) service: ServiceName,
    /// Index of the data centre.
    pub(crate) data_centre: usize,
    /// Present if the target is a model engine.
    pub(crate) engine: Option<FakeEngine<RunKey>>,
    /// Changes at each start.
    pub(crate) restart: u64,
    /// Cold, warm or leaving.
    pub(crate) state: TargetState,
    /// When the present state began.
    pub(crate) state_since: Duration,
    /// Time that each step takes relative to the ordinary one.
    pub(crate) slowness: f64,
    /// Calls in execution.
    pub(crate) running: IndexMap<RunKey, TargetCall>,
    /// Cancellations that arrived before the call.
    pub(crate) cancelled: IndexSet<RunKey>,
    /// Whether an event for the next step is scheduled.
    pub(crate) stepping: bool,
    down_until: Duration,
    bears: [u32; 2],
    lag: Duration,
    snapshots: VecDeque<(Duration, LoadReport)>,
    model: ModelName,
}

/// What a target is made of.
#[derive(Debug, Clone)]
pub(crate) struct TargetPlan {
    /// Name.
    pub(crate) name: String,
    /// Service.
    pub(crate) service: String,
    /// Index of the data centre.
    pub(crate) data_centre: usize,
    /// Speed, if it is a model engine.
    pub(crate) engine: Option<EngineProfile>,
    /// Concurrent requests that it bears when cold and when warm.
    pub(crate) bears: [u32; 2],
    /// Age of its reports.
    pub(crate) lag: Duration,
    /// Model that it holds.
    pub(crate) model: String,
}

impl FakeTarget {
    /// A warm target.
    pub(crate) fn new(plan: &TargetPlan) -> FakeTarget {
        FakeTarget {
            name: plan.name.as_str().into(),
            service: plan.service.as_str().into(),
            data_centre: plan.data_centre,
            engine: plan.engine.map(FakeEngine::new),
            restart: 1,
            state: TargetState::Warm,
            state_since: Duration::ZERO,
            slowness: 1.0,
            running: IndexMap::new(),
            cancelled: IndexSet::new(),
            stepping: false,
            down_until: Duration::ZERO,
            bears: plan.bears,
            lag: plan.lag,
            snapshots: VecDeque::new(),
            model: plan.model.as_str().into(),
        }
    }

    /// Concurrent requests that the target carries in its present state.
    pub(crate) fn bears(&self) -> u32 {
        match self.state {
            TargetState::Cold => self.bears[0],
            TargetState::Warm | TargetState::Leaving => self.bears[1],
        }
    }

    /// Whether a process listens.
    pub(crate) fn listens(&self, now: Duration) -> bool {
        now >= self.down_until
    }

    /// Takes a call. The result is the time that a plain call needs; an engine reports by its steps.
    pub(crate) fn receive(
        &mut self,
        now: Duration,
        key: RunKey,
        call: TargetCall,
    ) -> Option<Duration> {
        let work = call.work.clone();
        self.running.insert(key, call);
        match (work, &mut self.engine) {
            (TargetWork::Engine(call), Some(engine)) => {
                engine.admit(now, key, call);
                None
            }
            (TargetWork::Plain(time), _) => Some(time.mul_f64(self.present_slowness())),
            (TargetWork::Engine(_), None) => Some(Duration::from_millis(1)),
        }
    }

    /// Lets an engine work until now.
    pub(crate) fn step(&mut self, now: Duration) -> Vec<EngineProgress<RunKey>> {
        let slowness = self.present_slowness();
        let Some(engine) = &mut self.engine else { return Vec::new() };
        engine.advance(now, slowness)
    }

    /// Ends a call.
    pub(crate) fn finish(&mut self, key: &RunKey) -> Option<TargetCall> {
        self.running.swap_remove(key)
    }

    /// Stops a call at the wish of its sender. A plain call runs on.
    pub(crate) fn cancel(&mut self, key: &RunKey) -> bool {
        let Some(engine) = &mut self.engine else { return false };
        engine.cancel(*key);
        self.running.swap_remove(key).is_some()
    }

    /// Stops the process. All calls break off; it listens again after `down` and is then cold.
    pub(crate) fn crash(&mut self, now: Duration, down: Duration) -> IndexMap<RunKey, TargetCall> {
        self.restart += 1;
        self.down_until = now + down;
        self.turn_cold(self.down_until);
        self.snapshots.clear();
        if let Some(engine) = &mut self.engine {
            engine.clear();
        }
        std::mem::take(&mut self.running)
    }

    /// Becomes cold again without a restart.
    pub(crate) fn turn_cold(&mut self, now: Duration) {
        self.state = TargetState::Cold;
        self.state_since = now;
    }

    /// Starts to leave.
    pub(crate) fn leave(&mut self, now: Duration) {
        self.state = TargetState::Leaving;
        self.state_since = now;
    }

    /// Warms up when its time has come, and keeps a snapshot for lagging reports.
    pub(crate) fn observe(&mut self, now: Duration) {
        if self.state == TargetState::Cold && now >= self.state_since + COLD_TIME {
            self.state = TargetState::Warm;
            self.state_since = now;
        }
        if self.listens(now) {
            let report = self.present_report();
            self.snapshots.push_back((now, report));
        }
        while self.snapshots.len() > 1 && self.snapshots[1].0 + self.lag <= now {
            self.snapshots.pop_front();
        }
    }

    /// The report that the target gives now: of a moment one lag ago, but never of a former process.
    pub(crate) fn lagging_report(&self, now: Duration) -> Option<LoadReport> {
        if !self.listens(now) {
            return None;
        }
        let Some((taken, report)) = self.snapshots.front() else {
            return Some(self.present_report());
        };
        let lag_ms = (now - *taken).as_millis() as u64;
        Some(LoadReport { lag_ms, ..report.clone() })
    }

    fn present_slowness(&self) -> f64 {
        if self.state != TargetState::Cold {
            return self.slowness;
        }
        let overloaded = self.running.len() as u32 > self.bears();
        self.slowness * COLD_FACTOR * if overloaded { COLLAPSE_FACTOR } else { 1.0 }
    }

    fn present_report(&self) -> LoadReport {
        let (running, waiting, free) = match &self.engine {
            Some(engine) => {
                let (running, waiting) = engine.occupancy();
                (running, waiting, engine.free_tokens())
            }
            None => (self.running.len() as u32, 0, 0),
        };
        LoadReport {
            restart_id: self.restart,
            state: self.state,
            capacity: self.bears(),
            running,
            waiting,
            free_cache_tokens: u64::from(free),
            models: if self.engine.is_some() { vec![self.model.clone()] } else { Vec::new() },
            fencing: 0,
            last_order_age_ms: None,
            lag_ms: 0,
        }
    }
}

/// The answer that a plain service gives to a call. It names the call, so that a foreign answer shows.
pub(crate) fn plain_answer(call: usize) -> PlainAnswer {
    PlainAnswer {
        status: 200,
        headers: Vec::new(),
        body: format!("call {call}").into_bytes().into(),
    }
}
