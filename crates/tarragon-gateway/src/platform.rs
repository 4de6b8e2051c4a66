//! What differs between deployments: how callers and targets speak, and where published values come from.

use std::{future::Future, sync::Arc, time::Duration};

use http::{HeaderMap, StatusCode, request, response};
use tarragon_fleet::{prelude::*, published::StoreRevision};

/// Why the head of a request can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadFault {
    /// What is wrong.
    pub message: String,
}

/// What a call to a target carries beside what its caller sent.
#[derive(Debug, Clone, Copy)]
pub struct CallMetadata<'a> {
    /// Id that the caller gave to its request.
    pub tag: &'a str,
    /// Instance that is expected at the target's address.
    pub instance: &'a str,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Time for which an answer is of use.
    pub remaining: Duration,
    /// Number of the last event of the answer that need not be sent again.
    pub resume_after: Option<u64>,
}

/// What the head of a target's answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// What is known of the request's run.
    pub kind: AnswerKind,
    /// Load of the target, if it told.
    pub load: Option<AnswerLoad>,
    /// Whether the target says that it is about to stop.
    pub leaving: bool,
    /// Time for which the target wants no further requests of this process.
    pub pause: Option<Duration>,
}

/// Load as a target tells it with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerLoad {
    /// Requests that run.
    pub running: u16,
    /// Requests that wait inside the target.
    pub waiting: u16,
}

/// What an answer means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerKind {
    /// It is the target's answer to this request.
    Answered,
    /// The target has not run the request and never will.
    NotRun,
    /// Another instance has the target's address; it has not run the request.
    OtherInstance,
    /// It belongs to another request. What became of this one is not known.
    OtherRequest,
    /// It is a success that can't be passed on. The request has run.
    Unusable(&'static str),
}

/// How callers and targets speak.
pub trait CallProtocol: Clone + Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn read_head(&self, head: &request::Parts) -> Result<CallHead, HeadFault>;

    /// Headers of a call to a target.
    fn call_headers(&self, caller: &HeaderMap, metadata: &CallMetadata<'_>) -> HeaderMap;

    /// Whether an answer, or an interim one, says that its target is about to stop.
    fn is_leaving(&self, headers: &HeaderMap) -> bool;

    /// Reads the head of a target's answer to the request with this id.
    fn read_answer(&self, tag: &str, head: &response::Parts) -> AnswerHead;

    /// Headers of a target's answer as they go to the caller.
    fn answer_headers(&self, target: &HeaderMap) -> HeaderMap;

    /// Status and headers of an answer without a result from a target.
    fn refusal_head(&self, refusal: &Refusal) -> (StatusCode, HeaderMap);

    /// Status and headers of the answer to a request that can't be routed.
    fn fault_head(&self, fault: CallFault) -> (StatusCode, HeaderMap);
}

/// Why the store gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// It can't be reached, or the connection broke.
    Unreachable,
    /// It gave no answer in time.
    TimedOut,
    /// It takes no calls now.
    Busy,
    /// Its history doesn't go back far enough.
    Compacted,
    /// Its answer can't be read.
    Malformed,
}

impl StoreFault {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            StoreFault::Unreachable => "unreachable",
            StoreFault::TimedOut => "timed_out",
            StoreFault::Busy => "busy",
            StoreFault::Compacted => "compacted",
            StoreFault::Malformed => "malformed",
        }
    }
}

/// One change of what operators publish.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorChange {
    /// A new configuration.
    Configuration(Arc<FleetConfiguration>),
    /// A data centre is taken out of service.
    Evacuated(DataCentreName),
    /// A data centre is back in service.
    Restored(DataCentreName),
}

/// Changes after a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorChanges {
    /// Changes, in order. There are none if the wait was over.
    pub changes: Vec<OperatorChange>,
    /// Revision of the last change, if there is one.
    pub revision: Option<StoreRevision>,
    /// Revision from which to go on.
    pub next: StoreRevision,
}

/// Where published values come from.
pub trait PublishedStore: Send + Sync + 'static {
    /// Reads all that operators publish. Its revision is that of the store.
    fn read_operator(&self) -> impl Future<Output = Result<OperatorState, StoreFault>> + Send;

    /// Waits for changes after a revision, but no longer than `limit`.
    fn watch_operator(
        &self,
        after: StoreRevision,
        limit: Duration,
    ) -> impl Future<Output = Result<OperatorChanges, StoreFault>> + Send;

    /// Reads all targets.
    fn read_targets(&self) -> impl Future<Output = Result<TargetListing, StoreFault>> + Send;
}
