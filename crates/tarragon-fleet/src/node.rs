//! One process of the fleet: composes the scheduler with what is published, the peers and the quotas.

mod admit;
mod limits;
mod updates;

pub use admit::{AdmissionRequest, wait_limit};
pub use updates::DigestFollowUp;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};

use crate::{
    digest::NameKey,
    directory::TargetDirectory,
    health::TargetHealth,
    member::{DigestRecipients, MemberTable},
    prelude::*,
    published::{InstanceName, StoreRevision},
    quota::{QuotaBounds, QuotaLedger},
};

/// Processes of a data centre that read the store for all of it. With three, two may be down or cut off from
/// the store before others have to find out.
const READERS: usize = 3;
/// Age of a listing above which a process reads for itself. Readers renew theirs each second.
const OLD_LISTING: Duration = Duration::from_millis(1_500);
/// Age of the operators' state above which a process watches for itself. Watches of readers end after 2.5 s.
const OLD_OPERATOR_STATE: Duration = Duration::from_millis(3_500);

/// Bounds that the deployment sets for the fleet as a whole.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetBounds {
    /// Repeats at a service, as a part of the requests for it.
    pub retry_ratio: f64,
    /// Repeats at a service beyond that part, within the retry window.
    pub retry_slack: f64,
    /// Bounds of quotas.
    pub quota: QuotaBounds,
}

/// What a process knows at its start.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// VM.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// This start of the process.
    pub incarnation: Incarnation,
    /// Address at which peers reach the process.
    pub peer_address: SocketAddr,
    /// Addresses of peers to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// Bounds of the fleet.
    pub bounds: FleetBounds,
    /// Bounds of the queue.
    pub limits: SchedulerLimits,
}

/// What an attempt needs to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendGrant {
    /// Instance that is expected at the target's address.
    pub instance: InstanceName,
}

/// A request that was admitted and has not ended.
#[derive(Debug)]
struct OpenCall {
    /// Workspace and units that its quota was charged with.
    charged: Option<(WorkspaceName, u64)>,
}

/// A position in the order of processes, as long as the known peers stay the same.
#[derive(Debug, Clone, Copy)]
struct CachedRank {
    generation: u64,
    position: usize,
}

/// What was last told to the scheduler of a target.
#[derive(Debug, Default)]
struct TargetState {
    slots: Option<TargetSlots>,
    starts: Option<u32>,
    told: Option<(TargetUse, Instant)>,
    health: TargetHealth,
    /// This process's position among all processes, and among those outside of the target's data centre.
    ranks: [Option<CachedRank>; 2],
}

/// One process's decisions.
pub struct FleetNode {
    settings: FleetSettings,
    scheduler: Scheduler,
    operator: OperatorState,
    /// Services whose calls take less time than news of their targets.
    plain_services: IndexSet<ServiceName>,
    /// When the operators' state was last known to be the newest.
    operator_confirmed: Option<Instant>,
    directory: TargetDirectory,
    members: MemberTable,
    quotas: QuotaLedger,
    terms: IndexMap<TargetName, TargetState>,
    /// Targets by the short form of their names.
    target_names: IndexMap<NameKey, TargetName>,
    /// Services all of whose targets want no requests for a while, as last told to the scheduler.
    pauses: IndexMap<ServiceName, Option<Instant>>,
    calls: IndexMap<RequestId, OpenCall>,
    started: Instant,
    sequence: u64,
    draining: bool,
}

impl FleetNode {
    /// A process that knows nothing yet. `seed` determines all random choices.
    pub fn new(settings: FleetSettings, seed: u64, now: Instant) -> FleetNode {
        let started = (!settings.first_start).then_some(now);
        FleetNode {
            scheduler: Scheduler::new(settings.limits.clone(), seed).without_preemption(),
            operator: OperatorState::default(),
            plain_services: IndexSet::new(),
            operator_confirmed: None,
            directory: TargetDirectory::default(),
            members: MemberTable::new(
                settings.peer_address,
                &settings.data_centre,
                &settings.seeds,
            ),
            quotas: QuotaLedger::new(settings.bounds.quota, started),
            terms: IndexMap::new(),
            target_names: IndexMap::new(),
            pauses: IndexMap::new(),
            calls: IndexMap::new(),
            started: now,
            sequence: 0,
            draining: false,
            settings,
        }
    }

    /// Whether the load balancer shall send work here.
    pub fn is_ready(&self) -> bool {
        !self.draining
            && self.operator.configuration.is_some()
            && self.directory.iter().next().is_some()
    }

    /// What operators publish, as far as it is known here.
    pub fn operator_state(&self) -> &OperatorState {
        &self.operator
    }

    /// The targets that are known.
    pub fn directory(&self) -> &TargetDirectory {
        &self.directory
    }

    /// The peers.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Addresses to which the next digest goes.
    pub fn recipients(&mut self, urgent: bool, now: Instant) -> DigestRecipients {
        self.members.recipients(urgent, now)
    }

    /// Processes that an answer has named, for a digest at once.
    pub fn take_uncontacted(&mut self) -> Vec<SocketAddr> {
        self.members.take_uncontacted()
    }

    /// The scheduler, for dumps and metrics.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Requests that were admitted and have not ended.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Revision of the operators' state that is held here.
    pub fn operator_revision(&self) -> StoreRevision {
        self.operator.revision
    }

    /// Whether this process reads targets from the store. A few processes of each data centre do, and the
    /// others when they hear nothing new from them.
    pub fn reads_targets(&self, now: Instant) -> bool {
        let old = self.directory.age(now).is_none_or(|age| age > OLD_LISTING);
        old || self.members.is_reader(READERS)
    }

    /// Whether this process watches what operators write, for the same reasons.
    pub fn reads_operator(&self, now: Instant) -> bool {
        let age = self.operator_confirmed.map(|time| now.saturating_duration_since(time));
        let old = age.is_none_or(|age| age > OLD_OPERATOR_STATE);
        old || self.members.is_reader(READERS)
    }

    /// The store has just told that nothing newer than the known state exists.
    pub fn confirm_operator_state(&mut self, now: Instant) {
        self.operator_confirmed = Some(now);
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.members.set_seeds(seeds);
    }

    /// The process starts to shut down. Requests that have arrived are still served.
    pub fn start_drain(&mut self) {
        self.draining = true;
    }

    /// The machine was suspended: what peers told before is old, though the clock doesn't show it.
    pub fn mark_peers_silent(&mut self, now: Instant) {
        self.members.silence(now);
    }

    /// Time has passed. Expected every 100 ms.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        if self.members.expire(now) {
            self.update_retries();
        }
        self.wake_targets(now, actions);
        self.end_pauses(now, actions);
        self.update_targets(now, actions);
        self.schedule(now, SchedulerEvent::Tick, actions);
    }

    /// Passes an event to the scheduler and settles the requests that it refuses.
    fn schedule(
        &mut self,
        now: Instant,
        event: SchedulerEvent,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let known = actions.len();
        self.scheduler.handle(now, event, actions);
        for action in &actions[known..] {
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
