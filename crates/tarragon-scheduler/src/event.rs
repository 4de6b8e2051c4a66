//! Events that the scheduler handles, and actions that it returns.

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
    /// The caller has disconnected; nobody needs the answer.
    Disconnected(RequestId),
    /// The attempt's bytes are about to be written, or the attempt was abandoned because the check right
    /// before the write failed.
    AttemptStarted(RequestId, AttemptNumber),
    /// The first event of a streamed answer is about to be passed on. From then on only targets of this build
    /// may continue it.
    StreamBegan(RequestId, AttemptNumber, BuildKey),
    /// Tokens arrived. The first event of an attempt carries its time to first token.
    AttemptProgress(AttemptProgress),
    /// The attempt is over.
    AttemptEnded(RequestId, AttemptNumber, AttemptEnd),
    /// A target was added or changed.
    TargetListed(TargetEntry),
    /// A target is no longer published.
    TargetRemoved(TargetName),
    /// The published entry of a target expired without an announced stop: its process has ended or can't be
    /// reached.
    TargetExpired(TargetName),
    /// The number of slots that this process may use at a target has changed.
    SlotsChanged(TargetSlots),
    /// Sets how many requests this process may start at a target in any second; `None` for no limit.
    StartLimitSet(TargetName, Option<u32>),
    /// Sets whether starts at a target need permits, because it has named the rate that it accepts.
    StartsPaced(TargetName, bool),
    /// Permits starts at a target that needs permits.
    StartsPermitted {
        /// Target.
        target: TargetName,
        /// Number of starts.
        count: u32,
        /// When the permits expire.
        until: Instant,
    },
    /// Sets when starts at a service will be permitted, if all of its targets need permits.
    StartsForecast(ServiceName, Option<StartForecast>),
    /// Sets when the first target of a service accepts requests again, if all of them have paused.
    ServicePaused(ServiceName, Option<Instant>),
    /// The published entry of a target still names this process.
    ProcessConfirmed {
        /// Target.
        target: TargetName,
        /// Restart id of the process.
        restart: RestartId,
        /// When the entry was read.
        read: Instant,
    },
    /// Load that a target reported along with an answer to some caller. It doesn't say which process
    /// answered, so it proves neither a restart nor that the process has survived.
    ResponseLoadReported {
        /// Target.
        target: TargetName,
        /// Load.
        load: TargetLoad,
        /// Time since the load was measured.
        age: Duration,
    },
    /// A report of a target's load, from the target or from a peer.
    LoadReported {
        /// Target.
        target: TargetName,
        /// Report.
        report: LoadReport,
        /// Time since the load was measured.
        age: Duration,
    },
    /// Cache events of an engine, in the order in which they arrived.
    CacheReported(TargetName, Vec<CacheEvent>),
    /// Sets the tokens that the memory of each target of a service holds, for prompts and answers of running
    /// requests and for cached prompts; 0 if unknown.
    CacheSized(ServiceName, u64),
    /// A peer's digest with its shed floor and its demand.
    PeerReported(PeerPressure),
    /// Data of a peer is to be dropped, because the peer is down or this process was paused.
    PeerForgotten(PeerIdentity),
    /// A peer reported a request that may crash targets.
    SuspectReported(SuspectEntry),
    /// Rules have changed.
    RulesChanged(std::sync::Arc<tarragon_config::rules::RuleSet>),
    /// The process starts to shut down: no new requests are admitted.
    DrainStarted,
    /// The process is going to end. Requests are still admitted if they can be completed before.
    EndPlanned(WorkEnd),
    /// The process ends: all waiting requests and up to so many of the running ones get their final answers.
    EndReached(usize),
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
    /// Prompt tokens that the target had to compute, if it reported them.
    pub prefill_tokens: Option<u32>,
    /// Prompt tokens that the target found in its cache, if it reported them.
    pub cached_tokens: Option<u32>,
    /// Time from the write of the request to the first token.
    pub first_token: Duration,
}

