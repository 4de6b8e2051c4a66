//! The world of a run: VMs, targets, callers, platform and network in one thread and in virtual time.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tarragon_cluster::event::PlatformRead;
use tarragon_protocol::{
    platform::{ListedVm, VmState},
    prelude::*,
};

use super::{
    caller::{CallerPool, Sending},
    check::{CheckName, FORCE_TIME, Observer},
    fault::FaultStep,
    journal::Journal,
    message::{PeerCall, PeerCallId, RequestAnswer, SendingId, VmMessage},
    mutation::Mutation,
    network::Network,
    platform::FakePlatform,
    target::{FakeTarget, RunKey, TargetCall},
    topology::Topology,
};

mod action;
mod caller;
mod drain;
mod fault;
mod input;
mod manual;
mod peer;
mod request;
mod target;
mod ticket;
mod vm;

pub(crate) use vm::Vm;

/// Bound of each VM's queue in randomised runs, small enough for bursts to reach it.
const QUEUE_LIMIT: usize = 64;
/// Distance of two ticks of a process.
const TICK_PERIOD: Duration = Duration::from_millis(100);
/// Distance of two steps of an engine.
pub(crate) const ENGINE_STEP: Duration = Duration::from_millis(50);
/// Distance of two observations of all targets and watches.
const OBSERVE_PERIOD: Duration = Duration::from_millis(100);
/// Distance of two checks of what depends on time alone.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Something that happens at a moment of the run.
#[derive(Debug, Clone)]
pub(crate) enum WorldEvent {
    /// A process's clock ticks.
    Tick(usize, Incarnation),
    /// Input arrives at a VM. With an incarnation, only that process takes it.
    AtVm(usize, Option<Incarnation>, VmMessage),
    /// A new request of a caller.
    Arrival,
    /// A caller sends or repeats its request.
    SendCall(usize),
    /// A caller hears an answer.
    CallerHears(SendingId, RequestAnswer),
    /// A call arrives at a target; the time is that of the sender's last check.
    AtTarget(usize, RunKey, Box<TargetCall>, Duration),
    /// A cancellation arrives at a target.
    CancelAtTarget(usize, RunKey),
    /// A poll arrives at a target.
    PollAtTarget(usize, usize, Incarnation),
    /// An engine works.
    EngineStep(usize),
    /// A plain call ends, unless the target has restarted.
    PlainEnds(usize, RunKey, u64),
    /// A poisoned call takes its target down, unless the target has restarted.
    Crash(usize, RunKey, u64),
    /// A read arrives at the platform.
    AtPlatform(usize, Incarnation, PlatformRead),
    /// A call between processes has waited long enough.
    PeerCallExpires(PeerCallId),
    /// A draining process ends at the latest.
    DrainEnds(usize, Incarnation),
    /// Targets and watches are observed.
    Observe,
    /// Checks that depend on time alone.
    Check,
    /// A fault starts or ends.
    Fault(FaultStep),
}

struct Scheduled {
    at: Duration,
    order: u64,
    event: WorldEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.order == other.order
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// The state of a run.
pub(crate) struct World {
    base: Instant,
    /// Time since the start of the run.
    pub(crate) now: Duration,
    heap: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
    /// All random choices of the world.
    pub(crate) random: ChaCha8Rng,
    /// Deployment.
    pub(crate) topology: Topology,
    /// VMs.
    pub(crate) vms: Vec<Vm>,
    /// Targets.
    pub(crate) targets: Vec<FakeTarget>,
    /// Platform.
    pub(crate) platform: FakePlatform,
    /// Network.
    pub(crate) network: Network,
    /// Callers.
    pub(crate) callers: CallerPool,
    /// Calls between processes.
    pub(crate) peer_calls: IndexMap<PeerCallId, PeerCall>,
    next_peer_call: PeerCallId,
    /// Checks.
    pub(crate) observer: Observer,
    /// Record of the run.
    pub(crate) journal: Journal,
    /// Rule that is broken on purpose.
    pub(crate) mutation: Option<Mutation>,
    /// Figures of an experiment.
    pub(crate) figures: super::figure::RunFigures,
    /// Data centres that the newest publication takes out.
    pub(crate) out: Vec<usize>,
    publications: u64,
    queue_limit: usize,
    seed: u64,
}

impl World {
    /// A world in which all VMs have just started.
    pub(crate) fn new(
        topology: Topology,
        seed: u64,
        mutation: Option<Mutation>,
        echo: bool,
    ) -> World {
        let mut world = World::stopped(topology, seed, mutation, echo);
        world.start();
        world
    }

