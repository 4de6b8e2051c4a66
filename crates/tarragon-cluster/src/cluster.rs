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
    digest::LoadTable,
    event::RelayTarget,
    fence::OwnerTable,
    member::{MemberStatus, MemberTable},
    news::NewsTable,
    order::OrderDesk,
    pause::PauseDetector,
    prelude::*,
    publication::PublicationState,
    reader::{PlatformReader, ReaderDump},
    rendezvous::key_seed,
    slot::{SETTLING_TIME, SlotDump, SlotTable},
    vm_list::VmListState,
};

/// Time between two rounds of digests.
pub const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait of a new process for a peer's answer before it serves with what it has.
pub const PEER_WAIT: Duration = Duration::from_secs(10);

/// Silence of all peers after which this process uses only slots that it held before.
pub const ISOLATED_AFTER: Duration = Duration::from_secs(5);

/// Silence of a lender after which its slots are no longer used. Shorter than [`DOWN_AFTER`], after which
/// the lender takes them back from a borrower that it does not hear.
///
/// [`DOWN_AFTER`]: crate::member::DOWN_AFTER
const LENDER_SILENCE: Duration = Duration::from_secs(5);

/// What the process knows of itself at start.
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
    /// Targets of the data centre that may load one model at a time from the weight store.
    pub concurrent_loads: usize,
    /// Time before slots that a new view gives are used; [`SETTLING`] in production.
    pub settling: Duration,
}

