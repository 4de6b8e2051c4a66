//! Plays a load against a small model of targets, and judges each refusal by what was started afterwards.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tarragon_protocol::load::TargetState;

use super::*;

/// Slots of this process at each target.
const SLOTS: u32 = 2;

/// Mean time of a usual request at a fast target, the part of it before the first token, and the factor of slow
/// targets: a third of them.
const SERVICE_TIME: Duration = Duration::from_millis(300);
const FIRST_TOKEN_FRACTION: f64 = 0.2;
const SLOW_FACTOR: f64 = 3.0;

/// Tokens of an answer and of a usual prompt.
const ANSWER_TOKENS: u32 = 20;
const PROMPT_TOKENS: u32 = 200;

/// Prompt of a huge request, its time as a multiple of a usual one, and how long its caller waits.
const HUGE_PROMPT: u32 = 50_000;
const HUGE_FACTOR: f64 = 20.0;
const HUGE_PATIENCE: Duration = Duration::from_secs(60);

/// Callers honour retry-after up to this fraction of the time that they have left.
const HONOURED_FRACTION: f64 = 1.0 / 3.0;

/// A request counts as servable only if it could have been sent this long before its caller gives up: refusals
/// begin one tick and the way of an answer before that, and the first token takes some time.
const START_RESERVE: Duration = Duration::from_millis(250);

/// Waits are judged to one tick, with which requests become late.
const TICK: Duration = Duration::from_millis(100);

/// A span with a load relative to the capacity of all targets.
#[derive(Debug, Clone, Copy)]
pub struct LoadPhase {
    pub seconds: f64,
    pub load: f64,
}

/// What is played.
#[derive(Debug, Clone)]
pub struct PlayScript {
    pub targets: usize,
    pub phases: Vec<LoadPhase>,
    /// Times at which a huge request of the tier arrives.
    pub huge: Vec<(f64, Tier)>,
    /// Requests that arrive at once, in the tier normal.
    pub bursts: Vec<(f64, usize)>,
    /// Times at which the slots at each target change.
    pub slots: Vec<(f64, u32)>,
    /// From when and until when every second target is cold.
    pub cold: Option<(f64, f64)>,
    /// Whether all requests are alike: tier normal, rank 0, no objective.
    pub uniform: bool,
}

impl Default for PlayScript {
    fn default() -> PlayScript {
        PlayScript {
            targets: 6,
            phases: Vec::new(),
            huge: Vec::new(),
            bursts: Vec::new(),
            slots: Vec::new(),
            cold: None,
            uniform: false,
        }
    }
}

/// What became of the requests.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlayResult {
    pub requests: usize,
    pub started: usize,
    /// Refusals, of those that came back too.
    pub refusals: usize,
    /// Refused, though something that comes later in the queue was started in time instead.
    pub refused_wrongly: usize,
    /// Refused for good after more than a third of the patience.
    pub kept_long: usize,
    /// Kept until they could no longer start, and too long to come back.
    pub kept_to_end: usize,
    /// Sum of the waits that ended with a refusal.
    pub vain_wait: Duration,
    /// Callers that came back, and those who were served then.
    pub returned: usize,
    pub served_on_return: usize,
    /// Urgent requests that were refused for good, and that were started.
    pub urgent: (usize, usize),
    /// Refusals by forecast.
    pub by_forecast: u64,
}

impl PlayResult {
    /// Adds the counts of another play.
    pub fn add(&mut self, other: &PlayResult) {
        self.requests += other.requests;
        self.started += other.started;
        self.refusals += other.refusals;
        self.refused_wrongly += other.refused_wrongly;
        self.kept_long += other.kept_long;
        self.kept_to_end += other.kept_to_end;
        self.vain_wait += other.vain_wait;
        self.returned += other.returned;
        self.served_on_return += other.served_on_return;
        self.urgent.0 += other.urgent.0;
        self.urgent.1 += other.urgent.1;
        self.by_forecast += other.by_forecast;
    }
}

/// A request of a caller.
#[derive(Debug, Clone)]
struct PlayedCall {
    caller: usize,
    tier: Tier,
    rank: u8,
    arrived: Instant,
    objective: Option<Instant>,
    patience: Instant,
    huge: bool,
    is_return: bool,
    order: u64,
}

