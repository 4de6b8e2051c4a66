//! Randomised runs of several nodes in one thread and in virtual time, with faults and with checks by an
//! observer outside the nodes. The same seed gives the same run and the same hash of events.

use std::{collections::BTreeMap, fmt, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::workload::{WORKLOAD_NAMES, Workload};

pub(crate) mod caller;
pub(crate) mod check;
pub(crate) mod fault;
pub(crate) mod figure;
mod journal;
mod message;
mod mutation;
mod network;
pub(crate) mod platform;
pub(crate) mod target;
pub(crate) mod topology;
pub(crate) mod world;

pub use check::{CheckName, Violation};
pub use mutation::Mutation;

use caller::CallEnd;
use topology::Topology;
use world::{World, WorldEvent};

/// Longest virtual time of a run.
const MAX_LENGTH: Duration = Duration::from_secs(3_600);
/// Time before the first request, in which the processes find each other.
const QUIET_START: Duration = Duration::from_secs(12);

/// What to run.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// First seed.
    pub seed: u64,
    /// Number of consecutive seeds.
    pub seeds: u64,
    /// Steps of each run.
    pub steps: u64,
    /// Rule that is broken on purpose.
    pub mutation: Option<Mutation>,
    /// Whether to print each event.
    pub echo: bool,
}

impl Default for SoakOptions {
    fn default() -> SoakOptions {
        SoakOptions { seed: 1, seeds: 1, steps: 100_000, mutation: None, echo: false }
    }
}

/// Result of the run of one seed.
#[derive(Debug, Clone)]
pub struct SeedReport {
    /// Seed.
    pub seed: u64,
    /// Steps taken.
    pub steps: u64,
    /// Virtual time at the end.
    pub length: Duration,
    /// Hash over all events.
    pub hash: u64,
    /// Calls by how they ended; the last entry counts those that were open at the end.
    pub calls: [usize; 5],
    /// How often each check was applied.
    pub judged: BTreeMap<CheckName, u64>,
    /// Calls of the configuration service.
    pub platform_calls: u64,
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// The last events, if a rule was broken.
    pub last_events: Vec<String>,
}

/// Result of a randomised run.
#[derive(Debug, Clone, Default)]
pub struct SoakReport {
    /// Results by seed.
    pub seeds: Vec<SeedReport>,
}

impl SoakReport {
    /// Whether no rule was broken.
    pub fn is_clean(&self) -> bool {
        self.seeds.iter().all(|seed| seed.violations.is_empty())
    }
}

impl fmt::Display for SeedReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [done, late, not_run, unknown, open] = self.calls;
        write!(
            formatter,
            "seed {}: {} steps, {:.1} s, hash {:016x}, calls: {done} done, {late} late, {not_run} \
             not-run, {unknown} unknown, {open} open; {} configuration reads",
            self.seed,
            self.steps,
            self.length.as_secs_f64(),
            self.hash,
            self.platform_calls
        )?;
        for violation in &self.violations {
            write!(
                formatter,
                "\nviolation at seed {}, step {}: {violation}",
                self.seed, self.steps
            )?;
        }
        for event in &self.last_events {
            write!(formatter, "\n  {event}")?;
        }
        Ok(())
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut judged: BTreeMap<CheckName, u64> = BTreeMap::new();
        for report in &self.seeds {
            writeln!(formatter, "{report}")?;
            for (name, count) in &report.judged {
                *judged.entry(*name).or_default() += count;
            }
        }
        let bad = self.seeds.iter().filter(|report| !report.violations.is_empty()).count();
        writeln!(formatter, "checks applied: {judged:?}")?;
        write!(formatter, "{} seeds, {bad} with violations", self.seeds.len())
    }
}

/// Runs all seeds, one after another. A run ends at its first violation.
pub fn run(options: SoakOptions) -> SoakReport {
    tarragon_cluster::invariant::panic_on_violation();
    let last = options.seed.saturating_add(options.seeds);
    let seeds = (options.seed..last).map(|seed| run_seed(&options, seed)).collect();
    SoakReport { seeds }
}

fn run_seed(options: &SoakOptions, seed: u64) -> SeedReport {
    let mut world = build_world(options, seed);
    while world.journal.step() < options.steps && !world.observer.has_violation() {
        if !step_caught(&mut world) {
            break;
        }
    }
    let violations = world.observer.take_violations();
    let ends = [
        Some(CallEnd::Done),
        Some(CallEnd::Late),
        Some(CallEnd::NotRun),
        Some(CallEnd::Unknown),
        None,
    ];
    SeedReport {
        seed,
        steps: world.journal.step(),
        length: world.now,
        hash: world.journal.hash(),
        calls: ends.map(|end| world.callers.count(end)),
        judged: world.observer.judged.clone(),
        platform_calls: world.platform.calls,
        last_events: if violations.is_empty() { Vec::new() } else { world.journal.recent() },
        violations,
    }
}

/// Takes a step. A panic of a node, from a broken invariant or any other cause, is a violation.
fn step_caught(world: &mut World) -> bool {
    let step = std::panic::AssertUnwindSafe(|| world.step(MAX_LENGTH));
    match std::panic::catch_unwind(step) {
        Ok(goes_on) => goes_on,
        Err(cause) => {
            let text = cause.downcast_ref::<String>().cloned();
            let text = text.or_else(|| cause.downcast_ref::<&str>().map(|text| text.to_string()));
            world.observer.violate(CheckName::NodeInvariant, text.unwrap_or_default());
            false
        }
    }
}

fn build_world(options: &SoakOptions, seed: u64) -> World {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x50a4);
    let name = WORKLOAD_NAMES[(seed % WORKLOAD_NAMES.len() as u64) as usize];
    let workload = Workload::named(name).expect("the built-in workloads are valid");
    let vms = random.random_range(6..=8);
    let topology = Topology::new(workload, vms, &mut random);
    let faults = fault::schedule(&topology, MAX_LENGTH, &mut random);
    let mut world = World::new(topology, seed, options.mutation, options.echo);
    world.callers.rate = random.random_range(8.0..25.0);
    if options.mutation == Some(Mutation::InvertTiers) {
        world.overload();
    }
    world.schedule(QUIET_START, WorldEvent::Arrival);
    for (at, step) in faults {
        world.schedule(at, WorldEvent::Fault(step));
    }
    world
}
