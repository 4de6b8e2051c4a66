//! Tokens and cache blocks of a prompt, counted in the same way by entry VMs and engines.
//!
//! The count is an estimate: [`BYTES_PER_TOKEN`] bytes make one token. Engines publish the hashes of the
//! blocks that they hold, so that an entry VM can tell which prefix of a prompt is cached where.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    engine::ChatMessage,
    identity::{BlockHash, TOKENS_PER_BLOCK},
};

/// Bytes of text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// The text that an engine computes for a conversation, without the answer.
pub fn render_prompt(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push('\n');
        prompt.push_str(&message.content);
        prompt.push('\n');
    }
    prompt
}

/// Number of tokens of a text, rounded up.
pub fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Chained hashes of the full blocks of a prompt. Two prompts have the same first `n` hashes if and only
/// if (but for collisions) they are for the same model and their first `n` blocks are equal.
pub fn block_hashes(model: &str, prompt: &str) -> Vec<BlockHash> {
    let mut previous = xxh3_64_with_seed(model.as_bytes(), 0);
    prompt
        .as_bytes()
        .chunks_exact(TOKENS_PER_BLOCK * BYTES_PER_TOKEN)
        .map(|block| {
            previous = xxh3_64_with_seed(block, previous);
            previous
        })
        .collect()
}
