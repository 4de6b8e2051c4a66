//! The cluster state machine of one process: composes membership, configuration, load, slots and orders.

mod drain;
mod gossip;
mod platform;
mod service;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tarragon_config::publication::Configuration;
use tarragon_protocol::{
    peer::VmListTransfer,
    platform::{PublishedTarget, TargetList},
};

use crate::{
    broadcast::BroadcastTable,
    digest::LoadTable,
    event::RelayTarget,
    fence::OwnerTable,
    member::{MemberStatus, MemberTable},
    order::OrderDispatcher,
    pause::PauseDetector,
    prelude::*,
    publication::PublicationState,
    reader::{PlatformReader, ReaderDump},
    rendezvous::key_seed,
    slot::{SETTLING_TIME, SlotDump, SlotTable},
    vm_list::VmListState,
};

/// Time between two gossip rounds.
pub const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// Time that a new process waits for a peer's answer before it serves with the configuration it has.
pub const PEER_ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without a digest from any peer after which this process uses only slots that it held before.
pub const ISOLATION_SILENCE: Duration = Duration::from_secs(5);

/// Time without a heartbeat of a lender after which its slots are no longer used. Shorter than
/// [`DOWN_AFTER`], after which the lender reclaims the slots of a borrower whose heartbeats are missing.
///
/// [`DOWN_AFTER`]: crate::member::DOWN_AFTER
const LENDER_SILENCE: Duration = Duration::from_secs(5);

/// Settings of this process, known when it starts.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// Own VM and incarnation.
    pub identity: PeerIdentity,
    /// Own data centre.
    pub data_centre: DataCentreName,
    /// Address for callers.
    pub caller_address: String,
    /// Address for other entry VMs.
    pub peer_address: String,
    /// Peer addresses to ask at start, while no VM list is known.
    pub seeds: Vec<String>,
    /// Targets by data centre, used where the configuration publishes none.
    pub static_targets: Vec<TargetList>,
    /// Number of targets of the data centre that may load the same model from the weight store at the
    /// same time.
    pub concurrent_loads: usize,
    /// Time after a change of the VMs that share slots before newly gained slots are used;
    /// [`SETTLING_TIME`] in production.
    pub settling: Duration,
}

impl ClusterSettings {
    /// Settings with the production defaults, without seeds and static targets.
    pub fn new(
        identity: PeerIdentity,
        data_centre: DataCentreName,
        caller_address: String,
        peer_address: String,
    ) -> ClusterSettings {
        ClusterSettings {
            identity,
            data_centre,
            caller_address,
            peer_address,
            seeds: Vec::new(),
            static_targets: Vec::new(),
            concurrent_loads: 1,
            settling: SETTLING_TIME,
        }
    }
}

/// A pull from a peer that has not been answered.
#[derive(Debug, Clone)]
struct PendingPull {
    peer: PeerAddress,
    since: Instant,
}

/// State of this process's scheduler, sent in digests.
#[derive(Debug, Clone, Copy)]
struct LocalPressure {
    shed_floor: Tier,
    waiting: [u32; Tier::COUNT],
}

/// Borrow requests of this process that have not been answered.
#[derive(Debug, Default)]
struct BorrowRequests {
    asked: IndexMap<TargetName, (PeerAddress, Instant)>,
}

/// Readiness, relay target and targets as last reported by an action.
#[derive(Debug, Default)]
struct ReportedState {
    ready: bool,
    relay: Option<RelayTarget>,
    targets: Vec<(PublishedTarget, bool)>,
}

/// The cluster state machine of one process.
#[derive(Debug)]
pub struct Cluster {
    settings: ClusterSettings,
    random: ChaCha8Rng,
    started: Instant,
    boot: Duration,
    pause: PauseDetector,
    members: MemberTable,
    up: Vec<VmName>,
    vm_list: VmListState,
    publication: PublicationState,
    reader: PlatformReader,
    is_reader: bool,
    loads: LoadTable,
    slots: SlotTable,
    broadcasts: BroadcastTable,
    owners: OwnerTable,
    orders: OrderDispatcher,
    borrows: BorrowRequests,
    pressure: LocalPressure,
    heartbeat: u64,
    next_gossip: Instant,
    next_second_tick: Instant,
    next_initial_pull: Instant,
    configuration_pull: Option<PendingPull>,
    list_pull: Option<PendingPull>,
    list_behind_since: Option<Instant>,
    /// Whether, since the start or the last pause, a peer turned out to have no newer configuration.
    peer_checked: bool,
    paused: bool,
    /// Whether the start-up checks have passed; never reset.
    startup_checks_done: bool,
    in_service: bool,
    draining: bool,
    successor: Option<PeerAddress>,
    reported_state: ReportedState,
}

