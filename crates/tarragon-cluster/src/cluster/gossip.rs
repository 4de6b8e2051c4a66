//! Digests and announcements, sent and received.

use rand::seq::{IndexedRandom, SliceRandom};

use tarragon_protocol::peer::LoadEntry;

use super::*;
use crate::{
    digest::{DigestLoads, ReportOutcome},
    member::{HeartbeatOutcome, Member},
};

/// Members of the data centre that get a digest each round.
const LOCAL_PEERS: usize = 3;

/// Load updates in one digest; a whole entry counts twice. Measured by `benches/control.rs`: within the
/// bound of 21 KB/s, and with 333 targets and 31 VMs a report is younger than 10 s at nearly every VM.
const DIGEST_BUDGET: usize = 128;

/// Members that are told of a new configuration at once by a process that read it from the platform.
/// Digests carry it to the others within a few rounds. Telling all 30 would cost a reader more than its
/// bound for control messages at 0.8 changes a second.
const ANNOUNCE_VERSION_TO: usize = 6;

/// One round in this many also goes to a silent member, so that two parts of a data centre that lost each
/// other meet again.
const SILENT_PEER_ROUNDS: u64 = 5;

/// Members of each other data centre that get rare news directly. Two, so that the loss of one message or
/// one VM does not keep a whole data centre uninformed until the next digest reaches it.
const REMOTE_ENTRIES: usize = 2;

/// Time after which a pull counts as lost.
const PULL_LOST_AFTER: Duration = Duration::from_secs(3);

impl Cluster {
    pub(super) fn send_gossip(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        self.heartbeat += 1;
        let local = self.pick_local(now);
        let remote = self.pick_remote(now);
        let digest = self.make_digest(now);
        if !local.is_empty() {
            let loads = self.loads.digest_loads(DIGEST_BUDGET, now);
            for peer in local {
                let DigestLoads { entries: loads, updates: load_updates } = loads.clone();
                let borrowed = self.slots.borrowed_from(&peer);
                let digest = GossipDigest { loads, load_updates, borrowed, ..digest.clone() };
                actions.push(ClusterAction::SendGossip(peer, Box::new(digest)));
            }
        }
        if let Some(peer) = remote {
            let mut digest = digest;
            digest.members.retain(|member| member.address.is_some());
            actions.push(ClusterAction::SendGossip(peer, Box::new(digest)));
        }
    }

    fn make_digest(&mut self, now: Instant) -> GossipDigest {
        GossipDigest {
            sender: self.settings.identity.clone(),
            data_centre: self.settings.data_centre.clone(),
            peer_address: self.settings.peer_address.clone(),
            heartbeat: self.heartbeat,
            vm_list_version: self.vm_list.version(),
            configuration: self.publication.version(),
            shed_floor: self.pressure.shed_floor,
            draining: self.draining,
            waiting: self.pressure.waiting,
            members: self.members.entries(now),
            loads: Vec::new(),
            load_updates: Vec::new(),
            borrowed: Vec::new(),
            suspects: self.news.digest_suspects(now),
            successors: self.news.digest_successors(now),
        }
    }

    fn pick_local(&mut self, now: Instant) -> Vec<PeerAddress> {
        let callable = |member: &&Member| !member.address.is_empty();
        let (mut heard, silent): (Vec<&Member>, Vec<&Member>) = self
            .members
            .local()
            .filter(callable)
            .partition(|member| member.status(now) != MemberStatus::Down);
        heard.shuffle(&mut self.random);
        heard.truncate(LOCAL_PEERS);
        let mut peers: Vec<PeerAddress> =
            heard.iter().map(|member| member.peer_address()).collect();
        if self.heartbeat.is_multiple_of(SILENT_PEER_ROUNDS) || peers.is_empty() {
            let silent = silent.choose(&mut self.random);
            peers.extend(silent.map(|member| member.peer_address()));
        }
        if peers.is_empty() {
            peers.extend(self.seed_peers());
        }
        peers
    }

    fn pick_remote(&mut self, now: Instant) -> Option<PeerAddress> {
        let remote: Vec<&Member> =
            self.members.remote().filter(|member| member.is_reachable(now)).collect();
        remote.choose(&mut self.random).map(|member| member.peer_address())
    }

    /// Seeds are known by address only.
    fn seed_peers(&mut self) -> Vec<PeerAddress> {
        let own = &self.settings.peer_address;
        let mut seeds: Vec<&String> =
            self.settings.seeds.iter().filter(|address| *address != own).collect();
        seeds.shuffle(&mut self.random);
        let seeds = seeds.into_iter().take(LOCAL_PEERS);
        seeds.map(|address| PeerAddress { vm: "".into(), address: address.clone() }).collect()
    }

