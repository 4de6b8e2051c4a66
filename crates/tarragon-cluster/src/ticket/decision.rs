//! What the ticket table is asked and what it decides.

use std::time::Duration;

use serde::Serialize;
use tarragon_protocol::identity::TicketSequence;

use super::{CallBinding, Ticket};
use crate::prelude::*;

/// Bounds of the table.
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
    /// Largest body in bytes that is kept for a repeat.
    pub answer_limit: usize,
    /// Whether another entry VM has forwarded the call; it is not forwarded again.
    pub forwarded: bool,
    /// Who answers for the owner now, if that is known.
    pub successor: Option<&'a SuccessorEntry>,
}

/// What to do with a request that presents a ticket.
#[derive(Debug, Clone, PartialEq)]
pub enum TicketDecision {
    /// Send the whole call to the owner, or to its successor.
    Forward(PeerAddress),
    /// Queue the call. Its record has been created.
    Start(TicketSequence),
    /// Wait for the answer of the call that runs.
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
    /// No. If this check has sealed the ticket, its waiters are given here.
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

/// What happens to a call whose caller has gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbandonDecision {
    /// It was queued and nobody else waits: its ticket is sealed, and it must leave the queue.
    Sealed,
    /// It goes on: others wait, or it has been dispatched.
    Continues,
    /// The ticket has no running call.
    NotRunning,
}

/// What is known of a ticket, for `query_ticket`.
#[derive(Debug, Clone, PartialEq)]
pub enum TicketStatus {
    /// The call is queued or dispatched.
    Running,
    /// The final answer.
    Answered(TicketAnswer),
    /// No call has used the ticket. This does not exclude a later use.
    Unused,
    /// This process doesn't answer for the ticket's owner.
    Elsewhere,
}

/// Figures of the table for the dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TicketDump {
    /// Highest number issued.
    pub issued: TicketSequence,
    /// Tickets up to this number are sealed unless they have a record.
    pub watermark: TicketSequence,
    /// Own records.
    pub records: usize,
    /// Own records of calls without a final answer.
    pub running: usize,
    /// Bytes of kept answers, own and adopted.
    pub answer_bytes: usize,
    /// Processes whose records are held here, with the number of records.
    pub adopted: Vec<(String, usize)>,
    /// Whether the process has stopped to start calls.
    pub draining: bool,
    /// Whether the records are frozen.
    pub frozen: bool,
}
