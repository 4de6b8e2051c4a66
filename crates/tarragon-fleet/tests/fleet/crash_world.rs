//! A fleet whose targets crash, in virtual time: each process reads listings at its own times, targets come
//! back as new processes, and callers send a request, or requests with a prompt part, that crash each target.

use std::{collections::BTreeMap, time::Duration, time::Instant};

use rand::Rng;
use tarragon_fleet::{node::AdmissionRequest, published::StoreRevision};

use crate::{
    fleet_network::{EventQueue, FleetNetwork, STEP},
    support::*,
};

/// Fingerprint of the request that crashes each target that runs it.
pub const CULPRIT: Fingerprint = 666;
/// The users' bound on the time in which all processes have to hear of a third crash.
pub const CONTACT: Duration = Duration::from_secs(3);

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Silence after which an entry lapses: three heartbeats.
const LAPSE: Duration = Duration::from_millis(3_600);
const CENTRES: &[&str] = &["north", "south", "west"];
/// Time for a message between a process and a target.
const HOP: Duration = Duration::from_millis(3);
/// Time from the start of the request until its target crashes.
const TIME_TO_CRASH: Duration = Duration::from_millis(20);

/// Prompt part that most requests begin with.
const COMMON_PART: u64 = 1;
/// First of the prompt parts that several requests share, after the common one.
const FIRST_SESSION: u64 = 100;
/// First of the prompt parts that crash targets.
const FIRST_BAD_PART: u64 = 10_000;
/// First of the prompt parts that belong to one request.
const FIRST_OWN_PART: u64 = 1_000_000;
/// Time from the start of a generation until its first event.
const TIME_TO_FIRST_EVENT: Duration = Duration::from_millis(120);

/// Requests with prompts, some of which have a part that crashes targets.
#[derive(Debug, Clone)]
pub struct PromptPlan {
    /// Number of prompt parts that crash targets.
    pub bad_parts: u64,
    /// Requests with one of these parts, per second.
    pub bad_rate: f64,
    /// When the first of them is sent.
    pub bad_from: Duration,
    /// Whether the bad part takes the place of the common part, instead of the second part.
    pub bad_is_first: bool,
    /// Number of second parts that requests share.
    pub sessions: u64,
    /// Further parts of each bad request, as hostile callers send them.
    pub more_parts: u64,
    /// Time between two moments at which all targets of one data centre crash.
    pub centre_losses: Duration,
    /// When all processes restart, if they do.
    pub fleet_restart: Option<Duration>,
    /// When one process is cut off from the others, and for how long.
    pub cut: Option<(Duration, Duration)>,
}

impl Default for PromptPlan {
    fn default() -> PromptPlan {
        PromptPlan {
            bad_parts: 1,
            bad_rate: 4.0,
            bad_from: Duration::from_secs(8),
            bad_is_first: false,
            sessions: 20,
            more_parts: 0,
            centre_losses: Duration::from_secs(1_000),
            fleet_restart: None,
            cut: None,
        }
    }
}

/// What happens in one play.
#[derive(Debug, Clone)]
pub struct CrashPlan {
    pub name: &'static str,
    pub time: Duration,
    pub processes: u16,
    pub targets: u8,
    /// Requests that harm nobody, a second.
    pub load: u32,
    /// Time between two sendings of the request that crashes targets.
    pub repeat: Duration,
    /// Copies of it that go to different processes at once.
    pub copies: usize,
    /// Time between crashes for other causes.
    pub other_crashes: Duration,
    /// Least and longest time for which a crashed target is away, in milliseconds.
    pub away_ms: (u64, u64),
    /// Part of the crashed targets that start again under their old name.
    pub same_name: f64,
    /// Part of the requests whose connection breaks for other causes.
    pub breaks: f64,
    /// Part of the digests that get lost.
    pub lost: f64,
    /// Time between restarts of single processes of the fleet.
    pub process_restarts: Duration,
    /// Whether a crashed target leaves its connections open, so that its callers hear nothing.
    pub silent: bool,
    /// Requests with prompts in place of the one request that crashes targets.
    pub prompts: Option<PromptPlan>,
}

