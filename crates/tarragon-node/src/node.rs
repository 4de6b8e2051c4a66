//! Combines scheduler, cluster and tickets. The actions of each component are passed on to the other
//! components that they concern; those that need I/O are returned to the caller.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use tarragon_cluster::{
    cluster::{Cluster, ClusterSettings},
    event::PeerAddress,
    key::PeerKeys,
};
use tarragon_protocol::peer::LoadEntry;

use crate::{
    node::{borrow::BorrowedSlots, placement::PlacementView, ticket::TicketCalls},
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

/// Settings of a node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Settings of the cluster component, with names and addresses.
    pub cluster: ClusterSettings,
    /// Limits of the scheduler's queue.
    pub limits: SchedulerLimits,
    /// Keys that authenticate tickets.
    pub peer_keys: PeerKeys,
}

/// The state machine that makes all decisions of one process.
pub struct Node {
    scheduler: Scheduler,
    cluster: Cluster,
    tickets: TicketCalls,
    /// Peers to which new requests are relayed while this VM or its data centre is out of service.
    relay_peers: Vec<PeerAddress>,
    /// Waiting or running requests that may be relayed, since they were not relayed to this process.
    relayable: IndexSet<RequestId>,
    /// Known targets, and whether each is in service.
    targets: IndexMap<TargetName, bool>,
    borrowed: IndexMap<TargetName, BorrowedSlots>,
    placement: PlacementView,
    /// Ended processes whose ticket records were taken over since the last tick.
    adoptions: Vec<SuccessorEntry>,
    draining: bool,
    boot: Duration,
    /// Boot clock until which writes wait for gossip from a peer after this process was paused.
    writes_held_until: Option<Duration>,
}

impl Node {
    /// Creates a node without configuration. `seed` determines all random choices.
    pub fn new(settings: NodeSettings, seed: u64, now: Instant) -> Node {
        let identity = settings.cluster.identity.clone();
        let address = settings.cluster.peer_address.clone();
        Node {
            scheduler: Scheduler::new(settings.limits, seed),
            cluster: Cluster::new(settings.cluster, seed, now),
            tickets: TicketCalls::new(identity, address, settings.peer_keys),
            relay_peers: Vec::new(),
            relayable: IndexSet::new(),
            targets: IndexMap::new(),
            borrowed: IndexMap::new(),
            placement: PlacementView::default(),
            adoptions: Vec::new(),
            draining: false,
            boot: Duration::ZERO,
            writes_held_until: None,
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Instant, event: NodeEvent, actions: &mut Vec<NodeAction>) {
        match event {
            NodeEvent::Arrived(profile) => self.accept_request(now, profile, actions),
            NodeEvent::RelayArrived(profile) => {
                self.schedule(now, SchedulerEvent::Arrived(profile), actions)
            }
            NodeEvent::Scheduler(event) => self.handle_scheduler_event(now, event, actions),
            NodeEvent::Cluster(event) => self.handle_cluster_event(now, event, actions),
            NodeEvent::Tick { boot } => self.tick(now, boot, actions),
            NodeEvent::DrainStarted => self.start_drain(now, actions),
        }
    }

    /// The cluster component, for reading.
    pub fn cluster(&self) -> &Cluster {
        &self.cluster
    }

    /// The cluster component, for answering peers.
    pub fn cluster_mut(&mut self) -> &mut Cluster {
        &mut self.cluster
    }

    /// The scheduler component, for reading.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    fn tick(&mut self, now: Instant, boot: Duration, actions: &mut Vec<NodeAction>) {
        self.update_boot_clock(boot);
        self.coordinate(now, ClusterEvent::Tick { boot }, actions);
        self.schedule(now, SchedulerEvent::Tick, actions);
        self.tickets.purge(boot);
        let event = ClusterEvent::PressureChanged {
            shed_floor: self.scheduler.shed_floor(),
            waiting: self.scheduler.waiting_by_tier(),
        };
        self.coordinate(now, event, actions);
        self.announce_adoptions(now, actions);
        self.balance_slots(now, actions);
        self.plan_placement(now, actions);
    }

