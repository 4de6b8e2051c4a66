//! Time of one scheduling decision, by number of targets, workspaces and waiting requests.
//!
//! A decision is one event that admits, queues or dispatches: an arrival, or the end of an attempt whose
//! slot goes to the next request. Prints the 50th and 99th percentile in microseconds for both, and the
//! time of a tick. Then the same with some or all targets needing permits for starts.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tarragon_protocol::load::TargetState;
use tarragon_scheduler::prelude::*;

const TARGETS: [usize; 3] = [33, 111, 333];
const WORKSPACES: [usize; 3] = [100, 1_000, 10_000];
const QUEUES: [usize; 3] = [0, 400, 4_000];
const SLOTS: u32 = 4;
/// Targets that need permits, among the largest number of targets.
const PACED: [usize; 4] = [0, 5, 50, 333];
const PACED_WORKSPACES: usize = 1_000;
const PACED_QUEUES: [usize; 2] = [0, 400];
/// Permits for each of these targets with each tick.
const PERMITS: u32 = 4;
const ROUNDS: usize = 20_000;
const WARM_UP: usize = 4_000;

/// Prompts consist of a shared system prefix of 16 blocks and 16 blocks of their conversation.
const PREFIXES: u64 = 200;
const PREFIX_BLOCKS: u64 = 16;
const PROMPT_TOKENS: u32 = 2_048;

struct Bench {
    scheduler: Scheduler,
    rng: ChaCha8Rng,
    now: Instant,
    actions: Vec<SchedulerAction>,
    running: Vec<(RequestId, AttemptNumber)>,
    targets: Vec<TargetName>,
    workspaces: Vec<WorkspaceName>,
    next: RequestId,
}

impl Bench {
    fn new(targets: usize, workspaces: usize) -> Bench {
        let mut bench = Bench {
            scheduler: Scheduler::new(SchedulerLimits::default(), 11),
            rng: ChaCha8Rng::seed_from_u64(13),
            now: Instant::now(),
            actions: Vec::new(),
            running: Vec::new(),
            targets: (0..targets).map(|index| format!("target-{index}").into()).collect(),
            workspaces: (0..workspaces).map(|index| format!("workspace-{index}").into()).collect(),
            next: 1,
        };
        for target in bench.targets.clone() {
            let service = "pool".into();
            let entry = TargetEntry {
                target: target.clone(),
                service,
                in_service: true,
                remote: false,
                build: None,
                process: None,
            };
            bench.handle(SchedulerEvent::TargetListed(entry));
            let slots = TargetSlots { target, slots: SLOTS, capacity: SLOTS * 8, cold: false };
            bench.handle(SchedulerEvent::SlotsChanged(slots));
        }
        bench.report_all();
        bench
    }

    fn handle(&mut self, event: SchedulerEvent) -> Duration {
        self.actions.clear();
        let started = Instant::now();
        self.scheduler.handle(self.now, event, &mut self.actions);
        let elapsed = started.elapsed();
        for action in &self.actions {
            if let SchedulerAction::Dispatch { request, attempt, .. } = action {
                self.running.push((*request, *attempt));
            }
        }
        elapsed
    }

    fn report_all(&mut self) {
        for target in self.targets.clone() {
            let report = LoadReport {
                restart_id: 1,
                state: TargetState::Warm,
                capacity: SLOTS * 8,
                running: self.rng.random_range(0..SLOTS * 8),
                waiting: 0,
                free_cache_tokens: 1_000_000,
                models: vec!["assess".into()],
                fencing: 0,
                last_order_age_ms: None,
                lag_ms: 0,
            };
            let age = Duration::from_millis(self.rng.random_range(0..300));
            self.handle(SchedulerEvent::LoadReported { target, report, age });
        }
    }

    fn arrive(&mut self) -> Duration {
        let request = self.next;
        self.next += 1;
        let prefix = self.rng.random_range(0..PREFIXES);
        let mut blocks: Vec<BlockHash> =
            (0..PREFIX_BLOCKS).map(|block| mix(prefix << 20 | block)).collect();
        let conversation = self.rng.random_range(0..2_000u64);
        blocks
            .extend((0..PREFIX_BLOCKS).map(|block| mix(prefix << 40 | conversation << 8 | block)));
        let workspace = self.rng.random_range(0..self.workspaces.len());
        let profile = RequestProfile {
            parts: Vec::new(),
            request,
            workspace: self.workspaces[workspace].clone(),
            service: "pool".into(),
            tier: Tier::DESCENDING[self.rng.random_range(0..Tier::COUNT)],
            deadline: self.now + Duration::from_secs(600),
            idempotent: true,
            fingerprint: mix(request),
            kind: CallKind::Model(ModelCall {
                model: "assess".into(),
                prompt_tokens: PROMPT_TOKENS,
                max_tokens: 512,
                blocks,
            }),
            options: CallOptions::default(),
        };
        self.handle(SchedulerEvent::Arrived(Box::new(profile)))
    }