impl Default for CrashPlan {
    fn default() -> CrashPlan {
        CrashPlan {
            name: "crashes",
            time: Duration::from_secs(40),
            processes: 8,
            targets: 12,
            load: 60,
            repeat: Duration::from_millis(800),
            copies: 1,
            other_crashes: Duration::from_secs(3),
            away_ms: (1_000, 4_000),
            same_name: 0.2,
            breaks: 0.01,
            lost: 0.01,
            process_restarts: Duration::from_secs(1_000),
            silent: false,
            prompts: None,
        }
    }
}

/// A request without a bad part.
#[derive(Debug, Clone, Copy)]
pub struct SoundCall {
    pub asked: Duration,
    /// Whether its first attempt has begun to run at a target.
    pub begun: bool,
}

/// What requests with one bad part did in one play.
#[derive(Debug, Default)]
pub struct PartTally {
    /// When they crashed targets.
    pub crashes: Vec<Duration>,
    /// When they were sent to targets by processes that had run for the users' bound.
    pub sent: Vec<Duration>,
    /// When callers last sent one.
    pub last_asked: Duration,
}

impl PartTally {
    /// Sendings that the users' rule counts: those later than the bound after the fifth crash.
    pub fn late(&self) -> usize {
        let Some(fifth) = self.crashes.get(4) else { return 0 };
        self.sent.iter().filter(|sent| **sent > *fifth + CONTACT).count()
    }
}

/// What the request did in one play.
#[derive(Debug, Default)]
pub struct CrashTally {
    /// When it crashed targets, from the start of the play.
    pub crashes: Vec<Duration>,
    /// When it was sent to targets.
    pub sent: Vec<Duration>,
    /// Other requests that were refused because targets crashed near them.
    pub bystanders_refused: usize,
    /// Other requests that were finished.
    pub finished: usize,
    /// By bad part.
    pub parts: BTreeMap<u64, PartTally>,
    /// Requests without a bad part.
    pub sound: BTreeMap<RequestId, SoundCall>,
}

impl CrashTally {
    /// Sendings that the users' rule counts: those later than the bound after the third crash.
    pub fn late(&self) -> usize {
        let Some(third) = self.crashes.get(2) else { return 0 };
        self.sent.iter().filter(|sent| **sent > *third + CONTACT).count()
    }

    /// Fraction of the sound requests asked within a span that began at their first attempt, and their number.
    pub fn begun(&self, from: Duration, to: Duration) -> (f64, usize) {
        let within = |call: &&SoundCall| (from..to).contains(&call.asked);
        let calls: Vec<&SoundCall> = self.sound.values().filter(within).collect();
        let begun = calls.iter().filter(|call| call.begun).count();
        (begun as f64 / calls.len().max(1) as f64, calls.len())
    }
}

/// What a request is in the play.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallNature {
    Harmless,
    Culprit,
    /// It has a prompt part that crashes targets.
    BadPart(u64),
}

struct RunningCall {
    node: usize,
    request: RequestId,
    attempt: AttemptNumber,
    nature: CallNature,
}

struct SimTarget {
    listed: ListedTarget,
    /// When it starts again; `None` while it runs.
    returns: Option<Instant>,
    heartbeat: Instant,
    lapses: Instant,
    running: Vec<RunningCall>,
}

enum WorldEvent {
    Begin { node: usize, request: RequestId, attempt: AttemptNumber, target: TargetName },
    Crash { target: usize, started_ms: u64 },
    FirstEvent { target: usize, request: RequestId },
    Finish { target: usize, request: RequestId },
    End { node: usize, request: RequestId, attempt: AttemptNumber, end: AttemptEnd },
}

