//! Application of faults.

use std::time::Duration;

use rand::Rng;
use tarragon_protocol::platform::VmState;

use super::{World, WorldEvent};
use crate::soak::{fault::FaultStep, mutation::Mutation, platform::ServiceMode};

impl World {
    /// Applies a fault, or ends one.
    pub(crate) fn apply_fault(&mut self, step: FaultStep) {
        self.journal.note(self.now, format_args!("fault {step:?}"));
        match step {
            FaultStep::Kill(vm) => {
                self.kill(vm);
                let name = self.vms[vm].name.clone();
                self.platform.change_list(self.now, |vms| vms.retain(|listed| listed.vm != name));
            }
            FaultStep::Start(vm) => self.restart(vm),
            FaultStep::Replace(vm) => {
                self.kill(vm);
                self.restart(vm);
            }
            FaultStep::Pause(vm, length, suspend) => self.pause(vm, length, suspend),
            FaultStep::Resume(vm) => self.resume(vm),
            FaultStep::Burst(factor) => self.callers.burst = factor,
            FaultStep::Slow(target, factor) => self.targets[target].slowness = factor,
            FaultStep::Chill(target) => {
                let now = self.now;
                if self.targets[target].listens(now) {
                    self.targets[target].turn_cold(now);
                }
            }
            FaultStep::Restart(target, down) => self.crash_target(target, down),
            FaultStep::Leave(target, length) => {
                let now = self.now;
                self.targets[target].leave(now);
                // The platform stops a leaving target after its grace period and starts it again later.
                let restart = FaultStep::Restart(target, Duration::from_secs(2));
                self.schedule(length + Duration::from_secs(30), WorldEvent::Fault(restart));
            }
            FaultStep::Lossy(on) => self.set_lossy(on),
            FaultStep::LoseAnswers(part) => self.callers.lost_answers = part,
            FaultStep::Poison(count) => self.callers.poison_left += count,
            FaultStep::Publish => {
                self.publish();
            }
            FaultStep::Out(home, on) => self.take_out(home, on),
            FaultStep::Drain(vm) => self.drain(vm),
            platform_or_network => self.apply_outage(platform_or_network),
        }
    }

    fn apply_outage(&mut self, step: FaultStep) {
        match step {
            FaultStep::ServiceDown(true) => self.platform.mode = ServiceMode::Down,
            FaultStep::ServiceDown(false) => self.platform.mode = ServiceMode::Up,
            FaultStep::ServiceStale(None) => self.platform.mode = ServiceMode::Up,
            FaultStep::ServiceStale(Some(older)) => {
                let index = self.platform.history.len().saturating_sub(1 + older);
                self.platform.mode = ServiceMode::Stale(index);
                self.forget_versions();
            }
            FaultStep::ListDown(down) => self.platform.list_up = !down,
            FaultStep::ListLag(lag) => self.platform.list_lag = lag,
            FaultStep::Cut(near, far, on) => {
                let pair = (near.min(far), near.max(far));
                if on {
                    self.network.cut_pairs.insert(pair);
                } else {
                    self.network.cut_pairs.remove(&pair);
                }
            }
            FaultStep::Isolate(vm, true) => {
                self.network.isolated.insert(vm);
            }
            FaultStep::Isolate(vm, false) => {
                self.network.isolated.remove(&vm);
            }
            FaultStep::CutPlatform(vm, true) => {
                self.network.platform_cut.insert(vm);
            }
            FaultStep::CutPlatform(vm, false) => {
                self.network.platform_cut.remove(&vm);
            }
            _ => {}
        }
        self.note_health();
    }

    /// Takes a data centre out of service or puts it in.
    pub(crate) fn take_out(&mut self, home: usize, out: bool) {
        self.out.retain(|other| *other != home);
        // One data centre always stays in service, since operators never take all of them out.
        if out && self.out.len() + 1 < self.topology.workload.data_centres.len() {
            self.out.push(home);
        }
        self.publish();
    }

    fn set_lossy(&mut self, on: bool) {
        let (loss, duplicates, jitter) =
            if on { (0.1, 0.1, Duration::from_millis(60)) } else { (0.0, 0.0, Duration::ZERO) };
        self.network.loss = loss;
        self.network.duplicates = duplicates;
        self.network.jitter = jitter;
        self.note_health();
    }

    /// Starts a process on a VM that has none; the list gives it a new generation.
    pub(crate) fn restart(&mut self, vm: usize) {
        if self.vms[vm].process.is_some() {
            return;
        }
        let name = self.vms[vm].name.clone();
        let listed = self.listed_vm(vm);
        self.platform.change_list(self.now, |vms| {
            let generation = vms.iter().find(|old| old.vm == name).map_or(1, |old| old.generation);
            vms.retain(|old| old.vm != name);
            vms.push(tarragon_protocol::platform::ListedVm {
                generation: generation + 1,
                state: VmState::Live,
                ..listed
            });
        });
        self.start_process(vm);
    }

    /// Starts a new process after a graceful end.
    pub(super) fn restart_later(&mut self, vm: usize) {
        let name = self.vms[vm].name.clone();
        self.platform.change_list(self.now, |vms| vms.retain(|listed| listed.vm != name));
        let delay = Duration::from_millis(self.random.random_range(500..15_000));
        self.schedule(delay, WorldEvent::Fault(FaultStep::Start(vm)));
    }

    /// The mutation: a process starts anew, but the observer is not told.
    fn forget_versions(&mut self) {
        if self.mutation != Some(Mutation::ForgetVersion) {
            return;
        }
        for vm in 0..self.vms.len() {
            self.replace_silently(vm);
        }
    }
}
