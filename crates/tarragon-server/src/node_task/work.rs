//! Work on the node that is not on the path of requests: questions of peers and operators.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tarragon_cluster::ticket::TicketStatus;
use tarragon_node::prelude::*;
use tarragon_protocol::peer::TicketAnswer;

/// What work on the node can use.
pub(super) struct WorkContext<'a> {
    /// Time.
    pub(super) now: Instant,
    /// Boot clock.
    pub(super) boot: Duration,
    /// What has to be done.
    pub(super) actions: &'a mut Vec<NodeAction>,
}

/// What is known of a ticket, as the answer to `query_ticket`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketReport {
    /// The call is queued or dispatched.
    Running,
    /// The final answer.
    Answered(TicketAnswer),
    /// No call has used the ticket so far.
    Unused,
    /// This process doesn't answer for the ticket's owner.
    Elsewhere,
}

impl WorkContext<'_> {
    pub(super) fn query_ticket(&self, node: &Node, text: &str) -> Option<TicketReport> {
        let ticket = node.read_ticket(text)?;
        Some(match node.ticket_status(&ticket) {
            TicketStatus::Running => TicketReport::Running,
            TicketStatus::Answered(answer) => TicketReport::Answered(answer),
            TicketStatus::Unused => TicketReport::Unused,
            TicketStatus::Elsewhere => TicketReport::Elsewhere,
        })
    }
}
