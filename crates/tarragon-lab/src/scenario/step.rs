//! The steps of the scenario language.

use std::{fmt::Write, time::Duration};

use anyhow::{Context, anyhow, bail, ensure};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tarragon_protocol::prelude::TargetState;

use super::Arguments;
use crate::{
    soak::{fault::FaultStep, topology::Topology, world::World},
    workload::Workload,
};

/// Time that processes get to find each other.
const START_TIME: Duration = Duration::from_secs(15);

/// A world and the names that a scenario has given to its calls.
#[derive(Default)]
pub(super) struct Stage {
    world: Option<World>,
    calls: IndexMap<String, usize>,
}

impl Stage {
    /// Runs one step and returns what it prints.
    pub(super) fn run(&mut self, step: &str, arguments: &Arguments<'_>) -> anyhow::Result<String> {
        match step {
            "start" => self.start(arguments),
            "send" => self.send(arguments),
            "repeat" => self.repeat(arguments),
            "hang-up" => self.hang_up(arguments),
            "advance" => self.advance(arguments),
            "expect" => self.expect(arguments),
            "state" => self.state(),
            "traffic" => {
                self.world()?.set_rate(arguments.number("rate")? as f64);
                Ok(String::new())
            }
            _ => {
                let fault = parse_fault(self.world()?, step, arguments)?;
                self.world()?.apply_fault(fault);
                Ok(String::new())
            }
        }
    }

    fn world(&mut self) -> anyhow::Result<&mut World> {
        self.world.as_mut().ok_or_else(|| anyhow!("the scenario must begin with `start`"))
    }

    fn start(&mut self, arguments: &Arguments<'_>) -> anyhow::Result<String> {
        let workload = Workload::named(arguments.required("workload")?)?;
        let vms = arguments.number("vms")?;
        ensure!((2..=16).contains(&vms), "`vms` must be from 2 to 16");
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let topology = Topology::new(workload, vms, &mut random);
        let homes = topology.workload.data_centres.len();
        let mut world = World::new(topology, 1, None, arguments.has("echo"));
        world.run_until(START_TIME);
        let ready = world.vms.iter().filter(|vm| is_ready(vm)).count();
        self.world = Some(world);
        self.calls.clear();
        Ok(format!("{vms} VMs in {homes} data centres, {ready} ready"))
    }

    fn send(&mut self, arguments: &Arguments<'_>) -> anyhow::Result<String> {
        let name = arguments.required("call")?.to_owned();
        let class = arguments.required("class")?.to_owned();
        let vm = arguments.number("vm")?;
        let poison = arguments.has("poison");
        let world = self.world()?;
        let call = world.add_call(&class, poison, arguments.has("patient"))?;
        let ticket_vm = arguments.number("ticket").unwrap_or(vm);
        let sent = world.send_by_hand(call, vm, ticket_vm);
        self.calls.insert(name, call);
        sent.map(|()| String::new())
    }

    fn repeat(&mut self, arguments: &Arguments<'_>) -> anyhow::Result<String> {
        let call = self.call(arguments)?;
        let vm = arguments.number("vm")?;
        self.world()?.send_by_hand(call, vm, vm)?;
        Ok(String::new())
    }

    fn hang_up(&mut self, arguments: &Arguments<'_>) -> anyhow::Result<String> {
        let call = self.call(arguments)?;
        let world = self.world()?;
        let open = world.callers.open_of(call);
        for sending in open {
            world.hang_up(sending);
        }
        Ok(String::new())
    }

    fn advance(&mut self, arguments: &Arguments<'_>) -> anyhow::Result<String> {
        let length = arguments.duration("by")?;
        let world = self.world()?;
        world.run_until(world.now + length);
        let mut output = String::new();
        for violation in world.observer.take_violations() {
            writeln!(output, "violation: {violation}")?;
        }
        Ok(output)
    }

    fn expect(&mut self, arguments: &Arguments<'_>) -> anyhow::Result<String> {
        if !arguments.has("call") {
            return self.expect_all();
        }
        let name = arguments.required("call")?.to_owned();
        let call = self.call(arguments)?;
        let world = self.world()?;
        let runs = world.observer.runs_of(call);
        let answer = world.describe_call(call);
        // How often an idempotent call runs depends on the choice of targets and is no rule.
        Ok(if world.callers.calls[call].ticketed {
            format!("{name}: {answer}, runs {runs}")
        } else {
            format!("{name}: {answer}")
        })
    }

