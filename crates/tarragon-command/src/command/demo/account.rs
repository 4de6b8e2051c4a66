//! The account of the demo: every request that was sent must have one ending.

use std::{fmt, time::Duration};

use indexmap::IndexMap;
use tarragon_protocol::prelude::*;

use super::call::{DemoEnding, DemoResult};

/// Counts of one tier.
#[derive(Debug, Clone, Copy, Default)]
struct TierAccount {
    ended: u64,
    answered: u64,
    in_time: u64,
    tokens: u64,
}

/// All counts and what was found wrong.
#[derive(Debug)]
pub(super) struct DemoAccount {
    sent: u64,
    tiers: [TierAccount; Tier::COUNT],
    refusals: IndexMap<String, u64>,
    unknown: IndexMap<String, u64>,
    violations: IndexMap<String, u64>,
    /// Violations one by one, as far as they belong to a request.
    details: Vec<String>,
    /// Answered dispatches: call id, and the answer for the log.
    pub(super) done_calls: Vec<(String, String)>,
    /// Dispatches that were refused as "not run": call id, and the answer for the log.
    pub(super) refused_calls: Vec<(String, String)>,
    /// Prompt tokens computed by all engines.
    pub(super) prefill: u64,
    /// Prompt tokens computed in vain or again.
    pub(super) wasted_prefill: u64,
    /// Time from the first request to the last ending.
    pub(super) elapsed: Duration,
}

impl DemoAccount {
    pub(super) fn new(sent: usize) -> DemoAccount {
        DemoAccount {
            sent: u64::try_from(sent).unwrap_or(u64::MAX),
            tiers: [TierAccount::default(); Tier::COUNT],
            refusals: IndexMap::new(),
            unknown: IndexMap::new(),
            violations: IndexMap::new(),
            details: Vec::new(),
            done_calls: Vec::new(),
            refused_calls: Vec::new(),
            prefill: 0,
            wasted_prefill: 0,
            elapsed: Duration::ZERO,
        }
    }

    /// Adds one ending.
    pub(super) fn add(&mut self, result: DemoResult) {
        let tier = &mut self.tiers[result.tier.index()];
        tier.ended += 1;
        match result.ending {
            DemoEnding::Answered => {
                tier.answered += 1;
                tier.in_time += u64::from(result.in_time);
                tier.tokens += if result.in_time { u64::from(result.tokens) } else { 0 };
                self.done_calls.extend(result.call_id.map(|id| (id, result.detail.clone())));
            }
            DemoEnding::Refused(code) => {
                *self.refusals.entry(code).or_default() += 1;
                self.refused_calls.extend(result.call_id.map(|id| (id, result.detail.clone())));
            }
            DemoEnding::Unknown(code) => *self.unknown.entry(code).or_default() += 1,
        }
        if let Some(fault) = result.fault {
            self.details.push(format!("{fault}: {}", result.detail));
            self.violation(fault, 1);
        }
    }

    /// Adds violations of one kind.
    pub(super) fn violation(&mut self, kind: impl Into<String>, count: u64) {
        if count > 0 {
            *self.violations.entry(kind.into()).or_default() += count;
        }
    }

    /// Adds a violation that belongs to one request.
    pub(super) fn violation_of(&mut self, kind: &str, call_id: &str, detail: &str) {
        self.violation(kind, 1);
        self.details.push(format!("{kind}: {call_id}: {detail}"));
    }

    fn answered(&self) -> u64 {
        self.tiers.iter().map(|tier| tier.answered).sum()
    }

    /// Whether nothing was violated and every request has one ending.
    pub(super) fn is_clean(&self) -> bool {
        self.violations.is_empty() && self.balances()
    }

    fn balances(&self) -> bool {
        let refused: u64 = self.refusals.values().sum();
        let unknown: u64 = self.unknown.values().sum();
        self.answered() + refused + unknown == self.sent
    }
}

impl fmt::Display for DemoAccount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "tier      sent  answered  in time  tokens/s in time")?;
        let seconds = self.elapsed.as_secs_f64().max(0.001);
        for tier in Tier::DESCENDING {
            let TierAccount { ended, answered, in_time, tokens } = self.tiers[tier.index()];
            #[expect(clippy::cast_precision_loss, reason = "a rate for display")]
            let rate = tokens as f64 / seconds;
            let name = tier.name();
            writeln!(formatter, "{name:8} {ended:5} {answered:9} {in_time:8} {rate:17.0}")?;
        }
        let percent = (self.wasted_prefill * 100).checked_div(self.prefill).unwrap_or(0);
        let (wasted, prefill) = (self.wasted_prefill, self.prefill);
        writeln!(formatter, "wasted prefill: {wasted} of {prefill} tokens ({percent}%)")?;
        write_counts(formatter, "refused", &self.refusals)?;
        write_counts(formatter, "unknown", &self.unknown)?;
        write_counts(formatter, "violations", &self.violations)?;
        for detail in &self.details {
            writeln!(formatter, "  {detail}")?;
        }
        let refused: u64 = self.refusals.values().sum();
        let unknown: u64 = self.unknown.values().sum();
        let (answered, sent) = (self.answered(), self.sent);
        let sign = if self.balances() { "=" } else { "≠" };
        writeln!(
            formatter,
            "{answered} answered + {refused} refused + {unknown} unknown {sign} {sent} sent, in {seconds:.1} s"
        )
    }
}

fn write_counts(
    formatter: &mut fmt::Formatter<'_>,
    title: &str,
    counts: &IndexMap<String, u64>,
) -> fmt::Result {
    let total: u64 = counts.values().sum();
    write!(formatter, "{title}: {total}")?;
    let kinds: Vec<String> = counts.iter().map(|(kind, count)| format!("{count} {kind}")).collect();
    match kinds.is_empty() {
        true => writeln!(formatter),
        false => writeln!(formatter, " ({})", kinds.join(", ")),
    }
}
