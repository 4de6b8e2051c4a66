//! What a node takes and returns.

use std::time::Duration;

use tarragon_cluster::{
    event::{ClusterAction, ClusterEvent, PeerAddress},
    ticket::CallBinding,
};
use tarragon_protocol::identity::TicketSequence;

use crate::prelude::*;

/// Something that happened outside the node.
#[derive(Debug, Clone)]
pub enum NodeEvent {
    /// A request that may be run here, or relayed once if it can't.
    Arrived(Box<RequestProfile>),
    /// A request that another process relayed. It is run here or refused.
    RelayArrived(Box<RequestProfile>),
    /// News of a request or an attempt.
    Scheduler(SchedulerEvent),
    /// News of peers, platform and targets.
    Cluster(ClusterEvent),
    /// Time has passed. Expected every 100 ms.
    Tick {
        /// Boot clock, which counts suspended time.
        boot: Duration,
    },
    /// The process starts to shut down.
    DrainStarted,
}

/// Something that a node wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeAction {
    /// Dispatch, refuse or cancel a request. Other scheduler actions never leave the node.
    Scheduler(SchedulerAction),
    /// Call a peer, the platform or a target.
    Cluster(ClusterAction),
    /// Send the request to the first of these peers that can be reached. It has not been dispatched
    /// here, and will not be.
    Relay {
        /// Request.
        request: RequestId,
        /// Peers, the best first.
        peers: Vec<PeerAddress>,
    },
    /// The outcome of a ticket's call is final; all that wait for it get this answer.
    TicketResolved {
        /// Ticket.
        sequence: TicketSequence,
        /// Answer.
        answer: TicketAnswer,
    },
}

/// A non-idempotent call that came with a ticket.
#[derive(Debug, Clone)]
pub struct TicketCall {
    /// Hash of method, path, workspace, service and body.
    pub binding: CallBinding,
    /// The request, if it has to be run.
    pub profile: RequestProfile,
    /// Largest answer in bytes that is kept for a repeat.
    pub answer_limit: usize,
    /// Whether another process has forwarded the call; it is not forwarded again.
    pub forwarded: bool,
}

/// What to do with a call that came with a ticket.
#[derive(Debug, Clone, PartialEq)]
pub enum TicketStart {
    /// Another process answers for the ticket: send the call there.
    Forward(PeerAddress),
    /// The call was queued; wait for [`NodeAction::TicketResolved`] with this sequence.
    Started(TicketSequence),
    /// The call is already queued or running; wait for [`NodeAction::TicketResolved`].
    Joined(TicketSequence),
    /// The answer is known.
    Answered(TicketAnswer),
    /// The ticket was used for another call.
    Mismatch,
}
