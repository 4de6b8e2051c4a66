//! Simulation of several cluster state machines in one process, with a network, a platform and targets
//! that answer on the next tick. Counts the bytes of the messages.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use tarragon_cluster::{
    cluster::{Cluster, ClusterSettings},
    codec::{decode_digest, encode_digest},
    key::PeerKeys,
    prelude::*,
    signing::{MessageSigner, SignedMessage},
};
use tarragon_config::publication::content_hash;
use tarragon_protocol::platform::{
    ConfigurationManifest, ManifestPart, PublishedTarget, TargetList,
};

/// Time between two ticks.
pub const TICK: Duration = Duration::from_millis(100);

/// One simulated process.
pub struct WorldNode {
    pub data_centre: DataCentreName,
    pub address: String,
    pub cluster: Cluster,
    pub alive: bool,
    /// Whether the process gets no events, as on a suspended VM.
    pub paused: bool,
    /// Nodes of different groups can't reach each other.
    pub group: u32,
    pub ready: bool,
    pub relay: bool,
    pub slots: IndexMap<TargetName, SlotShare>,
    pub open_targets: usize,
    pub suspects: Vec<SuspectEntry>,
    pub orders: Vec<(TargetName, u64)>,
    pub refused: Vec<ConfigurationVersion>,
    pub forgotten: Vec<PeerIdentity>,
    pub applied_at: Option<(ConfigurationVersion, Instant)>,
    signer: MessageSigner,
    pub sent: ByteCount,
    pub received: ByteCount,
    boot: Duration,
}

/// Bytes by kind of message.
#[derive(Debug, Clone, Copy, Default)]
pub struct ByteCount {
    pub gossip: u64,
    pub announcements: u64,
    pub pulls: u64,
    pub messages: u64,
}

/// The simulated platform: configuration service and VM list.
#[derive(Default)]
pub struct WorldPlatform {
    pub manifest: ConfigurationManifest,
    pub parts: IndexMap<String, Arc<str>>,
    pub list: VmList,
    pub up: bool,
    pub calls: u64,
    /// Data centres whose nodes reach the platform; all if empty.
    pub only_for: Vec<DataCentreName>,
}

pub struct World {
    pub now: Instant,
    pub nodes: Vec<WorldNode>,
    pub platform: WorldPlatform,
    pub targets: IndexMap<TargetName, LoadReport>,
    pub polls: u64,
    inbox: Vec<(usize, ClusterEvent)>,
    watches: Vec<(usize, PlatformRead, Instant)>,
}

impl World {
    pub fn new() -> World {
        let now = Instant::now() + Duration::from_secs(100_000);
        World {
            now,
            nodes: Vec::new(),
            platform: WorldPlatform { up: true, ..WorldPlatform::default() },
            targets: IndexMap::new(),
            polls: 0,
            inbox: Vec::new(),
            watches: Vec::new(),
        }
    }

    /// A world with one data centre `dc0` of this many VMs and targets, and a published configuration.
    pub fn with(vms: usize, targets: usize, bears: u32) -> World {
        let mut world = World::new();
        for index in 0..vms {
            world.list_vm(&format!("dc0-vm-{index:02}"), "dc0");
        }
        world.publish_targets("dc0", targets, bears);
        for index in 0..vms {
            world.start_node(&format!("dc0-vm-{index:02}"), "dc0", index as u64 + 1);
        }
        world
    }

    pub fn list_vm(&mut self, vm: &str, data_centre: &str) {
        self.platform.list.version += 1;
        self.platform.list.vms.push(ListedVm {
            vm: vm.into(),
            data_centre: data_centre.into(),
            caller_address: format!("127.0.0.1:caller-{vm}"),
            peer_address: address_of(vm),
            state: VmState::Live,
            generation: 1,
        });
    }

    pub fn start_node(&mut self, vm: &str, data_centre: &str, incarnation: Incarnation) -> usize {
        let identity = PeerIdentity { vm: vm.into(), incarnation };
        let settings = ClusterSettings::new(
            identity.clone(),
            data_centre.into(),
            format!("127.0.0.1:caller-{vm}"),
            address_of(vm),
        );
        self.start_with(settings)
    }