/// State of the cluster in the admin dump.
#[derive(Debug, Clone, Serialize)]
pub struct ClusterDump {
    /// Own VM.
    pub vm: VmName,
    /// Own incarnation.
    pub incarnation: Incarnation,
    /// Own data centre.
    pub data_centre: DataCentreName,
    /// Version of the active configuration.
    pub configuration: ConfigurationVersion,
    /// Offers of older configurations that were refused.
    pub older_configurations: u64,
    /// Offers of invalid configurations that were refused.
    pub invalid_configurations: u64,
    /// Version of the VM list in use.
    pub vm_list: u64,
    /// Offers of older VM lists that were refused.
    pub older_vm_lists: u64,
    /// Whether this process is one of the two processes of its data centre that watch the platform.
    pub is_reader: bool,
    /// Numbers of platform calls.
    pub reader: ReaderDump,
    /// Members of the data centre with their state.
    pub members: Vec<(VmName, MemberStatus)>,
    /// Members of other data centres.
    pub remote_members: usize,
    /// Slots.
    pub slots: SlotDump,
    /// Numbers of known suspects (requests that may crash targets) and of known successors.
    pub news: (usize, usize),
    /// Number of targets to which this process may send orders.
    pub owned_targets: usize,
    /// Numbers of orders sent and of orders refused by engines.
    pub orders: (u64, u64),
    /// Number of pauses of this process that were detected.
    pub pauses: u64,
    /// Whether a peer's configuration has been compared since the start or the last pause.
    pub peer_checked: bool,
    /// Whether the load balancer should send requests to this process.
    pub ready: bool,
    /// Whether the process is shutting down.
    pub draining: bool,
}

impl Cluster {
    /// Creates the state machine of a process that starts now.
    pub fn new(settings: ClusterSettings, seed: u64, now: Instant) -> Cluster {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let own = settings.identity.vm.clone();
        let spread = Duration::from_millis(random.random_range(50..300));
        let first_grant = key_seed(&settings.identity.incarnation.to_string()) as u32;
        let mut cluster = Cluster {
            random,
            started: now,
            boot: Duration::ZERO,
            pause: PauseDetector::default(),
            members: MemberTable::new(own.clone(), settings.data_centre.clone()),
            up: Vec::new(),
            vm_list: VmListState::default(),
            publication: PublicationState::default(),
            reader: PlatformReader::default(),
            is_reader: false,
            loads: LoadTable::default(),
            slots: SlotTable::new(own, settings.settling, first_grant, now),
            broadcasts: BroadcastTable::default(),
            owners: OwnerTable::default(),
            orders: OrderDispatcher::new(settings.concurrent_loads),
            borrows: BorrowRequests::default(),
            pressure: LocalPressure { shed_floor: Tier::Routine, waiting: [0; Tier::COUNT] },
            heartbeat: 0,
            next_gossip: now + spread,
            next_second_tick: now,
            next_initial_pull: now,
            configuration_pull: None,
            list_pull: None,
            list_behind_since: None,
            peer_checked: false,
            paused: false,
            startup_checks_done: false,
            in_service: true,
            draining: false,
            successor: None,
            reported_state: ReportedState::default(),
            settings,
        };
        cluster.install_targets(now);
        cluster
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Instant, event: ClusterEvent, actions: &mut Vec<ClusterAction>) {
        match event {
            ClusterEvent::Tick { boot } => self.tick(now, boot, actions),
            ClusterEvent::GossipReceived(digest) => self.handle_digest(now, digest, actions),
            ClusterEvent::AnnouncementReceived(peer, announcement) => {
                self.handle_announcement(now, &peer, announcement, actions);
            }
            ClusterEvent::PlatformAnswered(read, answer) => {
                self.handle_platform_answer(now, &read, answer, actions);
            }
            ClusterEvent::ConfigurationReceived(peer, transfer) => {
                self.handle_configuration(now, peer, transfer, actions);
            }
            ClusterEvent::VmListReceived(peer, transfer) => {
                self.handle_vm_list(now, peer, transfer, actions);
            }
            ClusterEvent::PeerUnreachable(peer) => self.peer_unreachable(now, &peer),
            ClusterEvent::TargetPolled(target, report) => {
                self.handle_poll(now, &target, report, actions);
            }
            ClusterEvent::TargetSuspectedCold(target) => self.suspect_target(now, &target, actions),
            ClusterEvent::PressureChanged { shed_floor, waiting } => {
                self.update_pressure(now, shed_floor, waiting, actions);
            }
            ClusterEvent::SuspectFound(entry) => self.share_suspect(now, entry, actions),
            ClusterEvent::BorrowAnswered(peer, target, grant) => {
                self.handle_borrow_answer(now, peer, target, grant, actions);
            }
            ClusterEvent::BorrowedSlotReleased(target) => self.return_slot(now, &target, actions),
            ClusterEvent::SlotNeeded(target) => self.request_slot(now, target, actions),
            ClusterEvent::OrdersPlanned(version, orders) => self.orders.set_plan(version, orders),
            ClusterEvent::OrderAnswered(_, taken) => self.orders.record_answer(taken),
            ClusterEvent::DrainStarted => self.start_drain(now, actions),
            ClusterEvent::HandoverCompleted(entry) => self.share_successor(now, entry, actions),
        }
    }

