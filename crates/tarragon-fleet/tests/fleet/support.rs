//! Builds nodes, listings and configurations.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

pub use tarragon_fleet::prelude::*;
use tarragon_fleet::{
    member::DIGEST_INTERVAL,
    node::{AdmissionRequest, DigestFollowUp},
    published::StoreRevision,
};

pub const SERVICE: &str = "pool";
pub const WORKSPACE: &str = "depot";

pub fn address(index: u16) -> SocketAddr {
    let [high, low] = index.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_600))
}

pub fn route(prefix: &str, service: &str) -> CallRoute {
    CallRoute {
        name: format!("r{prefix}"),
        host: "calls.example".to_owned(),
        prefix: prefix.to_owned(),
        services: vec![(service.into(), 1)],
        repeat: RepeatRule::Idempotent,
        streamed: true,
        timeout: Duration::from_secs(8),
        objective: Some(Duration::from_millis(800)),
        patience: Some(Duration::from_millis(3_200)),
        max_attempts: 2,
        tier: Tier::Urgent,
        public: false,
    }
}

pub fn configuration(version: ConfigurationVersion) -> FleetConfiguration {
    let terms = ServiceConfiguration {
        connections: 100,
        cold_time: Duration::from_secs(3),
        cold_starts: 8.1,
        event_tokens: 5,
        memory_tokens: 0,
    };
    let workspace = WorkspaceConfiguration {
        rate: 50_000.0,
        burst: 50_000.0,
        by_tokens: true,
        default_tokens: 200,
        tier: None,
    };
    FleetConfiguration {
        version,
        routes: vec![Arc::new(route("/a/", SERVICE))],
        services: [(SERVICE.into(), terms)].into_iter().collect(),
        workspaces: [(WORKSPACE.into(), workspace)].into_iter().collect(),
        keys: [("key".to_owned(), WORKSPACE.into())].into_iter().collect(),
        limits: CallerLimits::default(),
    }
}

pub fn operator(revision: StoreRevision, version: ConfigurationVersion) -> OperatorState {
    OperatorState {
        revision,
        configuration: Some(Arc::new(configuration(version))),
        ..OperatorState::default()
    }
}

pub fn listed(index: u8) -> ListedTarget {
    ListedTarget {
        instance: format!("i-{index}").into(),
        service: SERVICE.into(),
        address: format!("10.9.0.{index}:80").into(),
        data_centre: "north".into(),
        build: "1.0".into(),
        slots: 4,
        leaving: false,
        cold_left: Duration::ZERO,
        started_ms: 1_000,
        revision: 5,
        sequence: 1,
    }
}

pub fn listing(revision: StoreRevision, targets: Vec<ListedTarget>) -> TargetListing {
    TargetListing { era: 0, revision, targets }
}

pub const BOUNDS: QuotaBounds =
    QuotaBounds { window: Duration::from_secs(8), overage: 0.25, slack: 190_000.0 };

pub fn node(index: u16, first_start: bool, now: Instant) -> FleetNode {
    node_in("north", index, first_start, now)
}

pub fn node_in(data_centre: &str, index: u16, first_start: bool, now: Instant) -> FleetNode {
    FleetNode::new(fleet_settings(data_centre, index, first_start), 7, now)
}

pub fn fleet_settings(data_centre: &str, index: u16, first_start: bool) -> FleetSettings {
    FleetSettings {
        vm: format!("vm-{index}").into(),
        data_centre: data_centre.into(),
        incarnation: u64::from(index) + u64::from(first_start),
        peer_address: address(index),
        seeds: vec![address(1)],
        first_start,
        bounds: FleetBounds {
            retry_ratio: 0.2,
            retry_slack: 50.0,
            quota: BOUNDS,
            freshness: FreshnessBounds::default(),
        },
        limits: SchedulerLimits::default(),
    }
}

/// A fleet whose digests all arrive at once.
pub struct Fleet {
    pub nodes: Vec<FleetNode>,
    pub now: Instant,
    /// Targets that were last published.
    listing: Vec<ListedTarget>,
    next: RequestId,
    /// Nodes that send and take nothing any more.
    dead: Vec<usize>,
}

impl Fleet {
    pub fn start(size: u16, targets: u8) -> Fleet {
        let now = Instant::now() + Duration::from_secs(100);
        let nodes = (1..=size).map(|index| node(index, true, now)).collect();
        let mut fleet = Fleet { nodes, now, listing: Vec::new(), next: 0, dead: Vec::new() };
        fleet.publish(1, 1, (1..=targets).map(listed).collect());
        fleet.gossip();
        fleet.advance(Duration::from_secs(3));
        fleet
    }