    pub fn start_with(&mut self, settings: ClusterSettings) -> usize {
        let identity = settings.identity.clone();
        let address = settings.peer_address.clone();
        let signer =
            MessageSigner::new(identity.clone(), address.clone(), PeerKeys::new("key", None));
        let seed = identity.incarnation * 7919;
        let node = WorldNode {
            data_centre: settings.data_centre.clone(),
            address,
            cluster: Cluster::new(settings, seed, self.now),
            alive: true,
            paused: false,
            group: 0,
            ready: false,
            relay: false,
            slots: IndexMap::new(),
            open_targets: 0,
            suspects: Vec::new(),
            orders: Vec::new(),
            refused: Vec::new(),
            forgotten: Vec::new(),
            applied_at: None,
            signer,
            sent: ByteCount::default(),
            received: ByteCount::default(),
            boot: Duration::from_secs(1000),
        };
        self.nodes.push(node);
        self.nodes.len() - 1
    }

    /// Publishes the targets of a data centre in a new version.
    pub fn publish_targets(&mut self, data_centre: &str, targets: usize, bears: u32) {
        let name =
            |index: usize| -> TargetName { format!("{data_centre}-runner-{index:03}").into() };
        let published = |index: usize| PublishedTarget {
            target: name(index),
            service: "model-pool".into(),
            address: format!("127.0.0.1:{index}"),
            hardware: None,
            checks_fencing: true,
        };
        let list = TargetList {
            data_centre: data_centre.into(),
            targets: (0..targets).map(published).collect(),
        };
        for index in 0..targets {
            self.targets.insert(name(index), warm_report(index as u64, bears));
        }
        let text = serde_json::to_string(&list).expect("a list serialises");
        self.publish_part(&format!("targets-{data_centre}"), &text);
    }

    /// Publishes a part in a new version.
    pub fn publish_part(&mut self, name: &str, text: &str) {
        let hash = content_hash(text);
        self.platform.parts.insert(name.to_owned(), text.into());
        let manifest = &mut self.platform.manifest;
        manifest.version += 1;
        match manifest.parts.iter_mut().find(|part| part.name == name) {
            Some(part) => part.hash = hash,
            None => manifest.parts.push(ManifestPart { name: name.to_owned(), hash }),
        }
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the condition holds. Returns the time it took, or nothing after the limit.
    pub fn run_until<Condition>(
        &mut self,
        limit: Duration,
        condition: Condition,
    ) -> Option<Duration>
    where
        Condition: Fn(&World) -> bool,
    {
        let start = self.now;
        while !condition(self) {
            if self.now - start > limit {
                return None;
            }
            self.step();
        }
        Some(self.now - start)
    }

    pub fn step(&mut self) {
        self.now += TICK;
        self.answer_watches();
        let inbox = std::mem::take(&mut self.inbox);
        for (index, event) in inbox {
            if self.nodes[index].alive && !self.nodes[index].paused {
                self.handle(index, event);
            }
        }
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            node.boot += TICK;
            if node.alive && !node.paused {
                let boot = node.boot;
                self.handle(index, ClusterEvent::Tick { boot });
            }
        }
    }

    /// Lets a node handle an event and performs the resulting actions.
    pub fn handle(&mut self, index: usize, event: ClusterEvent) {
        let mut actions = Vec::new();
        self.nodes[index].cluster.handle(self.now, event, &mut actions);
        self.perform_actions(index, actions);
    }

    pub fn perform_actions(&mut self, index: usize, actions: Vec<ClusterAction>) {
        for action in actions {
            self.perform_action(index, action);
        }
    }

    fn perform_action(&mut self, index: usize, action: ClusterAction) {
        match action {
            ClusterAction::SendGossip(peer, digest) => self.send_gossip(index, &peer, *digest),
            ClusterAction::SendAnnouncement(peers, announcement) => {
                for peer in peers {
                    self.send_announcement(index, &peer, announcement.clone());
                }
            }
            ClusterAction::ReadPlatform(read) => self.read(index, read),
            ClusterAction::PullConfiguration(peer, have) => self.pull(index, peer, have),
            ClusterAction::PullVmList(peer, have) => self.pull_list(index, peer, have),
            ClusterAction::PollTarget(target) => {
                self.polls += 1;
                let report = self.targets.get(&target.target).cloned();
                self.inbox.push((index, ClusterEvent::TargetPolled(target.target, report)));
            }
            ClusterAction::BorrowSlot(peer, target) => self.borrow(index, peer, target),
            ClusterAction::ReturnSlot(peer, grant) => {
                if let Some(lender) = self.reach(index, &peer) {
                    let mut actions = Vec::new();
                    let now = self.now;
                    self.nodes[lender].cluster.accept_return(now, grant.grant, &mut actions);
                    self.perform_actions(lender, actions);
                }
            }
            ClusterAction::SendOrder(target, order) => {
                self.nodes[index].orders.push((target.target.clone(), order.fencing));
                self.inbox.push((index, ClusterEvent::OrderAnswered(target.target, true)));
            }
            ClusterAction::ConfigurationApplied(configuration) => {
                self.nodes[index].applied_at = Some((configuration.version, self.now));
            }
            ClusterAction::ConfigurationRefused(version, _) => {
                self.nodes[index].refused.push(version);
            }
            ClusterAction::TargetsChanged(targets) => {
                let open = targets.iter().filter(|(_, in_service)| *in_service).count();
                self.nodes[index].open_targets = open;
            }
            ClusterAction::SlotsChanged(share) => {
                self.nodes[index].slots.insert(share.target.clone(), share);
            }
            ClusterAction::PeerForgotten(peer) => self.nodes[index].forgotten.push(peer),
            ClusterAction::SuspectReceived(entry) => self.nodes[index].suspects.push(entry),
            ClusterAction::ReadyChanged(ready) => self.nodes[index].ready = ready,
            ClusterAction::RelayChanged(relay) => self.nodes[index].relay = relay.is_some(),
            ClusterAction::LoadUpdated(_) | ClusterAction::PressureReceived { .. } => {}
        }
    }

