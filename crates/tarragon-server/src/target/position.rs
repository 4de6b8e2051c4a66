//! Position in a streamed answer: which chunk belongs to it, which part of the chunk is new, and what
//! the next attempt has to resume from.

use tarragon_protocol::engine::ChatChunk;

/// What to do with a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkVerdict {
    /// Its text, or the rest of it, follows what the caller has.
    New {
        /// Text to pass on.
        text: String,
        /// Tokens in this text.
        tokens: u32,
        /// Whether this is the last chunk, and why the answer ends here.
        finish: Option<String>,
    },
    /// It belongs to another request or attempt: drop and count it.
    Foreign,
    /// The caller has all of it already.
    Repeated,
    /// Tokens are missing before it, or its text can't be split at a token: the attempt has failed.
    Unusable,
}

/// What the caller of a stream has received so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamPosition {
    /// Tokens delivered.
    pub tokens: u32,
    /// Their text.
    pub text: String,
    /// Why the answer ended, once the last chunk has arrived.
    pub finish: Option<String>,
}

impl StreamPosition {
    /// Compares a chunk with the position and moves the position past it. `attempt` is the id that was
    /// given to the engine.
    pub fn take(&mut self, attempt: &str, chunk: &ChatChunk) -> ChunkVerdict {
        let Some(extension) = &chunk.tarragon else { return self.take_plain_end(attempt, chunk) };
        if extension.request_id != attempt {
            return ChunkVerdict::Foreign;
        }
        if extension.index > self.tokens || self.finish.is_some() {
            return ChunkVerdict::Unusable;
        }
        let Some(choice) = chunk.choices.first() else { return ChunkVerdict::Repeated };
        let text = choice.delta.content.as_deref().unwrap_or("");
        let finish = choice.finish_reason.clone();
        let known = self.tokens - extension.index;
        if known >= extension.tokens {
            let textless = extension.tokens > 0 || text.is_empty();
            return if textless {
                self.take_end(known - extension.tokens, finish)
            } else {
                ChunkVerdict::Unusable
            };
        }
        let Some(text) = skip_tokens(text, known, extension.tokens) else {
            return ChunkVerdict::Unusable;
        };
        let tokens = extension.tokens - known;
        let Some(total) = self.tokens.checked_add(tokens) else { return ChunkVerdict::Unusable };
        self.tokens = total;
        self.text.push_str(text);
        self.finish.clone_from(&finish);
        ChunkVerdict::New { text: text.to_owned(), tokens, finish }
    }

    /// A chunk without a position. Only the last one of this attempt may have none, and it has no text.
    fn take_plain_end(&mut self, attempt: &str, chunk: &ChatChunk) -> ChunkVerdict {
        if chunk.id != attempt {
            return ChunkVerdict::Foreign;
        }
        match chunk.choices.first() {
            Some(choice) if choice.delta.content.as_deref().unwrap_or("").is_empty() => {
                self.take_end(0, choice.finish_reason.clone())
            }
            _ => ChunkVerdict::Unusable,
        }
    }

    /// A chunk without new tokens. An end is valid only where the delivered text ends: `beyond` tokens
    /// were delivered after the chunk.
    fn take_end(&mut self, beyond: u32, finish: Option<String>) -> ChunkVerdict {
        match finish {
            None => ChunkVerdict::Repeated,
            Some(_) if beyond > 0 => ChunkVerdict::Unusable,
            Some(reason) => {
                self.finish = Some(reason.clone());
                ChunkVerdict::New { text: String::new(), tokens: 0, finish: Some(reason) }
            }
        }
    }
}

/// The text after the first `known` of `tokens` tokens, each a word with the space around it. `None` if
/// the text does not have that many words, since a cut elsewhere would lose or repeat a letter.
fn skip_tokens(text: &str, known: u32, tokens: u32) -> Option<&str> {
    if known == 0 {
        return Some(text);
    }
    let starts = token_starts(text);
    if starts.len() != tokens as usize {
        return None;
    }
    starts.get(known as usize).map(|start| &text[*start..])
}

/// Where each token starts. A token has its leading space, or its trailing one if the text begins with
/// a word.
fn token_starts(text: &str) -> Vec<usize> {
    let leading = text.starts_with(char::is_whitespace);
    let mut starts = Vec::new();
    let mut previous_space = true;
    let mut space_start = 0;
    for (index, character) in text.char_indices() {
        let space = character.is_whitespace();
        if space && !previous_space {
            space_start = index;
        }
        if !space && previous_space {
            starts.push(if leading { space_start } else { index });
        }
        previous_space = space;
    }
    starts
}