    /// A new process asks peers before any has been heard.
    pub(super) fn first_pull(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        if self.peer_checked || now < self.next_first_pull {
            return;
        }
        self.next_first_pull = now + Duration::from_secs(2);
        let mut peers = self.members_up(now);
        peers.shuffle(&mut self.random);
        if peers.is_empty() {
            peers = self.seed_peers();
        }
        for peer in peers.into_iter().take(2) {
            actions.push(ClusterAction::PullVmList(peer.clone(), self.vm_list.version()));
            let version = self.publication.version();
            actions.push(ClusterAction::PullConfiguration(peer, version));
        }
    }

    pub(super) fn take_digest(
        &mut self,
        now: Instant,
        digest: GossipDigest,
        actions: &mut Vec<ClusterAction>,
    ) {
        match self.members.heard_directly(&digest, now) {
            HeartbeatOutcome::Stale => return,
            HeartbeatOutcome::Replaced(before) => self.forget_peer(now, before, actions),
            HeartbeatOutcome::Newer => {}
        }
        let local = digest.data_centre == self.settings.data_centre;
        for entry in &digest.members {
            let outcome = self.members.heard_of(entry, &digest.data_centre, now);
            if let HeartbeatOutcome::Replaced(before) = outcome {
                self.forget_peer(now, before, actions);
            }
        }
        if local {
            let freed = self.slots.take_back_unheld(&digest.sender, &digest.borrowed, now);
            self.update_some_slots(now, freed, actions);
            for entry in &digest.loads {
                self.take_load(now, entry, actions);
            }
            for update in &digest.load_updates {
                if let Some(entry) = self.loads.take_update(update, now) {
                    self.load_taken(now, entry, actions);
                }
            }
            actions.push(ClusterAction::PressureReceived {
                peer: digest.sender.clone(),
                shed_floor: digest.shed_floor,
                waiting: digest.waiting,
            });
        }
        for entry in &digest.suspects {
            self.take_suspect(now, entry, actions);
        }
        for entry in &digest.successors {
            self.news.take_successor(entry, now);
        }
        self.compare_versions(now, &digest, actions);
    }

    /// Returns whether the finding is news.
    fn take_suspect(
        &mut self,
        now: Instant,
        entry: &SuspectEntry,
        actions: &mut Vec<ClusterAction>,
    ) -> bool {
        let news = self.news.take_suspect(entry, now);
        if news {
            actions.push(ClusterAction::SuspectReceived(entry.clone()));
        }
        news
    }

    pub(super) fn take_load(
        &mut self,
        now: Instant,
        entry: &LoadEntry,
        actions: &mut Vec<ClusterAction>,
    ) {
        if self.loads.take(entry, now) != ReportOutcome::Old {
            self.load_taken(now, entry.clone(), actions);
        }
    }

    fn load_taken(&mut self, now: Instant, entry: LoadEntry, actions: &mut Vec<ClusterAction>) {
        let target = entry.target.clone();
        actions.push(ClusterAction::LoadUpdated(entry));
        self.update_some_slots(now, vec![target], actions);
    }

    /// Tells a few members of the configuration in force.
    pub(super) fn announce_version(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        let mut peers = self.members_up(now);
        peers.shuffle(&mut self.random);
        peers.truncate(ANNOUNCE_VERSION_TO);
        if !peers.is_empty() {
            let version = PeerAnnouncement::Configuration(self.publication.version());
            actions.push(ClusterAction::SendAnnouncement(peers, version));
        }
    }

    /// Pulls what the sender has newer. A sender that has nothing newer completes the check that a new or
    /// paused process makes.
    fn compare_versions(
        &mut self,
        now: Instant,
        digest: &GossipDigest,
        actions: &mut Vec<ClusterAction>,
    ) {
        let address = digest.peer_address.clone();
        let peer = PeerAddress { vm: digest.sender.vm.clone(), address };
        if digest.configuration > self.publication.version() {
            self.pull_configuration(now, peer.clone(), actions);
        } else {
            self.peer_checked = true;
            self.paused = false;
        }
        if digest.vm_list_version > self.vm_list.version() {
            self.list_behind_since.get_or_insert(now);
            self.pull_list(now, peer, actions);
        }
    }

    pub(super) fn pull_configuration(
        &mut self,
        now: Instant,
        peer: PeerAddress,
        actions: &mut Vec<ClusterAction>,
    ) {
        if is_under_way(&self.configuration_pull, now) {
            return;
        }
        self.configuration_pull = Some(PullUnderWay { peer: peer.clone(), since: now });
        actions.push(ClusterAction::PullConfiguration(peer, self.publication.version()));
    }

    fn pull_list(&mut self, now: Instant, peer: PeerAddress, actions: &mut Vec<ClusterAction>) {
        if is_under_way(&self.list_pull, now) {
            return;
        }
        self.list_pull = Some(PullUnderWay { peer: peer.clone(), since: now });
        actions.push(ClusterAction::PullVmList(peer, self.vm_list.version()));
    }