pub struct CrashWorld {
    plan: CrashPlan,
    network: FleetNetwork,
    targets: Vec<SimTarget>,
    entries: BTreeMap<TargetName, ListedTarget>,
    revision: StoreRevision,
    events: EventQueue<WorldEvent>,
    /// Targets of requests that are in flight or were last.
    dispatched: BTreeMap<RequestId, TargetName>,
    natures: BTreeMap<RequestId, CallNature>,
    /// When processes have restarted.
    restarted: BTreeMap<usize, Duration>,
    next: RequestId,
    tally: CrashTally,
}

impl CrashWorld {
    pub fn play(plan: &CrashPlan, seed: u64) -> CrashTally {
        let network = FleetNetwork::new(plan.processes, CENTRES, plan.lost, seed);
        let start = network.start;
        let entries: BTreeMap<TargetName, ListedTarget> = (1..=plan.targets)
            .map(|index| ListedTarget {
                data_centre: CENTRES[usize::from(index) % CENTRES.len()].into(),
                ..listed(index)
            })
            .map(|listed| (listed.address.clone(), listed))
            .collect();
        let targets = entries.values().map(|listed| SimTarget {
            listed: listed.clone(),
            returns: None,
            heartbeat: start,
            lapses: start + LAPSE,
            running: Vec::new(),
        });
        let mut world = CrashWorld {
            plan: plan.clone(),
            network,
            targets: targets.collect(),
            entries,
            revision: 10,
            events: EventQueue::default(),
            dispatched: BTreeMap::new(),
            natures: BTreeMap::new(),
            restarted: BTreeMap::new(),
            next: 0,
            tally: CrashTally::default(),
        };
        for node in 0..world.network.nodes.len() {
            world.configure(node);
        }
        while world.network.now < start + plan.time {
            world.step();
        }
        world.tally
    }

    fn configure(&mut self, node: usize) {
        self.network.run(node, |node, now, actions| {
            node.apply_operator_state(now, operator(1, 1), "store", actions)
        });
        self.read_listing(node);
    }

    fn step(&mut self) {
        let readers = self.network.step();
        self.take_decided();
        let now = self.network.now;
        while let Some(event) = self.events.pop_due(now) {
            self.take(event);
        }
        self.run_targets();
        self.run_store();
        for node in readers {
            self.read_listing(node);
        }
        self.send_requests();
        let part = STEP.as_secs_f64() / self.plan.other_crashes.as_secs_f64();
        if self.network.rng.random_bool(part) {
            let target = self.network.rng.random_range(0..self.targets.len());
            self.crash(target);
        }
        let part = STEP.as_secs_f64() / self.plan.process_restarts.as_secs_f64();
        if self.network.rng.random_bool(part) {
            let node = self.network.rng.random_range(0..self.network.nodes.len());
            self.restart_node(node);
        }
        if let Some(prompts) = self.plan.prompts.clone() {
            self.disturb(&prompts);
        }
    }

    /// Crashes, restarts and cuts of plays with prompts.
    fn disturb(&mut self, prompts: &PromptPlan) {
        let elapsed = self.network.elapsed();
        if elapsed > CONTACT && self.network.is_due(Duration::ZERO, prompts.centre_losses) {
            let lost = self.network.rng.random_range(0..CENTRES.len());
            for target in (0..self.targets.len()).filter(|target| target % CENTRES.len() == lost) {
                self.crash(target);
            }
        }
        if prompts.fleet_restart == Some(elapsed) {
            (0..self.network.nodes.len()).for_each(|node| self.restart_node(node));
        }
        if let Some((from, time)) = prompts.cut {
            if elapsed == from {
                self.network.cut_off(vec![1]);
            } else if elapsed == from + time {
                self.network.cut_off(Vec::new());
            }
        }
    }

    fn after(&mut self, time: Duration, event: WorldEvent) {
        self.events.push(self.network.now + time, event);
    }

