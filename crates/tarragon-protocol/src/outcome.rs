//! What a caller is told about its request.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// What is known of a request's run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// It ran, and the whole answer follows.
    Done,
    /// It did not run. For a ticket this is final.
    NotRun,
    /// It may or may not have run.
    Unknown,
}

impl CallOutcome {
    /// Value of the outcome header.
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
    /// The body can't be read: too large, cut short, too slow or not the expected shape.
    InvalidBody,
    /// The configuration has no such service.
    UnknownService,
    /// A non-idempotent request came without a ticket.
    TicketRequired,
    /// The ticket is damaged or was used for another request.
    TicketMismatch,
    /// The ticket was sealed before it was used.
    TicketSealed,
    /// The ticket is older than its validity.
    TicketExpired,
    /// The process that owns the ticket can't be asked, or no longer exists.
    OwnerUnreachable,
    /// The call was done, but its answer was too large to be kept for a repeat.
    AnswerNotKept,
    /// Overload: the tier is shed at present.
    Shed,
    /// The workspace or service is over one of its limits.
    LimitReached,
    /// The deadline has passed or can't be met any more.
    DeadlineExceeded,
    /// No target of the service can take work.
    NoTarget,
    /// Repeated runs of this request ended with a crash of their target.
    CrashesTargets,
    /// The target failed and the request can't be run again.
    TargetFailed,
    /// The process is shutting down.
    ShuttingDown,
    /// The data centre has been taken out of service.
    DataCentreOut,
}

/// A final answer without a result from a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Cause, in a form that programs compare.
    pub code: RefusalCode,
    /// What is known of the request's run.
    pub outcome: CallOutcome,
    /// Cause, in words.
    pub message: String,
    /// When it makes sense to try again.
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

    /// Tells the caller when to come back.
    pub fn with_retry_after(mut self, delay: Duration) -> Refusal {
        self.retry_after = Some(delay);
        self
    }
}