    /// Handles progress of requests and attempts. A dispatched request is no longer relayable. After an attempt
    /// that did not run, another attempt may be made under the same ticket.
    fn handle_scheduler_event(
        &mut self,
        now: Instant,
        event: SchedulerEvent,
        actions: &mut Vec<NodeAction>,
    ) {
        match &event {
            SchedulerEvent::AttemptStarted(request, _) | SchedulerEvent::Disconnected(request) => {
                self.relayable.swap_remove(request);
            }
            SchedulerEvent::AttemptEnded(request, _, end) => match end {
                AttemptEnd::NotSent | AttemptEnd::Unreached => {
                    self.tickets.attempt_not_run(*request);
                }
                // Nothing was written, even if the ticket allowed it, since the deadline is checked once more
                // after the ticket. The refusal that follows ends the ticket's call.
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

    /// Handles input from peers, the platform and targets. First updates the state that the cluster component
    /// does not keep.
    fn handle_cluster_event(
        &mut self,
        now: Instant,
        event: ClusterEvent,
        actions: &mut Vec<NodeAction>,
    ) {
        match &event {
            ClusterEvent::GossipReceived(_) => self.writes_held_until = None,
            ClusterEvent::BorrowAnswered(_, target, Some(_)) => self.record_grant(now, target),
            ClusterEvent::TargetPolled(target, report) => {
                self.placement.update_report(target, report.clone());
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

    /// Passes an event to the scheduler and carries out the resulting actions.
    fn schedule(&mut self, now: Instant, event: SchedulerEvent, actions: &mut Vec<NodeAction>) {
        let mut scheduler_actions = Vec::new();
        self.scheduler.handle(now, event, &mut scheduler_actions);
        for action in scheduler_actions {
            self.apply_scheduler_action(now, action, actions);
        }
    }

    /// Handles an action of the scheduler here, or returns it to the caller if it needs I/O.
    fn apply_scheduler_action(
        &mut self,
        now: Instant,
        action: SchedulerAction,
        actions: &mut Vec<NodeAction>,
    ) {
        match action {
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
                actions.push(NodeAction::Scheduler(action))
            }
        }
    }

    /// Passes an event to the cluster component and carries out the resulting actions.
    fn coordinate(&mut self, now: Instant, event: ClusterEvent, actions: &mut Vec<NodeAction>) {
        let mut cluster_actions = Vec::new();
        self.cluster.handle(now, event, &mut cluster_actions);
        for action in cluster_actions {
            self.apply_cluster_action(now, action, actions);
        }
    }

    /// Passes an action of the cluster component on to the scheduler, and returns it to the caller if I/O tasks
    /// need it as well.
    fn apply_cluster_action(
        &mut self,
        now: Instant,
        action: ClusterAction,
        actions: &mut Vec<NodeAction>,
    ) {
        match &action {
            ClusterAction::SlotsChanged(share) => {
                let slots = TargetSlots {
                    target: share.target.clone(),
                    slots: share.slots,
                    capacity: share.capacity,
                    cold: share.cold,
                };
                return self.schedule(now, SchedulerEvent::SlotsChanged(slots), actions);
            }
            ClusterAction::LoadUpdated(entry) => {
                return self.schedule(now, load_reported(entry), actions);
            }
            ClusterAction::PressureReceived { peer, shed_floor, waiting } => {
                let pressure = PeerPressure {
                    peer: peer.clone(),
                    shed_floor: *shed_floor,
                    waiting: *waiting,
                    received: now,
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
                    remote: false,
                    build: None,
                    process: None,
                });
                self.set_targets(now, entries.collect(), actions);
            }
            ClusterAction::RelayChanged(relay) => {
                self.relay_peers =
                    relay.as_ref().map(|relay| relay.peers.clone()).unwrap_or_default();
                if relay.is_some() {
                    self.relay_waiting(now, actions);
                }
            }
            _ => {}
        }
        actions.push(NodeAction::Cluster(action));
    }

    /// Replaces the list of targets and removes those from the scheduler that are no longer listed.
    fn set_targets(
        &mut self,
        now: Instant,
        entries: Vec<TargetEntry>,
        actions: &mut Vec<NodeAction>,
    ) {
        self.placement.set_targets(&entries);
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

    fn start_drain(&mut self, now: Instant, actions: &mut Vec<NodeAction>) {
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

fn load_reported(entry: &LoadEntry) -> SchedulerEvent {
    let report = LoadReport {
        restart_id: entry.restart_id,
        state: entry.state,
        capacity: entry.capacity,
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
