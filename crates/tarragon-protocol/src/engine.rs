//! Request, response and event types of the model engines' HTTP interface, as the platform specifies it.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Extension of a chat-completions request that lets an engine resume an interrupted stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamExtension {
    /// Request id in hexadecimal, echoed in each chunk of the answer.
    pub request_id: String,
    /// Number of tokens that the caller has already received; generation resumes after them.
    #[serde(default)]
    pub resume_from: u32,
    /// Text of the tokens already received.
    #[serde(default)]
    pub delivered: String,
}

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// A chat-completions request. Unknown fields are kept in `other` and passed on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model that is to answer.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Extension, present only between an entry VM and an engine.
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
    /// Model that generated the answer.
    pub model: String,
    /// Exactly one choice, with the new text.
    pub choices: Vec<ChunkChoice>,
    /// Extension: request id and position of the chunk in the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tarragon: Option<ChunkExtension>,
}

/// The new text of a chunk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0, since each request has one answer.
    pub index: u32,
    /// New text.
    pub delta: ChunkDelta,
    /// `stop` or `length` on the last chunk, otherwise absent.
    pub finish_reason: Option<String>,
}

/// Text that a chunk adds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkDelta {
    /// New text; empty on the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Extension of a chunk: the request it belongs to and its position in the answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkExtension {
    /// Copy of [`StreamExtension::request_id`].
    pub request_id: String,
    /// Index of the chunk's first token in the whole answer, starting at 0.
    pub index: u32,
    /// Number of tokens in this chunk.
    pub tokens: u32,
    /// Number of prompt tokens that were not cached and had to be computed. Only on the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefill_tokens: Option<u32>,
    /// Number of prompt tokens found in the KV cache. Only on the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cached_tokens: Option<u32>,
}

/// A change of an engine's KV cache. Sequence numbers rise by one; a gap means that events were lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event.
    pub sequence: u64,
    /// Kind of change.
    pub change: CacheChange,
    /// Blocks that the change affects.
    pub blocks: Vec<BlockHash>,
}

/// Kind of change of an engine's KV cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheChange {
    /// The blocks were added to the cache.
    Stored,
    /// The blocks were removed from the cache.
    Evicted,
    /// The whole cache was emptied; `blocks` is empty.
    Cleared,
}

/// An order to an engine to load or unload a model or to change its role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number. An engine that checks it refuses an order whose number is lower than that of the
    /// last order it accepted.
    pub fencing: FencingNumber,
    /// Change to make.
    pub change: OrderChange,
}

/// Role of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Runs both prefill and decode.
    #[default]
    Both,
    /// Runs only prefill and exports the KV cache.
    Prefill,
    /// Runs only decode with an imported KV cache.
    Decode,
}

/// The change that an order asks for. Each variant states the desired state, so that orders are
/// idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum OrderChange {
    /// Load a version of a model, with an adapter if one is named.
    Load {
        /// Model to load.
        model: ModelName,
        /// Version of the weights.
        version: u32,
        /// Adapter to apply to the model.
        adapter: Option<String>,
    },
    /// Unload a model.
    Unload {
        /// Model to unload.
        model: ModelName,
    },
    /// Change the role.
    Role {
        /// New role.
        role: EngineRole,
    },
}
