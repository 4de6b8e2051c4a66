//! Composes scheduler, cluster and tickets. Events of one part that concern another are passed on here;
//! what needs I/O leaves as an action.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use tarragon_cluster::{
    cluster::{Cluster, ClusterSettings},
    event::PeerAddress,
    key::PeerKeys,
};
use tarragon_protocol::peer::LoadEntry;

use crate::{
    node::{borrow::BorrowedUse, placement::PlacementView, ticket::TicketDesk},
    prelude::*,
};

mod borrow;
mod dump;
mod guard;
mod placement;
mod relay;
mod ticket;

pub use dump::NodeDump;
pub use guard::WriteCheck;
pub use ticket::call_binding;

/// What a process knows at its start.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Names and addresses.
    pub cluster: ClusterSettings,
    /// Bounds of the queue.
    pub limits: SchedulerLimits,
    /// Secrets that seal tickets.
    pub peer_keys: PeerKeys,
}

/// One process's decisions.
pub struct Node {
    scheduler: Scheduler,
    cluster: Cluster,
    tickets: TicketDesk,
    /// Where new work goes while this VM or its data centre is out of service.
    relay_peers: Vec<PeerAddress>,
    /// Waiting or running requests that may be relayed, since no other process sent them here.
    relayable: IndexSet<RequestId>,
    targets: IndexMap<TargetName, bool>,
    borrowed: IndexMap<TargetName, BorrowedUse>,
    placement: PlacementView,
    /// Processes whose records were taken over since the last tick.
    adoptions: Vec<SuccessorEntry>,
    draining: bool,
    boot: Duration,
    /// Boot clock until which writes wait for a peer's news after a pause.
    hold_until: Option<Duration>,
}

impl Node {
    /// A node without configuration. `seed` determines all random choices; `boot` is the boot clock.
    pub fn new(settings: NodeSettings, seed: u64, now: Instant) -> Node {
        let identity = settings.cluster.identity.clone();
        let address = settings.cluster.peer_address.clone();
        Node {
            scheduler: Scheduler::new(settings.limits, seed),
            cluster: Cluster::new(settings.cluster, seed, now),
            tickets: TicketDesk::new(identity, address, settings.peer_keys),
            relay_peers: Vec::new(),
            relayable: IndexSet::new(),
            targets: IndexMap::new(),
            borrowed: IndexMap::new(),
            placement: PlacementView::default(),
            adoptions: Vec::new(),
            draining: false,
            boot: Duration::ZERO,
            hold_until: None,
        }
    }

    /// Takes an event and appends what has to be done.
    pub fn handle(&mut self, now: Instant, event: NodeEvent, actions: &mut Vec<NodeAction>) {
        match event {
            NodeEvent::Arrived(profile) => self.arrive(now, profile, actions),
            NodeEvent::RelayArrived(profile) => {
                self.schedule(now, SchedulerEvent::Arrived(profile), actions)
            }
            NodeEvent::Scheduler(event) => self.note(now, event, actions),
            NodeEvent::Cluster(event) => self.hear(now, event, actions),
            NodeEvent::Tick { boot } => self.tick(now, boot, actions),
            NodeEvent::DrainStarted => self.drain(now, actions),
        }
    }

    /// The cluster part, for reads.
    pub fn cluster(&self) -> &Cluster {
        &self.cluster
    }

    /// The cluster part, for answers to peers.
    pub fn cluster_mut(&mut self) -> &mut Cluster {
        &mut self.cluster
    }

