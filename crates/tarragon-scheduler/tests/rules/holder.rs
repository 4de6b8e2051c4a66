//! Cached prefixes: their age and memory, and waits for busy targets that hold them.

use super::*;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tarragon_protocol::load::TargetState;
use tarragon_scheduler::targets::{
    holder::{HolderBounds, HolderOffer},
    memory::{CacheDemand, CacheMemory},
    prefix::PrefixIndex,
};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

struct WaitCase {
    name: &'static str,
    saved_ms: u64,
    wait_ms: u64,
    objective_ms: Option<u64>,
    latest_start_ms: u64,
    /// Until when it may wait by an earlier decision.
    known_ms: Option<u64>,
    until_ms: Option<u64>,
}

/// The first token comes 100 ms after the dispatch to the holder, and 100 ms and the saving after that to the open
/// target.
const BASE: Duration = ms(100);

const WAIT_CASE: WaitCase = WaitCase {
    name: "",
    saved_ms: 500,
    wait_ms: 200,
    objective_ms: None,
    latest_start_ms: 60_000,
    known_ms: None,
    until_ms: Some(500),
};

const WAIT_CASES: &[WaitCase] = &[
    WaitCase { name: "saves more than it waits", ..WAIT_CASE },
    WaitCase { name: "waits as long as it saves", wait_ms: 500, until_ms: None, ..WAIT_CASE },
    WaitCase { name: "saves nothing", saved_ms: 0, wait_ms: 0, until_ms: None, ..WAIT_CASE },
    WaitCase {
        name: "the open target meets the objective until then",
        objective_ms: Some(900),
        until_ms: Some(300),
        ..WAIT_CASE
    },
    WaitCase {
        name: "a wrong estimate would cost the objective",
        objective_ms: Some(750),
        until_ms: None,
        ..WAIT_CASE
    },
    WaitCase {
        name: "misses the objective everywhere",
        objective_ms: Some(50),
        until_ms: None,
        ..WAIT_CASE
    },
    WaitCase { name: "would be refused before", latest_start_ms: 700, until_ms: None, ..WAIT_CASE },
    WaitCase { name: "has waited before", known_ms: Some(250), until_ms: Some(250), ..WAIT_CASE },
    WaitCase { name: "has waited enough", known_ms: Some(150), until_ms: None, ..WAIT_CASE },
];

/// Guards against waits that cost more than they save, and against objectives that are missed because of them.
#[test]
fn a_wait_is_shorter_than_its_saving_and_keeps_the_objective() {
    for case in WAIT_CASES {
        let now = Instant::now();
        let offer = HolderOffer {
            saved: ms(case.saved_ms),
            wait: ms(case.wait_ms),
            held_first: BASE,
            open_first: BASE + ms(case.saved_ms),
        };
        let bounds = HolderBounds {
            objective: case.objective_ms.map(|time| now + ms(time)),
            latest_start: now + ms(case.latest_start_ms),
            until: case.known_ms.map(|time| now + ms(time)),
        };
        let until = offer.wait_until(bounds, now).map(|until| until.duration_since(now));
        assert_eq!(until, case.until_ms.map(ms), "{}", case.name);
    }
}

/// Guards against a cached prefix that counts as held although the target needed its memory, and against one in
/// use that is forgotten.
#[test]
fn a_prefix_is_evicted_after_its_last_use() {
    let mut index = PrefixIndex::default();
    let blocks: Vec<BlockHash> = (0..8).collect();
    index.insert_prompt(70, &blocks);
    index.insert_prompt(1, &blocks);
    for generation in 1..=4 {
        assert_eq!(index.hit(&blocks, 70), 8, "before generation {generation}");
        index.age_target(70);
    }
    assert_eq!(index.hit(&blocks, 70), 0);
    assert_eq!(index.hit(&blocks, 1), 8, "another target");
    for _ in 0..3 {
        index.age_target(1);
    }
    index.insert_prompt(1, &blocks[..4]);
    index.age_target(1);
    assert_eq!(index.hit(&blocks, 1), 4, "only the part in use stays");
}

