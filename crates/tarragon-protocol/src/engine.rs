//! The shapes of a model engine's interface, as the platform publishes them.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Extension of a chat-completions request: what an engine needs to resume a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamExtension {
    /// Id that each chunk of the answer repeats, in hexadecimal.
    pub request_id: String,
    /// Number of tokens that the caller already has; generation goes on after them.
    #[serde(default)]
    pub resume_from: u32,
    /// Text of these tokens.
    #[serde(default)]
    pub delivered: String,
}

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text.
    pub content: String,
}

/// A chat-completions request. Fields that are not listed are kept and passed on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model that shall answer.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is sent as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Upper bound of generated tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Present only between entry VM and engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tarragon: Option<StreamExtension>,
    /// All other fields.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// One server-sent event of an engine's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Id of the answer.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Model that answers.
    pub model: String,
    /// One choice with the new text.
    pub choices: Vec<ChunkChoice>,
    /// Position of the chunk in the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tarragon: Option<ChunkExtension>,
}

/// The new text of a chunk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0: one answer a request.
    pub index: u32,
    /// New text.
    pub delta: ChunkDelta,
    /// `stop` or `length` on the last chunk.
    pub finish_reason: Option<String>,
}

/// Text that a chunk adds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkDelta {
    /// New text; empty on the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Extension of a chunk: whose it is and where its text belongs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkExtension {
    /// Id given in [`StreamExtension::request_id`].
    pub request_id: String,
    /// Number of the chunk's first token in the whole answer, starting at 0.
    pub index: u32,
    /// Tokens in this chunk.
    pub tokens: u32,
    /// Prompt tokens that had to be computed, on the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefill_tokens: Option<u32>,
    /// Prompt tokens found in the cache, on the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cached_tokens: Option<u32>,
}

/// A cache event. Sequence numbers rise by one; a jump means that events were lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event.
    pub sequence: u64,
    /// What happened.
    pub change: CacheChange,
    /// Blocks concerned.
    pub blocks: Vec<BlockHash>,
}

/// What a cache event tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheChange {
    /// Blocks are now held.
    Stored,
    /// Blocks were dropped.
    Evicted,
    /// The whole cache was dropped; `blocks` is empty.
    Cleared,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// An engine that checks it refuses an order whose number is below the last one.
    pub fencing: FencingNumber,
    /// What to do.
    pub change: OrderChange,
}

/// Role of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Prefill and decode.
    #[default]
    Both,
    /// Only prefill; the KV cache is exported.
    Prefill,
    /// Only decode; the KV cache is imported.
    Decode,
}

/// The change that an order asks for. Each names the wanted state, so that a repeated order changes
/// nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum OrderChange {
    /// Hold a model in a version, with an adapter if one is named.
    Load {
        /// Model to hold.
        model: ModelName,
        /// Version of its weights.
        version: u32,
        /// Adapter on top of it.
        adapter: Option<String>,
    },
    /// Stop holding a model.
    Unload {
        /// Model to drop.
        model: ModelName,
    },
    /// Work in a role.
    Role {
        /// Role to take.
        role: EngineRole,
    },
}