    fn tick(&mut self, now: Instant, boot: Duration, actions: &mut Vec<ClusterAction>) {
        self.boot = boot;
        if let Some(gap) = self.pause.observe(boot) {
            self.resume_after_pause(now, gap, actions);
        }
        self.expire_members(now, actions);
        self.refresh_views(now);
        self.read_platform(now, actions);
        self.initial_pull(now, actions);
        for target in self.loads.due_polls(now) {
            actions.push(ClusterAction::PollTarget(target));
        }
        if now >= self.next_second_tick {
            self.next_second_tick = now + Duration::from_secs(1);
            self.run_every_second(now, actions);
        }
        if now >= self.next_gossip {
            self.next_gossip = now + GOSSIP_INTERVAL;
            self.send_gossip(now, actions);
        }
        self.update_slots(now, actions);
        self.update_service(now, actions);
    }

    fn run_every_second(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        self.broadcasts.purge(now);
        let polls = self.loads.due_fallback_polls(now);
        actions.extend(polls.into_iter().map(ClusterAction::PollTarget));
        let expired = self.slots.reclaim_expired(now);
        self.update_some_slots(now, expired, actions);
        let version = self.publication.version();
        for target in self.orders.start_due_reads(version, &self.owners, now) {
            let poll = self.loads.poll_now(&target, now);
            actions.extend(poll.map(ClusterAction::PollTarget));
        }
    }

    fn resume_after_pause(
        &mut self,
        now: Instant,
        gap: Duration,
        actions: &mut Vec<ClusterAction>,
    ) {
        tracing::warn!(gap_ms = gap.as_millis() as u64, "the process was paused");
        for member in self.members.iter() {
            actions.extend(member.identity().map(ClusterAction::PeerForgotten));
        }
        self.members.mark_all_heard(now);
        self.slots.set_restricted(true, now);
        self.slots.restart_settling(now);
        let borrowed = self.slots.remove_borrowed_from(|_| true);
        self.loads.forget_reports();
        self.return_slots(now, borrowed, actions);
        self.borrows.asked.clear();
        self.owners.restart(now);
        self.orders.clear();
        self.configuration_pull = None;
        self.list_pull = None;
        self.paused = true;
        self.peer_checked = false;
        self.next_gossip = now;
    }

    fn expire_members(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        for peer in self.members.take_newly_down(now) {
            self.forget_peer(now, peer, actions);
        }
        let members = &self.members;
        let silent = |lender: &PeerAddress| {
            members.get(&lender.vm).is_none_or(|member| member.silence(now) >= LENDER_SILENCE)
        };
        let lapsed = self.slots.remove_borrowed_from(silent);
        self.return_slots(now, lapsed, actions);
    }

    fn return_slots(
        &mut self,
        now: Instant,
        borrowed: Vec<(PeerAddress, SlotGrant)>,
        actions: &mut Vec<ClusterAction>,
    ) {
        for (lender, grant) in borrowed {
            let target = grant.target.clone();
            actions.push(ClusterAction::ReturnSlot(lender, grant));
            self.update_some_slots(now, vec![target], actions);
        }
    }