    fn restart_node(&mut self, node: usize) {
        self.network.restart(node);
        self.restarted.insert(node, self.network.elapsed());
        self.configure(node);
        for target in &mut self.targets {
            target.running.retain(|running| running.node != node);
        }
        self.dispatched.retain(|request, _| request % (1 << 16) != node as u64);
    }

    fn run_targets(&mut self) {
        for index in 0..self.targets.len() {
            let now = self.network.now;
            let target = &mut self.targets[index];
            if let Some(returns) = target.returns {
                if returns > now {
                    continue;
                }
                target.returns = None;
                target.listed.started_ms += (now - self.network.start).as_millis() as u64;
                if !self.network.rng.random_bool(self.plan.same_name) {
                    target.listed.instance = format!("i-{index}-{}", self.revision).into();
                }
                target.heartbeat = now;
            }
            if target.heartbeat <= now {
                target.heartbeat = now + HEARTBEAT;
                target.lapses = now + LAPSE;
                self.revision += 1;
                target.listed.revision = self.revision;
                self.entries.insert(target.listed.address.clone(), target.listed.clone());
            }
        }
    }

    fn run_store(&mut self) {
        for target in &self.targets {
            if target.lapses <= self.network.now
                && self.entries.remove(&target.listed.address).is_some()
            {
                self.revision += 1;
            }
        }
    }

    fn read_listing(&mut self, node: usize) {
        let listing = listing(self.revision, self.entries.values().cloned().collect());
        let age = Duration::from_millis(4);
        self.decide(node, |node, now, actions| node.apply_listing(now, &listing, age, actions));
    }

    fn send_requests(&mut self) {
        if let Some(prompts) = self.plan.prompts.clone() {
            return self.send_prompts(&prompts);
        }
        if self.draw(f64::from(self.plan.load)) {
            let node = self.network.rng.random_range(0..self.network.nodes.len());
            self.ask(node, 1_000 + self.next, CallNature::Harmless, Vec::new());
        }
        if self.network.is_due(Duration::ZERO, self.plan.repeat)
            && self.network.now > self.network.start + CONTACT
        {
            let first = self.network.rng.random_range(0..self.network.nodes.len());
            for copy in 0..self.plan.copies {
                let node = (first + copy) % self.network.nodes.len();
                self.ask(node, CULPRIT, CallNature::Culprit, Vec::new());
            }
        }
    }

    /// Whether something that happens at a rate per second happens in this step.
    fn draw(&mut self, rate: f64) -> bool {
        self.network.rng.random_bool((rate * STEP.as_secs_f64()).min(1.0))
    }

    /// Sends requests with prompts. No two of them are alike.
    fn send_prompts(&mut self, prompts: &PromptPlan) {
        for (bad, rate) in [(false, f64::from(self.plan.load)), (true, prompts.bad_rate)] {
            if !self.draw(rate) || bad && self.network.elapsed() < prompts.bad_from {
                continue;
            }
            let node = self.network.rng.random_range(0..self.network.nodes.len());
            let session = FIRST_SESSION + self.network.rng.random_range(0..prompts.sessions);
            let own = FIRST_OWN_PART + self.next;
            let mut parts = vec![COMMON_PART, session];
            let mut nature = CallNature::Harmless;
            if bad {
                let part = FIRST_BAD_PART + self.network.rng.random_range(0..prompts.bad_parts);
                parts[usize::from(!prompts.bad_is_first)] = part;
                nature = CallNature::BadPart(part);
                parts.extend((0..prompts.more_parts).map(|more| own * 1_000 + more));
                self.tally.parts.entry(part).or_default().last_asked = self.network.elapsed();
            }
            parts.push(own);
            let parts = parts.into_iter().map(|part| (part, 60)).collect();
            self.ask(node, 1_000 + self.next, nature, parts);
        }
    }

