//! What the scheduler needs to know of a request. Bodies stay with the task that serves the caller.

use std::time::Instant;

use crate::prelude::*;

/// A request as the scheduler sees it.
#[derive(Debug, Clone)]
pub struct RequestProfile {
    /// Id given on arrival.
    pub request: RequestId,
    /// Customer whose share the request uses.
    pub workspace: WorkspaceName,
    /// Pool of targets that can answer.
    pub service: ServiceName,
    /// Urgency.
    pub tier: Tier,
    /// After this time the caller has no use for the answer.
    pub deadline: Instant,
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// The same for each sending of one request.
    pub fingerprint: Fingerprint,
    /// Model call or plain call.
    pub kind: CallKind,
}

/// The two kinds of calls.
#[derive(Debug, Clone)]
pub enum CallKind {
    /// Generation by a model engine.
    Model(ModelCall),
    /// Call of a plain service.
    Plain,
}

/// What determines the cost of a generation.
#[derive(Debug, Clone)]
pub struct ModelCall {
    /// Model that must be loaded.
    pub model: ModelName,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Upper bound of generated tokens that the caller set.
    pub max_tokens: u32,
    /// Chained hashes of the prompt's full blocks.
    pub blocks: Vec<BlockHash>,
}

impl RequestProfile {
    /// The model call, if this is one.
    pub fn model_call(&self) -> Option<&ModelCall> {
        match &self.kind {
            CallKind::Model(call) => Some(call),
            CallKind::Plain => None,
        }
    }
}