    fn forget_peer(&mut self, now: Instant, peer: PeerIdentity, actions: &mut Vec<ClusterAction>) {
        let freed = self.slots.reclaim_from(&peer);
        self.update_some_slots(now, freed, actions);
        let lapsed = self.slots.remove_borrowed_from(|lender| lender.vm == peer.vm);
        self.return_slots(now, lapsed, actions);
        actions.push(ClusterAction::PeerForgotten(peer));
    }

    /// Recomputes which members are up and share slots, and whether this process is isolated. Without a
    /// VM list there may be members that this process does not know yet.
    fn refresh_views(&mut self, now: Instant) {
        self.slots.set_view(self.members.slot_view(now), now);
        let listed = self.members.local().any(|member| member.listed.is_some());
        let others = listed || self.vm_list.version() == 0;
        let heard = self.members.last_heard().unwrap_or(self.started);
        let isolated = others && now.saturating_duration_since(heard) >= ISOLATION_SILENCE;
        if !others {
            self.paused = false;
        }
        self.slots.set_restricted(isolated || self.paused, now);
        let up = self.members.up_view(now);
        if up != self.up {
            self.up = up;
            self.assign_roles(now);
        }
    }

    /// Recomputes the roles that depend on which members are up: platform reader, poller and owner of
    /// targets.
    fn assign_roles(&mut self, now: Instant) {
        let own = &self.settings.identity.vm;
        let up = self.up.iter().map(|vm| &**vm);
        let rank = crate::rendezvous::rank(&self.settings.data_centre, own, up);
        self.is_reader = rank < platform::READER_COUNT;
        self.loads.set_pollers(own, &self.up);
        self.owners.update(own, &self.slots.targets(), &self.up, now);
    }

    /// The active configuration.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.publication.current()
    }

    /// The answer to `pull_configuration` from a peer that has version `have`.
    pub fn transfer_for(&self, have: ConfigurationVersion) -> Option<ConfigurationTransfer> {
        self.publication.transfer_for(have)
    }

    /// The answer to `pull_vm_list` from a peer that has version `have`.
    pub fn vm_list_for(&self, have: u64) -> Option<VmListTransfer> {
        self.vm_list.transfer_for(have)
    }

    /// The VM list in use.
    pub fn vm_list(&self) -> &VmListState {
        &self.vm_list
    }

    /// The process that holds the ticket records of a process that has ended.
    pub fn successor_of(&self, owner: &PeerIdentity) -> Option<&SuccessorEntry> {
        self.broadcasts.successor_of(owner)
    }

    /// Other members of the data centre that are up and reachable.
    pub fn members_up(&self, now: Instant) -> Vec<PeerAddress> {
        let up = self.members.local().filter(|member| member.status(now) == MemberStatus::Up);
        up.filter(|member| member.is_reachable(now)).map(|member| member.peer_address()).collect()
    }

    /// Age of the last load report of each target of the data centre.
    pub fn load_ages(&self, now: Instant) -> Vec<(TargetName, Option<Duration>)> {
        self.loads.ages(now)
    }

    /// Settings of this process.
    pub fn settings(&self) -> &ClusterSettings {
        &self.settings
    }

    /// State of the cluster in the admin dump.
    pub fn dump(&self, now: Instant) -> ClusterDump {
        let members = self.members.local().map(|member| (member.vm.clone(), member.status(now)));
        ClusterDump {
            vm: self.settings.identity.vm.clone(),
            incarnation: self.settings.identity.incarnation,
            data_centre: self.settings.data_centre.clone(),
            configuration: self.publication.version(),
            older_configurations: self.publication.older_refused(),
            invalid_configurations: self.publication.invalid_refused(),
            vm_list: self.vm_list.version(),
            older_vm_lists: self.vm_list.older_refused(),
            is_reader: self.is_reader,
            reader: self.reader.dump(),
            members: members.collect(),
            remote_members: self.members.remote().count(),
            slots: self.slots.dump(now),
            news: self.broadcasts.counts(),
            owned_targets: self.owners.owned(now),
            orders: self.orders.counts(),
            pauses: self.pause.pauses(),
            peer_checked: self.peer_checked,
            ready: self.reported_state.ready,
            draining: self.draining,
        }
    }
}