/// Retry-after time of refusals because of the end of the process: other processes can serve the requests now.
pub const RETRY_AFTER_END: Duration = Duration::from_millis(200);

/// Longest [`WorkEnd::reserve`], and its largest part of a grace period as a divisor.
const START_RESERVE: Duration = Duration::from_secs(2);
const START_DIVISOR: u32 = 4;

/// [`WorkEnd::reserve`] of a shutdown with this grace period.
pub fn start_reserve(grace: Duration) -> Duration {
    START_RESERVE.min(grace / START_DIVISOR)
}

/// The planned end of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkEnd {
    /// When all requests must be complete.
    pub at: Instant,
    /// Nothing begins in this time before the end, however short it is expected to be: a sound target may be
    /// silent for over a second.
    pub reserve: Duration,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// The whole answer arrived.
    Finished,
    /// The connection was refused or could not be made: no byte reached the target.
    NotSent,
    /// This process has lost its link to the target, and no peer could pass the attempt on: no byte reached the
    /// target, and nothing is known of it.
    Unreached,
    /// The check right before the write failed (deadline, ticket age, data centre out): no byte was
    /// written, and the request must not be tried again.
    Withheld,
    /// The target answered that it accepts no work now, before running anything.
    Rejected,
    /// The connection broke after bytes were written.
    Broken,
    /// The target sent nothing for too long while another attempt could begin at once, see
    /// [`Scheduler::may_replace`](crate::scheduler::Scheduler::may_replace).
    Silent,
    /// Bytes were written, then the link was lost: the request may have run, and nothing is known of the target.
    Severed,
    /// The target answered with an error of its own.
    Failed,
    /// The answer had a gap or belonged to another request.
    Garbled,
    /// Cancelled by this process; the target confirmed or the connection was closed.
    Cancelled,
}

/// A target of this data centre.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetEntry {
    /// Name.
    pub target: TargetName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Whether it may get new work: false if it, its VM or its data centre is leaving or out.
    pub in_service: bool,
    /// Whether it is in another data centre, to which traffic is more expensive.
    pub remote: bool,
    /// Build of its software, if it is published.
    pub build: Option<BuildKey>,
    /// Its process, if the published entry names it. Otherwise the process is known from load reports.
    pub process: Option<ListedProcess>,
}

/// The process that runs at a target, as published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedProcess {
    /// Restart id.
    pub restart: RestartId,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// Load of a target at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the target.
    pub waiting: u32,
    /// Whether the target counts as cold.
    pub cold: bool,
    /// How long work takes there now, in percent of the usual, if the target itself has just told it.
    pub pace_percent: Option<u32>,
}

/// This process's part of a target's capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSlots {
    /// Target.
    pub target: TargetName,
    /// Requests that this process may have in flight there.
    pub slots: u32,
    /// Concurrent requests that the target can serve from all processes together.
    pub capacity: u32,
    /// Whether the target counts as cold.
    pub cold: bool,
}

/// Load of a peer, from its digest.
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

/// Something that the caller of the scheduler has to do.
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
    /// Answer the request with a refusal.
    Refuse {
        /// Request.
        request: RequestId,
        /// Refusal.
        refusal: Refusal,
    },
    /// Stop an attempt at its target. `AttemptEnded` with `Cancelled` is expected. The request itself is
    /// resumed if the attempt was pre-empted or moved, and ends if its caller has disconnected.
    Cancel {
        /// Request.
        request: RequestId,
        /// Attempt.
        attempt: AttemptNumber,
    },
    /// Send the new shed floor to peers now.
    AnnounceFloor(Tier),
    /// Send peers the entry of a request that may crash targets now.
    AnnounceSuspect(SuspectEntry),
    /// Poll the target now, because it may have restarted or become cold again.
    PollTarget(TargetName),
}
