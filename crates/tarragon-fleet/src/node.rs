//! State of one process of the fleet: combines the scheduler with the published state, the peers and the
//! quotas.

mod admit;
mod explain;
mod lending;
mod limits;
mod links;
mod origins;
mod pacing;
mod rejections;
mod updates;

pub use admit::{AdmissionRequest, MAX_PREFIX_BLOCKS, prefix_block_count, wait_limit};
pub use explain::{CallExplanation, QuotaExplanation};
pub use lending::LendingStatistics;
pub use links::{RelayCandidate, RelayOffer};
pub use origins::stream_span;
pub use updates::DigestFollowUp;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};

use crate::{
    clock::FleetClock,
    digest::NameKey,
    directory::TargetDirectory,
    health::TargetHealth,
    ledger::BuildLedger,
    lending::SlotLedger,
    link::LinkTable,
    member::{DigestRecipients, MemberTable},
    node::{lending::LendingState, rejections::RejectionState},
    origin::OriginTable,
    prelude::*,
    published::InstanceName,
    quota::{QuotaBounds, QuotaLedger},
};

/// Number of processes in each data centre that read the store on behalf of all of its processes. With three,
/// two may be down or cut off from the store before other processes have to read it themselves.
const READERS_PER_DATA_CENTRE: usize = 3;
/// Limits that the deployment sets for the fleet as a whole.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetBounds {
    /// Retries allowed at a service, as a ratio of the requests for it.
    pub retry_ratio: f64,
    /// Retries allowed at a service in addition to that ratio, within the retry window.
    pub retry_slack: f64,
    /// Tolerances of the workspace quotas.
    pub quota: QuotaBounds,
    /// Times within which published values have to be in force.
    pub freshness: FreshnessBounds,
}

/// Settings of a process at its start.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Name of the VM.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Identifies this start of the process.
    pub incarnation: Incarnation,
    /// Address at which the process receives digests from its peers.
    pub peer_address: SocketAddr,
    /// Addresses of the peers to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// Limits of the fleet.
    pub bounds: FleetBounds,
    /// Limits of the request queue.
    pub limits: SchedulerLimits,
}

/// Permission to send an attempt to its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendGrant {
    /// Instance expected at the target's address.
    pub instance: InstanceName,
    /// Build of its software.
    pub build: BuildKey,
    /// Start of its process.
    pub restart: RestartId,
}

/// A request that has been admitted and has not ended.
#[derive(Debug)]
struct OpenRequest {
    /// Workspace whose quota was charged, and the number of units.
    charged: Option<(WorkspaceName, u64)>,
}

/// Position of this process in an order of all processes, valid while the set of known peers stays the same.
#[derive(Debug, Clone, Copy)]
struct CachedRank {
    generation: u64,
    position: usize,
}

/// Number of slots that a target told with an answer.
#[derive(Debug, Clone, Copy)]
struct ToldSlots {
    slots: u32,
    /// Start of its process as known then.
    restart: RestartId,
}

/// State of a target, with the limits that were last passed to the scheduler.
#[derive(Debug, Default)]
struct TargetState {
    slots: Option<TargetSlots>,
    start_limit: Option<u32>,
    /// Last reported load, and when the target reported it.
    load: Option<(TargetUse, Instant)>,
    /// Number of slots that the target last told.
    told_slots: Option<ToldSlots>,
    health: TargetHealth,
    /// Time on the fleet's clock up to which this process has got its part of the starts; `None` while the
    /// target names no rate.
    paced_to: Option<Duration>,
    /// Position of this process among all processes, and among those outside the target's data centre.
    ranks: [Option<CachedRank>; 2],
    rejections: RejectionState,
    /// Slots that this process owns, has lent or has borrowed; `None` while the slots are not divided.
    loans: Option<SlotLedger>,
    /// Slots that this process owns, and the presence of peers for which that holds.
    owned: Option<(u64, u32)>,
}

