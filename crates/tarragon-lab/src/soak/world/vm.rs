//! Life of the processes on the VMs: start, tick, pause, kill and graceful end.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use rand::Rng;
use tarragon_cluster::{cluster::ClusterSettings, key::PeerKeys, signing::MessageSigner};
use tarragon_node::prelude::*;

use super::{
    TICK_PERIOD, World, WorldEvent, drain::DrainState, request::ServerRequest, ticket::TicketWaiter,
};
use crate::soak::{
    message::{RequestAnswer, SendingId, VmMessage},
    network::Endpoint,
    topology::Topology,
};

/// Key of the peers of a run.
const PEER_KEY: &str = "lab-peer-key-0123456789abcdef0123456789abcdef";

/// One entry VM.
pub(crate) struct Vm {
    /// Name.
    pub(crate) name: VmName,
    /// Index of the data centre.
    pub(crate) data_centre: usize,
    /// Peer address.
    pub(crate) address: String,
    /// The process, if one runs.
    pub(crate) process: Option<Process>,
    /// Until when the process is paused.
    pub(crate) paused_until: Option<Duration>,
    /// Whether the pause also stops the clock that `Instant` shows.
    pub(crate) pause_suspends: bool,
    /// Time by which the clock of `Instant` lags behind the boot clock.
    pub(crate) suspended: Duration,
    /// Inputs that a paused process has not taken yet.
    pub(crate) inbox: Vec<VmMessage>,
    paused_at: Duration,
}

/// One process: its node and what its server part holds.
pub(crate) struct Process {
    /// Decisions.
    pub(crate) node: Node,
    /// Process on the VM.
    pub(crate) incarnation: Incarnation,
    /// Requests that wait or run.
    pub(crate) requests: IndexMap<RequestId, ServerRequest>,
    /// Who waits for the outcome of a ticket.
    pub(crate) ticket_waiters: IndexMap<u64, Vec<TicketWaiter>>,
    /// Sendings whose calls were forwarded to the owner of their ticket.
    pub(crate) forwards: IndexSet<SendingId>,
    /// Seals and opens peer messages.
    pub(crate) seal: MessageSigner,
    /// Last cache event seen of each engine.
    pub(crate) cache_seen: IndexMap<TargetName, u64>,
    /// Whether the load balancer sends requests here.
    pub(crate) ready: bool,
    /// How far a graceful shutdown is.
    pub(crate) draining: Option<DrainState>,
    next_request: u32,
}

impl Process {
    /// The id of the next request.
    pub(crate) fn next_request(&mut self) -> RequestId {
        self.next_request += 1;
        (self.incarnation & 0xffff_ffff) << 32 | u64::from(self.next_request)
    }
}

impl Vm {
    /// A VM without a process.
    pub(crate) fn new(name: &str, data_centre: usize, index: usize) -> Vm {
        Vm {
            name: name.into(),
            data_centre,
            address: Topology::peer_address(index),
            process: None,
            paused_until: None,
            pause_suspends: false,
            suspended: Duration::ZERO,
            inbox: Vec::new(),
            paused_at: Duration::ZERO,
        }
    }

    /// Whether a process runs and is not paused.
    pub(crate) fn acts(&self) -> bool {
        self.process.is_some() && self.paused_until.is_none()
    }
}

impl World {
    /// Starts a process on a VM.
    pub(crate) fn start_process(&mut self, vm: usize) {
        let incarnation = self.random.random::<u64>();
        let process = self.new_process(vm, incarnation);
        self.vms[vm].process = Some(process);
        self.vms[vm].paused_until = None;
        self.vms[vm].inbox.clear();
        self.observer.process_started(self.now, vm);
        self.journal.note(self.now, format_args!("vm{vm} starts {incarnation:x}"));
        let offset = Duration::from_micros(self.random.random_range(0..100_000));
        self.schedule(offset, WorldEvent::Tick(vm, incarnation));
    }

    fn new_process(&self, vm: usize, incarnation: Incarnation) -> Process {
        let home = &self.topology.workload.data_centres[self.vms[vm].data_centre];
        let identity = PeerIdentity { vm: self.vms[vm].name.clone(), incarnation };
        let address = self.vms[vm].address.clone();
        let peer_keys = PeerKeys::new(PEER_KEY, None);
        let seal = MessageSigner::new(identity.clone(), address.clone(), peer_keys.clone());
        let caller_address = self.listed_vm(vm).caller_address;
        let mut cluster =
            ClusterSettings::new(identity, home.as_str().into(), caller_address, address);
        cluster.seeds = (0..self.vms.len().min(3)).map(Topology::peer_address).collect();
        let settings = NodeSettings { cluster, limits: self.limits(), peer_keys };
        let seed = self.seed ^ incarnation;
        Process {
            node: Node::new(settings, seed, self.instant(vm)),
            incarnation,
            requests: IndexMap::new(),
            ticket_waiters: IndexMap::new(),
            forwards: IndexSet::new(),
            seal,
            cache_seen: IndexMap::new(),
            ready: false,
            draining: None,
            next_request: 0,
        }
    }

    /// Puts a new process in the place of the present one without a trace in the list or the checks.
    pub(super) fn replace_silently(&mut self, vm: usize) {
        let Some(process) = &self.vms[vm].process else { return };
        let fresh = self.new_process(vm, process.incarnation);
        self.vms[vm].process = Some(fresh);
    }

