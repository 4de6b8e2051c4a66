//! Names and bounds of the HTTP headers exchanged by callers, entry VMs and targets.

/// Workspace on whose behalf the request runs. Required.
pub const WORKSPACE: &str = "x-tarragon-workspace";
/// Tier of the request: `urgent`, `high`, `normal` or `routine`. Required.
pub const TIER: &str = "x-tarragon-tier";
/// Milliseconds until the deadline, after which the caller no longer needs the answer.
pub const DEADLINE: &str = "x-tarragon-deadline-ms";
/// `true` if the request is idempotent, so that it may safely run more than once.
pub const IDEMPOTENT: &str = "x-tarragon-idempotent";
/// Ticket of a non-idempotent request, from `POST /v1/tickets`.
pub const TICKET: &str = "x-tarragon-ticket";
/// Number of times the caller has sent this request, starting at 1. Informational only.
pub const ATTEMPT: &str = "x-tarragon-attempt";
/// Id of the request, set on each answer and on each call to a target.
pub const REQUEST_ID: &str = "x-tarragon-request-id";
/// Whether the request has run: `done`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-tarragon-outcome";
/// Authenticates a relayed request as coming from another entry VM.
pub const RELAY: &str = "x-tarragon-relay";

/// Default of [`DEADLINE`], in milliseconds.
pub const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Largest accepted value of [`DEADLINE`], in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 600_000;
