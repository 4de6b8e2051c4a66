//! Events that a node handles and actions that it returns.

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
    /// A request from a caller. It is run here or, if that is not possible, relayed once to another process.
    Arrived(Box<RequestProfile>),
    /// A request that another process has relayed. It is run here or refused.
    RelayArrived(Box<RequestProfile>),
    /// Progress of a request or an attempt.
    Scheduler(SchedulerEvent),
    /// Input from peers, the platform or targets.
    Cluster(ClusterEvent),
    /// Periodic tick, expected every 100 ms.
    Tick {
        /// Boot clock, which also counts time while the machine is suspended.
        boot: Duration,
    },
    /// A graceful shutdown has been requested.
    DrainStarted,
}

/// Something that the caller of the node has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeAction {
    /// Dispatch, refuse or cancel a request. All other scheduler actions are handled inside the node.
    Scheduler(SchedulerAction),
    /// Call a peer, the platform or a target.
    Cluster(ClusterAction),
    /// Send the request to the first of these peers that can be reached. It has not been and will not be
    /// dispatched here.
    Relay {
        /// Request to relay.
        request: RequestId,
        /// Peers in order of preference.
        peers: Vec<PeerAddress>,
    },
    /// The call with a ticket has its final outcome. Send this answer to all callers that wait for it.
    TicketResolved {
        /// Number of the ticket.
        sequence: TicketSequence,
        /// Final answer.
        answer: TicketAnswer,
    },
}

/// A non-idempotent call that came with a ticket.
#[derive(Debug, Clone)]
pub struct TicketCall {
    /// Hash of method, path, workspace, service and body.
    pub binding: CallBinding,
    /// The request to schedule if the call has to be run.
    pub profile: RequestProfile,
    /// Maximum size in bytes of an answer that is stored for a repeat of the call.
    pub answer_limit: usize,
    /// Whether the call was forwarded by another process, in which case it is not forwarded again.
    pub forwarded: bool,
}

/// How to proceed with a call that came with a ticket.
#[derive(Debug, Clone, PartialEq)]
pub enum TicketStart {
    /// Another process is responsible for the ticket: forward the call to it.
    Forward(PeerAddress),
    /// The call was queued: wait for [`NodeAction::TicketResolved`] with this ticket number.
    Started(TicketSequence),
    /// The call is already queued or running: wait for [`NodeAction::TicketResolved`] with this ticket number.
    Joined(TicketSequence),
    /// The final answer is already known.
    Answered(TicketAnswer),
    /// The ticket was used for another call.
    Mismatch,
}
