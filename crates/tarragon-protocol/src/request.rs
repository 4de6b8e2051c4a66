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
    /// What its route allows.
    pub options: CallOptions,
}

/// Attempts of one request, unless its route names another number.
pub const DEFAULT_ATTEMPTS: u32 = 4;

/// Ranks within a tier; greater ones count as the last.
pub const RANK_COUNT: usize = 4;

/// What the route of a request allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallOptions {
    /// Targets to which the request may be sent, one after another.
    pub max_attempts: u32,
    /// Until this time the first part of an answer has its full value. A request that waits longer goes
    /// behind those of its tier that can still be answered in time.
    pub first_output_objective: Option<Instant>,
    /// At this time the caller leaves if no part of an answer has come.
    pub first_output_deadline: Option<Instant>,
    /// Order within the tier: requests of a lower rank go first.
    pub rank: u8,
    /// Tokens of the answer that the caller expects; for a generation.
    pub expected_output: Option<u32>,
    /// Whether a target's rejection proves that nothing was run, so that also a request that must not be
    /// run twice may be sent to another target.
    pub rejection_means_not_run: bool,
}

impl Default for CallOptions {
    fn default() -> CallOptions {
        CallOptions {
            max_attempts: DEFAULT_ATTEMPTS,
            first_output_objective: None,
            first_output_deadline: None,
            rank: 0,
            expected_output: None,
            rejection_means_not_run: false,
        }
    }
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
