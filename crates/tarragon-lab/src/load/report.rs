//! Counts and latencies of a load run, by class.

use std::{fmt, time::Duration};

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use tarragon_protocol::prelude::Tier;

use super::client::{LoadAnswer, LoadOutcome};
use crate::workload::Workload;

/// Greatest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 900_000_000;

/// Results of one class.
#[derive(Debug, Clone)]
pub struct ClassReport {
    /// Name of the class.
    pub class: String,
    /// Tier of the class.
    pub tier: Tier,
    /// Requests by outcome.
    pub outcomes: IndexMap<LoadOutcome, u64>,
    /// Requests that were sent more than once.
    pub repeated: u64,
    /// Time to first byte in microseconds, of requests that were done.
    pub first: Histogram<u64>,
    /// Time to the end in microseconds, of requests that were done.
    pub total: Histogram<u64>,
    /// Greatest gap in a stream in microseconds, of requests that were done.
    pub gap: Histogram<u64>,
}

/// Results of a load run.
#[derive(Debug, Clone)]
pub struct LoadReportTable {
    /// Results by class, in the order of the workload.
    pub classes: Vec<ClassReport>,
    /// Requests of the plan.
    pub planned: usize,
    /// Length of the run.
    pub elapsed: Duration,
}

impl LoadReportTable {
    pub(super) fn new(workload: &Workload) -> LoadReportTable {
        let classes = workload.classes.iter().map(|class| ClassReport {
            class: class.name.clone(),
            tier: class.tier,
            outcomes: IndexMap::new(),
            repeated: 0,
            first: latency_histogram(),
            total: latency_histogram(),
            gap: latency_histogram(),
        });
        LoadReportTable { classes: classes.collect(), planned: 0, elapsed: Duration::ZERO }
    }

    pub(super) fn add(&mut self, answer: &LoadAnswer) {
        let class = &mut self.classes[answer.class];
        *class.outcomes.entry(answer.outcome).or_default() += 1;
        class.repeated += u64::from(answer.sendings > 1);
        if answer.outcome == LoadOutcome::Done {
            class.first.saturating_record(micros(answer.first));
            class.total.saturating_record(micros(answer.total));
            class.gap.saturating_record(micros(answer.gap));
        }
    }

    pub(super) fn finish(&mut self, planned: usize, elapsed: Duration) {
        self.planned = planned;
        self.elapsed = elapsed;
    }

    /// Requests with this outcome over all classes.
    pub fn count(&self, outcome: LoadOutcome) -> u64 {
        self.classes.iter().filter_map(|class| class.outcomes.get(&outcome)).sum()
    }

    /// Requests that have an outcome. Equals `planned` if none was lost by the generator.
    pub fn answered(&self) -> u64 {
        LoadOutcome::ALL.into_iter().map(|outcome| self.count(outcome)).sum()
    }
}

impl fmt::Display for LoadReportTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "| class | tier |")?;
        for outcome in LoadOutcome::ALL {
            write!(formatter, " {} |", outcome.name())?;
        }
        writeln!(formatter, " repeated | first p50/p95/p99 ms | total p50/p95/p99 ms |")?;
        writeln!(formatter, "|{}", " --- |".repeat(LoadOutcome::ALL.len() + 5))?;
        for class in &self.classes {
            write!(formatter, "| {} | {} |", class.class, class.tier)?;
            for outcome in LoadOutcome::ALL {
                write!(formatter, " {} |", class.outcomes.get(&outcome).unwrap_or(&0))?;
            }
            let (first, total) = (quantiles(&class.first), quantiles(&class.total));
            writeln!(formatter, " {} | {first} | {total} |", class.repeated)?;
        }
        let (planned, answered) = (self.planned, self.answered());
        write!(formatter, "{planned} planned, {answered} with an outcome, {:?}", self.elapsed)
    }
}

/// A histogram of latencies in microseconds with three digits.
pub(crate) fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("constant bounds are valid")
}

/// The 50th, 95th and 99th percentile in milliseconds.
pub(crate) fn quantiles(histogram: &Histogram<u64>) -> String {
    if histogram.is_empty() {
        return "-".to_owned();
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    format!("{:.1}/{:.1}/{:.1}", at(0.5), at(0.95), at(0.99))
}

fn micros(latency: Duration) -> u64 {
    latency.as_micros() as u64
}
