//! Predicts the length and the cost of answers.

use indexmap::IndexMap;

use crate::{hash::NumberHash, prelude::*};

/// Maximum number of estimates. At 10,000 workspaces this leaves room for a few size classes each.
const MAX_ESTIMATES: usize = 32_768;

/// Answer length assumed before anything is known.
const DEFAULT_OUTPUT: f32 = 256.0;

/// Weight of a new sample in the moving average.
const GAIN: f32 = 0.15;

/// Samples after which a workspace's own estimate replaces the one of the whole service.
const MIN_WORKSPACE_SAMPLES: u32 = 3;

/// A stream that exceeds its predicted length is expected to grow to this multiple of its current length.
const OUTGROWTH_FACTOR: f64 = 1.25;

/// About this many prompt tokens take a target as long as one generated token.
const PREFILL_TOKENS_PER_OUTPUT_TOKEN: u64 = 8;

/// Cost of a plain call in tokens, so that plain calls count in fair queueing.
const PLAIN_CALL_COST: u64 = 64;

#[derive(Debug, Clone, Copy)]
struct LengthEstimate {
    output: f32,
    cached: f32,
    samples: u32,
}

/// Predicted answer length and cost of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostPrediction {
    /// Tokens of the whole answer.
    pub output: u32,
    /// Cost in tokens of what is left, after the expected cache hit.
    pub cost: u64,
}

/// Learned lengths by service, workspace and size class of the prompt.
#[derive(Debug, Default)]
pub struct CostTable {
    estimates: IndexMap<u64, LengthEstimate, NumberHash>,
    cursor: usize,
}

/// Key that stands for all workspaces of a service.
const ALL_WORKSPACES: u64 = 0;

/// Key of a workspace. It is derived from the name, since table positions are reused for other workspaces.
pub fn workspace_key(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) | 1
}

impl CostTable {
    /// Predicts the answer length and the cost of a request.
    pub fn predict(&self, pool: usize, workspace: u64, profile: &RequestProfile) -> CostPrediction {
        let Some(call) = profile.model_call() else {
            return CostPrediction { output: 0, cost: PLAIN_CALL_COST };
        };
        let delivered = profile.delivered();
        let own = self.estimates.get(&key(pool, workspace, call.prompt_tokens));
        let estimate = own
            .filter(|estimate| estimate.samples >= MIN_WORKSPACE_SAMPLES)
            .or_else(|| self.estimates.get(&key(pool, ALL_WORKSPACES, call.prompt_tokens)));
        let (length, cached) =
            estimate.map_or((DEFAULT_OUTPUT, 0.0), |known| (known.output, known.cached));
        let length = profile.options.expected_output.unwrap_or(length.ceil() as u32);
        let length = if length > delivered { length } else { outgrown_length(delivered) };
        let output = length.clamp(1, call.max_tokens.max(1));
        // A target reads the part of the answer that the caller has together with the prompt.
        let read = f64::from(call.prompt_tokens) + f64::from(delivered);
        let uncached = read * f64::from(1.0 - cached);
        let left = output.saturating_sub(delivered);
        CostPrediction { output, cost: token_cost(uncached as u64, left) }
    }

    /// Learns from a complete answer. `cached` is the fraction of the prompt that the target had cached.
    pub fn learn(
        &mut self,
        pool: usize,
        workspace: u64,
        prompt: u32,
        output: u32,
        cached: Option<f32>,
    ) {
        for workspace in [workspace, ALL_WORKSPACES] {
            let key = key(pool, workspace, prompt);
            if !self.estimates.contains_key(&key) {
                self.evict_if_full();
            }
            let estimate = self.estimates.entry(key).or_insert(LengthEstimate {
                output: output as f32,
                cached: cached.unwrap_or(0.0),
                samples: 0,
            });
            estimate.samples = estimate.samples.saturating_add(1);
            let gain = GAIN.max(1.0 / estimate.samples as f32);
            estimate.output += gain * (output as f32 - estimate.output);
            if let Some(cached) = cached {
                estimate.cached += gain * (cached.clamp(0.0, 1.0) - estimate.cached);
            }
        }
    }

    /// Number of estimates.
    pub fn len(&self) -> usize {
        self.estimates.len()
    }

    /// Whether nothing was learned yet.
    pub fn is_empty(&self) -> bool {
        self.estimates.is_empty()
    }

    /// If the table is full, removes the entry with the fewest samples among a few.
    fn evict_if_full(&mut self) {
        let count = self.estimates.len();
        if count < MAX_ESTIMATES {
            return;
        }
        self.cursor = (self.cursor + 1) % count;
        let least = (0..4)
            .map(|offset| (self.cursor + offset * 7_919) % count)
            .min_by_key(|index| self.estimates[*index].samples);
        if let Some(index) = least {
            self.estimates.swap_remove_index(index);
        }
    }
}

/// Expected length of an answer that is longer than predicted, from its length so far.
pub fn outgrown_length(tokens: u32) -> u32 {
    (f64::from(tokens) * OUTGROWTH_FACTOR) as u32
}

/// Cost of a model call in tokens.
pub fn token_cost(uncached: u64, output: u32) -> u64 {
    (uncached / PREFILL_TOKENS_PER_OUTPUT_TOKEN + u64::from(output)).max(1)
}

/// Key of an estimate. Size classes are powers of two. A collision of two keys only mixes two estimates.
fn key(pool: usize, workspace: u64, prompt: u32) -> u64 {
    let class = u64::from(32 - prompt.leading_zeros());
    workspace ^ ((pool as u64) << 40) ^ (class << 32)
}