    fn ask(
        &mut self,
        node: usize,
        fingerprint: Fingerprint,
        nature: CallNature,
        parts: Vec<(u64, u32)>,
    ) {
        self.next += 1;
        // The low bytes tell the process, so that its requests end with it.
        let request = self.next << 16 | node as u64;
        self.natures.insert(request, nature);
        if self.plan.prompts.is_some() && nature == CallNature::Harmless {
            let call = SoundCall { asked: self.network.elapsed(), begun: false };
            self.tally.sound.insert(request, call);
        }
        let mut order: AdmissionRequest =
            call_order(&self.network.nodes[node], request, fingerprint, 200, self.network.now);
        if let Some(generation) = &mut order.generation {
            generation.parts = parts;
        }
        self.decide(node, |node, now, actions| node.admit(now, order, actions));
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
        for (index, action) in self.network.take_decided() {
            match action {
                SchedulerAction::Dispatch { request, attempt, target } => {
                    self.dispatched.insert(request, target.clone());
                    self.after(HOP, WorldEvent::Begin { node: index, request, attempt, target });
                }
                SchedulerAction::Refuse { request, refusal } => {
                    let nature = self.natures.remove(&request);
                    let convicted = refusal.code == RefusalCode::CrashesTargets;
                    self.tally.bystanders_refused +=
                        usize::from(convicted && nature == Some(CallNature::Harmless));
                    self.network.nodes[index].release(request);
                }
                SchedulerAction::Cancel { request, attempt } => {
                    let end = AttemptEnd::Cancelled;
                    self.after(HOP, WorldEvent::End { node: index, request, attempt, end });
                }
                SchedulerAction::AnnounceSuspect(_) => self.network.send_urgent(index),
                _ => {}
            }
        }
    }