/// Guards against a memory that seems to hold prompts which the running requests have displaced, and against
/// prompts of other processes that don't count.
#[test]
fn what_fits_depends_on_the_running_requests() {
    let start = Instant::now();
    let demand = CacheDemand { held: 1_000, added: 500, time: Duration::from_secs(1) };
    let mut unknown = CacheMemory::default();
    unknown.record(demand);
    assert_eq!((unknown.room(2.0), unknown.advance(9.0, 9.0, start)), (None, 0));
    let mut memory = CacheMemory::default();
    memory.set_capacity(4_000);
    memory.record(demand);
    assert_eq!(memory.room(0.0), Some(4_000));
    assert_eq!(memory.room(2.0), Some(2_000));
    assert_eq!(memory.room(9.0), Some(0));
    assert_eq!(memory.advance(0.0, 2.0, start), 1, "a quarter of 2,000 tokens");
    assert_eq!(memory.advance(0.0, 2.0, start + ms(900)), 0);
    assert_eq!(memory.advance(2.0, 2.0, start + ms(1_400)), 1, "two others for half a second");
    assert_eq!(memory.advance(4.0, 9.0, start + ms(1_500)), 2, "nothing is left after that");
    assert_eq!(
        memory.advance(4.0, 9.0, start + ms(1_600)),
        0,
        "no pass over the index for nothing"
    );
    memory.record(demand);
    assert_eq!(memory.advance(4.0, 9.0, start + ms(1_700)), 4, "all at most");
}

/// Two targets with one slot each and known speeds. The first holds a prompt, and is busy with another request of
/// which about `left` tokens are missing.
fn busy_holder(left: u32) -> (Driver, RequestId) {
    let mut driver = Driver::with_targets(2, 1);
    driver.handle(SchedulerEvent::CacheSized("pool".into(), 1_000_000));
    let terms = CallOptions { expected_output: Some(100), ..CallOptions::default() };
    let call = || Call { prompt: 6_400, terms, ..Call::default() };
    for _ in 0..16 {
        let pair = [driver.send(call()), driver.send(call())];
        driver.advance(ms(1_600));
        pair.iter().for_each(|request| driver.progress(*request, 1, 1, 1_600));
        driver.advance(ms(2_000));
        pair.iter().for_each(|request| driver.progress(*request, 1, 100, 1_600));
        pair.iter().for_each(|request| driver.end(*request, 1, AttemptEnd::Finished));
    }
    driver.set_slots("t1", 0, false);
    let first = driver.send(Call { blocks: (0..100).collect(), ..call() });
    assert_eq!(&*driver.dispatched()[0].2, "t0");
    driver.advance(ms(1_600));
    driver.progress(first, 1, 100 - left, 1_600);
    driver.set_slots("t1", 1, false);
    (driver, first)
}

struct BusyCase {
    name: &'static str,
    /// Tokens that the running request has left, 20 ms each.
    left: u32,
    tier: Tier,
    blocks: std::ops::Range<u64>,
    waits: bool,
}

const BUSY_CASES: &[BusyCase] = &[
    BusyCase { name: "free soon", left: 20, tier: Tier::Normal, blocks: 0..100, waits: true },
    BusyCase { name: "urgent", left: 20, tier: Tier::Urgent, blocks: 0..100, waits: false },
    BusyCase { name: "free late", left: 99, tier: Tier::Normal, blocks: 0..100, waits: false },
    BusyCase { name: "not held", left: 20, tier: Tier::Normal, blocks: 500..600, waits: false },
];

/// Guards against requests that wait for a holder for nothing, and against a wait that no free slot ends.
#[test]
fn a_request_waits_only_for_a_holder_that_is_free_soon() {
    for case in BUSY_CASES {
        for is_free in [true, false] {
            let (mut driver, running) = busy_holder(case.left);
            let terms = CallOptions { expected_output: Some(100), ..CallOptions::default() };
            let blocks = case.blocks.clone().collect();
            let request =
                driver.send(Call { prompt: 6_400, blocks, terms, ..Call::tier(case.tier) });
            let sent = driver.dispatched();
            if !case.waits {
                assert_eq!(sent, [(request, 1, "t1".into())], "{}", case.name);
                continue;
            }
            assert_eq!(sent, [], "{}", case.name);
            let expected = if is_free {
                driver.end(running, 1, AttemptEnd::Finished);
                "t0"
            } else {
                driver.advance(ms(1_700));
                "t1"
            };
            assert_eq!(driver.dispatched(), [(request, 1, expected.into())], "{}", case.name);
        }
    }
}