    /// A fleet in several data centres whose processes have met, and write to each other in turns.
    pub fn start_in(centres: &[&str], size: u16, targets: u8) -> Fleet {
        let now = Instant::now() + Duration::from_secs(100);
        let centre = |index: u16| centres[usize::from(index) % centres.len()];
        let nodes = (1..=size).map(|index| node_in(centre(index), index, true, now)).collect();
        let mut fleet = Fleet { nodes, now, listing: Vec::new(), next: 0, dead: Vec::new() };
        fleet.publish(1, 1, (1..=targets).map(listed).collect());
        fleet.advance_in_turns(Duration::from_secs(4));
        fleet
    }

    /// Lets time pass while digests go to the peers whose turn it is. Attempts that begin meanwhile finish at
    /// once. Returns their number.
    pub fn advance_in_turns(&mut self, time: Duration) -> usize {
        let end = self.now + time;
        let mut begun = 0;
        while self.now < end {
            self.now += DIGEST_INTERVAL;
            self.gossip_in_turns();
            for node in 0..self.nodes.len() {
                let mut actions = Vec::new();
                self.nodes[node].tick(self.now, &mut actions);
                begun += dispatched(&actions).len();
                for action in &actions {
                    self.finish(node, action, AttemptEnd::Finished);
                }
            }
        }
        begun
    }

    /// Ends processes.
    pub fn kill(&mut self, nodes: &[usize]) {
        self.dead.extend(nodes);
    }

    /// Replaces all nodes by ones that have started after a time and have not met.
    pub fn restart(&mut self, down: Duration) {
        self.now += down;
        let now = self.now;
        let size = self.nodes.len() as u16;
        self.nodes = (1..=size).map(|index| node(index, false, now)).collect();
        let targets = self.listing.clone();
        self.publish(1, 1, targets);
    }

    pub fn publish(
        &mut self,
        revision: StoreRevision,
        version: ConfigurationVersion,
        targets: Vec<ListedTarget>,
    ) {
        let now = self.now;
        self.listing = targets.clone();
        let listing = listing(revision, targets);
        for node in &mut self.nodes {
            let mut actions = Vec::new();
            node.apply_operator_state(now, operator(revision, version), "store", &mut actions);
            node.apply_listing(now, &listing, Duration::ZERO, &mut actions);
        }
    }

    /// Sends each node's digest to all others.
    pub fn gossip(&mut self) {
        let now = self.now;
        let digests: Vec<PeerDigest> =
            self.nodes.iter_mut().map(|node| node.next_digest(now)).collect();
        for (receiver, node) in self.nodes.iter_mut().enumerate() {
            for (sender, digest) in digests.iter().enumerate().filter(|(one, _)| *one != receiver) {
                node.receive_digest(
                    now,
                    address(sender as u16 + 1),
                    digest.clone(),
                    &mut Vec::new(),
                );
            }
        }
    }

    /// Sends each node's digest to the peers whose turn it is, and those of nodes that a newcomer has reached
    /// to the newcomer.
    pub fn gossip_in_turns(&mut self) {
        let now = self.now;
        let alive = (0..self.nodes.len()).filter(|node| !self.dead.contains(node));
        for sender in Vec::from_iter(alive) {
            let digest = self.nodes[sender].next_digest(now);
            let recipients = self.nodes[sender].recipients(false, now);
            let sums = self.nodes[sender].sum_digest(&digest, now);
            let asking = PeerDigest { requests_sums: true, ..digest.clone() };
            self.send_digest(sender, &digest, recipients.full);
            self.send_digest(sender, &asking, recipients.relays);
            self.send_digest(sender, &sums, recipients.subscribers);
            self.send_digest(sender, &sums, recipients.sums);
        }
    }

    fn send_digest(&mut self, sender: usize, digest: &PeerDigest, recipients: Vec<SocketAddr>) {
        let now = self.now;
        for recipient in recipients {
            if self.index_of(recipient).is_some_and(|index| self.dead.contains(&index)) {
                continue;
            }
            if !self.hand_over(sender, recipient, digest.clone()).newcomer {
                continue;
            }
            let receiver = self.index_of(recipient).unwrap();
            let answer = self.nodes[receiver].answer_digest(address(sender as u16 + 1), now);
            if self.hand_over(receiver, address(sender as u16 + 1), answer).answered {
                let digest = self.nodes[sender].next_digest(now);
                let named = self.nodes[sender].take_uncontacted();
                self.send_digest(sender, &digest, named);
            }
        }
    }

    fn hand_over(
        &mut self,
        sender: usize,
        recipient: SocketAddr,
        digest: PeerDigest,
    ) -> DigestFollowUp {
        let now = self.now;
        let Some(receiver) = self.index_of(recipient) else { return DigestFollowUp::default() };
        let from = address(sender as u16 + 1);
        self.nodes[receiver].receive_digest(now, from, digest, &mut Vec::new())
    }

    fn index_of(&self, peer: SocketAddr) -> Option<usize> {
        (0..self.nodes.len()).find(|index| address(*index as u16 + 1) == peer)
    }

