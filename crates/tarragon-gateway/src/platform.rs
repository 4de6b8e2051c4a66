//! Interfaces to the platform of a deployment: headers and status codes of calls, and the store of published
//! values.

use std::{future::Future, sync::Arc, time::Duration};

use http::{HeaderMap, StatusCode, request, response};
use indexmap::IndexSet;
use tarragon_fleet::{
    build::history::BuildHistory,
    prelude::*,
    published::{StoreEra, StoreRevision},
};

/// An invalid head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadFault {
    /// What is wrong.
    pub message: String,
}

/// Values that the gateway sets in the headers of a call to a target.
#[derive(Debug, Clone, Copy)]
pub struct CallMetadata<'a> {
    /// The caller's id of the request.
    pub tag: &'a str,
    /// Instance that is expected to have the target's address.
    pub instance: &'a str,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Number of the last event that the caller has; the target continues after it.
    pub resume_after: Option<u64>,
}

/// The parsed head of a target's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// Whether the request has run, and whether the answer can be forwarded.
    pub kind: AnswerKind,
    /// Load of the target, if it reports it.
    pub load: Option<AnswerLoad>,
    /// Whether the target says that it is about to stop.
    pub leaving: bool,
    /// Time for which the target asks this process to send no further requests.
    pub pause: Option<Duration>,
    /// What the target says about the rate that it accepts.
    pub rate: RateStatement,
    /// What the target says about the rejections that it can bear.
    pub rejections: RejectionStatement,
}

/// Which request an answer names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEcho {
    /// The request that was sent.
    Own,
    /// Another request, or several.
    Other,
    /// None.
    Missing,
}

/// How the gateway has to treat an answer to the request that was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerKind {
    /// It is the target's answer to this request.
    Answered,
    /// The target has not run the request and never will.
    NotRun,
    /// Another instance now has the target's address; it has not run the request.
    OtherInstance,
    /// It can't be forwarded, for the given reason. The request may have run.
    Unusable(&'static str),
}

/// Reads and writes the heads of requests and answers of callers and targets.
pub trait CallProtocol: Clone + Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn read_head(&self, head: &request::Parts) -> Result<CallHead, HeadFault>;

    /// Builds the headers of a call to a target from those of the caller.
    fn call_headers(&self, caller: &HeaderMap, metadata: &CallMetadata<'_>) -> HeaderMap;

    /// Whether the headers of a final or interim (1xx) answer say that the target is about to stop.
    fn is_leaving(&self, headers: &HeaderMap) -> bool;

    /// Reads what the headers of a final or interim (1xx) answer say about the rate that the target accepts.
    fn read_rate(&self, headers: &HeaderMap) -> RateStatement;

    /// Reads what the headers of a final or interim (1xx) answer say about the rejections for want of room that the
    /// target can bear.
    fn read_rejections(&self, headers: &HeaderMap) -> RejectionStatement;

    /// Whether the headers of an answer name the request with the caller's id `tag`.
    fn read_echo(&self, tag: &str, headers: &HeaderMap) -> AnswerEcho;

    /// Reads the head of a target's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerHead;

    /// Path at which an engine lists the parts of prompts that it holds.
    fn cache_list_path(&self) -> &'static str;

    /// Reads an engine's list of the parts that it holds. `None` if any of it can't be read.
    fn read_cache_list(&self, body: &[u8]) -> Option<IndexSet<PartId>>;

    /// Filters the headers of a target's answer for the caller.
    fn answer_headers(&self, target: &HeaderMap) -> HeaderMap;

    /// Status and headers of the answer to a refused request.
    fn refusal_head(&self, refusal: &Refusal) -> (StatusCode, HeaderMap);

    /// Status and headers of the answer to a request that can't be routed.
    fn fault_head(&self, fault: CallFault) -> (StatusCode, HeaderMap);
}

/// Why a call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// It can't be reached, or the connection broke.
    Unreachable,
    /// It did not answer in time.
    TimedOut,
    /// It accepts no calls at the moment.
    Busy,
    /// Its history no longer holds the requested revision.
    Compacted,
    /// It has come back from an older copy since the last call or page.
    Restored,
    /// Its answer can't be decoded.
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
            StoreFault::Restored => "restored",
            StoreFault::Malformed => "malformed",
        }
    }
}

/// A value that was read from the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreRead<T> {
    /// Value.
    pub value: T,
    /// Number of entries that were left out because they can't be read.
    pub skipped: usize,
}

/// One change of the values that operators publish.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorChange {
    /// A new configuration.
    Configuration(Arc<FleetConfiguration>),
    /// A data centre was taken out of service.
    Evacuated(DataCentreName),
    /// A data centre is back in service.
    Restored(DataCentreName),
}

/// Changes after a given revision.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorChanges {
    /// Changes, in order. Empty if the wait timed out.
    pub changes: Vec<OperatorChange>,
    /// Era of the store in which they were made.
    pub era: StoreEra,
    /// Revision of the last change, if any.
    pub revision: Option<StoreRevision>,
    /// Revision to pass to the next watch.
    pub next: StoreRevision,
}

/// The store of the values that operators and targets publish.
pub trait PublishedStore: Send + Sync + 'static {
    /// Reads all values that operators publish. The revision of the result is that of the store.
    fn read_operator(
        &self,
    ) -> impl Future<Output = Result<StoreRead<OperatorState>, StoreFault>> + Send;

    /// Waits up to `limit` for changes after a revision.
    fn watch_operator(
        &self,
        after: StoreRevision,
        limit: Duration,
    ) -> impl Future<Output = Result<StoreRead<OperatorChanges>, StoreFault>> + Send;

    /// Closes the connections that no call uses, so that the next call opens a new one. They may have fallen silent.
    fn close_idle(&self) {}

    /// Reads the listing of all targets.
    fn read_targets(
        &self,
    ) -> impl Future<Output = Result<StoreRead<TargetListing>, StoreFault>> + Send;

    /// Reads which builds of each service were registered in the recent past.
    fn read_build_history(&self) -> impl Future<Output = Result<BuildHistory, StoreFault>> + Send;
}