impl ClusterSettings {
    /// Settings with the defaults of production, without seeds and static targets.
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

/// A pull from a peer that has not ended.
#[derive(Debug, Clone)]
struct PullUnderWay {
    peer: PeerAddress,
    since: Instant,
}

/// State of the scheduler that digests carry.
#[derive(Debug, Clone, Copy)]
struct OwnPressure {
    shed_floor: Tier,
    waiting: [u32; Tier::COUNT],
}

/// Borrow requests of this process.
#[derive(Debug, Default)]
struct BorrowDesk {
    asked: IndexMap<TargetName, (PeerAddress, Instant)>,
}

/// What was last told about service.
#[derive(Debug, Default)]
struct ToldState {
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
    news: NewsTable,
    owners: OwnerTable,
    orders: OrderDesk,
    borrows: BorrowDesk,
    pressure: OwnPressure,
    heartbeat: u64,
    next_gossip: Instant,
    next_second: Instant,
    next_first_pull: Instant,
    configuration_pull: Option<PullUnderWay>,
    list_pull: Option<PullUnderWay>,
    list_behind_since: Option<Instant>,
    /// Whether a peer has shown, since the start or the last pause, that it has nothing newer.
    peer_checked: bool,
    paused: bool,
    /// Whether the checks of a new process are done; stays true.
    admitted: bool,
    in_service: bool,
    draining: bool,
    successor: Option<PeerAddress>,
    told: ToldState,
}

/// State for the dump.
#[derive(Debug, Clone, Serialize)]
pub struct ClusterDump {
    /// Own VM, incarnation and data centre.
    pub vm: VmName,
    /// Own incarnation.
    pub incarnation: Incarnation,
    /// Own data centre.
    pub data_centre: DataCentreName,
    /// Version of the configuration in force.
    pub configuration: ConfigurationVersion,
    /// Offers of older configurations that were refused.
    pub older_configurations: u64,
    /// Offers of invalid configurations that were refused.
    pub invalid_configurations: u64,
    /// Version of the VM list in use.
    pub vm_list: u64,
    /// Offers of older VM lists that were refused.
    pub older_vm_lists: u64,
    /// Whether this process is one of its data centre's two readers.
    pub is_reader: bool,
    /// Calls of the platform.
    pub reader: ReaderDump,
    /// Members of the data centre with their state.
    pub members: Vec<(VmName, MemberStatus)>,
    /// Members of other data centres.
    pub remote_members: usize,
    /// Slots.
    pub slots: SlotDump,
    /// Findings about requests and successors of processes known here.
    pub news: (usize, usize),
    /// Targets to which this process may give orders.
    pub owned_targets: usize,
    /// Orders sent and refused.
    pub orders: (u64, u64),
    /// Pauses noticed.
    pub pauses: u64,
    /// Whether a peer has been asked since the start or the last pause.
    pub peer_checked: bool,
    /// Whether the load balancer shall send work here.
    pub ready: bool,
    /// Whether the process is shutting down.
    pub draining: bool,
}

impl Cluster {
    /// The state machine of a process that starts now.
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
            news: NewsTable::default(),
            owners: OwnerTable::default(),
            orders: OrderDesk::new(settings.concurrent_loads),
            borrows: BorrowDesk::default(),
            pressure: OwnPressure { shed_floor: Tier::Routine, waiting: [0; Tier::COUNT] },
            heartbeat: 0,
            next_gossip: now + spread,
            next_second: now,
            next_first_pull: now,
            configuration_pull: None,
            list_pull: None,
            list_behind_since: None,
            peer_checked: false,
            paused: false,
            admitted: false,
            in_service: true,
            draining: false,
            successor: None,
            told: ToldState::default(),
            settings,
        };
        cluster.install_targets(now);
        cluster
    }

    /// Takes an event and appends what is to be done.
    pub fn handle(&mut self, now: Instant, event: ClusterEvent, actions: &mut Vec<ClusterAction>) {
        match event {
            ClusterEvent::Tick { boot } => self.tick(now, boot, actions),
            ClusterEvent::GossipReceived(digest) => self.take_digest(now, digest, actions),
            ClusterEvent::AnnouncementReceived(peer, announcement) => {
                self.take_announcement(now, &peer, announcement, actions);
            }
            ClusterEvent::PlatformAnswered(read, answer) => {
                self.take_platform_answer(now, &read, answer, actions);
            }
            ClusterEvent::ConfigurationReceived(peer, transfer) => {
                self.take_transfer(now, peer, transfer, actions);
            }
            ClusterEvent::VmListReceived(peer, transfer) => {
                self.take_list_transfer(now, peer, transfer, actions);
            }
            ClusterEvent::PeerUnreachable(peer) => self.peer_unreachable(now, &peer),
            ClusterEvent::TargetPolled(target, report) => {
                self.take_report(now, &target, report, actions);
            }
            ClusterEvent::TargetSuspectedCold(target) => self.suspect_target(now, &target, actions),
            ClusterEvent::PressureChanged { shed_floor, waiting } => {
                self.take_pressure(now, shed_floor, waiting, actions);
            }
            ClusterEvent::SuspectFound(entry) => self.note_suspect(now, entry, actions),
            ClusterEvent::BorrowAnswered(peer, target, grant) => {
                self.take_borrow_answer(now, peer, target, grant, actions);
            }
            ClusterEvent::BorrowedSlotReleased(target) => {
                self.return_borrowed(now, &target, actions)
            }
            ClusterEvent::SlotNeeded(target) => self.want_slot(now, target, actions),
            ClusterEvent::OrdersPlanned(version, orders) => self.orders.set_plan(version, orders),
            ClusterEvent::OrderAnswered(_, taken) => self.orders.answered(taken),
            ClusterEvent::DrainStarted => self.start_drain(now, actions),
            ClusterEvent::HandoverCompleted(entry) => self.note_handover(now, entry, actions),
        }
    }

    fn tick(&mut self, now: Instant, boot: Duration, actions: &mut Vec<ClusterAction>) {
        self.boot = boot;
        if let Some(gap) = self.pause.observe(boot) {
            self.resume_after_pause(now, gap, actions);
        }
        self.sweep_members(now, actions);
        self.refresh_views(now);
        self.read_platform(now, actions);
        self.first_pull(now, actions);
        for target in self.loads.due_polls(now) {
            actions.push(ClusterAction::PollTarget(target));
        }
        if now >= self.next_second {
            self.next_second = now + Duration::from_secs(1);
            self.each_second(now, actions);
        }
        if now >= self.next_gossip {
            self.next_gossip = now + GOSSIP_INTERVAL;
            self.send_gossip(now, actions);
        }
        self.update_slots(now, actions);
        self.update_service(now, actions);
    }

    fn each_second(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        self.news.purge(now);
        let rescues = self.loads.due_rescues(now);
        actions.extend(rescues.into_iter().map(ClusterAction::PollTarget));
        let expired = self.slots.take_back_expired(now);
        self.update_some_slots(now, expired, actions);
        let version = self.publication.version();
        for target in self.orders.due_reads(version, &self.owners, now) {
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
        self.members.refresh_all(now);
        self.slots.set_restricted(true, now);
        self.slots.unsettle(now);
        let borrowed = self.slots.remove_borrowed_from(|_| true);
        self.loads.forget_reports();
        self.give_back(now, borrowed, actions);
        self.borrows.asked.clear();
        self.owners.restart(now);
        self.orders.clear();
        self.configuration_pull = None;
        self.list_pull = None;
        self.paused = true;
        self.peer_checked = false;
        self.next_gossip = now;
    }

    fn sweep_members(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        for peer in self.members.sweep(now) {
            self.forget_peer(now, peer, actions);
        }
        let members = &self.members;
        let silent = |lender: &PeerAddress| {
            members.get(&lender.vm).is_none_or(|member| member.silence(now) >= LENDER_SILENCE)
        };
        let lapsed = self.slots.remove_borrowed_from(silent);
        self.give_back(now, lapsed, actions);
    }

    fn give_back(
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
        let freed = self.slots.take_back_from(&peer);
        self.update_some_slots(now, freed, actions);
        let lapsed = self.slots.remove_borrowed_from(|lender| lender.vm == peer.vm);
        self.give_back(now, lapsed, actions);
        actions.push(ClusterAction::PeerForgotten(peer));
    }

    /// Recomputes who is up and who shares slots, and what follows from it. Without a VM list there may be
    /// others that this process has not heard.
    fn refresh_views(&mut self, now: Instant) {
        self.slots.set_view(self.members.slot_view(now), now);
        let listed = self.members.local().any(|member| member.listed.is_some());
        let others = listed || self.vm_list.version() == 0;
        let heard = self.members.last_heard().unwrap_or(self.started);
        let isolated = others && now.saturating_duration_since(heard) >= ISOLATED_AFTER;
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

    /// Recomputes the roles that follow from who is up: reader, poller, owner.
    fn assign_roles(&mut self, now: Instant) {
        let own = &self.settings.identity.vm;
        let up = self.up.iter().map(|vm| &**vm);
        let rank = crate::rendezvous::rank(&self.settings.data_centre, own, up);
        self.is_reader = rank < platform::READERS;
        self.loads.set_pollers(own, &self.up);
        self.owners.update(own, &self.slots.targets(), &self.up, now);
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.publication.current()
    }

    /// The answer to `pull_configuration` of a peer that has this version.
    pub fn transfer_for(&self, have: ConfigurationVersion) -> Option<ConfigurationTransfer> {
        self.publication.transfer_for(have)
    }

    /// The answer to `pull_vm_list` of a peer that has this version.
    pub fn vm_list_for(&self, have: u64) -> Option<VmListTransfer> {
        self.vm_list.transfer_for(have)
    }

    /// The VM list in use.
    pub fn vm_list(&self) -> &VmListState {
        &self.vm_list
    }

    /// Who answers for the tickets of a process that has ended.
    pub fn successor_of(&self, owner: &PeerIdentity) -> Option<&SuccessorEntry> {
        self.news.successor_of(owner)
    }

    /// Members of the data centre that are heard and can be called, without this process.
    pub fn members_up(&self, now: Instant) -> Vec<PeerAddress> {
        let up = self.members.local().filter(|member| member.status(now) == MemberStatus::Up);
        up.filter(|member| member.is_reachable(now)).map(|member| member.peer_address()).collect()
    }

    /// Age of the last report of each target of the data centre.
    pub fn load_ages(&self, now: Instant) -> Vec<(TargetName, Option<Duration>)> {
        self.loads.ages(now)
    }

    /// Settings of this process.
    pub fn settings(&self) -> &ClusterSettings {
        &self.settings
    }

    /// State for the dump.
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
            news: self.news.counts(),
            owned_targets: self.owners.owned(now),
            orders: self.orders.counts(),
            pauses: self.pause.pauses(),
            peer_checked: self.peer_checked,
            ready: self.told.ready,
            draining: self.draining,
        }
    }
}