    /// The scheduler part, for reads.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    fn tick(&mut self, now: Instant, boot: Duration, actions: &mut Vec<NodeAction>) {
        self.observe_boot(boot);
        self.coordinate(now, ClusterEvent::Tick { boot }, actions);
        self.schedule(now, SchedulerEvent::Tick, actions);
        self.tickets.purge(boot);
        let pressure = ClusterEvent::PressureChanged {
            shed_floor: self.scheduler.shed_floor(),
            waiting: self.scheduler.waiting_by_tier(),
        };
        self.coordinate(now, pressure, actions);
        self.announce_adoptions(now, actions);
        self.balance_slots(now, actions);
        self.plan_placement(now, actions);
    }

    /// News of requests and attempts. A dispatched request is not relayed any more, and an attempt that
    /// ran nothing leaves its ticket free for another one.
    fn note(&mut self, now: Instant, event: SchedulerEvent, actions: &mut Vec<NodeAction>) {
        match &event {
            SchedulerEvent::AttemptStarted(request, _) | SchedulerEvent::Disconnected(request) => {
                self.relayable.swap_remove(request);
            }
            SchedulerEvent::AttemptEnded(request, _, end) => match end {
                AttemptEnd::NotSent => self.tickets.attempt_not_run(*request),
                // Nothing was written, also if the ticket allowed it: the deadline is checked once more
                // afterwards. The refusal that follows ends the ticket's call.
                AttemptEnd::Withheld => {
                    self.relayable.swap_remove(request);
                    self.tickets.attempt_not_run(*request);
                }
                AttemptEnd::Finished => {
                    self.relayable.swap_remove(request);
                }
                _ => {}
            },
            _ => {}
        }
        self.schedule(now, event, actions);
    }

    /// News of peers, platform and targets. What the cluster part does not keep is noted here.
    fn hear(&mut self, now: Instant, event: ClusterEvent, actions: &mut Vec<NodeAction>) {
        match &event {
            ClusterEvent::GossipReceived(_) => self.hold_until = None,
            ClusterEvent::BorrowAnswered(_, target, Some(_)) => self.note_grant(now, target),
            ClusterEvent::TargetPolled(target, report) => {
                self.placement.report(target, report.clone());
                if let Some(report) = report {
                    let event = SchedulerEvent::LoadReported {
                        target: target.clone(),
                        report: report.clone(),
                        age: Duration::ZERO,
                    };
                    self.schedule(now, event, actions);
                }
            }
            _ => {}
        }
        self.coordinate(now, event, actions);
    }

    fn schedule(&mut self, now: Instant, event: SchedulerEvent, actions: &mut Vec<NodeAction>) {
        let mut decisions = Vec::new();
        self.scheduler.handle(now, event, &mut decisions);
        for decision in decisions {
            self.carry_decision(now, decision, actions);
        }
    }

    fn carry_decision(
        &mut self,
        now: Instant,
        decision: SchedulerAction,
        actions: &mut Vec<NodeAction>,
    ) {
        match decision {
            SchedulerAction::Refuse { request, refusal } => {
                self.refuse(now, request, refusal, actions)
            }
            SchedulerAction::AnnounceFloor(shed_floor) => {
                let waiting = self.scheduler.waiting_by_tier();
                let event = ClusterEvent::PressureChanged { shed_floor, waiting };
                self.coordinate(now, event, actions);
            }
            SchedulerAction::AnnounceSuspect(entry) => {
                self.coordinate(now, ClusterEvent::SuspectFound(entry), actions)
            }
            SchedulerAction::PollTarget(target) => {
                self.coordinate(now, ClusterEvent::TargetSuspectedCold(target), actions)
            }
            SchedulerAction::Dispatch { .. } | SchedulerAction::Cancel { .. } => {
                actions.push(NodeAction::Scheduler(decision))
            }
        }
    }

    fn coordinate(&mut self, now: Instant, event: ClusterEvent, actions: &mut Vec<NodeAction>) {
        let mut decisions = Vec::new();
        self.cluster.handle(now, event, &mut decisions);
        for decision in decisions {
            self.carry_news(now, decision, actions);
        }
    }

    /// Passes news on to the scheduler, and outwards where I/O tasks need it too.
    fn carry_news(&mut self, now: Instant, news: ClusterAction, actions: &mut Vec<NodeAction>) {
        match &news {
            ClusterAction::SlotsChanged(share) => {
                let slots = TargetSlots {
                    target: share.target.clone(),
                    slots: share.slots,
                    bears: share.capacity,
                    cold: share.cold,
                };
                return self.schedule(now, SchedulerEvent::SlotsChanged(slots), actions);
            }
            ClusterAction::LoadUpdated(entry) => {
                return self.schedule(now, load_event(entry), actions);
            }
            ClusterAction::PressureReceived { peer, shed_floor, waiting } => {
                let pressure = PeerPressure {
                    peer: peer.clone(),
                    shed_floor: *shed_floor,
                    waiting: *waiting,
                    heard: now,
                };
                return self.schedule(now, SchedulerEvent::PeerReported(pressure), actions);
            }
            ClusterAction::PeerForgotten(peer) => {
                return self.schedule(now, SchedulerEvent::PeerForgotten(peer.clone()), actions);
            }
            ClusterAction::SuspectReceived(entry) => {
                return self.schedule(now, SchedulerEvent::SuspectReported(entry.clone()), actions);
            }
            ClusterAction::ConfigurationApplied(configuration) => {
                let event = SchedulerEvent::RulesChanged(configuration.rules.clone());
                self.schedule(now, event, actions);
            }
            ClusterAction::TargetsChanged(targets) => {
                let entries = targets.iter().map(|(target, in_service)| TargetEntry {
                    target: target.target.clone(),
                    service: target.service.clone(),
                    in_service: *in_service,
                    distant: false,
                    process: None,
                });
                self.list_targets(now, entries.collect(), actions);
            }
            ClusterAction::RelayChanged(target) => {
                self.relay_peers =
                    target.as_ref().map(|relay| relay.peers.clone()).unwrap_or_default();
                if target.is_some() {
                    self.relay_waiting(now, actions);
                }
            }
            _ => {}
        }
        actions.push(NodeAction::Cluster(news));
    }

    fn list_targets(
        &mut self,
        now: Instant,
        entries: Vec<TargetEntry>,
        actions: &mut Vec<NodeAction>,
    ) {
        self.placement.list(&entries);
        let previous = std::mem::take(&mut self.targets);
        for entry in entries {
            self.targets.insert(entry.target.clone(), entry.in_service);
            self.schedule(now, SchedulerEvent::TargetListed(entry), actions);
        }
        for target in previous.into_keys() {
            if !self.targets.contains_key(&target) {
                self.schedule(now, SchedulerEvent::TargetRemoved(target), actions);
            }
        }
    }

    fn drain(&mut self, now: Instant, actions: &mut Vec<NodeAction>) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.relay_peers = self.cluster.members_up(now);
        self.coordinate(now, ClusterEvent::DrainStarted, actions);
        self.tickets.table.start_drain();
        self.schedule(now, SchedulerEvent::DrainStarted, actions);
        self.relay_waiting(now, actions);
    }
}

fn load_event(entry: &LoadEntry) -> SchedulerEvent {
    let report = LoadReport {
        restart: entry.restart,
        state: entry.state,
        bears: entry.bears,
        running: entry.occupied,
        waiting: 0,
        free_cache_tokens: 0,
        models: Vec::new(),
        fencing: 0,
        last_order_age_ms: None,
        lag_ms: 0,
    };
    let age = Duration::from_millis(entry.age_ms);
    SchedulerEvent::LoadReported { target: entry.target.clone(), report, age }
}
