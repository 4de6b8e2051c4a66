//! Random process ends, restarts, pauses, partitions, loans and configuration changes, with fixed seeds.
//!
//! Guards against any order of these after which the processes together use more slots than a target's
//! capacity, or one of them returns to an older configuration. Load reports stay constant, since a change
//! of capacity reaches the processes at different times.

#[path = "support/world.rs"]
#[allow(dead_code)]
mod world;

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tarragon_cluster::prelude::*;
use world::{World, address_of};

const VMS: usize = 6;
const TARGETS: usize = 3;
const BEARS: u32 = 10;
const FAULTS: usize = 120;
const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

fn vm_name(vm: usize) -> String {
    format!("dc0-vm-{vm:02}")
}

/// The process that was started last on a VM.
fn last_process_of(world: &World, vm: usize) -> usize {
    let address = address_of(&vm_name(vm));
    world.nodes.iter().rposition(|node| node.address == address).expect("each VM was started")
}

fn inject_fault(world: &mut World, random: &mut ChaCha8Rng, incarnation: u64) -> &'static str {
    let vm = random.random_range(0..VMS);
    let index = last_process_of(world, vm);
    let runs = world.nodes[index].alive && !world.nodes[index].paused;
    match random.random_range(0..10) {
        0 => {
            world.nodes[index].alive = false;
            "death"
        }
        1 | 2 if !world.nodes[index].alive => {
            world.start_node(&vm_name(vm), "dc0", incarnation);
            "restart"
        }
        3 => {
            world.nodes[index].paused = true;
            "pause"
        }
        4 | 5 => {
            world.nodes[index].paused = false;
            "resume"
        }
        6 => {
            world.nodes[index].group = 1 - world.nodes[index].group;
            "partition"
        }
        7 => {
            world.nodes.iter_mut().for_each(|node| node.group = 0);
            world.platform.up = !world.platform.up;
            "heal, platform up or down"
        }
        8 => {
            world.publish_part("rules-00", &format!("# change {incarnation}\n"));
            "configuration"
        }
        _ if runs => {
            let target = format!("dc0-runner-{:03}", random.random_range(0..TARGETS));
            world.handle(index, ClusterEvent::SlotNeeded(target.into()));
            "borrow"
        }
        _ => "nothing",
    }
}

fn check(world: &World, versions: &mut Vec<ConfigurationVersion>, seed: u64, last: &[&str]) {
    for target in world.targets.keys() {
        let sum = world.slots_in_use(target);
        assert!(sum <= BEARS, "seed {seed}: {sum} of {BEARS} slots at {target} after {last:?}");
    }
    versions.resize(world.nodes.len(), 0);
    for (node, known) in world.nodes.iter().zip(versions) {
        let version = node.cluster.configuration().map_or(0, |current| current.version);
        assert!(version >= *known, "seed {seed}: version {version} after {known}, {last:?}");
        *known = version;
    }
}

#[test]
fn random_faults_never_exceed_capacity_or_revert() {
    for seed in SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::with(VMS, TARGETS, BEARS);
        world.run_for(Duration::from_secs(15));
        let (mut versions, mut faults) = (Vec::new(), Vec::new());
        for round in 0..FAULTS {
            faults.push(inject_fault(&mut world, &mut random, 100 + round as u64));
            let last = &faults[faults.len().saturating_sub(12)..];
            for _ in 0..random.random_range(1..80) {
                world.step();
                check(&world, &mut versions, seed, last);
            }
        }
        recover_all(&mut world, seed);
    }
}

/// Restarts all VMs and checks that all slots are in use again, so that none has leaked.
fn recover_all(world: &mut World, seed: u64) {
    world.platform.up = true;
    for vm in 0..VMS {
        let index = last_process_of(world, vm);
        world.nodes[index].group = 0;
        world.nodes[index].paused = false;
        if !world.nodes[index].alive {
            world.start_node(&vm_name(vm), "dc0", 1000 + vm as u64);
        }
    }
    world.run_for(Duration::from_secs(30));
    for target in world.targets.keys() {
        let sum = world.slots_in_use(target);
        assert_eq!(sum, BEARS, "seed {seed}: slots of {target} at the end");
    }
}