    fn take(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Begin { node, request, attempt, target } => {
                self.begin(node, request, attempt, &target);
            }
            WorldEvent::Crash { target, started_ms } => {
                if self.targets[target].listed.started_ms == started_ms {
                    self.crash(target);
                }
            }
            WorldEvent::FirstEvent { target, request } => self.show_first_event(target, request),
            WorldEvent::Finish { target, request } => self.finish(target, request),
            WorldEvent::End { node, request, attempt, end } => {
                self.end(node, request, attempt, end);
            }
        }
    }

    fn begin(&mut self, node: usize, request: RequestId, attempt: AttemptNumber, to: &TargetName) {
        if !self.dispatched.contains_key(&request) {
            return;
        }
        let event = SchedulerEvent::AttemptStarted(request, attempt);
        self.decide(node, |node, now, actions| node.handle(now, event, actions));
        let index = self.targets.iter().position(|one| one.listed.address == *to).unwrap();
        let Some(grant) = self.network.nodes[node].may_send(to, SERVICE) else {
            return self.end(node, request, attempt, AttemptEnd::NotSent);
        };
        let Some(nature) = self.natures.get(&request).copied() else { return };
        let target = &self.targets[index];
        if target.returns.is_some() {
            return self.end(node, request, attempt, AttemptEnd::NotSent);
        }
        let elapsed = self.network.elapsed();
        match nature {
            CallNature::Harmless => {}
            CallNature::Culprit => self.tally.sent.push(elapsed),
            CallNature::BadPart(part) => {
                let started = self.restarted.get(&node).copied().unwrap_or_default();
                let part_tally = self.tally.parts.entry(part).or_default();
                if elapsed >= started + CONTACT {
                    part_tally.sent.push(elapsed);
                }
            }
        }
        let running = self.targets[index].running.len() as u16;
        if target.listed.instance != grant.instance {
            let instance = grant.instance;
            self.decide(node, |node, now, actions| {
                let load = AnswerLoad { running, ..AnswerLoad::default() };
                node.update_target_load(now, to, load, actions);
                node.mark_target_replaced(now, to, &instance, actions);
            });
            return self.end(node, request, attempt, AttemptEnd::Rejected);
        }
        let started_ms = target.listed.started_ms;
        self.targets[index].running.push(RunningCall { node, request, attempt, nature });
        if attempt == 1
            && let Some(call) = self.tally.sound.get_mut(&request)
        {
            call.begun = true;
        }
        if self.plan.prompts.is_some() {
            self.after(TIME_TO_FIRST_EVENT, WorldEvent::FirstEvent { target: index, request });
        }
        match nature {
            CallNature::Harmless => {}
            CallNature::Culprit => {
                return self.after(TIME_TO_CRASH, WorldEvent::Crash { target: index, started_ms });
            }
            CallNature::BadPart(_) => {
                // The crash may come after the first events.
                let writing = Duration::from_millis(self.network.rng.random_range(1..120));
                let crash = WorldEvent::Crash { target: index, started_ms };
                return self.after(TIME_TO_FIRST_EVENT - TIME_TO_CRASH + writing, crash);
            }
        }
        if self.network.rng.random_bool(self.plan.breaks) {
            self.targets[index].running.pop();
            return self.end(node, request, attempt, AttemptEnd::Broken);
        }
        let longest = if self.plan.prompts.is_some() { 2_500 } else { 600 };
        let time = Duration::from_millis(self.network.rng.random_range(50..longest));
        let time = if longest > 600 { time + TIME_TO_FIRST_EVENT } else { time };
        self.after(time, WorldEvent::Finish { target: index, request });
    }

    fn show_first_event(&mut self, index: usize, request: RequestId) {
        let running = self.targets[index].running.iter();
        let Some(call) = { running }.find(|running| running.request == request) else { return };
        let (node, attempt) = (call.node, call.attempt);
        let progress = AttemptProgress {
            request,
            attempt,
            tokens: 5,
            prefill_tokens: None,
            cached_tokens: None,
            first_token: TIME_TO_FIRST_EVENT,
        };
        let event = SchedulerEvent::AttemptProgress(progress);
        self.decide(node, |node, now, actions| node.handle(now, event, actions));
    }

    fn finish(&mut self, index: usize, request: RequestId) {
        let target = &mut self.targets[index];
        let found = target.running.iter().position(|running| running.request == request);
        let Some(position) = found else { return };
        let call = target.running.swap_remove(position);
        let (name, running) = (target.listed.address.clone(), target.running.len() as u16);
        self.tally.finished += 1;
        self.decide(call.node, |node, now, actions| {
            let load = AnswerLoad { running, ..AnswerLoad::default() };
            node.update_target_load(now, &name, load, actions);
        });
        self.end(call.node, request, call.attempt, AttemptEnd::Finished);
    }

    fn crash(&mut self, index: usize) {
        let target = &mut self.targets[index];
        if target.returns.is_some() {
            return;
        }
        let away = self.network.rng.random_range(self.plan.away_ms.0..=self.plan.away_ms.1);
        target.returns = Some(self.network.now + Duration::from_millis(away));
        let broken = std::mem::take(&mut target.running);
        let elapsed = self.network.elapsed();
        if broken.iter().any(|call| call.nature == CallNature::Culprit) {
            self.tally.crashes.push(elapsed);
        }
        let bad_parts = broken.iter().filter_map(|call| match call.nature {
            CallNature::BadPart(part) => Some(part),
            CallNature::Harmless | CallNature::Culprit => None,
        });
        let bad_parts: std::collections::BTreeSet<u64> = bad_parts.collect();
        for part in bad_parts {
            self.tally.parts.entry(part).or_default().crashes.push(elapsed);
        }
        for call in broken {
            // A silent target's connections stay open, so that the sender waits until its patience is over.
            let time = if self.plan.silent { Duration::from_secs(4) } else { HOP };
            let RunningCall { node, request, attempt, .. } = call;
            self.after(time, WorldEvent::End { node, request, attempt, end: AttemptEnd::Broken });
        }
    }

    fn end(&mut self, node: usize, request: RequestId, attempt: AttemptNumber, end: AttemptEnd) {
        let Some(target) = self.dispatched.get(&request).cloned() else { return };
        self.decide(node, |node, now, actions| {
            node.end_attempt(now, (request, attempt), &target, end, actions);
        });
    }
}
