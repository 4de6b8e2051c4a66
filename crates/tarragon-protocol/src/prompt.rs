//! Token counts and cache block hashes of prompts, computed in the same way by entry VMs and engines.
//!
//! Token counts are estimates that take [`BYTES_PER_TOKEN`] bytes as one token. Engines publish the hashes of
//! their cached blocks, so that an entry VM knows which engine has cached which prefix of a prompt.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    engine::ChatMessage,
    identity::{BlockHash, TOKENS_PER_BLOCK},
};

/// Bytes of text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Builds the prompt text of a conversation, as an engine does.
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

/// Chained hashes of the full blocks of a prompt. Except for collisions, the first `n` hashes of two
/// prompts are equal if and only if the model is the same and the first `n` blocks are equal.
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