/// Tokens of a block.
const BLOCK: u32 = 64;
const TARGETS: usize = 6;
const SLOTS: u32 = 2;
const MEMORY: u64 = 60_000;
const PREFIX_BLOCKS: u64 = 96;
const OWN_BLOCKS: u64 = 4;
const REQUESTS: u64 = 400;
const PREFILL_SECONDS: f64 = 1.0 / 4_000.0;
const ANSWER_TOKENS: u32 = 20;
const TOKEN_TIME: Duration = ms(20);
const OBJECTIVE: Duration = Duration::from_secs(4);
const SEEDS: u64 = 6;

/// An engine that computes prompts one after the other and keeps what it has read until it needs the memory.
#[derive(Default)]
struct Engine {
    /// Blocks held, the least recently used first.
    held: IndexMap<BlockHash, ()>,
    running: u64,
    free_at: Option<Instant>,
}

impl Engine {
    /// Reads a prompt. Returns the number of its tokens that were held, and when the first token comes.
    fn read(&mut self, blocks: &[BlockHash], now: Instant) -> (u32, Instant) {
        let held = blocks.iter().take_while(|block| self.held.contains_key(*block)).count();
        for block in blocks {
            self.held.shift_remove(block);
            self.held.insert(*block, ());
        }
        self.running += 1;
        let prompt = (PREFIX_BLOCKS + OWN_BLOCKS) * u64::from(BLOCK) + u64::from(ANSWER_TOKENS);
        let room = MEMORY.saturating_sub((self.running - 1) * prompt) / u64::from(BLOCK);
        while self.held.len() as u64 > room {
            self.held.shift_remove_index(0);
        }
        let cached = held as u32 * BLOCK;
        let computed = blocks.len() as u32 * BLOCK - cached;
        let began = self.free_at.map_or(now, |free| free.max(now));
        let first = began + ms(50) + Duration::from_secs_f64(f64::from(computed) * PREFILL_SECONDS);
        self.free_at = Some(first);
        (cached, first)
    }
}

enum WorldEvent {
    /// A request arrives whose prompt is drawn by this number.
    Arrival(u64),
    /// The first token of a request that was sent at this time, with its computed and its cached tokens.
    FirstToken {
        request: RequestId,
        sent: Instant,
        computed: u32,
        cached: u32,
    },
    End(RequestId, usize),
    Tick,
}

#[derive(Debug, Default, PartialEq)]
struct WorldResult {
    /// Request and target of each dispatch.
    dispatches: Vec<(RequestId, TargetName)>,
    computed: u64,
    /// Sum of the times from arrival to first token.
    first_tokens: Duration,
    /// Requests whose first token came after their objective.
    late: u64,
    waits: u64,
}

struct World {
    driver: Driver,
    engines: Vec<Engine>,
    events: BTreeMap<(Instant, u64), WorldEvent>,
    sequence: u64,
    /// Prefixes of which each prompt begins with one; `None` if no prompts have a common prefix.
    prefixes: Option<u64>,
    arrivals: IndexMap<RequestId, (Instant, Vec<BlockHash>)>,
    end: Instant,
    result: WorldResult,
}

impl World {
    /// Plays a load. `memory` is what the scheduler knows of the engines.
    fn play(prefixes: Option<u64>, interval: Duration, memory: u64, seed: u64) -> WorldResult {
        let mut driver = Driver::with_targets(TARGETS, SLOTS);
        driver.handle(SchedulerEvent::CacheSized("pool".into(), memory));
        let mut world = World {
            engines: (0..TARGETS).map(|_| Engine::default()).collect(),
            events: BTreeMap::new(),
            sequence: 0,
            prefixes,
            arrivals: IndexMap::new(),
            end: driver.now + interval * REQUESTS as u32 * 2,
            result: WorldResult::default(),
            driver,
        };
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut at = world.driver.now;
        for _ in 0..REQUESTS {
            at += interval.mul_f64(-rng.random_range(1e-9..1.0f64).ln());
            world.plan(at, WorldEvent::Arrival(rng.random()));
        }
        world.plan(world.driver.now, WorldEvent::Tick);
        while let Some(((now, _), event)) = world.events.pop_first() {
            world.driver.now = now;
            world.apply(event);
        }
        world.result.waits = world.driver.scheduler.statistics().holder_waits;
        world.result
    }