/// Makes the decisions of one process.
pub struct FleetNode {
    settings: FleetSettings,
    scheduler: Scheduler,
    operator_state: OperatorState,
    /// Services without streamed routes, whose calls end before a digest can report them.
    unstreamed_services: IndexSet<ServiceName>,
    /// Data centres that stay out of service although the copy from which the store has come back lacks that,
    /// and until when operators have time to write it again.
    carried_evacuations: IndexMap<DataCentreName, Instant>,
    /// When the operator state was last confirmed to be the newest.
    operator_confirmed: Option<Instant>,
    directory: TargetDirectory,
    members: MemberTable,
    quotas: QuotaLedger,
    targets: IndexMap<TargetName, TargetState>,
    /// Targets by the hash of their names.
    target_names: IndexMap<NameKey, TargetName>,
    /// For each service, until when all its targets have asked for a pause, as last passed to the scheduler.
    pauses: IndexMap<ServiceName, Option<Instant>>,
    /// Forecasts of starts by service, as last passed to the scheduler.
    forecasts: IndexMap<ServiceName, StartForecast>,
    calls: IndexMap<RequestId, OpenRequest>,
    links: LinkTable,
    lending: LendingState,
    relay_offer: RelayOffer,
    origins: OriginTable,
    builds: BuildLedger,
    /// Whether the time to meet the peers after the start is over.
    is_settled: bool,
    /// Ticks since the start, for the reports of the registered builds.
    ledger_ticks: u32,
    clock: FleetClock,
    started: Instant,
    sequence: u64,
    draining: bool,
    read_times: ReadTimes,
}

impl FleetNode {
    /// Creates a node without any published state or peers. `seed` determines all random choices.
    pub fn new(settings: FleetSettings, seed: u64, now: Instant) -> FleetNode {
        let started = (!settings.first_start).then_some(now);
        let builds = match settings.first_start {
            true => BuildLedger::of_new_fleet(now),
            false => BuildLedger::default(),
        };
        FleetNode {
            scheduler: Scheduler::new(settings.limits.clone(), seed).without_preemption(),
            operator_state: OperatorState::default(),
            unstreamed_services: IndexSet::new(),
            carried_evacuations: IndexMap::new(),
            operator_confirmed: None,
            directory: TargetDirectory::default(),
            members: MemberTable::new(
                settings.peer_address,
                &settings.data_centre,
                &settings.seeds,
            ),
            quotas: QuotaLedger::new(settings.bounds.quota, started),
            targets: IndexMap::new(),
            target_names: IndexMap::new(),
            pauses: IndexMap::new(),
            forecasts: IndexMap::new(),
            calls: IndexMap::new(),
            links: LinkTable::default(),
            lending: LendingState::default(),
            relay_offer: RelayOffer::default(),
            origins: OriginTable::default(),
            builds,
            is_settled: false,
            ledger_ticks: 0,
            clock: FleetClock::new(now),
            started: now,
            sequence: 0,
            draining: false,
            read_times: ReadTimes::of(&settings.bounds.freshness),
            settings,
        }
    }

    /// Whether the load balancer may send requests to this process.
    pub fn is_ready(&self) -> bool {
        !self.draining
            && self.operator_state.configuration.is_some()
            && self.directory.iter().next().is_some()
    }

    /// The newest operator state known to this process.
    pub fn operator_state(&self) -> &OperatorState {
        &self.operator_state
    }

    /// The known targets.
    pub fn directory(&self) -> &TargetDirectory {
        &self.directory
    }

    /// The known peers.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Addresses to send the next digest to.
    pub fn recipients(&mut self, urgent: bool, now: Instant) -> DigestRecipients {
        self.members.recipients(urgent, now)
    }

    /// Returns addresses named by peers that no digest has been sent to yet, so that one can be sent at once,
    /// and marks them as contacted.
    pub fn take_uncontacted(&mut self) -> Vec<SocketAddr> {
        self.members.take_uncontacted()
    }