    /// Lets time pass in steps, each with a digest and a tick. Returns what the nodes decided meanwhile.
    pub fn advance(&mut self, time: Duration) -> Vec<(usize, SchedulerAction)> {
        const STEP: Duration = Duration::from_millis(100);
        let end = self.now + time;
        let mut decided = Vec::new();
        while self.now < end {
            self.now += STEP;
            self.gossip();
            for (index, node) in self.nodes.iter_mut().enumerate() {
                let mut actions = Vec::new();
                node.tick(self.now, &mut actions);
                decided.extend(actions.into_iter().map(|action| (index, action)));
            }
        }
        decided
    }

    /// Delivers all messages about loans, also those that follow from them. Returns what the nodes decide.
    pub fn deliver_loans(&mut self) -> Vec<(usize, SchedulerAction)> {
        const MAX_ROUNDS: usize = 100;
        let now = self.now;
        let mut decided = Vec::new();
        for _ in 0..MAX_ROUNDS {
            let mut messages = Vec::new();
            for (sender, node) in self.nodes.iter_mut().enumerate() {
                let sent = node.take_lending_messages();
                messages.extend(sent.into_iter().map(|(to, message)| (sender, to, message)));
            }
            if messages.is_empty() {
                return decided;
            }
            for (sender, to, message) in messages {
                let Some(receiver) = self.index_of(to) else { continue };
                if self.dead.contains(&sender) || self.dead.contains(&receiver) {
                    continue;
                }
                let mut actions = Vec::new();
                let from = address(sender as u16 + 1);
                self.nodes[receiver].receive_lending(now, from, message, &mut actions);
                decided.extend(actions.into_iter().map(|action| (receiver, action)));
            }
        }
        panic!("messages about loans follow from each other without end");
    }

    /// Runs a tick of all nodes that are alive.
    pub fn tick_all(&mut self) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if !self.dead.contains(&index) {
                node.tick(self.now, &mut Vec::new());
            }
        }
    }

    /// Gives a request of a tier to a node and returns what it decides at once.
    pub fn ask_in_tier(&mut self, node: usize, tier: Tier) -> Vec<SchedulerAction> {
        self.next += 1;
        let mut order = call_order(&self.nodes[node], self.next, self.next, 100, self.now);
        order.routed.tier = tier;
        let mut actions = Vec::new();
        self.nodes[node].admit(self.now, order, &mut actions);
        actions
    }

    /// Gives a request to a node and returns what it decides at once.
    pub fn ask(&mut self, node: usize, tokens: u32) -> Vec<SchedulerAction> {
        self.next += 1;
        self.ask_again(node, tokens, self.next)
    }

    /// Gives a request to a node that has been sent before under the same fingerprint.
    pub fn ask_again(
        &mut self,
        node: usize,
        tokens: u32,
        fingerprint: Fingerprint,
    ) -> Vec<SchedulerAction> {
        self.next += 1;
        let order = call_order(&self.nodes[node], self.next, fingerprint, tokens, self.now);
        let mut actions = Vec::new();
        self.nodes[node].admit(self.now, order, &mut actions);
        actions
    }

    /// Ends an attempt that a node has dispatched.
    pub fn finish(&mut self, node: usize, action: &SchedulerAction, end: AttemptEnd) {
        let SchedulerAction::Dispatch { request, attempt, target } = action else { return };
        let now = self.now;
        let attempt = (*request, *attempt);
        self.nodes[node].end_attempt(now, attempt, target, end, &mut Vec::new());
    }
}

/// A request for the only route.
pub fn call_order(
    node: &FleetNode,
    request: RequestId,
    fingerprint: Fingerprint,
    tokens: u32,
    now: Instant,
) -> AdmissionRequest {
    let head = CallHead { key: Some("key".to_owned()), ..CallHead::default() };
    AdmissionRequest {
        request,
        routed: node.route("calls.example", "/a/1", &head).unwrap(),
        arrived: now,
        deadline: now + Duration::from_secs(8),
        fingerprint,
        generation: Some(GenerationHead {
            model: "m".into(),
            prompt_tokens: tokens,
            max_tokens: 0,
            expected_tokens: Some(20),
            parts: Vec::new(),
        }),
        progress: None,
    }
}

/// Whether a request was refused because of its quota.
pub fn over_quota(actions: &[SchedulerAction]) -> bool {
    quota_waits(actions).next().is_some()
}

/// Times after which callers who were refused because of a quota are asked to come back.
pub fn quota_waits(actions: &[SchedulerAction]) -> impl Iterator<Item = Option<Duration>> {
    actions.iter().filter_map(|action| match action {
        SchedulerAction::Refuse { refusal, .. } if refusal.code == RefusalCode::LimitReached => {
            Some(refusal.retry_after)
        }
        _ => None,
    })
}

/// Targets of dispatches.
pub fn dispatched(actions: &[SchedulerAction]) -> Vec<TargetName> {
    let target = |action: &SchedulerAction| match action {
        SchedulerAction::Dispatch { target, .. } => Some(target.clone()),
        _ => None,
    };
    actions.iter().filter_map(target).collect()
}