    pub(super) fn peer_unreachable(&mut self, now: Instant, peer: &PeerAddress) {
        self.members.mark_failed(peer, now);
        let of_peer = |pull: &mut PullUnderWay| pull.peer.address == peer.address;
        self.configuration_pull.take_if(of_peer);
        self.list_pull.take_if(of_peer);
        self.borrows.asked.retain(|_, (lender, _)| lender.address != peer.address);
    }

    pub(super) fn take_announcement(
        &mut self,
        now: Instant,
        peer: &PeerIdentity,
        announcement: PeerAnnouncement,
        actions: &mut Vec<ClusterAction>,
    ) {
        match announcement {
            PeerAnnouncement::Configuration(version) => {
                let address = self.members.get(&peer.vm).map(Member::peer_address);
                if let Some(address) = address
                    && version > self.publication.version()
                {
                    self.pull_configuration(now, address, actions);
                }
            }
            PeerAnnouncement::ShedFloor(shed_floor) => {
                let member = self.members.get(&peer.vm);
                let waiting = member.map_or([0; Tier::COUNT], |member| member.waiting);
                let peer = peer.clone();
                actions.push(ClusterAction::PressureReceived { peer, shed_floor, waiting });
            }
            PeerAnnouncement::Suspect(entry) => {
                if self.take_suspect(now, &entry, actions) {
                    self.pass_on(now, peer, PeerAnnouncement::Suspect(entry), actions);
                }
            }
            PeerAnnouncement::Load(entry) => self.take_load(now, &entry, actions),
            PeerAnnouncement::Draining => self.members.mark_draining(peer),
            PeerAnnouncement::Successor(entry) => {
                if self.news.take_successor(&entry, now) {
                    self.pass_on(now, peer, PeerAnnouncement::Successor(entry), actions);
                }
            }
        }
    }

    /// Tells the own data centre what a member of another one has announced.
    fn pass_on(
        &self,
        now: Instant,
        peer: &PeerIdentity,
        announcement: PeerAnnouncement,
        actions: &mut Vec<ClusterAction>,
    ) {
        let member = self.members.get(&peer.vm);
        if member.is_some_and(|member| member.data_centre != self.settings.data_centre) {
            self.announce(now, announcement, actions);
        }
    }

    /// Sends news to the data centre and to some members of each other one, which pass it on at home. For
    /// rare news that must overtake a caller that repeats its request in another data centre.
    pub(super) fn announce_everywhere(
        &mut self,
        now: Instant,
        announcement: PeerAnnouncement,
        actions: &mut Vec<ClusterAction>,
    ) {
        self.announce(now, announcement.clone(), actions);
        let mut remote: Vec<&Member> =
            self.members.remote().filter(|member| member.is_reachable(now)).collect();
        remote.shuffle(&mut self.random);
        let mut entries: IndexMap<&DataCentreName, usize> = IndexMap::new();
        remote.retain(|member| {
            let count = entries.entry(&member.data_centre).or_default();
            *count += 1;
            *count <= REMOTE_ENTRIES
        });
        let peers: Vec<PeerAddress> = remote.into_iter().map(Member::peer_address).collect();
        if !peers.is_empty() {
            actions.push(ClusterAction::SendAnnouncement(peers, announcement));
        }
    }

    /// Sends news to all members of the data centre that are not down.
    pub(super) fn announce(
        &self,
        now: Instant,
        announcement: PeerAnnouncement,
        actions: &mut Vec<ClusterAction>,
    ) {
        let members = self.members.local().filter(|member| {
            !member.address.is_empty() && member.status(now) != MemberStatus::Down
        });
        let peers: Vec<PeerAddress> = members.map(Member::peer_address).collect();
        if !peers.is_empty() {
            actions.push(ClusterAction::SendAnnouncement(peers, announcement));
        }
    }

    pub(super) fn take_pressure(
        &mut self,
        now: Instant,
        shed_floor: Tier,
        waiting: [u32; Tier::COUNT],
        actions: &mut Vec<ClusterAction>,
    ) {
        let changed = shed_floor != self.pressure.shed_floor;
        self.pressure = OwnPressure { shed_floor, waiting };
        if changed {
            self.announce(now, PeerAnnouncement::ShedFloor(shed_floor), actions);
        }
    }

    pub(super) fn note_suspect(
        &mut self,
        now: Instant,
        entry: SuspectEntry,
        actions: &mut Vec<ClusterAction>,
    ) {
        if self.news.take_suspect(&entry, now) {
            self.announce_everywhere(now, PeerAnnouncement::Suspect(entry), actions);
        }
    }
}

fn is_under_way(pull: &Option<PullUnderWay>, now: Instant) -> bool {
    pull.as_ref().is_some_and(|pull| now.saturating_duration_since(pull.since) < PULL_LOST_AFTER)
}
