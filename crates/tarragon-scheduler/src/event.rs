//! What the scheduler takes and returns.

use std::time::{Duration, Instant};

use tarragon_protocol::{
    engine::CacheEvent,
    peer::{PeerIdentity, SuspectEntry},
};

use crate::prelude::*;

/// Something that happened outside the scheduler.
#[derive(Debug, Clone)]
pub enum SchedulerEvent {
    /// A request arrived and waits for a decision.
    Arrived(Box<RequestProfile>),
    /// The caller has gone; nobody needs the answer.
    Disconnected(RequestId),
    /// The attempt's bytes are about to be written, or the attempt was dropped because the check right
    /// before the write failed.
    AttemptStarted(RequestId, AttemptNumber),
    /// Tokens arrived. The first report of an attempt tells the time to first token.
    AttemptProgress(AttemptProgress),
    /// The attempt is over.
    AttemptEnded(RequestId, AttemptNumber, AttemptEnd),
    /// A target was added or changed.
    TargetListed(TargetEntry),
    /// A target is no longer published.
    TargetRemoved(TargetName),
    /// A target is no longer published, though nothing said that it would stop: its process has ended, or nobody
    /// hears of it.
    TargetExpired(TargetName),
    /// The number of slots that this process may use at a target has changed.
    SlotsChanged(TargetSlots),
    /// The number of requests that this process may start at a target in any second; `None` for no bound.
    StartLimitSet(TargetName, Option<u32>),
    /// When the first target of a service takes requests again, if all of them want none for a while.
    ServicePaused(ServiceName, Option<Instant>),
    /// What is published still names this process for a target.
    ProcessConfirmed {
        /// Target.
        target: TargetName,
        /// Restart id of the process.
        restart: RestartId,
        /// When that was read.
        read: Instant,
    },
    /// Load that a target has told some caller with an answer. It doesn't say which process answered, so that
    /// it proves neither a restart nor that the process has survived.
    ResponseLoadReported {
        /// Target.
        target: TargetName,
        /// Load.
        load: TargetLoad,
        /// Age of the figures.
        age: Duration,
    },
    /// A report of a target's load, from the target or from a peer.
    LoadReported {
        /// Target.
        target: TargetName,
        /// Report.
        report: LoadReport,
        /// Age of the figures.
        age: Duration,
    },
    /// Cache events of an engine, in the order in which they arrived.
    CacheReported(TargetName, Vec<CacheEvent>),
    /// A peer's digest has news for scheduling.
    PeerReported(PeerPressure),
    /// A peer no longer counts, because it is down or this process was paused.
    PeerForgotten(PeerIdentity),
    /// A peer told of a request that may crash targets.
    SuspectReported(SuspectEntry),
    /// Rules have changed.
    RulesChanged(std::sync::Arc<tarragon_config::rules::RuleSet>),
    /// The process starts to shut down: nothing new is admitted.
    DrainStarted,
    /// Time has passed.
    Tick,
}

/// Progress of a streamed answer.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptProgress {
    /// Request.
    pub request: RequestId,
    /// Attempt.
    pub attempt: AttemptNumber,
    /// Tokens received in this attempt so far.
    pub tokens: u32,
    /// Prompt tokens that the target had to compute, if it told.
    pub prefill_tokens: Option<u32>,
    /// Prompt tokens that the target found in its cache, if it told.
    pub cached_tokens: Option<u32>,
    /// Time from the write of the request to the first token.
    pub first_token: Duration,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// The whole answer arrived.
    Finished,
    /// The connection was refused or could not be made: no byte reached the target.
    NotSent,
    /// The check right before the write failed (deadline, ticket age, data centre out): no byte was
    /// written, and the request must not be tried again.
    Withheld,
    /// The target answered that it takes no work now, before running anything.
    Rejected,
    /// The connection broke after bytes were written.
    Broken,
    /// The target answered with an error that says that it failed.
    Failed,
    /// The answer had a gap or belonged to another request.
    Garbled,
    /// Cancelled by us; the target confirmed or the connection was closed.
    Cancelled,
}

/// A target of this data centre.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetEntry {
    /// Name.
    pub target: TargetName,
    /// Service it belongs to.
    pub service: ServiceName,
    /// Whether it may get new work: false if it, its VM or its data centre is leaving or out.
    pub in_service: bool,
    /// Whether it stands in another data centre, to which traffic is dearer.
    pub remote: bool,
    /// Its process, if what is published tells it. Otherwise its reports do.
    pub process: Option<ListedProcess>,
}

/// The process that runs at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedProcess {
    /// Restart id.
    pub restart: RestartId,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// Load of a target at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the target.
    pub waiting: u32,
    /// Whether the target counts as cold.
    pub cold: bool,
}

/// This process's part of what a target bears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSlots {
    /// Target.
    pub target: TargetName,
    /// Requests that this process may have in flight there.
    pub slots: u32,
    /// What the target bears in all, from all processes.
    pub capacity: u32,
    /// Whether the target counts as cold.
    pub cold: bool,
}

/// What a peer's digest says about its load.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerPressure {
    /// Peer.
    pub peer: PeerIdentity,
    /// Lowest tier that it admits.
    pub shed_floor: Tier,
    /// Its waiting requests by tier.
    pub waiting: [u32; Tier::COUNT],
    /// When the digest arrived.
    pub received: Instant,
}

/// Something that the scheduler wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum SchedulerAction {
    /// Send the request to a target. The sender confirms by `AttemptStarted` before its first byte.
    Dispatch {
        /// Request.
        request: RequestId,
        /// Attempt.
        attempt: AttemptNumber,
        /// Target.
        target: TargetName,
    },
    /// Give the final answer at once.
    Refuse {
        /// Request.
        request: RequestId,
        /// Answer.
        refusal: Refusal,
    },
    /// Stop an attempt at its target. `AttemptEnded` with `Cancelled` is expected. The request itself
    /// goes on if it was pre-empted and ends if its caller has gone.
    Cancel {
        /// Request.
        request: RequestId,
        /// Attempt.
        attempt: AttemptNumber,
    },
    /// Tell peers the new shed floor now.
    AnnounceFloor(Tier),
    /// Tell peers now of a request that may crash targets.
    AnnounceSuspect(SuspectEntry),
    /// The target shows signs of a restart or of a new cold spell; poll it now.
    PollTarget(TargetName),
}
