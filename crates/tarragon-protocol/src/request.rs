//! Requests as the scheduler sees them, without their bodies, which stay with the task that serves the
//! caller.

use std::time::Instant;

use crate::prelude::*;

/// The properties of a request on which scheduling depends.
#[derive(Debug, Clone)]
pub struct RequestProfile {
    /// Id, assigned on arrival.
    pub request: RequestId,
    /// Workspace to whose share the request counts.
    pub workspace: WorkspaceName,
    /// Service whose targets can run the request.
    pub service: ServiceName,
    /// Tier of urgency.
    pub tier: Tier,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Instant,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Hash that is the same each time one request is sent.
    pub fingerprint: Fingerprint,
    /// Parts of the prompt that other requests may share, in order.
    pub parts: Vec<PartId>,
    /// Model call or plain call.
    pub kind: CallKind,
    /// What the route of the request allows.
    pub options: CallOptions,
}

/// Default of [`CallOptions::max_attempts`].
pub const DEFAULT_ATTEMPTS: u32 = 4;

/// Number of ranks within a tier. Larger values of [`CallOptions::rank`] count as the last rank.
pub const RANK_COUNT: usize = 4;

/// What the route of a request allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallOptions {
    /// Maximum number of targets to which the request is sent, one after another.
    pub max_attempts: u32,
    /// Time by which the first part of the answer should be sent. A request that waits longer is queued
    /// behind those of its tier that can still meet their objective.
    pub first_output_objective: Option<Instant>,
    /// Time at which the caller gives up if it has received no part of the answer.
    pub first_output_deadline: Option<Instant>,
    /// Priority within the tier: requests of a lower rank are served first.
    pub rank: u8,
    /// Number of tokens that the caller expects in the answer to a model call.
    pub expected_output: Option<u32>,
    /// Whether a rejection by a target proves that the request did not run there, so that even a
    /// non-idempotent request may be sent to another target.
    pub rejection_means_not_run: bool,
    /// What is done of the answer, if the request takes up a stream.
    pub progress: Option<AnswerProgress>,
}

/// What earlier transmissions of a request have brought of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerProgress {
    /// Build that began the stream: only its targets may continue it.
    pub build: BuildKey,
    /// Tokens that the caller has.
    pub delivered: u32,
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
            progress: None,
        }
    }
}

/// Kind of a call.
#[derive(Debug, Clone)]
pub enum CallKind {
    /// Generation of text by a model engine.
    Model(ModelCall),
    /// Call to a plain service.
    Plain,
}

/// The properties of a generation that determine its cost.
#[derive(Debug, Clone)]
pub struct ModelCall {
    /// Model that the engine must have loaded.
    pub model: ModelName,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate, as set by the caller.
    pub max_tokens: u32,
    /// Chained hashes of the prompt's full blocks.
    pub blocks: Vec<BlockHash>,
}

impl RequestProfile {
    /// Model that the target must hold, if this is a model call.
    pub fn model(&self) -> Option<&ModelName> {
        self.model_call().map(|call| &call.model)
    }

    /// Build of the targets that may run the request, if it takes up a stream.
    pub fn build(&self) -> Option<BuildKey> {
        self.options.progress.map(|progress| progress.build)
    }

    /// Tokens of the answer that the caller has from earlier transmissions.
    pub fn delivered(&self) -> u32 {
        self.options.progress.map_or(0, |progress| progress.delivered)
    }

    /// The model call, if this is one.
    pub fn model_call(&self) -> Option<&ModelCall> {
        match &self.kind {
            CallKind::Model(call) => Some(call),
            CallKind::Plain => None,
        }
    }
}