/// A caller, who sends a request at most twice.
#[derive(Debug, Clone)]
struct PlayedCaller {
    first_order: u64,
    came_back: bool,
    is_started: bool,
}

struct StartSeen {
    at: Instant,
    tier: Tier,
    rank: u8,
    objective: Option<Instant>,
    order: u64,
}

struct RefusalSeen {
    at: Instant,
    call: PlayedCall,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PlayEvent {
    Tick,
    FirstToken(RequestId, AttemptNumber),
    Finish(RequestId, AttemptNumber),
    Slots(u32),
    Cold(bool),
    Send(usize),
}

pub struct Play {
    driver: Driver,
    script: PlayScript,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Instant, u64, PlayEvent)>>,
    sequence: u64,
    begun: Instant,
    /// Calls that wait to be sent, and those that were sent.
    prepared: Vec<PlayedCall>,
    sent: IndexMap<RequestId, PlayedCall>,
    callers: Vec<PlayedCaller>,
    starts: Vec<StartSeen>,
    refusals: Vec<RefusalSeen>,
    /// Times at which slots were free and nothing waited.
    idle: Vec<Instant>,
    slots: u32,
    running: usize,
    result: PlayResult,
}

impl Play {
    pub fn run(script: PlayScript, seed: u64) -> PlayResult {
        let driver = Driver::contended(script.targets, SLOTS);
        let begun = driver.now;
        let mut play = Play {
            driver,
            script,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            sequence: 0,
            begun,
            prepared: Vec::new(),
            sent: IndexMap::new(),
            callers: Vec::new(),
            starts: Vec::new(),
            refusals: Vec::new(),
            idle: Vec::new(),
            slots: SLOTS,
            running: 0,
            result: PlayResult::default(),
        };
        play.prepare();
        while let Some(Reverse((at, _, event))) = play.events.pop() {
            play.driver.now = at;
            play.handle(event);
        }
        play.judge()
    }

    fn at(&self, seconds: f64) -> Instant {
        self.begun + Duration::from_secs_f64(seconds)
    }

