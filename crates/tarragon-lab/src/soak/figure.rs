//! Figures that an experiment takes from a run.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use indexmap::{IndexMap, IndexSet};
use tarragon_protocol::prelude::*;

use super::caller::CallEnd;
use crate::load::latency_histogram;

/// Figures of one tier.
#[derive(Debug, Clone)]
pub(crate) struct TierFigures {
    /// Calls that were made.
    pub(crate) offered: u64,
    /// Calls by how they ended.
    pub(crate) ends: IndexMap<CallEnd, u64>,
    /// Tokens of answers that arrived in time.
    pub(crate) good_tokens: u64,
    /// Time to first token in microseconds, from the intended start.
    pub(crate) first: Histogram<u64>,
    /// Mean time between tokens of an answer in microseconds.
    pub(crate) between: Histogram<u64>,
}

/// Figures of a run.
#[derive(Debug, Clone)]
pub(crate) struct RunFigures {
    /// Figures by tier.
    pub(crate) tiers: BTreeMap<Tier, TierFigures>,
    /// Calls that were done in time by second of their end, by tier.
    pub(crate) done_by_second: BTreeMap<u64, [u32; Tier::COUNT]>,
    /// Calls that were offered by second of their start, by tier.
    pub(crate) offered_by_second: BTreeMap<u64, [u32; Tier::COUNT]>,
    /// Prompt tokens that were computed.
    pub(crate) prefill: u64,
    /// Prompt tokens that were computed though an engine of the data centre had computed them before, or
    /// for an attempt without a whole answer.
    pub(crate) wasted_prefill: u64,
    /// First and last token of each call.
    pub(crate) tokens: IndexMap<usize, (Duration, Duration)>,
    /// Time from the publication of a configuration until a process has it in force, in microseconds,
    /// without the one in force at the start.
    pub(crate) applied: Histogram<u64>,
    seen_blocks: IndexSet<(usize, BlockHash)>,
}

impl Default for RunFigures {
    fn default() -> RunFigures {
        RunFigures {
            tiers: BTreeMap::new(),
            done_by_second: BTreeMap::new(),
            offered_by_second: BTreeMap::new(),
            prefill: 0,
            wasted_prefill: 0,
            tokens: IndexMap::new(),
            applied: latency_histogram(),
            seen_blocks: IndexSet::new(),
        }
    }
}

impl RunFigures {
    /// Figures of a tier.
    pub(crate) fn tier(&mut self, tier: Tier) -> &mut TierFigures {
        self.tiers.entry(tier).or_insert_with(|| TierFigures {
            offered: 0,
            ends: IndexMap::new(),
            good_tokens: 0,
            first: latency_histogram(),
            between: latency_histogram(),
        })
    }

    /// Counts a call that was made.
    pub(crate) fn offer(&mut self, now: Duration, tier: Tier) {
        self.tier(tier).offered += 1;
        self.offered_by_second.entry(now.as_secs()).or_default()[tier.index()] += 1;
    }

    /// Counts the end of a call.
    pub(crate) fn end(&mut self, now: Duration, tier: Tier, end: CallEnd, tokens: u32) {
        *self.tier(tier).ends.entry(end).or_default() += 1;
        if end == CallEnd::Done {
            self.tier(tier).good_tokens += u64::from(tokens);
            self.done_by_second.entry(now.as_secs()).or_default()[tier.index()] += 1;
        }
    }

    /// Notes the arrival of tokens at an entry VM.
    pub(crate) fn token(&mut self, call: usize, at: Duration) {
        self.tokens.entry(call).or_insert((at, at)).1 = at;
    }

    /// Notes the latencies of a whole generation.
    pub(crate) fn generation(&mut self, call: usize, tier: Tier, start: Duration, tokens: u32) {
        let Some((first, last)) = self.tokens.swap_remove(&call) else { return };
        let between = (last - first) / tokens.saturating_sub(1).max(1);
        let figures = self.tier(tier);
        figures.first.saturating_record((first - start).as_micros() as u64);
        if tokens > 1 {
            figures.between.saturating_record(between.as_micros() as u64);
        }
    }

    /// Notes computed prompt tokens of an attempt that ended. `cached` tokens were found in the cache.
    pub(crate) fn prefilled(
        &mut self,
        data_centre: usize,
        blocks: &[BlockHash],
        computed: u32,
        cached: u32,
        whole: bool,
    ) {
        self.prefill += u64::from(computed);
        let block_tokens = tarragon_protocol::identity::TOKENS_PER_BLOCK as u32;
        let mut repeated = 0;
        for (index, block) in blocks.iter().enumerate() {
            let start = index as u32 * block_tokens;
            let was_seen = !self.seen_blocks.insert((data_centre, *block));
            if was_seen && start >= cached && start + block_tokens <= cached + computed {
                repeated += block_tokens;
            }
        }
        let wasted = if whole { repeated } else { computed };
        self.wasted_prefill += u64::from(wasted);
    }
}
