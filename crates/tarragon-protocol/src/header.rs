//! Names of the headers that callers, entry VMs and targets exchange.

/// Workspace on whose behalf the request runs. Required.
pub const WORKSPACE: &str = "x-tarragon-workspace";
/// Tier of the request: `urgent`, `high`, `normal` or `routine`. Required.
pub const TIER: &str = "x-tarragon-tier";
/// Milliseconds left until the caller has no more use for the answer.
pub const DEADLINE: &str = "x-tarragon-deadline-ms";
/// `true` if running the request twice does no harm.
pub const IDEMPOTENT: &str = "x-tarragon-idempotent";
/// Ticket of a non-idempotent request, from `POST /v1/tickets`.
pub const TICKET: &str = "x-tarragon-ticket";
/// How often the caller has sent this request, starting at 1. Information only.
pub const ATTEMPT: &str = "x-tarragon-attempt";
/// Id of the request, on each answer and on each call to a target.
pub const REQUEST_ID: &str = "x-tarragon-request-id";
/// What is known of the request's run: `done`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-tarragon-outcome";
/// Sealed proof that a relayed request comes from another entry VM.
pub const RELAY: &str = "x-tarragon-relay";

/// Default of [`DEADLINE`], in milliseconds.
pub const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Greatest accepted value of [`DEADLINE`], in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 600_000;