    fn plan(&mut self, at: Instant, event: WorldEvent) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn apply(&mut self, event: WorldEvent) {
        let now = self.driver.now;
        match event {
            WorldEvent::Arrival(random) => self.arrive(random),
            WorldEvent::FirstToken { request, sent, computed, cached } => {
                let time = now - self.arrivals[&request].0;
                self.result.first_tokens += time;
                self.result.late += u64::from(time > OBJECTIVE);
                self.result.computed += u64::from(computed);
                self.handle(SchedulerEvent::AttemptProgress(AttemptProgress {
                    request,
                    attempt: 1,
                    tokens: 1,
                    prefill_tokens: Some(computed),
                    cached_tokens: Some(cached),
                    first_token: now - sent,
                }));
            }
            WorldEvent::End(request, target) => {
                self.engines[target].running -= 1;
                self.driver.progress(request, 1, ANSWER_TOKENS, 0);
                self.start_dispatched();
                self.handle(SchedulerEvent::AttemptEnded(request, 1, AttemptEnd::Finished));
            }
            WorldEvent::Tick => {
                for target in 0..TARGETS {
                    let running = self.engines[target].running as u32;
                    let name = format!("t{target}");
                    self.driver.report_running(&name, 1, TargetState::Warm, running);
                    self.start_dispatched();
                }
                self.handle(SchedulerEvent::Tick);
                if now < self.end {
                    self.plan(now + ms(100), WorldEvent::Tick);
                }
            }
        }
    }

    fn arrive(&mut self, random: u64) {
        let prefix = self.prefixes.map_or(random, |count| random % count);
        let shared = (0..PREFIX_BLOCKS).map(|block| prefix.rotate_left(32) ^ block);
        let own = (0..OWN_BLOCKS).map(|block| !random.rotate_left(16) ^ block << 50);
        let blocks: Vec<BlockHash> = shared.chain(own).collect();
        let terms = CallOptions {
            expected_output: Some(ANSWER_TOKENS),
            first_output_objective: Some(self.driver.now + OBJECTIVE),
            ..CallOptions::default()
        };
        let prompt = blocks.len() as u32 * BLOCK;
        let call = Call { prompt, blocks: blocks.clone(), terms, ..Call::default() };
        let request = self.arrivals.len() as RequestId + 1;
        self.arrivals.insert(request, (self.driver.now, blocks));
        assert_eq!(self.driver.send(call), request);
        self.start_dispatched();
    }

    fn handle(&mut self, event: SchedulerEvent) {
        self.driver.handle(event);
        self.start_dispatched();
    }

    /// Has the engines read the prompts of the requests that were dispatched by the last event.
    fn start_dispatched(&mut self) {
        let now = self.driver.now;
        for (request, attempt, name) in self.driver.dispatched() {
            assert_eq!(attempt, 1);
            let target: usize = name[1..].parse().unwrap();
            let blocks = &self.arrivals[&request].1;
            let prompt = blocks.len() as u32 * BLOCK;
            let (cached, first) = self.engines[target].read(blocks, now);
            let computed = prompt - cached;
            self.plan(first, WorldEvent::FirstToken { request, sent: now, computed, cached });
            self.plan(first + TOKEN_TIME * ANSWER_TOKENS, WorldEvent::End(request, target));
            self.result.dispatches.push((request, name));
        }
    }
}

/// Guards against prompts that are computed again at an open target although a busy one holds them and is free
/// soon, and against waits that make answers later or other requests refused.
#[test]
fn shared_prompts_are_computed_less_often_and_answered_earlier() {
    for seed in 0..SEEDS {
        let without = World::play(Some(24), ms(400), 0, seed);
        let with = World::play(Some(24), ms(400), MEMORY, seed);
        assert_eq!(with.dispatches.len() as u64, REQUESTS, "seed {seed}");
        assert!(with.computed < without.computed, "seed {seed}");
        assert!(with.first_tokens < without.first_tokens, "seed {seed}");
        assert!(with.late <= without.late, "seed {seed}");
        assert!(with.waits > 0 && without.waits == 0, "seed {seed}");
    }
}

/// Guards against a change of placement, or waits, where no prompt has anything in common with another.
#[test]
fn prompts_that_share_nothing_are_placed_as_without_a_memory() {
    for seed in 0..SEEDS {
        let without = World::play(None, ms(350), 0, seed);
        let with = World::play(None, ms(350), MEMORY, seed);
        assert_eq!(with, without, "seed {seed}");
        assert_eq!(with.waits, 0);
    }
}