    /// A world without faults whose VMs have queues of this length.
    pub(crate) fn with_queue(topology: Topology, seed: u64, queue_limit: usize) -> World {
        let mut world = World::stopped(topology, seed, None, false);
        world.queue_limit = queue_limit;
        world.start();
        world
    }

    fn stopped(topology: Topology, seed: u64, mutation: Option<Mutation>, echo: bool) -> World {
        let targets: Vec<FakeTarget> = topology.targets.iter().map(FakeTarget::new).collect();
        let vms = (0..topology.vms.len())
            .map(|vm| Vm::new(&topology.vm_name(vm), topology.vms[vm], vm))
            .collect();
        World {
            base: tokio::time::Instant::now().into_std(),
            now: Duration::ZERO,
            heap: BinaryHeap::new(),
            order: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            observer: Observer::new(&topology.vms),
            topology,
            vms,
            targets,
            platform: FakePlatform::new(Duration::from_secs(1)),
            network: Network::default(),
            callers: CallerPool::default(),
            peer_calls: IndexMap::new(),
            next_peer_call: 1,
            journal: Journal::new(echo),
            mutation,
            figures: super::figure::RunFigures::default(),
            out: Vec::new(),
            publications: 0,
            queue_limit: QUEUE_LIMIT,
            seed,
        }
    }

    fn start(&mut self) {
        self.publish();
        self.list_vms();
        for vm in 0..self.vms.len() {
            self.start_process(vm);
        }
        self.schedule(OBSERVE_PERIOD, WorldEvent::Observe);
        self.schedule(CHECK_PERIOD, WorldEvent::Check);
    }

    /// Schedules an event after a delay.
    pub(crate) fn schedule(&mut self, delay: Duration, event: WorldEvent) {
        self.order += 1;
        let at = self.now + delay;
        self.heap.push(Reverse(Scheduled { at, order: self.order, event }));
    }

    /// The time as a process on a VM sees it. A suspended VM's clock stands still.
    pub(crate) fn instant(&self, vm: usize) -> Instant {
        self.base + self.now - self.vms[vm].suspended
    }

    /// The boot clock of a VM, which counts suspended time.
    pub(crate) fn boot(&self, vm: usize) -> Duration {
        self.now + Duration::from_secs(1_000 * (vm as u64 + 1))
    }

    /// Takes the next event. Returns false if nothing is scheduled before `until`.
    pub(crate) fn step(&mut self, until: Duration) -> bool {
        let due = self.heap.peek().is_some_and(|Reverse(next)| next.at <= until);
        if !due {
            self.now = self.now.max(until);
            return false;
        }
        let Some(Reverse(next)) = self.heap.pop() else { return false };
        self.now = next.at;
        self.journal.advance();
        self.take(next.event);
        true
    }

    /// Runs until a moment, or until a violation is found.
    pub(crate) fn run_until(&mut self, until: Duration) {
        while !self.observer.has_violation() && self.step(until) {}
    }

