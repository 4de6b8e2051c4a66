//! What the decisions need to know of a caller's request.

use std::{sync::Arc, time::Duration};

use crate::prelude::*;

/// What the head of a request says.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallHead {
    /// Id that the caller gave to this sending of its request.
    pub tag: String,
    /// Time for which the caller waits, if it told.
    pub time_left: Option<Duration>,
    /// Key of the caller's workspace.
    pub key: Option<String>,
    /// Size of the prompt and of the answer, for a generation.
    pub generation: Option<GenerationHead>,
    /// Number of the last event of the answer that the caller already has.
    pub resume_after: Option<u64>,
}

/// What determines the cost of a generation.
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
    /// Shared parts of the prompt with their tokens, in order.
    pub parts: Vec<(u64, u32)>,
}

/// A request whose route and workspace are known.
#[derive(Debug, Clone)]
pub struct RoutedCall {
    /// Route.
    pub route: Arc<CallRoute>,
    /// Workspace; none on a public route.
    pub workspace: Option<WorkspaceName>,
    /// Service that serves it.
    pub service: ServiceName,
    /// Urgency.
    pub tier: Tier,
    /// Version of the configuration that decided this.
    pub version: ConfigurationVersion,
}

/// Why a request can't be routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFault {
    /// No configuration is known yet.
    NotConfigured,
    /// No route takes the request.
    UnknownRoute,
    /// The key is missing or belongs to no workspace.
    UnknownKey,
}
