//! A fleet whose targets name the rejections that they can bear, in virtual time. From some time on the targets let
//! no request wait, and one that rejects more than that in a second fails and is restarted.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use rand::Rng;

use crate::{
    fleet_network::{EventQueue, FleetNetwork, STEP},
    support::*,
};

/// Time after the targets first named their limit from which fewer requests may wait.
const CONTACT: Duration = Duration::from_secs(3);
/// Window in which a target counts its rejections.
const SECOND: Duration = Duration::from_secs(1);
/// Time for a message between a process and a target.
const HOP: Duration = Duration::from_millis(3);
/// Requests that may wait at a target before.
const ROOM: usize = 6;
/// Time from a failure of a target to its restart.
const DOWN_TIME: Duration = Duration::from_secs(4);
/// Time for which a target is cold after a restart.
const COLD_TIME: Duration = Duration::from_secs(3);
const CENTRES: &[&str] = &["north", "south", "west"];

/// What happens in one play.
#[derive(Debug, Clone)]
pub struct BrittlePlan {
    pub time: Duration,
    pub processes: u16,
    pub targets: u8,
    pub slots: u32,
    /// Requests a second to all processes together.
    pub load: f64,
    /// Whether the route is streamed, so that digests report its requests while they run.
    pub streamed: bool,
    /// Least and longest time of a request at its target, in milliseconds.
    pub answer_ms: (u64, u64),
    /// Rejections a second that the targets can bear.
    pub limit: u32,
    /// When they begin to name it, and to have it.
    pub named: Duration,
    /// Part of the digests that get lost.
    pub lost: f64,
    /// Time between restarts of single processes.
    pub restarts: Duration,
    /// Time between pauses of single processes, and the longest pause.
    pub pauses: Duration,
    pub longest_pause: Duration,
    /// When the first data centre's processes lose touch with the others, and find it again.
    pub cut: Option<(Duration, Duration)>,
}

