//! The parts of a caller's request that routing and admission depend on.

use std::{sync::Arc, time::Duration};

use crate::prelude::*;

/// Data from the head of a request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallHead {
    /// Id that the caller assigned to this transmission of its request.
    pub tag: String,
    /// Time for which the caller still waits, if it states that.
    pub time_left: Option<Duration>,
    /// API key of the caller's workspace.
    pub key: Option<String>,
    /// Sizes of the prompt and the answer, if the request is a generation.
    pub generation: Option<GenerationHead>,
    /// Number of the last event that the caller already has, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// Tag of the transmission that brought the first event of the stream, if the caller takes one up.
    pub resumes: Option<String>,
}

/// Properties that determine the cost of a generation.
#[derive(Debug, Clone, PartialEq)]
pub struct GenerationHead {
    /// Model.
    pub model: ModelName,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// The caller's estimate of the tokens of the answer.
    pub expected_tokens: Option<u32>,
    /// Parts of the prompt in order, as id and token count. Equal ids stand for equal content.
    pub parts: Vec<(u64, u32)>,
}

/// Load that a target reports with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerLoad {
    /// Running requests.
    pub running: u16,
    /// Requests that are queued inside the target.
    pub waiting: u16,
    /// Requests that the target runs concurrently, if it tells that.
    pub slots: Option<u32>,
    /// How long work takes on its machine now, in percent of the usual, if it tells that.
    pub pace_percent: Option<u32>,
}

/// A request whose route and workspace are known.
#[derive(Debug, Clone)]
pub struct RoutedCall {
    /// Route.
    pub route: Arc<CallRoute>,
    /// Workspace; `None` on a public route without a key.
    pub workspace: Option<WorkspaceName>,
    /// Service that handles it.
    pub service: ServiceName,
    /// Urgency.
    pub tier: Tier,
    /// Version of the configuration that it was routed by.
    pub version: ConfigurationVersion,
}

/// Why a request can't be routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFault {
    /// No configuration is known yet.
    NotConfigured,
    /// No route matches the request.
    UnknownRoute,
    /// The key is missing or belongs to no workspace.
    UnknownKey,
}
