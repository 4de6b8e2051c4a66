//! One trial: a policy under a load, and the tables of several trials.

use std::{fmt::Write as _, time::Duration};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tarragon_protocol::prelude::Tier;

use crate::{
    load::quantiles,
    soak::{
        caller::CallEnd,
        fault::FaultStep,
        figure::RunFigures,
        topology::Topology,
        world::{World, WorldEvent},
    },
    workload::Workload,
};

/// Time that processes get to find each other before the first request.
const START_TIME: Duration = Duration::from_secs(15);
/// Time after the last arrival in which answers are awaited; the longest deadline is 300 s.
const TAIL_TIME: Duration = Duration::from_secs(305);
/// Bound of each VM's queue, as in the default settings.
const QUEUE_LIMIT: usize = 4_096;

/// What is tried.
#[derive(Debug, Clone)]
pub struct Trial {
    /// Name of the workload.
    pub workload: String,
    /// Plug-in that chooses targets.
    pub policy: String,
    /// Load relative to the capacity.
    pub load: f64,
    /// Requests per second.
    pub rate: f64,
    /// Time over which requests arrive.
    pub length: Duration,
    /// Number of entry VMs.
    pub vms: usize,
    /// Determines the plan and the random choices.
    pub seed: u64,
    /// When the first data centre leaves and when it returns, from the first arrival.
    pub departure: Option<(Duration, Duration)>,
}

/// What came out.
#[derive(Debug, Clone)]
pub struct TrialResult {
    /// The trial.
    pub trial: Trial,
    /// Second of virtual time at which the first request could arrive.
    pub begin_second: u64,
    /// Broken rules.
    pub violations: Vec<String>,
    pub(super) figures: RunFigures,
}

impl Trial {
    /// Runs the trial in virtual time.
    pub fn run(&self) -> anyhow::Result<TrialResult> {
        let workload = Workload::named(&self.workload)?;
        let plan = workload.plan(self.rate, self.length, self.seed);
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let mut topology = Topology::new(workload, self.vms, &mut random);
        topology.choose = Some(self.policy.clone());
        let mut world = World::with_queue(topology, self.seed, QUEUE_LIMIT);
        let mut violations = Vec::new();
        run_on(&mut world, START_TIME, &mut violations);
        if let Some((out, back)) = self.departure {
            world.schedule(out, WorldEvent::Fault(FaultStep::Out(0, true)));
            world.schedule(back, WorldEvent::Fault(FaultStep::Out(0, false)));
        }
        world.play(plan);
        let end = START_TIME + self.length + TAIL_TIME;
        run_on(&mut world, end, &mut violations);
        let figures = std::mem::take(&mut world.figures);
        let begin_second = START_TIME.as_secs();
        Ok(TrialResult { trial: self.clone(), begin_second, violations, figures })
    }
}

/// Runs on after violations, which the tables report.
fn run_on(world: &mut World, until: Duration, violations: &mut Vec<String>) {
    while world.step(until) {
        for violation in world.observer.take_violations() {
            violations.push(violation.to_string());
        }
    }
}

impl TrialResult {
    /// Part of a tier's calls that were done in time.
    pub fn goodput(&self, tier: Tier) -> f64 {
        let Some(figures) = self.figures.tiers.get(&tier) else { return 0.0 };
        let done = figures.ends.get(&CallEnd::Done).copied().unwrap_or(0);
        done as f64 / figures.offered.max(1) as f64
    }

    /// Tokens per second of arrival time in answers that were whole in time.
    pub fn good_token_rate(&self) -> f64 {
        let tokens: u64 = self.figures.tiers.values().map(|figures| figures.good_tokens).sum();
        tokens as f64 / self.trial.length.as_secs_f64()
    }

    /// Wasted part of all computed prompt tokens.
    pub fn wasted_prefill(&self) -> f64 {
        self.figures.wasted_prefill as f64 / self.figures.prefill.max(1) as f64
    }

    /// Computed prompt tokens that were wasted.
    pub fn wasted_tokens(&self) -> u64 {
        self.figures.wasted_prefill
    }
}