    /// Sum of the slots at a target of all nodes that are alive and not paused.
    pub fn slots_in_use(&self, target: &str) -> u32 {
        let live = self.nodes.iter().filter(|node| node.alive && !node.paused);
        live.filter_map(|node| node.slots.get(target)).map(|share| share.slots).sum()
    }

    pub fn versions(&self) -> Vec<ConfigurationVersion> {
        let live = self.nodes.iter().filter(|node| node.alive);
        live.map(|node| node.cluster.configuration().map_or(0, |current| current.version)).collect()
    }

    pub fn reset_counts(&mut self) {
        for node in &mut self.nodes {
            node.sent = ByteCount::default();
            node.received = ByteCount::default();
        }
        self.platform.calls = 0;
        self.polls = 0;
    }

    fn reach(&self, from: usize, peer: &PeerAddress) -> Option<usize> {
        let group = self.nodes[from].group;
        let found = self.nodes.iter().rposition(|node| node.address == peer.address)?;
        let node = &self.nodes[found];
        (node.alive && !node.paused && node.group == group).then_some(found)
    }

    fn unreachable(&mut self, from: usize, peer: PeerAddress) {
        self.inbox.push((from, ClusterEvent::PeerUnreachable(peer)));
    }

    fn send_gossip(&mut self, index: usize, peer: &PeerAddress, digest: GossipDigest) {
        let message = self.nodes[index].signer.sign(&peer.address, encode_digest(&digest));
        let bytes = body_bytes(&message, "gossip");
        self.nodes[index].sent.gossip += bytes;
        self.nodes[index].sent.messages += 1;
        let Some(receiver) = self.reach(index, peer) else {
            return self.unreachable(index, peer.clone());
        };
        let node = &mut self.nodes[receiver];
        node.received.gossip += bytes;
        node.received.messages += 1;
        node.signer.verify(&message).expect("a valid seal");
        let digest = decode_digest(&message.payload).expect("a digest");
        self.inbox.push((receiver, ClusterEvent::GossipReceived(digest)));
    }

    fn send_announcement(
        &mut self,
        index: usize,
        peer: &PeerAddress,
        announcement: PeerAnnouncement,
    ) {
        let text = serde_json::to_string(&announcement).expect("an announcement serialises");
        let bytes = self.signed_bytes(index, peer, text, "announce");
        self.nodes[index].sent.announcements += bytes;
        self.nodes[index].sent.messages += 1;
        let Some(receiver) = self.reach(index, peer) else {
            return self.unreachable(index, peer.clone());
        };
        self.nodes[receiver].received.announcements += bytes;
        self.nodes[receiver].received.messages += 1;
        let sender = self.nodes[index].cluster.settings().identity.clone();
        self.inbox.push((receiver, ClusterEvent::AnnouncementReceived(sender, announcement)));
    }

    fn pull(&mut self, index: usize, peer: PeerAddress, have: ConfigurationVersion) {
        let Some(other) = self.reach(index, &peer) else { return self.unreachable(index, peer) };
        if let Some(transfer) = self.nodes[other].cluster.transfer_for(have) {
            let text = serde_json::to_string(&transfer).expect("a transfer serialises");
            let bytes = self.signed_bytes(other, &peer, text, "pull_configuration");
            self.nodes[other].sent.pulls += bytes;
            self.nodes[index].received.pulls += bytes;
            self.inbox.push((index, ClusterEvent::ConfigurationReceived(peer, transfer)));
        }
    }

