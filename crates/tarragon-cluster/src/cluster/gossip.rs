//! Sending and receiving of digests and announcements.

use rand::seq::{IndexedRandom, SliceRandom};

use tarragon_protocol::peer::LoadEntry;

use super::*;
use crate::{
    digest::{DigestLoads, ReportOutcome},
    member::{HeartbeatOutcome, Member},
};

/// Number of members of the own data centre that get a digest in each round.
const LOCAL_GOSSIP_PEERS: usize = 3;

/// Load updates in one digest; a whole entry counts twice. `benches/control.rs` shows that this stays
/// within the bound of 21 KB/s and that, with 333 targets and 31 VMs, nearly every VM has reports younger
/// than 10 s.
const DIGEST_LOAD_BUDGET: usize = 128;

/// Number of members to which a process that read a new configuration from the platform announces it at
/// once. Digests bring it to the others within a few rounds. Announcements to all 30 would exceed a
/// reader's bound for control messages at 0.8 changes a second.
const VERSION_ANNOUNCEMENT_PEERS: usize = 6;

/// One round in this many also sends a digest to a member that is down, so that the parts of a
/// partitioned data centre find each other again.
const SILENT_PEER_ROUNDS: u64 = 5;

/// Number of members of each other data centre that get an urgent announcement directly. Two, so that
/// after the loss of one message or one VM the data centre need not wait for the next digest that reaches
/// it.
const REMOTE_PEERS_PER_DATA_CENTRE: usize = 2;

/// Time after which an unanswered pull counts as lost.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);

impl Cluster {
    pub(super) fn send_gossip(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        self.heartbeat += 1;
        let local = self.choose_local_peers(now);
        let remote = self.choose_remote_peer(now);
        let digest = self.build_digest(now);
        if !local.is_empty() {
            let loads = self.loads.digest_loads(DIGEST_LOAD_BUDGET, now);
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

    fn build_digest(&mut self, now: Instant) -> GossipDigest {
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
            suspects: self.broadcasts.digest_suspects(now),
            successors: self.broadcasts.digest_successors(now),
        }
    }

    fn choose_local_peers(&mut self, now: Instant) -> Vec<PeerAddress> {
        let callable = |member: &&Member| !member.address.is_empty();
        let (mut heard, silent): (Vec<&Member>, Vec<&Member>) = self
            .members
            .local()
            .filter(callable)
            .partition(|member| member.status(now) != MemberStatus::Down);
        heard.shuffle(&mut self.random);
        heard.truncate(LOCAL_GOSSIP_PEERS);
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

    fn choose_remote_peer(&mut self, now: Instant) -> Option<PeerAddress> {
        let remote: Vec<&Member> =
            self.members.remote().filter(|member| member.is_reachable(now)).collect();
        remote.choose(&mut self.random).map(|member| member.peer_address())
    }

    /// Seeds in random order, without this process. Their VM names are empty: only the addresses are
    /// known.
    fn seed_peers(&mut self) -> Vec<PeerAddress> {
        let own = &self.settings.peer_address;
        let mut seeds: Vec<&String> =
            self.settings.seeds.iter().filter(|address| *address != own).collect();
        seeds.shuffle(&mut self.random);
        let seeds = seeds.into_iter().take(LOCAL_GOSSIP_PEERS);
        seeds.map(|address| PeerAddress { vm: "".into(), address: address.clone() }).collect()
    }

    /// Pulls the VM list and the configuration from peers or seeds until a peer has been compared with,
    /// without waiting for a digest.
    pub(super) fn initial_pull(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        if self.peer_checked || now < self.next_initial_pull {
            return;
        }
        self.next_initial_pull = now + Duration::from_secs(2);
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

    pub(super) fn handle_digest(
        &mut self,
        now: Instant,
        digest: GossipDigest,
        actions: &mut Vec<ClusterAction>,
    ) {
        match self.members.apply_direct_heartbeat(&digest, now) {
            HeartbeatOutcome::Stale => return,
            HeartbeatOutcome::Replaced(before) => self.forget_peer(now, before, actions),
            HeartbeatOutcome::Newer => {}
        }
        let local = digest.data_centre == self.settings.data_centre;
        for entry in &digest.members {
            let outcome = self.members.apply_relayed_heartbeat(entry, &digest.data_centre, now);
            if let HeartbeatOutcome::Replaced(before) = outcome {
                self.forget_peer(now, before, actions);
            }
        }
        if local {
            let freed = self.slots.reclaim_unheld(&digest.sender, &digest.borrowed, now);
            self.update_some_slots(now, freed, actions);
            for entry in &digest.loads {
                self.merge_load(now, entry, actions);
            }
            for update in &digest.load_updates {
                if let Some(entry) = self.loads.apply_update(update, now) {
                    self.publish_load(now, entry, actions);
                }
            }
            actions.push(ClusterAction::PressureReceived {
                peer: digest.sender.clone(),
                shed_floor: digest.shed_floor,
                waiting: digest.waiting,
            });
        }
        for entry in &digest.suspects {
            self.merge_suspect(now, entry, actions);
        }
        for entry in &digest.successors {
            self.broadcasts.merge_successor(entry, now);
        }
        self.compare_versions(now, &digest, actions);
    }

    /// Returns whether the finding says something new.
    fn merge_suspect(
        &mut self,
        now: Instant,
        entry: &SuspectEntry,
        actions: &mut Vec<ClusterAction>,
    ) -> bool {
        let is_new = self.broadcasts.merge_suspect(entry, now);
        if is_new {
            actions.push(ClusterAction::SuspectReceived(entry.clone()));
        }
        is_new
    }

    pub(super) fn merge_load(
        &mut self,
        now: Instant,
        entry: &LoadEntry,
        actions: &mut Vec<ClusterAction>,
    ) {
        if self.loads.apply(entry, now) != ReportOutcome::Old {
            self.publish_load(now, entry.clone(), actions);
        }
    }

    fn publish_load(&mut self, now: Instant, entry: LoadEntry, actions: &mut Vec<ClusterAction>) {
        let target = entry.target.clone();
        actions.push(ClusterAction::LoadUpdated(entry));
        self.update_some_slots(now, vec![target], actions);
    }

    /// Announces the version of the active configuration to a few members of the own data centre.
    pub(super) fn announce_version(&mut self, now: Instant, actions: &mut Vec<ClusterAction>) {
        let mut peers = self.members_up(now);
        peers.shuffle(&mut self.random);
        peers.truncate(VERSION_ANNOUNCEMENT_PEERS);
        if !peers.is_empty() {
            let version = PeerAnnouncement::Configuration(self.publication.version());
            actions.push(ClusterAction::SendAnnouncement(peers, version));
        }
    }

    /// Pulls the configuration and the VM list if the sender's are newer. If the sender's configuration
    /// is not newer, the check against a peer that follows a start or a pause has passed.
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
        if is_pending(&self.configuration_pull, now) {
            return;
        }
        self.configuration_pull = Some(PendingPull { peer: peer.clone(), since: now });
        actions.push(ClusterAction::PullConfiguration(peer, self.publication.version()));
    }

    fn pull_list(&mut self, now: Instant, peer: PeerAddress, actions: &mut Vec<ClusterAction>) {
        if is_pending(&self.list_pull, now) {
            return;
        }
        self.list_pull = Some(PendingPull { peer: peer.clone(), since: now });
        actions.push(ClusterAction::PullVmList(peer, self.vm_list.version()));
    }

    pub(super) fn peer_unreachable(&mut self, now: Instant, peer: &PeerAddress) {
        self.members.record_call_failure(peer, now);
        let of_peer = |pull: &mut PendingPull| pull.peer.address == peer.address;
        self.configuration_pull.take_if(of_peer);
        self.list_pull.take_if(of_peer);
        self.borrows.asked.retain(|_, (lender, _)| lender.address != peer.address);
    }

    pub(super) fn handle_announcement(
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
                if self.merge_suspect(now, &entry, actions) {
                    self.forward_announcement(now, peer, PeerAnnouncement::Suspect(entry), actions);
                }
            }
            PeerAnnouncement::Load(entry) => self.merge_load(now, &entry, actions),
            PeerAnnouncement::Draining => self.members.mark_draining(peer),
            PeerAnnouncement::Successor(entry) => {
                if self.broadcasts.merge_successor(&entry, now) {
                    self.forward_announcement(
                        now,
                        peer,
                        PeerAnnouncement::Successor(entry),
                        actions,
                    );
                }
            }
        }
    }