    fn limits(&self) -> SchedulerLimits {
        SchedulerLimits { waiting: self.queue_limit, ..SchedulerLimits::default() }
    }

    /// Gives an event to a VM's node and carries out what it decides.
    pub(crate) fn feed(&mut self, vm: usize, event: NodeEvent) {
        let now = self.instant(vm);
        let mut actions = Vec::new();
        let Some(process) = self.vms[vm].process.as_mut() else { return };
        process.node.handle(now, event, &mut actions);
        self.act_all(vm, actions);
    }

    pub(super) fn tick(&mut self, vm: usize, incarnation: Incarnation) {
        let current = self.vms[vm].process.as_ref().map(|process| process.incarnation);
        if current != Some(incarnation) {
            return;
        }
        self.schedule(TICK_PERIOD, WorldEvent::Tick(vm, incarnation));
        if self.vms[vm].paused_until.is_none() {
            let boot = self.boot(vm);
            self.feed(vm, NodeEvent::Tick { boot });
            self.expire_requests(vm);
            self.expire_waiters(vm);
            self.proceed_drain(vm);
        }
    }

    pub(super) fn arrive(&mut self, vm: usize, only: Option<Incarnation>, message: VmMessage) {
        let Some(process) = &self.vms[vm].process else {
            return self.refuse_connection(message);
        };
        if only.is_some_and(|incarnation| incarnation != process.incarnation) {
            return;
        }
        if self.vms[vm].paused_until.is_some() {
            return self.vms[vm].inbox.push(message);
        }
        self.take_input(vm, message);
    }

    /// Nobody listens at the address: whoever connected learns it.
    fn refuse_connection(&mut self, message: VmMessage) {
        match message {
            VmMessage::Request(sending) => {
                self.answer_caller(sending, RequestAnswer::Broken);
            }
            VmMessage::RunTicket(id, ..)
            | VmMessage::Relayed(id, ..)
            | VmMessage::Pull(id, _)
            | VmMessage::PullList(id, _)
            | VmMessage::Borrow(id, _)
            | VmMessage::Handover(id, _) => {
                if let Some(call) = self.peer_calls.get_mut(&id) {
                    call.accepted = false;
                }
                self.fail_peer_call(id);
            }
            _ => {}
        }
    }

    /// Stops a process at once.
    pub(crate) fn kill(&mut self, vm: usize) {
        let Some(process) = self.vms[vm].process.take() else { return };
        self.journal.note(self.now, format_args!("vm{vm} killed {:x}", process.incarnation));
        self.vms[vm].inbox.clear();
        self.vms[vm].paused_until = None;
        self.observer.process_ended(self.now, vm);
        self.platform.watches.retain(|watch| watch.vm != vm);
        self.break_connections(vm, &process);
    }

    /// The connections of an ended process break: targets cancel, callers and peers see an error.
    fn break_connections(&mut self, vm: usize, process: &Process) {
        for index in 0..self.targets.len() {
            let keys: Vec<_> = self.targets[index]
                .running
                .keys()
                .filter(|key| key.vm == vm && key.incarnation == process.incarnation)
                .copied()
                .collect();
            for key in keys {
                let home = self.vms[vm].data_centre;
                let delay = self.network.delay(
                    &mut self.random,
                    Endpoint::Vm(vm, home),
                    Endpoint::Target(self.targets[index].data_centre),
                );
                self.schedule(delay, WorldEvent::CancelAtTarget(index, key));
            }
        }
        for sending in self.callers.open_at(vm) {
            self.answer_caller(sending, RequestAnswer::Broken);
        }
        let to_peer = self.peer_calls.iter().filter(|(_, call)| call.to == vm);
        let broken: Vec<_> = to_peer.map(|(id, _)| *id).collect();
        for id in broken {
            self.fail_peer_call(id);
        }
        self.peer_calls.retain(|_, call| call.from.0 != vm);
    }

    /// Pauses a process. With `suspend`, the clock of `Instant` stands still too.
    pub(crate) fn pause(&mut self, vm: usize, length: Duration, suspend: bool) {
        if !self.vms[vm].acts() {
            return;
        }
        self.vms[vm].paused_until = Some(self.now + length);
        self.vms[vm].paused_at = self.now;
        self.vms[vm].pause_suspends = suspend;
        self.observer.set_impaired(self.now, vm, true);
        self.observer.paused(vm);
        self.journal.note(self.now, format_args!("vm{vm} paused for {length:?}"));
    }

    /// Resumes a paused process: it takes its inputs, in the order of their arrival, before its next
    /// tick.
    pub(crate) fn resume(&mut self, vm: usize) {
        if self.vms[vm].paused_until.take().is_none() {
            return;
        }
        let length = self.now - self.vms[vm].paused_at;
        if self.vms[vm].pause_suspends {
            self.vms[vm].suspended += length;
        }
        self.observer.resumed(vm, length);
        self.observer.set_impaired(self.now, vm, true);
        self.journal.note(self.now, format_args!("vm{vm} resumes"));
        for message in std::mem::take(&mut self.vms[vm].inbox) {
            self.take_input(vm, message);
        }
    }
}
