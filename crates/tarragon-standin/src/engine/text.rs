//! The generated text. It depends on the prompt and the position alone, so that a resumed answer equals an
//! uninterrupted one on whichever engines it was generated.

use tarragon_protocol::prompt::BYTES_PER_TOKEN;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Marks the wanted length of the answer in a prompt, as in `[answer=120]`.
const LENGTH_MARK: &str = "[answer=";
/// Shortest answer without a mark, in tokens.
const MIN_ANSWER: u64 = 16;
/// Number of different lengths without a mark.
const ANSWER_SPREAD: u64 = 64;
/// Longest answer, in tokens.
const MAX_ANSWER: u32 = 65_536;

/// Text of one token of the answer to a prompt: three letters and a space.
pub fn answer_token(prompt: &str, index: u32) -> String {
    token_text(prompt_seed(prompt), index)
}

/// Number of tokens of the whole answer to a prompt, before the caller's own bound.
pub fn answer_length(prompt: &str) -> u32 {
    let default = MIN_ANSWER + prompt_seed(prompt) % ANSWER_SPREAD;
    marked_length(prompt).unwrap_or(u32::try_from(default).unwrap_or(MAX_ANSWER))
}

/// Length of an answer with the caller's bound, and why it ends there. Without a mark in the prompt, an
/// answer fills its bound, so that a load generator can choose lengths by `max_tokens` alone.
pub(super) fn bounded_length(prompt: &str, max_tokens: Option<u32>) -> (u32, &'static str) {
    let Some(bound) = max_tokens else { return (answer_length(prompt), "stop") };
    match marked_length(prompt) {
        Some(length) if length <= bound => (length, "stop"),
        _ => (bound.min(MAX_ANSWER), "length"),
    }
}

fn marked_length(prompt: &str) -> Option<u32> {
    let start = prompt.rfind(LENGTH_MARK)?;
    let rest = &prompt[start + LENGTH_MARK.len()..];
    let length = rest.split_once(']')?.0.parse::<u32>().ok()?;
    Some(length.clamp(1, MAX_ANSWER))
}

pub(super) fn prompt_seed(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

pub(super) fn token_text(seed: u64, index: u32) -> String {
    let mut bits = xxh3_64_with_seed(&index.to_le_bytes(), seed);
    let mut text = String::with_capacity(BYTES_PER_TOKEN);
    for _ in 1..BYTES_PER_TOKEN {
        let letter = u8::try_from(bits % 26).unwrap_or_default();
        text.push(char::from(b'a' + letter));
        bits /= 26;
    }
    text.push(' ');
    text
}