    /// Forwards an announcement to the own data centre if it comes from a member of another one.
    fn forward_announcement(
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

    /// Sends an announcement to the own data centre and to some members of each other one, which forward
    /// it within theirs. For rare announcements that must arrive before a caller repeats its request in
    /// another data centre.
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
            *count <= REMOTE_PEERS_PER_DATA_CENTRE
        });
        let peers: Vec<PeerAddress> = remote.into_iter().map(Member::peer_address).collect();
        if !peers.is_empty() {
            actions.push(ClusterAction::SendAnnouncement(peers, announcement));
        }
    }

    /// Sends an announcement to all members of the own data centre that are not down.
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

    pub(super) fn update_pressure(
        &mut self,
        now: Instant,
        shed_floor: Tier,
        waiting: [u32; Tier::COUNT],
        actions: &mut Vec<ClusterAction>,
    ) {
        let changed = shed_floor != self.pressure.shed_floor;
        self.pressure = LocalPressure { shed_floor, waiting };
        if changed {
            self.announce(now, PeerAnnouncement::ShedFloor(shed_floor), actions);
        }
    }

    pub(super) fn share_suspect(
        &mut self,
        now: Instant,
        entry: SuspectEntry,
        actions: &mut Vec<ClusterAction>,
    ) {
        if self.broadcasts.merge_suspect(&entry, now) {
            self.announce_everywhere(now, PeerAnnouncement::Suspect(entry), actions);
        }
    }
}

fn is_pending(pull: &Option<PendingPull>, now: Instant) -> bool {
    pull.as_ref().is_some_and(|pull| now.saturating_duration_since(pull.since) < PULL_TIMEOUT)
}