    fn pull_list(&mut self, index: usize, peer: PeerAddress, have: u64) {
        let Some(other) = self.reach(index, &peer) else { return self.unreachable(index, peer) };
        if let Some(transfer) = self.nodes[other].cluster.vm_list_for(have) {
            let text = serde_json::to_string(&transfer).expect("a transfer serialises");
            let bytes = self.signed_bytes(other, &peer, text, "pull_vm_list");
            self.nodes[other].sent.pulls += bytes;
            self.nodes[index].received.pulls += bytes;
            self.inbox.push((index, ClusterEvent::VmListReceived(peer, transfer)));
        }
    }

    fn borrow(&mut self, index: usize, peer: PeerAddress, target: TargetName) {
        let Some(lender) = self.reach(index, &peer) else { return self.unreachable(index, peer) };
        let borrower = self.nodes[index].cluster.settings().identity.clone();
        let mut actions = Vec::new();
        let grant =
            self.nodes[lender].cluster.grant_slot(self.now, &borrower, &target, 0, &mut actions);
        self.perform_actions(lender, actions);
        self.inbox.push((index, ClusterEvent::BorrowAnswered(peer, target, grant)));
    }

    fn signed_bytes(
        &mut self,
        index: usize,
        peer: &PeerAddress,
        text: String,
        method: &str,
    ) -> u64 {
        body_bytes(&self.nodes[index].signer.sign(&peer.address, text), method)
    }

    fn read(&mut self, index: usize, read: PlatformRead) {
        self.platform.calls += 1;
        let node = &self.nodes[index];
        let reached =
            self.platform.only_for.is_empty() || self.platform.only_for.contains(&node.data_centre);
        if !self.platform.up || !reached {
            let answer = PlatformAnswer::Failed(PlatformFault::Unreachable);
            self.inbox.push((index, ClusterEvent::PlatformAnswered(read, answer)));
            return;
        }
        let answer = match &read {
            PlatformRead::Manifest => PlatformAnswer::Manifest(self.platform.manifest.clone()),
            PlatformRead::VmList => PlatformAnswer::VmList(self.platform.list.clone()),
            PlatformRead::Parts(names) => {
                let known = names.iter().filter_map(|name| self.platform.parts.get_key_value(name));
                let parts = known.map(|(name, text)| (name.clone(), text.clone()));
                PlatformAnswer::Parts(parts.collect())
            }
            PlatformRead::WatchManifest(_) | PlatformRead::WatchVmList(_) => {
                self.watches.push((index, read, self.now + Duration::from_secs(30)));
                return;
            }
        };
        self.inbox.push((index, ClusterEvent::PlatformAnswered(read, answer)));
    }

    fn answer_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for (index, read, until) in watches {
            let platform = &self.platform;
            let answer = match &read {
                _ if !platform.up => Some(PlatformAnswer::Failed(PlatformFault::Unreachable)),
                PlatformRead::WatchManifest(after) if platform.manifest.version > *after => {
                    Some(PlatformAnswer::Manifest(platform.manifest.clone()))
                }
                PlatformRead::WatchVmList(after) if platform.list.version > *after => {
                    Some(PlatformAnswer::VmList(platform.list.clone()))
                }
                _ if self.now >= until => Some(PlatformAnswer::Unchanged),
                _ => None,
            };
            match answer {
                Some(answer) => {
                    self.inbox.push((index, ClusterEvent::PlatformAnswered(read, answer)));
                }
                None => self.watches.push((index, read, until)),
            }
        }
    }
}

/// Size of the JSON-RPC body, without HTTP headers.
fn body_bytes(message: &SignedMessage, method: &str) -> u64 {
    let body =
        serde_json::json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": [message]});
    serde_json::to_string(&body).expect("a message serialises").len() as u64
}

/// Peer address of a simulated VM.
pub fn address_of(vm: &str) -> String {
    format!("10.0.0.1:{vm}")
}

/// Report of a warm target.
pub fn warm_report(restart: u64, bears: u32) -> LoadReport {
    LoadReport {
        restart_id: 0x1234_5678_9abc_0000 + restart,
        state: TargetState::Warm,
        capacity: bears,
        running: 0,
        waiting: 0,
        free_cache_tokens: 100_000,
        models: Vec::new(),
        fencing: 0,
        last_order_age_ms: None,
        lag_ms: 150,
    }
}