/// Goodput by tier and wasted prefill.
pub(super) fn goodput_table(results: &[TrialResult]) -> String {
    let mut table = String::from(
        "| policy | load | urgent | high | normal | routine | good tokens/s | wasted prefill tokens | \
         part of prefill | violations |\n|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for result in results {
        let parts = Tier::DESCENDING.map(|tier| format!("{:.1}%", result.goodput(tier) * 100.0));
        let _ = writeln!(
            table,
            "| {} | {} | {} | {:.0} | {} | {:.1}% | {} |",
            result.trial.policy,
            result.trial.load,
            parts.join(" | "),
            result.good_token_rate(),
            result.wasted_tokens(),
            result.wasted_prefill() * 100.0,
            result.violations.len()
        );
    }
    table.push('\n');
    table
}

/// Time to first token and mean time between tokens.
pub(super) fn latency_table(results: &[TrialResult]) -> String {
    let mut table = String::from(
        "| policy | load | tier | first token p50/p95/p99 ms | between tokens p50/p95/p99 ms |\n\
         |---|---|---|---|---|\n",
    );
    for result in results {
        for tier in Tier::DESCENDING {
            let Some(figures) = result.figures.tiers.get(&tier) else { continue };
            let (first, between) = (quantiles(&figures.first), quantiles(&figures.between));
            let Trial { policy, load, .. } = &result.trial;
            let _ = writeln!(table, "| {policy} | {load} | {tier} | {first} | {between} |");
        }
    }
    table.push('\n');
    table
}

/// The same figures as comma-separated values.
pub(super) fn csv(results: &[TrialResult]) -> String {
    let mut text = String::from(
        "policy,load,urgent,high,normal,routine,good_tokens_per_s,prefill_tokens,wasted_prefill_tokens\n",
    );
    for result in results {
        let parts = Tier::DESCENDING.map(|tier| format!("{:.4}", result.goodput(tier)));
        let Trial { policy, load, .. } = &result.trial;
        let (rate, prefill) = (result.good_token_rate(), result.figures.prefill);
        let wasted = result.wasted_tokens();
        let _ = writeln!(text, "{policy},{load},{},{rate:.1},{prefill},{wasted}", parts.join(","));
    }
    text
}

/// Calls offered and done in each second, from the first arrival.
pub(super) fn by_second_csv(result: &TrialResult) -> String {
    let mut text = String::from("second,offered,done,done_urgent\n");
    for (second, offered, done, urgent) in by_second(result) {
        let _ = writeln!(text, "{second},{offered},{done},{urgent}");
    }
    text
}

/// Second, offered calls, calls done and urgent calls done.
pub(super) fn by_second(result: &TrialResult) -> Vec<(u64, u32, u32, u32)> {
    let length = result.trial.length.as_secs();
    let row = |second: u64| {
        let at = result.begin_second + second;
        let offered = result.figures.offered_by_second.get(&at).copied().unwrap_or_default();
        let done = result.figures.done_by_second.get(&at).copied().unwrap_or_default();
        (second, offered.iter().sum(), done.iter().sum(), done[Tier::Urgent.index()])
    };
    (0..length).map(row).collect()
}

/// Goodput before, during and after the absence of a data centre.
pub(super) fn departure_table(result: &TrialResult) -> String {
    let Some((out, back)) = result.trial.departure else { return String::new() };
    let rows = by_second(result);
    let mut table = String::from(
        "| phase | offered/s | done/s | urgent done/s | least done in a second |\n|---|---|---|---|---|\n",
    );
    let phases = [
        ("all data centres", 20, out.as_secs()),
        ("10 s after it left", out.as_secs(), out.as_secs() + 10),
        ("one is out", out.as_secs() + 10, back.as_secs()),
        ("10 s after its return", back.as_secs(), back.as_secs() + 10),
        ("all are back", back.as_secs() + 10, result.trial.length.as_secs()),
    ];
    for (name, from, to) in phases {
        let part: Vec<_> = rows.iter().filter(|row| (from..to).contains(&row.0)).collect();
        let seconds = part.len().max(1) as f64;
        let mean = |value: fn(&(u64, u32, u32, u32)) -> u32| {
            part.iter().map(|row| f64::from(value(row))).sum::<f64>() / seconds
        };
        let least = part.iter().map(|row| row.2).min().unwrap_or(0);
        let (offered, done, urgent) = (mean(|row| row.1), mean(|row| row.2), mean(|row| row.3));
        let _ = writeln!(table, "| {name} | {offered:.1} | {done:.1} | {urgent:.1} | {least} |");
    }
    let ends = Tier::DESCENDING.map(|tier| format!("{tier} {:.1}%", result.goodput(tier) * 100.0));
    let violations = &result.violations;
    let _ = writeln!(table, "\nDone in time: {}; violations: {violations:?}\n", ends.join(", "));
    table
}