    fn expect_all(&mut self) -> anyhow::Result<String> {
        let world = self.world()?;
        Ok(match world.callers.count(None) {
            0 => "every call has an outcome".to_owned(),
            open => format!("{open} calls have no outcome"),
        })
    }

    fn state(&mut self) -> anyhow::Result<String> {
        let world = self.world()?;
        let mut output = String::new();
        for (index, vm) in world.vms.iter().enumerate() {
            let state = match (&vm.process, vm.paused_until) {
                (None, _) => "stopped",
                (Some(_), Some(_)) => "paused",
                (Some(process), None) if process.draining.is_some() => "draining",
                (Some(process), None) if process.ready => "ready",
                (Some(_), None) => "not ready",
            };
            let version = world.observer.version_of(index);
            writeln!(output, "vm {index} in {}: {state}, version {version}", vm.data_centre)?;
        }
        let cold = world.targets.iter().filter(|target| target.state == TargetState::Cold).count();
        write!(output, "{cold} cold targets")?;
        Ok(output)
    }

    fn call(&self, arguments: &Arguments<'_>) -> anyhow::Result<usize> {
        let name = arguments.required("call")?;
        self.calls.get(name).copied().with_context(|| format!("no call is named `{name}`"))
    }
}

fn is_ready(vm: &crate::soak::world::Vm) -> bool {
    vm.process.as_ref().is_some_and(|process| process.ready)
}

fn parse_fault(world: &World, step: &str, arguments: &Arguments<'_>) -> anyhow::Result<FaultStep> {
    let vm = || -> anyhow::Result<usize> {
        let vm = arguments.number("vm")?;
        ensure!(vm < world.vms.len(), "there is no VM {vm}");
        Ok(vm)
    };
    let home = |name: &str| -> anyhow::Result<usize> {
        let home = arguments.number(name)?;
        let count = world.topology.workload.data_centres.len();
        ensure!(home < count, "there is no data centre {home}");
        Ok(home)
    };
    let target = || -> anyhow::Result<usize> {
        let name = arguments.required("target")?;
        let found = world.targets.iter().position(|target| *target.name == *name);
        found.with_context(|| format!("no target is named `{name}`"))
    };
    Ok(match step {
        "kill" => FaultStep::Kill(vm()?),
        "boot" => FaultStep::Start(vm()?),
        "replace" => FaultStep::Replace(vm()?),
        "pause" => FaultStep::Pause(vm()?, Duration::from_secs(3_600), arguments.has("suspend")),
        "resume" => FaultStep::Resume(vm()?),
        "drain" => FaultStep::Drain(vm()?),
        "isolate" => FaultStep::Isolate(vm()?, true),
        "rejoin" => FaultStep::Isolate(vm()?, false),
        "cut-platform" => FaultStep::CutPlatform(vm()?, true),
        "reach-platform" => FaultStep::CutPlatform(vm()?, false),
        "cut" => FaultStep::Cut(home("from")?, home("to")?, true),
        "heal" => FaultStep::Cut(home("from")?, home("to")?, false),
        "take-out" => FaultStep::Out(home("data-centre")?, true),
        "put-in" => FaultStep::Out(home("data-centre")?, false),
        "publish" => FaultStep::Publish,
        "service-down" => FaultStep::ServiceDown(true),
        "service-up" => FaultStep::ServiceDown(false),
        "service-stale" => FaultStep::ServiceStale(Some(arguments.number("by")?)),
        "service-fresh" => FaultStep::ServiceStale(None),
        "list-down" => FaultStep::ListDown(true),
        "list-up" => FaultStep::ListDown(false),
        "list-lag" => FaultStep::ListLag(arguments.duration("by")?),
        "burst" => FaultStep::Burst(arguments.number("factor")? as f64),
        "slow" => FaultStep::Slow(target()?, arguments.number("factor")? as f64),
        "chill" => FaultStep::Chill(target()?),
        "restart" => FaultStep::Restart(target()?, arguments.duration("down")?),
        "leave" => FaultStep::Leave(target()?, arguments.duration("after")?),
        "lossy" => FaultStep::Lossy(arguments.required("on")? == "yes"),
        "lose-answers" => FaultStep::LoseAnswers(match arguments.required("on")? {
            "all" => 1.0,
            "some" => 0.2,
            _ => 0.0,
        }),
        _ => bail!("there is no step `{step}`"),
    })
}