    fn push(&mut self, at: Instant, event: PlayEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Requests a second that the targets can serve.
    fn capacity(&self) -> f64 {
        let factors = (0..self.script.targets).map(speed_factor);
        let slots = f64::from(SLOTS);
        factors.map(|factor| slots / (SERVICE_TIME.as_secs_f64() * factor)).sum()
    }

    fn prepare(&mut self) {
        let script = self.script.clone();
        let capacity = self.capacity();
        let mut at = 0.0;
        let mut end = 0.0;
        for phase in &script.phases {
            end += phase.seconds;
            loop {
                let gap = -self.rng.random_range(1e-9..1.0_f64).ln() / (phase.load * capacity);
                if at + gap >= end {
                    at = end;
                    break;
                }
                at += gap;
                self.prepare_call(at, None);
            }
        }
        for (at, count) in &script.bursts {
            (0..*count).for_each(|_| self.prepare_call(*at, None));
        }
        for (at, tier) in &script.huge {
            self.prepare_call(*at, Some(*tier));
        }
        for (at, slots) in &script.slots {
            self.push(self.at(*at), PlayEvent::Slots(*slots));
        }
        if let Some((from, to)) = script.cold {
            self.push(self.at(from), PlayEvent::Cold(true));
            self.push(self.at(to), PlayEvent::Cold(false));
        }
        let ticks = ((end + 5.0) / TICK.as_secs_f64()) as u32;
        (1..=ticks).for_each(|tick| self.push(self.begun + TICK * tick, PlayEvent::Tick));
    }

    fn prepare_call(&mut self, at: f64, huge: Option<Tier>) {
        let (mut tier, mut rank, mut objective) = (Tier::Normal, 0, None);
        if !self.script.uniform {
            tier = match self.rng.random_range(0..100) {
                0..15 => Tier::Urgent,
                15..40 => Tier::High,
                40..85 => Tier::Normal,
                _ => Tier::Routine,
            };
            rank = self.rng.random_range(0..3);
            objective = Some(Duration::from_millis(self.rng.random_range(400..=800)));
        }
        let patience = Duration::from_millis(self.rng.random_range(2_400..=3_200));
        let arrived = self.at(at);
        let call = PlayedCall {
            caller: self.callers.len(),
            tier: huge.unwrap_or(tier),
            rank,
            arrived,
            objective: objective.map(|objective| arrived + objective),
            patience: arrived + if huge.is_some() { HUGE_PATIENCE } else { patience },
            huge: huge.is_some(),
            is_return: false,
            order: 0,
        };
        self.callers.push(PlayedCaller { first_order: 0, came_back: false, is_started: false });
        self.schedule_call(call);
        self.result.requests += 1;
    }

    fn schedule_call(&mut self, call: PlayedCall) {
        let at = call.arrived;
        self.prepared.push(call);
        self.push(at, PlayEvent::Send(self.prepared.len() - 1));
    }

    fn handle(&mut self, event: PlayEvent) {
        match event {
            PlayEvent::Tick => {
                for target in 0..self.script.targets {
                    self.driver.report(&target_name(target), 1, TargetState::Warm);
                    self.observe();
                }
                self.driver.handle(SchedulerEvent::Tick);
            }
            PlayEvent::FirstToken(request, attempt) => {
                let first = self.driver.now - self.start_of(request);
                self.driver.progress(request, attempt, 1, first.as_millis() as u64);
            }
            PlayEvent::Finish(request, attempt) => {
                self.driver.progress(request, attempt, ANSWER_TOKENS, 0);
                self.observe();
                self.running -= 1;
                self.driver.end(request, attempt, AttemptEnd::Finished);
            }
            PlayEvent::Slots(slots) => {
                self.slots = slots;
                for target in 0..self.script.targets {
                    self.driver.set_slots(&target_name(target), slots, false);
                    self.observe();
                }
            }
            PlayEvent::Cold(cold) => {
                for target in (0..self.script.targets).step_by(2) {
                    let slots = if cold { 1 } else { self.slots };
                    self.driver.set_slots(&target_name(target), slots, cold);
                    self.observe();
                }
            }
            PlayEvent::Send(index) => self.send(index),
        }
        self.observe();
        let slots = self.script.targets * self.slots as usize;
        if self.driver.waiting() == 0 && self.running < slots {
            self.idle.push(self.driver.now);
        }
    }

    fn start_of(&self, request: RequestId) -> Instant {
        let order = self.sent[&request].order;
        let start = self.starts.iter().rev().find(|start| start.order == order);
        start.map_or(self.begun, |start| start.at)
    }

    fn send(&mut self, index: usize) {
        let mut call = self.prepared[index].clone();
        let PlayedCall { caller, tier, rank, objective, patience, huge, .. } = call;
        self.sequence += 1;
        // A request that has come back keeps its place.
        call.order = match self.callers[caller].came_back {
            true => self.callers[caller].first_order,
            false => self.sequence,
        };
        self.callers[caller].first_order = call.order;
        let terms = CallOptions {
            rank,
            first_output_objective: objective,
            first_output_deadline: Some(patience),
            ..CallOptions::default()
        };
        let request = self.driver.next_request();
        self.sent.insert(request, call);
        self.driver.send(Call {
            tier,
            terms,
            deadline: Duration::from_secs(60),
            fingerprint: Some(1_000_000 + caller as u64),
            prompt: if huge { HUGE_PROMPT } else { PROMPT_TOKENS },
            ..Call::default()
        });
    }

    /// Takes the actions of the last event.
    fn observe(&mut self) {
        let now = self.driver.now;
        let actions = std::mem::take(&mut self.driver.actions);
        for action in actions {
            match action {
                SchedulerAction::Dispatch { request, attempt, target } => {
                    let call = self.sent[&request].clone();
                    self.start(request, attempt, &target, &call);
                }
                SchedulerAction::Refuse { request, refusal } => {
                    assert_eq!(refusal.outcome, CallOutcome::NotRun);
                    self.refuse(request, refusal.retry_after, now);
                }
                _ => {}
            }
        }
    }

    fn start(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
        target: &str,
        call: &PlayedCall,
    ) {
        let now = self.driver.now;
        let caller = &mut self.callers[call.caller];
        caller.is_started = true;
        self.result.started += 1;
        self.result.served_on_return += usize::from(caller.came_back);
        self.result.urgent.1 += usize::from(call.tier == Tier::Urgent);
        let PlayedCall { tier, rank, objective, order, .. } = *call;
        self.starts.push(StartSeen { at: now, tier, rank, objective, order });
        self.running += 1;
        let target: usize = target[1..].parse().unwrap();
        let size = if call.huge { HUGE_FACTOR } else { self.rng.random_range(0.5..1.5) };
        let time = SERVICE_TIME.mul_f64(size * speed_factor(target));
        self.push(
            now + time.mul_f64(FIRST_TOKEN_FRACTION),
            PlayEvent::FirstToken(request, attempt),
        );
        self.push(now + time, PlayEvent::Finish(request, attempt));
    }

    fn refuse(&mut self, request: RequestId, delay: Option<Duration>, now: Instant) {
        let call = self.sent[&request].clone();
        let left = call.patience.saturating_duration_since(now);
        let waited = now - call.arrived;
        self.result.refusals += 1;
        self.result.vain_wait += waited;
        self.refusals.push(RefusalSeen { at: now, call: call.clone() });
        let caller = &mut self.callers[call.caller];
        let delay = delay.unwrap_or_default().min(left.mul_f64(HONOURED_FRACTION));
        if !caller.came_back && !left.is_zero() {
            caller.came_back = true;
            self.result.returned += 1;
            let arrived = now + delay;
            let objective = call.objective.map(|objective| arrived + (objective - call.arrived));
            self.schedule_call(PlayedCall { arrived, objective, is_return: true, ..call });
        }
    }

    fn judge(mut self) -> PlayResult {
        self.result.by_forecast = self.driver.scheduler.statistics().forecast_refusals.iter().sum();
        for refusal in &self.refusals {
            let RefusalSeen { at, call } = refusal;
            if self.callers[call.caller].is_started {
                continue;
            }
            self.result.urgent.0 += usize::from(call.tier == Tier::Urgent);
            let wrongly = self.could_have_started(*at, call);
            self.result.refused_wrongly += usize::from(wrongly);
            let patience = call.patience - call.arrived;
            self.result.kept_long += usize::from((*at - call.arrived) * 3 > patience);
            self.result.kept_to_end +=
                usize::from(!call.is_return && *at + START_RESERVE > call.patience);
        }
        self.result
    }

    /// Whether a slot stayed free between a refusal and the last moment for the request, or went to one that comes
    /// behind it. A late request comes behind those in time of its tier, or of its own and the next rank; only
    /// what is behind it by both rules counts.
    fn could_have_started(&self, refused: Instant, call: &PlayedCall) -> bool {
        let Some(last) = call.patience.checked_sub(START_RESERVE) else { return false };
        // No forecast can know of slots that are added later.
        let changes = self.script.slots.iter().map(|(at, _)| self.at(*at));
        let last = changes.filter(|at| refused < *at).fold(last, Instant::min);
        let is_within = |at: Instant| refused < at && at <= last;
        let is_behind = |start: &StartSeen| {
            if start.tier != call.tier {
                return start.tier < call.tier;
            }
            let call_late = call.objective.is_some_and(|objective| objective < start.at);
            let start_late = start.objective.is_some_and(|objective| objective + TICK < start.at);
            let by_lateness =
                (start_late, start.rank, start.order) > (call_late, call.rank, call.order);
            let by_rank = (start.rank + u8::from(start_late), start_late, start.order)
                > (call.rank + u8::from(call_late), call_late, call.order);
            by_lateness && by_rank
        };
        self.idle.iter().any(|at| is_within(*at))
            || self.starts.iter().any(|start| is_within(start.at) && is_behind(start))
    }
}

fn target_name(target: usize) -> String {
    format!("t{target}")
}

fn speed_factor(target: usize) -> f64 {
    if target % 3 == 2 { SLOW_FACTOR } else { 1.0 }
}