impl Default for BrittlePlan {
    fn default() -> BrittlePlan {
        BrittlePlan {
            time: Duration::from_secs(24),
            processes: 8,
            targets: 3,
            slots: 4,
            load: 60.0,
            streamed: false,
            answer_ms: (50, 250),
            limit: 2,
            named: Duration::from_secs(4),
            lost: 0.01,
            restarts: Duration::from_secs(1_000),
            pauses: Duration::from_secs(1_000),
            longest_pause: Duration::from_secs(5),
            cut: None,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct BrittleCall {
    node: usize,
    /// Start of the process; an answer to an earlier one is lost.
    start: u64,
    request: RequestId,
    attempt: AttemptNumber,
    target: usize,
    /// Start of the target's process.
    target_start: u64,
    sent: Instant,
}

struct BrittleTarget {
    name: TargetName,
    /// Starts of its process so far.
    start: u64,
    down_until: Option<Duration>,
    cold_until: Duration,
    running: u32,
    waiting: VecDeque<BrittleCall>,
    rejections: Vec<Duration>,
    falls: Vec<Duration>,
    /// Time that requests have run, from the time on from which the limit binds.
    busy: Duration,
}

enum WorldEvent {
    Begin { node: usize, request: RequestId, attempt: AttemptNumber, target: TargetName },
    Finish { call: BrittleCall },
    End { call: BrittleCall, end: AttemptEnd, statement: RejectionStatement, load: (u16, u16) },
}

pub struct BrittleWorld {
    plan: BrittlePlan,
    network: FleetNetwork,
    targets: Vec<BrittleTarget>,
    starts: Vec<u64>,
    events: EventQueue<WorldEvent>,
    next: RequestId,
    revision: u64,
    /// Requests that have arrived and been answered since the limit binds.
    pub asked: usize,
    pub served: usize,
    /// When requests arrived that have not been sent or refused.
    waiting: BTreeMap<RequestId, Duration>,
    /// How long requests had waited that were refused since the limit binds.
    refused: Vec<Duration>,
}

impl BrittleWorld {
    pub fn play(plan: &BrittlePlan, seed: u64) -> BrittleWorld {
        let network = FleetNetwork::new(plan.processes, CENTRES, plan.lost, seed);
        let target = |index: u8| BrittleTarget {
            name: listed(index).address,
            start: 0,
            down_until: None,
            cold_until: Duration::ZERO,
            running: 0,
            waiting: VecDeque::new(),
            rejections: Vec::new(),
            falls: Vec::new(),
            busy: Duration::ZERO,
        };
        let mut world = BrittleWorld {
            plan: plan.clone(),
            targets: (1..=plan.targets).map(target).collect(),
            starts: vec![0; network.nodes.len()],
            network,
            events: EventQueue::default(),
            next: 0,
            revision: 10,
            asked: 0,
            served: 0,
            waiting: BTreeMap::new(),
            refused: Vec::new(),
        };
        (0..world.network.nodes.len()).for_each(|node| world.configure(node));
        while world.network.elapsed() < plan.time {
            world.step();
        }
        world
    }

    /// Failures of all targets.
    pub fn falls(&self) -> usize {
        self.targets.iter().map(|target| target.falls.len()).sum()
    }

    /// Failures that the users' rule allows.
    pub fn allowed_falls(&self) -> usize {
        2 + self.targets.len() / 10
    }

    /// Most rejections of a target in a second since the limit binds.
    pub fn most_rejections(&self) -> usize {
        let most = |target: &BrittleTarget| {
            let times = &target.rejections;
            let within = |first: &Duration| {
                times.iter().filter(|time| **time >= *first && **time < *first + SECOND).count()
            };
            times.iter().map(within).max().unwrap_or(0)
        };
        self.targets.iter().map(most).max().unwrap_or(0)
    }

    /// Part of the targets' places that was in use since the limit binds.
    pub fn used(&self) -> f64 {
        let busy: f64 = self.targets.iter().map(|target| target.busy.as_secs_f64()).sum();
        let time = (self.plan.time - self.plan.named - CONTACT).as_secs_f64();
        busy / (time * f64::from(self.plan.slots) * self.targets.len() as f64)
    }

    /// Part of the refused requests that had waited longer than a limit, and their number.
    pub fn refused_late(&self, limit: Duration) -> (f64, usize) {
        let late = self.refused.iter().filter(|waited| **waited > limit).count();
        (late as f64 / self.refused.len().max(1) as f64, self.refused.len())
    }

    /// Processes that don't believe in the limit of some target in service.
    pub fn mistaken(&self) -> usize {
        let limit = Some(RejectionLimit(self.plan.limit));
        let knows = |node: &FleetNode| {
            let entries = node.directory().iter().map(|(_, entry)| entry);
            entries.into_iter().all(|entry| entry.rejection_limit() == limit)
        };
        self.network.nodes.iter().filter(|node| !knows(node)).count()
    }

    fn binds(&self) -> bool {
        self.network.elapsed() >= self.plan.named + CONTACT
    }

    fn configure(&mut self, node: usize) {
        let configuration = FleetConfiguration {
            routes: vec![Arc::new(CallRoute {
                streamed: self.plan.streamed,
                ..route("/a/", SERVICE)
            })],
            ..configuration(1)
        };
        let state =
            OperatorState { configuration: Some(Arc::new(configuration)), ..operator(1, 1) };
        self.decide(node, |node, now, actions| {
            node.apply_operator_state(now, state, "store", actions);
        });
        self.read_listing(node);
    }

    fn read_listing(&mut self, node: usize) {
        let elapsed = self.network.elapsed();
        let entry = |(index, target): (usize, &BrittleTarget)| ListedTarget {
            slots: self.plan.slots,
            data_centre: CENTRES[index % CENTRES.len()].into(),
            started_ms: 1_000 + target.start,
            cold_left: target.cold_until.saturating_sub(elapsed),
            ..listed(index as u8 + 1)
        };
        let targets = self.targets.iter().enumerate().map(entry).collect();
        let listing = listing(self.revision, targets);
        let age = Duration::from_millis(4);
        self.decide(node, |node, now, actions| node.apply_listing(now, &listing, age, actions));
    }

    fn step(&mut self) {
        let readers = self.network.step();
        self.take_decided();
        let now = self.network.now;
        while let Some(event) = self.events.pop_due(now) {
            self.take(event);
        }
        self.restart_targets();
        for node in readers {
            self.read_listing(node);
        }
        self.disturb();
        self.send_requests();
        if self.binds() {
            self.targets.iter_mut().for_each(|target| target.busy += STEP * target.running);
        }
    }

    fn restart_targets(&mut self) {
        let elapsed = self.network.elapsed();
        for target in &mut self.targets {
            if target.down_until.take_if(|until| *until <= elapsed).is_some() {
                target.start += 1;
                target.cold_until = elapsed + COLD_TIME;
                self.revision += 1;
            }
        }
    }

    fn disturb(&mut self) {
        let size = self.network.nodes.len();
        if self.happens(self.plan.restarts) {
            let node = self.network.rng.random_range(0..size);
            self.starts[node] += 1;
            self.network.restart(node);
            self.configure(node);
        }
        if self.happens(self.plan.pauses) {
            let node = self.network.rng.random_range(0..size);
            let longest = self.plan.longest_pause.as_millis() as u64;
            let time = Duration::from_millis(self.network.rng.random_range(0..longest));
            self.network.pause(node, time);
        }
        let Some((from, to)) = self.plan.cut else { return };
        if self.is_now(from) {
            let first = self.network.centre(0);
            let group = (0..size).filter(|node| self.network.centre(*node) == first).collect();
            self.network.cut_off(group);
        }
        if self.is_now(to) {
            self.network.cut_off(Vec::new());
        }
    }

    /// Whether a time falls into this step.
    fn is_now(&self, at: Duration) -> bool {
        let elapsed = self.network.elapsed();
        at <= elapsed && at + STEP > elapsed
    }

    fn happens(&mut self, interval: Duration) -> bool {
        self.network.rng.random_bool(STEP.as_secs_f64() / interval.as_secs_f64())
    }

    fn send_requests(&mut self) {
        let expected = self.plan.load * STEP.as_secs_f64();
        let more = self.network.rng.random_bool(expected.fract());
        for _ in 0..expected as u32 + u32::from(more) {
            let node = self.network.rng.random_range(0..self.network.nodes.len());
            if self.network.is_paused(node) {
                continue;
            }
            self.next += 1;
            self.asked += usize::from(self.binds());
            let (request, now) = (self.next, self.network.now);
            self.waiting.insert(request, self.network.elapsed());
            let order = call_order(&self.network.nodes[node], request, 1_000 + request, 200, now);
            self.decide(node, |node, now, actions| node.admit(now, order, actions));
        }
    }

    fn decide<W>(&mut self, index: usize, work: W)
    where
        W: FnOnce(&mut FleetNode, Instant, &mut Vec<SchedulerAction>),
    {
        self.network.run(index, work);
        self.take_decided();
    }

    /// Carries out what the processes have decided.
    fn take_decided(&mut self) {
        for (node, action) in self.network.take_decided() {
            match action {
                SchedulerAction::Dispatch { request, attempt, target } => {
                    self.waiting.remove(&request);
                    self.after(HOP, WorldEvent::Begin { node, request, attempt, target });
                }
                SchedulerAction::Refuse { request, .. } => {
                    let arrived = self.waiting.remove(&request).filter(|_| self.binds());
                    self.refused.extend(arrived.map(|arrived| self.network.elapsed() - arrived));
                    self.network.nodes[node].release(request);
                }
                _ => {}
            }
        }
    }

    fn after(&mut self, time: Duration, event: WorldEvent) {
        self.events.push(self.network.now + time, event);
    }

    fn take(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Begin { node, request, attempt, target } => {
                self.begin(node, request, attempt, &target);
            }
            WorldEvent::Finish { call } => self.finish(call),
            WorldEvent::End { call, end, statement, load } => self.end(call, end, statement, load),
        }
    }

    fn begin(&mut self, node: usize, request: RequestId, attempt: AttemptNumber, to: &TargetName) {
        let index = self.targets.iter().position(|target| target.name == *to).unwrap();
        let event = SchedulerEvent::AttemptStarted(request, attempt);
        self.decide(node, |node, now, actions| node.handle(now, event, actions));
        let room = if self.binds() { 0 } else { ROOM };
        let (elapsed, sent) = (self.network.elapsed(), self.network.now);
        let start = self.starts[node];
        let target = &mut self.targets[index];
        let target_start = target.start;
        let call = BrittleCall { node, start, request, attempt, target: index, target_start, sent };
        if target.down_until.is_some() {
            return self.reply(call, AttemptEnd::NotSent);
        }
        if target.running < self.plan.slots {
            return self.run(call);
        }
        if target.waiting.len() < room {
            return target.waiting.push_back(call);
        }
        let is_named = elapsed >= self.plan.named;
        let is_recent = |time: &&Duration| **time + SECOND > elapsed;
        let binds = elapsed >= self.plan.named + CONTACT;
        if binds {
            target.rejections.push(elapsed);
        }
        let recent = target.rejections.iter().rev().take_while(is_recent).count();
        if is_named && recent > self.plan.limit as usize {
            self.fall(index);
            return self.reply(call, AttemptEnd::Broken);
        }
        self.reply(call, AttemptEnd::Rejected);
    }

    fn run(&mut self, call: BrittleCall) {
        self.targets[call.target].running += 1;
        let (least, longest) = self.plan.answer_ms;
        let time = Duration::from_millis(self.network.rng.random_range(least..=longest));
        self.after(time, WorldEvent::Finish { call });
    }

    fn fall(&mut self, index: usize) {
        let elapsed = self.network.elapsed();
        let target = &mut self.targets[index];
        target.falls.push(elapsed);
        target.down_until = Some(elapsed + DOWN_TIME);
        target.running = 0;
        for call in std::mem::take(&mut target.waiting) {
            self.reply(call, AttemptEnd::Broken);
        }
    }

    fn finish(&mut self, call: BrittleCall) {
        let target = &mut self.targets[call.target];
        if target.start != call.target_start || target.down_until.is_some() {
            return self.reply(call, AttemptEnd::Broken);
        }
        target.running -= 1;
        if let Some(next) = target.waiting.pop_front() {
            self.run(next);
        }
        self.reply(call, AttemptEnd::Finished);
    }

    /// Sends an answer, or lets the process notice that there is none.
    fn reply(&mut self, call: BrittleCall, end: AttemptEnd) {
        let is_named = self.network.elapsed() >= self.plan.named;
        let statement = match is_named {
            true => RejectionStatement::Limited(RejectionLimit(self.plan.limit)),
            false => RejectionStatement::Unlimited,
        };
        let target = &self.targets[call.target];
        let load = (target.running as u16, target.waiting.len() as u16);
        self.after(HOP, WorldEvent::End { call, end, statement, load });
    }

    fn end(
        &mut self,
        call: BrittleCall,
        end: AttemptEnd,
        statement: RejectionStatement,
        load: (u16, u16),
    ) {
        let BrittleCall { node, request, attempt, target, sent, .. } = call;
        if self.starts[node] != call.start {
            return;
        }
        if self.network.is_paused(node) {
            return self.after(STEP, WorldEvent::End { call, end, statement, load });
        }
        let name = self.targets[target].name.clone();
        if matches!(end, AttemptEnd::Finished | AttemptEnd::Rejected) {
            let instance = listed(target as u8 + 1).instance;
            let answer = RejectionAnswer { request: "", instance: &instance, sent, statement };
            let changed = self.network.run(node, |node, now, out| {
                let load = AnswerLoad { running: load.0, waiting: load.1, ..AnswerLoad::default() };
                node.update_target_load(now, &name, load, out);
                node.apply_rejections(now, &name, &answer, out)
            });
            if changed {
                self.network.send_urgent(node);
            }
        }
        self.served += usize::from(end == AttemptEnd::Finished && self.binds());
        self.decide(node, |node, now, actions| {
            node.end_attempt(now, (request, attempt), &name, end, actions);
        });
    }
}
