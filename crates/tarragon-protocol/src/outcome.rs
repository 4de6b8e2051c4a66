//! Outcomes and refusals, as returned to callers.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// Whether a request has run, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// It ran, and the complete answer follows.
    Done,
    /// It did not run. For a request with a ticket this is final: it will never run.
    NotRun,
    /// It may or may not have run.
    Unknown,
}

impl CallOutcome {
    /// Value of the outcome header, [`OUTCOME`](crate::header::OUTCOME).
    pub fn name(self) -> &'static str {
        match self {
            CallOutcome::Done => "done",
            CallOutcome::NotRun => "not-run",
            CallOutcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for CallOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Why a request gets no answer from a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// A header is missing or malformed.
    InvalidHeader,
    /// The body can't be read: it is too large, truncated, too slow or malformed.
    InvalidBody,
    /// The configuration has no such service.
    UnknownService,
    /// A non-idempotent request came without a ticket.
    TicketRequired,
    /// The ticket is invalid or was used for another request.
    TicketMismatch,
    /// The ticket was sealed (closed for good) before it was used.
    TicketSealed,
    /// The ticket's validity period has ended.
    TicketExpired,
    /// The process that owns the ticket can't be reached or no longer exists.
    OwnerUnreachable,
    /// The call has run, but its answer was too large to be stored for a repeat of the request.
    AnswerNotKept,
    /// Requests of this tier are rejected at present because of overload.
    Shed,
    /// The workspace or service has exceeded one of its limits.
    LimitReached,
    /// The deadline has passed or can no longer be met.
    DeadlineExceeded,
    /// No target of the service is available.
    NoTarget,
    /// Targets crashed repeatedly while they ran this request.
    CrashesTargets,
    /// The target failed, and the request can't be retried.
    TargetFailed,
    /// The process is shutting down.
    ShuttingDown,
    /// The data centre has been taken out of service.
    DataCentreOut,
}

/// A final answer that contains no result of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Machine-readable cause.
    pub code: RefusalCode,
    /// Whether the request has run.
    pub outcome: CallOutcome,
    /// Human-readable cause.
    pub message: String,
    /// Delay after which a retry makes sense.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that has not run.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Refusal {
        Refusal { code, outcome: CallOutcome::NotRun, message: message.into(), retry_after: None }
    }

    /// A refusal of a request that may have run.
    pub fn unknown(code: RefusalCode, message: impl Into<String>) -> Refusal {
        Refusal { code, outcome: CallOutcome::Unknown, message: message.into(), retry_after: None }
    }

    /// Sets the delay after which the caller may retry.
    pub fn with_retry_after(mut self, delay: Duration) -> Refusal {
        self.retry_after = Some(delay);
        self
    }
}
