//! Input, decisions and dump of the ticket table.

use std::time::Duration;

use serde::Serialize;
use tarragon_protocol::identity::TicketSequence;

use super::{CallBinding, Ticket};
use crate::prelude::*;

/// Limits of the ticket table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TicketLimits {
    /// Records, own and adopted.
    pub records: usize,
    /// Bytes of all kept answers, own and adopted.
    pub answer_bytes: usize,
    /// Requests that may wait for the answer of one ticket.
    pub waiters: usize,
}

impl Default for TicketLimits {
    fn default() -> TicketLimits {
        TicketLimits { records: 65_536, answer_bytes: 8 * 1024 * 1024, waiters: 64 }
    }
}

/// A request that presents a ticket.
#[derive(Debug, Clone, Copy)]
pub struct TicketUse<'a> {
    /// The verified ticket.
    pub ticket: &'a Ticket,
    /// The call to run under it.
    pub binding: CallBinding,
    /// Deadline on this process's boot clock.
    pub deadline: Duration,
    /// The request that waits for the answer.
    pub waiter: RequestId,
    /// Size in bytes up to which the answer's body is kept for a repeat.
    pub answer_limit: usize,
    /// Whether another entry VM has forwarded the call; it is not forwarded again.
    pub forwarded: bool,
    /// The process that now holds the owner's records, if it is known.
    pub successor: Option<&'a SuccessorEntry>,
}

/// What to do with a request that presents a ticket.
#[derive(Debug, Clone, PartialEq)]
pub enum TicketDecision {
    /// Send the whole call to the owner, or to its successor.
    Forward(PeerAddress),
    /// Queue the call. Its record has been created.
    Start(TicketSequence),
    /// Wait for the answer of the running call.
    Join(TicketSequence),
    /// Answer now.
    Answer(TicketAnswer),
    /// The ticket was used for another call; refuse with 422.
    Mismatch,
}

/// Whether the first byte of a call may be written.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteDecision {
    /// Yes, under this number. No other attempt may be written until this one is known not to have run.
    Write(AttemptNumber),
    /// No. If this check has sealed the ticket, its waiters and their answer are given here.
    Withhold(Option<TicketEnd>),
}

/// The answer of a ticket and the requests that wait for it.
#[derive(Debug, Clone, PartialEq)]
pub struct TicketEnd {
    /// The ticket.
    pub sequence: TicketSequence,
    /// The requests.
    pub waiters: Vec<RequestId>,
    /// The answer for each of them.
    pub answer: TicketAnswer,
}

/// What happens to a call whose caller has disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbandonDecision {
    /// It was queued and no other request waits for it: its ticket is sealed, and it must leave the
    /// queue.
    Sealed,
    /// It continues: other requests wait for it, or it has been dispatched.
    Continues,
    /// The ticket has no running call.
    NotRunning,
}

/// State of a ticket, for `query_ticket`.
#[derive(Debug, Clone, PartialEq)]
pub enum TicketStatus {
    /// The call is queued or dispatched.
    Running,
    /// The final answer.
    Answered(TicketAnswer),
    /// No call has used the ticket. This does not exclude a later use.
    Unused,
    /// This process does not hold the records of the ticket's owner.
    Elsewhere,
}

/// State of the ticket table in the admin dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TicketDump {
    /// Highest number issued.
    pub issued: TicketSequence,
    /// Tickets up to this number that have no record are sealed: they can no longer be used.
    pub watermark: TicketSequence,
    /// Own records.
    pub records: usize,
    /// Own records of calls without a final answer.
    pub running: usize,
    /// Bytes of kept answers, own and adopted.
    pub answer_bytes: usize,
    /// Processes whose records are held here, with the number of records.
    pub adopted: Vec<(String, usize)>,
    /// Whether the process no longer starts calls.
    pub draining: bool,
    /// Whether the records are frozen.
    pub frozen: bool,
}
