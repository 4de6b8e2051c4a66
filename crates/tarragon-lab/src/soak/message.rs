//! What travels between callers, VMs, targets and the platform in a run.

use std::time::Duration;

use tarragon_cluster::event::{PeerAddress, PlatformAnswer, PlatformRead};
use tarragon_protocol::{
    engine::CacheEvent,
    peer::{PeerIdentity, PlainAnswer, SlotGrant, TicketAnswer},
    prelude::*,
};
use tarragon_scheduler::event::AttemptEnd;

use super::target::RunKey;

/// Index of a sending of a caller.
pub(crate) type SendingId = usize;

/// Number of a call between two processes.
pub(crate) type PeerCallId = u64;

/// Who waits for the answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerSink {
    /// A caller.
    Caller(SendingId),
    /// A process that sent the request on.
    Peer(PeerCallId),
    /// All that wait for a ticket's outcome.
    Ticket(u64),
}

/// Answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum RequestAnswer {
    /// All tokens of a generation, as many as were received.
    Tokens(u32),
    /// Answer of a plain service.
    Plain(PlainAnswer),
    /// No answer from a target.
    Refused(Refusal),
    /// The connection broke.
    Broken,
}

/// Input of a VM. A paused VM takes its inputs when it resumes.
#[derive(Debug, Clone)]
pub(crate) enum VmMessage {
    /// A caller's request.
    Request(SendingId),
    /// A caller closed its connection.
    CallerGone(SendingId),
    /// A digest in its wire form.
    Gossip(Vec<u8>),
    /// An announcement in its wire form.
    Announcement(Vec<u8>),
    /// A message to a peer could not be delivered.
    PeerFailed(PeerAddress),
    /// A peer asks for a configuration newer than its own.
    Pull(PeerCallId, ConfigurationVersion),
    /// A peer asks for changes of the VM list.
    PullList(PeerCallId, u64),
    /// Changes of the VM list in wire form.
    ListTransfer(PeerAddress, Vec<u8>),
    /// A configuration in its wire form.
    Transfer(PeerAddress, Vec<u8>),
    /// A peer asks for a slot.
    Borrow(PeerCallId, TargetName),
    /// Answer to a request for a slot.
    Borrowed(PeerAddress, TargetName, Option<SlotGrant>),
    /// A slot comes back.
    SlotReturned(SlotGrant),
    /// Answer of the platform.
    Platform(PlatformRead, PlatformAnswer),
    /// Answer of a target to a poll: its report, the state that it really reported, and cache events.
    Polled(TargetName, Option<LoadReport>, Option<TargetState>, Vec<CacheEvent>),
    /// A connection to a target was made, or refused.
    Connected(RunKey, usize, bool),
    /// Tokens arrived: number of them, computed and cached prompt tokens.
    Progress(RunKey, [u32; 3]),
    /// An attempt ended.
    Ended(RunKey, AttemptEnd, Option<PlainAnswer>),
    /// A peer sends a call to the owner of its ticket, in wire form.
    RunTicket(PeerCallId, SendingId, Vec<u8>),
    /// The owner's answer, or none if it can't be reached.
    TicketAnswered(SendingId, Option<TicketAnswer>),
    /// A peer relays a request with this much time left.
    Relayed(PeerCallId, SendingId, Duration),
    /// Answer to a relayed request. `None` means that the peer can't be reached.
    RelayAnswered(RequestId, Option<RequestAnswer>),
    /// Records of a leaving process in wire form.
    Handover(PeerCallId, Vec<u8>),
    /// Answer of a successor: its address, the owners of the records, its identity if it took them, and
    /// whether it answered at all.
    HandoverAnswered(PeerAddress, Vec<PeerIdentity>, Option<PeerIdentity>, bool),
}

/// What a call between two processes is for.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum PeerCallKind {
    /// Configuration or VM list.
    Pull,
    /// Slot of a target.
    Borrow(TargetName),
    /// Ticketed call of a sending.
    RunTicket(SendingId),
    /// Relayed request.
    Relay(RequestId, SendingId),
    /// Records.
    Handover,
}

/// A call between two processes that waits for its answer.
#[derive(Debug, Clone)]
pub(crate) struct PeerCall {
    /// VM and process that called.
    pub(crate) from: (usize, Incarnation),
    /// VM that was called.
    pub(crate) to: usize,
    /// Purpose.
    pub(crate) kind: PeerCallKind,
    /// Whether the call can have reached a process.
    pub(crate) accepted: bool,
}