    fn take(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick(vm, incarnation) => self.tick(vm, incarnation),
            WorldEvent::AtVm(vm, incarnation, message) => self.arrive(vm, incarnation, message),
            WorldEvent::Arrival => self.take_arrival(),
            WorldEvent::SendCall(call) => self.send_call(call),
            WorldEvent::CallerHears(sending, answer) => self.caller_hears(sending, answer),
            WorldEvent::AtTarget(target, key, call, decided) => {
                self.at_target(target, key, *call, decided)
            }
            WorldEvent::CancelAtTarget(target, key) => self.cancel_at_target(target, key),
            WorldEvent::PollAtTarget(target, vm, inc) => self.poll_at_target(target, vm, inc),
            WorldEvent::EngineStep(target) => self.engine_step(target),
            WorldEvent::PlainEnds(target, key, restart) => self.plain_ends(target, key, restart),
            WorldEvent::Crash(target, key, restart) => self.poison_strikes(target, key, restart),
            WorldEvent::AtPlatform(vm, incarnation, read) => {
                self.at_platform(vm, incarnation, read)
            }
            WorldEvent::PeerCallExpires(id) => self.fail_peer_call(id),
            WorldEvent::DrainEnds(vm, incarnation) => self.end_drain(vm, incarnation),
            WorldEvent::Observe => self.observe(),
            WorldEvent::Check => self.check(),
            WorldEvent::Fault(step) => self.apply_fault(step),
        }
    }

    /// Publishes the present targets and data centres as a new configuration.
    pub(crate) fn publish(&mut self) -> ConfigurationVersion {
        self.publications += 1;
        let ignored = self.mutation == Some(Mutation::IgnoreOut);
        let out: &[usize] = if ignored { &[] } else { &self.out };
        let parts = self.topology.parts(&self.targets, out, self.publications);
        let version = self.platform.publish(self.now, parts);
        self.observer.published(self.now, &self.out);
        self.journal.note(self.now, format_args!("publish {version} out {:?}", self.out));
        version
    }

    fn list_vms(&mut self) {
        let listed = (0..self.vms.len()).map(|vm| self.listed_vm(vm));
        let listed: Vec<ListedVm> = listed.collect();
        let lag = std::mem::take(&mut self.platform.list_lag);
        self.platform.change_list(self.now, |vms| *vms = listed);
        self.platform.list_lag = lag;
    }

    /// Entry of a VM in the list.
    pub(crate) fn listed_vm(&self, vm: usize) -> ListedVm {
        let home = &self.topology.workload.data_centres[self.topology.vms[vm]];
        ListedVm {
            vm: self.vms[vm].name.clone(),
            data_centre: home.as_str().into(),
            caller_address: format!("127.0.0.{}:8000", vm + 1),
            peer_address: Topology::peer_address(vm),
            state: VmState::Live,
            generation: 1,
        }
    }

    fn observe(&mut self) {
        for target in &mut self.targets {
            target.observe(self.now);
        }
        for (watch, answer) in self.platform.ended_watches(self.now) {
            self.answer_platform(watch.vm, watch.incarnation, watch.read, answer);
        }
        self.note_health();
        self.schedule(OBSERVE_PERIOD, WorldEvent::Observe);
    }

    fn note_health(&mut self) {
        for vm in 0..self.vms.len() {
            let impaired = self.vms[vm].paused_until.is_some()
                || self.network.hinders(vm, self.topology.vms[vm])
                || self.platform.hinders();
            self.observer.set_impaired(self.now, vm, impaired);
        }
    }

    fn check(&mut self) {
        let old_enough = self.now.saturating_sub(FORCE_TIME);
        let in_force = self.platform.history.iter().rev().find(|one| one.at <= old_enough);
        let in_force = in_force.map_or(0, |publication| publication.manifest.version);
        self.observer.periodic(self.now, in_force);
        for (vm, state) in self.vms.iter().enumerate() {
            let Some(process) = &state.process else { continue };
            let broken = process.node.scheduler().invariants().counts();
            for (name, count) in broken.filter(|(_, count)| *count > 0) {
                let detail = format!("VM {vm} counted {count} violations of {name}");
                self.observer.violate(CheckName::NodeInvariant, detail);
            }
        }
        self.schedule(CHECK_PERIOD, WorldEvent::Check);
    }

    /// A sending by its index.
    pub(crate) fn sending(&self, sending: SendingId) -> &Sending {
        &self.callers.sendings[sending]
    }
}