    /// The scheduler, for dumps and metrics.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Number of requests that have been admitted and have not ended.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Whether a peer has a newer operator state, by the history of the store or by the configuration's own
    /// version: the store may have come back from a copy without the newest configuration.
    pub fn has_older_operator_state(&self, digest: &PeerDigest) -> bool {
        digest.operator_position > self.operator_state.position()
            || digest.operator_version > self.operator_state.version()
    }

    /// Times of the calls to the store.
    pub fn read_times(&self) -> ReadTimes {
        self.read_times
    }

    /// Whether this process should read targets from the store. A few processes of each data centre do; the
    /// others do so when the listings that they receive from those are out of date.
    pub fn reads_targets(&self, now: Instant) -> bool {
        let old = self.directory.age(now).is_none_or(|age| age > self.read_times.max_listing_age);
        old || self.members.is_reader(READERS_PER_DATA_CENTRE)
    }

    /// Whether this process should watch the operator state in the store, by the same rule.
    pub fn reads_operator(&self, now: Instant) -> bool {
        let age = self.operator_confirmed.map(|time| now.saturating_duration_since(time));
        let old = age.is_none_or(|age| age > self.read_times.max_operator_age);
        old || self.members.is_reader(READERS_PER_DATA_CENTRE)
    }

    /// Records that the store has just confirmed the known operator state as the newest.
    pub fn confirm_operator_state(&mut self, now: Instant) {
        self.operator_confirmed = Some(now);
    }

    /// Replaces the addresses of the peers to contact first.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.members.set_seeds(seeds);
    }

    /// Starts the shutdown: the process is no longer ready, but still serves requests that arrive.
    pub fn start_drain(&mut self) {
        self.draining = true;
    }

    /// Takes the planned end of the process into account: requests that can't be completed before it are refused.
    pub fn plan_end(&mut self, now: Instant, end: WorkEnd, actions: &mut Vec<SchedulerAction>) {
        self.schedule(now, SchedulerEvent::EndPlanned(end), actions);
    }

    /// Gives all waiting requests and up to `most` of the running ones their final answers.
    pub fn end_open(&mut self, now: Instant, most: usize, actions: &mut Vec<SchedulerAction>) {
        self.schedule(now, SchedulerEvent::EndReached(most), actions);
    }

    /// Takes into account that the machine was suspended for some time, which the monotonic clock doesn't
    /// show: all peers count as silent, since their reports are out of date, and what targets have said about
    /// their limits is older by that time.
    pub fn resume(&mut self, now: Instant, suspended: Duration) {
        self.members.mark_all_silent(now);
        self.clock.add_suspended(suspended);
        self.directory.age_limits(suspended);
    }

    /// Handles the passage of time. Must be called every 100 ms.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        if self.members.expire(now) {
            self.update_retries();
        }
        self.announce_early_origins(now);
        self.end_carried_evacuations(now, actions);
        self.end_backoffs(now, actions);
        self.end_pauses(now, actions);
        self.expire_rejection_limits(now);
        self.update_targets(now, actions);
        self.pace_starts(now, actions);
        self.update_trial_turn(now);
        self.schedule(now, SchedulerEvent::Tick, actions);
        self.expire_loans(now, actions);
        self.ask_for_slots(now);
    }

    /// Passes an event to the scheduler. Closes the requests that it refuses and refunds their quota units.
    fn schedule(
        &mut self,
        now: Instant,
        event: SchedulerEvent,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let first_new = actions.len();
        self.scheduler.handle(now, event, actions);
        for action in &actions[first_new..] {
            if let SchedulerAction::Refuse { request, refusal } = action {
                let call = self.calls.swap_remove(request);
                let charged = call.and_then(|call| call.charged);
                if let Some((workspace, units)) = charged
                    && refusal.outcome == CallOutcome::NotRun
                {
                    self.quotas.refund(&workspace, units);
                }
            }
        }
    }
}