    fn end(&mut self) -> Duration {
        let position = self.rng.random_range(0..self.running.len());
        let (request, attempt) = self.running.swap_remove(position);
        let tokens = self.rng.random_range(50..300);
        let first_token = Duration::from_millis(self.rng.random_range(250..350));
        self.handle(SchedulerEvent::AttemptProgress(AttemptProgress {
            request,
            attempt,
            tokens,
            prefill_tokens: Some(PROMPT_TOKENS / 2),
            cached_tokens: Some(PROMPT_TOKENS / 2),
            first_token,
        }));
        self.handle(SchedulerEvent::AttemptEnded(request, attempt, AttemptEnd::Finished))
    }

    /// Gives permits to the first targets. If all targets need permits, there is a forecast of more.
    fn permit(&mut self, paced: usize) {
        let until = self.now + Duration::from_secs(1);
        for target in Vec::from(&self.targets[..paced]) {
            self.handle(SchedulerEvent::StartsPermitted { target, count: PERMITS, until });
        }
        if paced == self.targets.len() {
            let interval = Duration::from_millis(100) / (PERMITS * paced as u32);
            let forecast = StartForecast { next: self.now, interval };
            self.handle(SchedulerEvent::StartsForecast("pool".into(), Some(forecast)));
        }
    }

    /// Submits requests until the queue has this length or, for length 0, until half of the slots are used.
    fn fill(&mut self, queue: usize) {
        let half = self.targets.len() * SLOTS as usize / 2;
        for _ in 0..20_000 {
            let waiting: u32 = self.scheduler.waiting_by_tier().iter().sum();
            let done = match queue {
                0 => self.running.len() >= half,
                _ => waiting as usize >= queue,
            };
            if done {
                return;
            }
            self.arrive();
        }
    }
}

fn mix(number: u64) -> u64 {
    let mixed = number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

fn percentile(samples: &mut [Duration], part: f64) -> f64 {
    samples.sort_unstable();
    let index = (samples.len() as f64 * part) as usize;
    samples[index.min(samples.len() - 1)].as_secs_f64() * 1e6
}

fn main() {
    println!("targets workspaces queue | arrival p50   p99 | end p50   p99 | tick p50   p99 (µs)");
    for targets in TARGETS {
        for workspaces in WORKSPACES {
            for queue in QUEUES {
                run(targets, workspaces, queue, 0);
            }
        }
    }
    let targets = TARGETS[TARGETS.len() - 1];
    for paced in PACED {
        println!("{paced} of {targets} targets need permits:");
        for queue in PACED_QUEUES {
            run(targets, PACED_WORKSPACES, queue, paced);
        }
    }
}

fn run(targets: usize, workspaces: usize, queue: usize, paced: usize) {
    let mut bench = Bench::new(targets, workspaces);
    for target in Vec::from(&bench.targets[..paced]) {
        bench.handle(SchedulerEvent::StartsPaced(target, true));
    }
    bench.permit(paced);
    bench.fill(queue);
    let (mut arrivals, mut ends, mut ticks) = (Vec::new(), Vec::new(), Vec::new());
    for round in 0..WARM_UP + ROUNDS {
        bench.now += Duration::from_millis(1);
        if round % 500 == 0 {
            bench.report_all();
        }
        let tick = (round % 100 == 0).then(|| {
            bench.permit(paced);
            bench.handle(SchedulerEvent::Tick)
        });
        let end = bench.end();
        let arrival = bench.arrive();
        bench.fill(queue);
        if round >= WARM_UP {
            arrivals.push(arrival);
            ends.push(end);
            ticks.extend(tick);
        }
    }
    let cells: Vec<String> = [&mut arrivals, &mut ends, &mut ticks]
        .into_iter()
        .map(|samples| {
            format!("{:9.1} {:9.1}", percentile(samples, 0.5), percentile(samples, 0.99))
        })
        .collect();
    let waiting: u32 = bench.scheduler.waiting_by_tier().iter().sum();
    println!("{targets:7} {workspaces:10} {waiting:5} | {}", cells.join(" | "));
}
