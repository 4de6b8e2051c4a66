//! Tests of whole simulated clusters in one process.

#[path = "support/world.rs"]
mod world;

use std::time::Duration;

use tarragon_cluster::{
    cluster::ClusterSettings, event::ClusterAction, fence::fencing_number, member::MemberStatus,
    prelude::*,
};
use tarragon_protocol::{engine::OrderChange, peer::PlannedOrder};
use world::{World, address_of};

const SECOND: Duration = Duration::from_secs(1);

fn all_ready(world: &World) -> bool {
    world.nodes.iter().filter(|node| node.alive).all(|node| node.ready)
}

fn all_have(world: &World, version: ConfigurationVersion) -> bool {
    world.versions().iter().all(|known| *known == version)
}

fn started_world(vms: usize, targets: usize, bears: u32) -> World {
    let mut world = World::with(vms, targets, bears);
    world.run_until(20 * SECOND, all_ready).expect("all nodes become ready");
    world.run_for(10 * SECOND);
    world
}

/// Guards against slots that don't add up to the target's capacity, before, during and after changes of
/// the view: the start of a process, its end and its return under a new incarnation.
#[test]
fn slots_never_exceed_target_capacity() {
    for (vms, bears) in [(1, 5), (3, 2), (8, 20), (8, 3)] {
        let mut world = World::with(vms, 4, bears);
        let check = |world: &World, exact: bool| {
            for target in world.targets.keys() {
                let sum = world.slots_in_use(target);
                assert!(sum <= bears, "{vms} VMs use {sum} of {bears} slots of {target}");
                assert!(!exact || sum == bears, "{vms} VMs use only {sum} of {bears} slots");
            }
        };
        let run = |world: &mut World, seconds: u32| {
            for _ in 0..10 * seconds {
                world.step();
                check(world, false);
            }
        };
        run(&mut world, 20);
        check(&world, true);
        world.list_vm("dc0-late", "dc0");
        world.start_node("dc0-late", "dc0", 500);
        run(&mut world, 20);
        check(&world, true);
        world.nodes[0].alive = false;
        run(&mut world, 20);
        world.platform.list.version += 1;
        world.platform.list.vms.remove(0);
        run(&mut world, 20);
        check(&world, true);
        world.list_vm("dc0-vm-00", "dc0");
        world.start_node("dc0-vm-00", "dc0", 900);
        run(&mut world, 20);
        check(&world, true);
    }
}

/// Guards against more requests at a cold target than its capacity: one without a recent report has one
/// slot in all, and a target that turns cold loses its slots at all VMs at once.
#[test]
fn slots_of_cold_targets_stay_within_their_capacity() {
    let mut world = started_world(8, 2, 64);
    let target: TargetName = "dc0-runner-000".into();
    assert_eq!(world.slots_in_use(&target), 64);
    let report = &mut world.targets[&target];
    report.restart_id += 1;
    report.state = TargetState::Cold;
    report.capacity = 2;
    let took = world.run_until(5 * SECOND, |world| world.slots_in_use("dc0-runner-000") <= 2);
    assert!(took.expect("slots fall") <= SECOND + SECOND / 2, "took {took:?}");
    world.targets.swap_remove(&target);
    world.run_for(12 * SECOND);
    assert_eq!(world.slots_in_use(&target), 1);
}

/// Guards against a VM that does not announce its suspicion that a target has turned cold.
#[test]
fn a_suspected_cold_target_loses_its_slots_at_all_vms_at_once() {
    let mut world = started_world(8, 2, 64);
    let target: TargetName = "dc0-runner-001".into();
    world.handle(3, ClusterEvent::TargetSuspectedCold(target.clone()));
    world.step();
    world.step();
    assert!(world.slots_in_use(&target) <= 1, "{}", world.slots_in_use(&target));
    world.run_for(5 * SECOND);
    assert_eq!(world.slots_in_use(&target), 64);
}

/// Guards against a configuration that takes longer than 14 s, or reaches only the readers.
#[test]
fn a_configuration_is_active_everywhere_within_14_s() {
    let mut world = started_world(31, 10, 20);
    let version = world.platform.manifest.version + 1;
    world.publish_targets("dc0", 11, 20);
    world.reset_counts();
    let took = world.run_until(14 * SECOND, |world| all_have(world, version));
    assert!(took.is_some(), "versions {:?}", world.versions());
    let calls = world.platform.calls;
    assert!(calls <= 8, "{calls} calls of the platform for one change");
}

/// Guards against a return to an older configuration when the service comes back with an old value.
#[test]
fn an_older_configuration_is_refused() {
    let mut world = started_world(4, 2, 8);
    let old = world.platform.manifest.clone();
    let old_parts = world.platform.parts.clone();
    world.publish_targets("dc0", 3, 8);
    let version = world.platform.manifest.version;
    world.run_until(14 * SECOND, |world| all_have(world, version)).expect("the change arrives");
    world.platform.manifest = old;
    world.platform.parts = old_parts;
    world.platform.up = false;
    world.run_for(10 * SECOND);
    world.platform.up = true;
    world.start_node("dc0-new", "dc0", 77);
    world.run_for(30 * SECOND);
    assert!(all_have(&world, version), "versions {:?}", world.versions());
    assert!(world.nodes[4].ready, "the new process takes the higher version of its peers");
}

/// Guards against an invalid configuration that replaces the last good one or is read in a loop.
#[test]
fn an_invalid_configuration_is_refused_everywhere() {
    let mut world = started_world(4, 2, 8);
    let good = world.platform.manifest.version;
    world.publish_part("targets-dc0", "{not a list");
    world.reset_counts();
    world.run_for(30 * SECOND);
    assert!(all_have(&world, good), "versions {:?}", world.versions());
    assert!(world.nodes.iter().any(|node| !node.refused.is_empty()));
    assert!(world.platform.calls < 40, "{} calls", world.platform.calls);
    world.publish_targets("dc0", 3, 8);
    let version = world.platform.manifest.version;
    let took = world.run_until(14 * SECOND, |world| all_have(world, version));
    assert!(took.is_some(), "versions {:?}", world.versions());
}

/// Guards against a number of platform calls that grows with the number of VMs.
#[test]
fn platform_calls_do_not_grow_with_the_number_of_vms() {
    for vms in [8, 31] {
        let mut world = started_world(vms, 4, 40);
        world.reset_counts();
        world.run_for(60 * SECOND);
        let calls = world.platform.calls;
        assert!(calls <= 12, "{vms} VMs made {calls} calls in a minute without a change");
    }
}

/// Guards against VMs that call a platform too often while it is down, or notice its return too late.
#[test]
fn calls_are_paced_while_the_platform_is_down() {
    let mut world = started_world(8, 4, 40);
    world.platform.up = false;
    world.run_for(30 * SECOND);
    world.reset_counts();
    world.run_for(60 * SECOND);
    let calls = world.platform.calls;
    assert!(calls <= 60, "{calls} calls in a minute while the platform is down");
    world.platform.up = true;
    world.publish_targets("dc0", 5, 40);
    let version = world.platform.manifest.version;
    let took = world.run_until(14 * SECOND, |world| all_have(world, version));
    assert!(took.is_some(), "versions {:?}", world.versions());
}

/// Guards against a new process that serves before it has asked a peer, or never serves without one.
#[test]
fn a_new_process_asks_platform_and_peer_before_it_serves() {
    let mut world = World::with(1, 2, 8);
    let alone = world.run_until(20 * SECOND, all_ready).expect("a lone process becomes ready");
    assert!(alone <= 6 * SECOND, "took {alone:?}");

    let mut world = World::with(2, 2, 8);
    world.nodes[1].alive = false;
    let waited = world.run_until(20 * SECOND, all_ready).expect("it serves without the peer");
    assert!(waited >= 10 * SECOND, "took {waited:?}");
}

/// Guards against a process that can start only while the platform is up.
#[test]
fn a_process_starts_from_a_seed_while_the_platform_is_down() {
    let mut world = started_world(3, 2, 8);
    world.platform.up = false;
    let identity = PeerIdentity { vm: "dc0-late".into(), incarnation: 55 };
    let mut settings = ClusterSettings::new(
        identity,
        "dc0".into(),
        "127.0.0.1:caller-late".to_owned(),
        address_of("dc0-late"),
    );
    settings.seeds = vec![address_of("dc0-vm-01")];
    let index = world.start_with(settings);
    let took = world.run_until(20 * SECOND, |world| world.nodes[index].ready);
    assert!(took.is_some(), "{:?}", world.nodes[index].cluster.dump(world.now));
}

/// Guards against a process that uses outdated slots, shed floors and roles after a pause, or that
/// removes its peers because it got no heartbeats while it was paused.
#[test]
fn a_resumed_process_uses_only_slots_held_before_the_pause() {
    let mut world = started_world(4, 2, 8);
    world.nodes[0].paused = true;
    world.run_for(20 * SECOND);
    world.nodes[0].paused = false;
    world.nodes[0].group = 1;
    world.nodes[0].forgotten.clear();
    let held: u32 = world.nodes[0].slots.values().map(|share| share.slots).sum();
    world.step();
    let node = &world.nodes[0];
    assert_eq!(node.forgotten.len(), 3, "floors and grants of all peers lapse");
    let dump = node.cluster.dump(world.now);
    assert!(dump.members.iter().all(|(_, status)| *status == MemberStatus::Up), "{dump:?}");
    assert!(!dump.peer_checked);
    world.run_for(8 * SECOND);
    let kept: u32 = world.nodes[0].slots.values().map(|share| share.slots).sum();
    assert!(kept <= held, "{kept} slots after the pause, {held} before");
    assert!(kept > 0, "the slots held before the pause are lost");
    world.nodes[0].group = 0;
    world.run_for(10 * SECOND);
    assert_eq!(world.slots_in_use("dc0-runner-000"), 8);
}

/// Guards against VMs of one side of a partition that take over the slots of the other side.
#[test]
fn slots_stay_within_capacity_during_a_partition() {
    let mut world = started_world(6, 3, 12);
    for index in 0..3 {
        world.nodes[index].group = 1;
    }
    for _ in 0..300 {
        world.step();
        for target in world.targets.keys() {
            assert!(world.slots_in_use(target) <= 12, "{}", world.slots_in_use(target));
        }
    }
    for node in &mut world.nodes {
        node.group = 0;
    }
    world.run_for(20 * SECOND);
    let dump = world.nodes[0].cluster.dump(world.now);
    assert!(dump.members.iter().all(|(_, status)| *status == MemberStatus::Up), "{dump:?}");
    assert_eq!(world.slots_in_use("dc0-runner-001"), 12);
}

/// Guards against slots above the target's capacity when some are lent, and against a slot that is lost
/// when its borrower ends.
#[test]
fn borrowed_slots_are_subtracted_and_returned() {
    let mut world = started_world(4, 1, 2);
    let target: TargetName = "dc0-runner-000".into();
    let slots = |world: &World, index: usize| world.nodes[index].slots[&target].slots;
    let borrower = (0..4).find(|index| slots(&world, *index) == 0).expect("2 slots for 4 VMs");
    world.handle(borrower, ClusterEvent::SlotNeeded(target.clone()));
    world.step();
    assert_eq!(slots(&world, borrower), 1);
    assert_eq!(world.slots_in_use(&target), 2);
    world.handle(borrower, ClusterEvent::BorrowedSlotReleased(target.clone()));
    assert_eq!(slots(&world, borrower), 0);
    assert_eq!(world.slots_in_use(&target), 2);

    world.handle(borrower, ClusterEvent::SlotNeeded(target.clone()));
    world.step();
    assert_eq!(slots(&world, borrower), 1);
    world.nodes[borrower].alive = false;
    world.run_for(12 * SECOND);
    assert_eq!(world.slots_in_use(&target), 2);
}

/// Guards against an order from a VM that does not own the target or has just become its owner, and
/// against one sooner than 60 s after the last order from any VM.
#[test]
fn only_the_owner_sends_orders_and_at_least_60_s_apart() {
    let mut world = started_world(4, 1, 8);
    world.run_for(5 * SECOND);
    let target: TargetName = "dc0-runner-000".into();
    let version = world.platform.manifest.version;
    let change = OrderChange::Load { model: "m".into(), version: 1, adapter: None };
    let plan = vec![PlannedOrder { target: target.clone(), change }];
    world.targets[&target].last_order_age_ms = Some(50_000);
    let send_plan = |world: &mut World| {
        for index in 0..4 {
            world.handle(index, ClusterEvent::OrdersPlanned(version, plan.clone()));
        }
    };
    let orders = |world: &World| -> Vec<(TargetName, u64)> {
        world.nodes.iter().flat_map(|node| node.orders.clone()).collect()
    };
    send_plan(&mut world);
    world.run_for(3 * SECOND);
    assert_eq!(orders(&world), [], "50 s after an order of somebody else");
    world.targets[&target].last_order_age_ms = Some(61_000);
    world.run_for(12 * SECOND);
    assert_eq!(orders(&world), [(target.clone(), fencing_number(version, 1))]);
    world.run_for(40 * SECOND);
    assert_eq!(orders(&world).len(), 1, "a second order within 60 s");
    world.targets[&target].models = vec!["m".into()];
    world.run_for(60 * SECOND);
    assert_eq!(orders(&world).len(), 1, "an order without a difference");
}

/// Guards against a conviction or a successor that reaches only the VMs that are up when it is announced.
#[test]
fn suspects_and_successors_reach_members_that_start_later() {
    let mut world = started_world(4, 1, 8);
    let entry = SuspectEntry {
        convicted: true,
        ..SuspectEntry::of_request(9, [("dc0-runner-000".into(), 1)])
    };
    world.handle(0, ClusterEvent::SuspectFound(entry));
    let owner = PeerIdentity { vm: "gone".into(), incarnation: 3 };
    let successor = PeerIdentity { vm: "dc0-vm-01".into(), incarnation: 2 };
    let entry = SuccessorEntry {
        owner: owner.clone(),
        successor,
        peer_address: address_of("dc0-vm-01"),
        age_ms: 0,
    };
    world.handle(0, ClusterEvent::HandoverCompleted(entry));
    world.step();
    world.step();
    for index in 1..4 {
        assert_eq!(world.nodes[index].suspects.len(), 1);
        assert!(world.nodes[index].cluster.successor_of(&owner).is_some());
    }
    world.list_vm("dc0-late", "dc0");
    let late = world.start_node("dc0-late", "dc0", 40);
    world.run_for(15 * SECOND);
    assert_eq!(world.nodes[late].suspects.len(), 1);
    assert!(world.nodes[late].cluster.successor_of(&owner).is_some());
    world.run_for(1200 * SECOND);
    assert!(world.nodes[late].cluster.successor_of(&owner).is_none());
}

/// Guards against a draining or leaving VM that stays ready, keeps its targets in service, or changes its
/// successor between two attempts.
#[test]
fn a_draining_vm_takes_no_new_work() {
    let mut world = started_world(3, 2, 8);
    world.handle(0, ClusterEvent::DrainStarted);
    assert!(!world.nodes[0].ready && world.nodes[0].relay);
    assert_eq!(world.nodes[0].open_targets, 0);
    let now = world.now;
    let first = world.nodes[0].cluster.handover_successor(now);
    assert!(first.is_some());
    world.run_for(5 * SECOND);
    let now = world.now;
    assert_eq!(world.nodes[0].cluster.handover_successor(now), first);
    world.handle(1, ClusterEvent::DrainStarted);
    world.step();
    world.step();
    let successor = world.nodes[1].cluster.handover_successor(now).map(|peer| peer.vm);
    assert_eq!(successor.as_deref(), Some("dc0-vm-02"), "not a peer that drains too");

    world.platform.list.version += 1;
    world.platform.list.vms[2].state = VmState::Leaving;
    let took = world.run_until(3 * SECOND, |world| !world.nodes[2].ready);
    assert!(took.is_some(), "a leaving VM is still ready after 3 s");
    assert_eq!(world.nodes[2].open_targets, 0);
}

/// Guards against a new process of a VM that is ignored because of the old one, and against a slot that
/// is lent to the old one.
#[test]
fn a_new_incarnation_replaces_the_old_one() {
    let mut world = started_world(3, 1, 6);
    world.nodes[2].alive = false;
    world.run_for(SECOND);
    world.start_node("dc0-vm-02", "dc0", 300);
    world.run_for(15 * SECOND);
    let old = PeerIdentity { vm: "dc0-vm-02".into(), incarnation: 3 };
    assert!(world.nodes[0].forgotten.contains(&old));
    let mut actions: Vec<ClusterAction> = Vec::new();
    let target: TargetName = "dc0-runner-000".into();
    let now = world.now;
    let grant = world.nodes[0].cluster.grant_slot(now, &old, &target, 0, &mut actions);
    assert_eq!(grant, None, "a slot was lent to a process that is gone");
}

/// Guards against work that starts in a data centre that was taken out of service, and against full load
/// on its targets when it returns.
#[test]
fn a_data_centre_out_of_service_gets_no_work_until_it_returns() {
    let mut world = World::new();
    for (vm, data_centre) in [("a-0", "a"), ("a-1", "a"), ("b-0", "b"), ("b-1", "b")] {
        world.list_vm(vm, data_centre);
    }
    world.publish_targets("a", 2, 8);
    world.publish_targets("b", 2, 8);
    for (index, vm) in ["a-0", "a-1", "b-0", "b-1"].into_iter().enumerate() {
        world.start_node(vm, &vm[..1], index as u64 + 1);
    }
    world.run_until(20 * SECOND, all_ready).expect("all nodes become ready");
    world.publish_part("rules-00", "data-centre a state=out # asked by: test\n");
    let out = |world: &World| !world.nodes[0].ready && !world.nodes[1].ready;
    world.run_until(14 * SECOND, out).expect("its VMs become unready");
    world.run_for(2 * SECOND);
    for (index, node) in world.nodes.iter().enumerate() {
        let out = index < 2;
        assert_eq!((node.relay, node.open_targets), (out, if out { 0 } else { 2 }));
    }
    let peers = world.nodes[2].cluster.remote_peers(world.now);
    assert_eq!(peers, [], "the data centre that is out gets no relayed work");
    world.run_for(10 * SECOND);
    let report = &mut world.targets["a-runner-000"];
    (report.state, report.capacity, report.running, report.waiting) = (TargetState::Cold, 1, 0, 0);
    world.publish_part("rules-00", "data-centre a state=in # asked by: test\n");
    let version = world.platform.manifest.version;
    world.run_until(14 * SECOND, |world| all_have(world, version)).expect("the change arrives");
    assert!(world.slots_in_use("a-runner-001") <= 1, "warm again before a report says so");
    world.run_for(5 * SECOND);
    assert!(world.nodes[0].ready && !world.nodes[0].relay);
    assert_eq!(world.slots_in_use("a-runner-000"), 1);
    assert_eq!(world.slots_in_use("a-runner-001"), 8);
}

/// Guards against an isolated VM that uses more slots than it held, or sends requests to cold targets,
/// whose other requests it does not know.
#[test]
fn an_isolated_vm_uses_only_slots_it_held() {
    let mut world = started_world(4, 2, 8);
    let [first, second]: [TargetName; 2] = ["dc0-runner-000".into(), "dc0-runner-001".into()];
    let slots = |world: &World, target: &TargetName| world.nodes[0].slots[target].slots;
    let held = slots(&world, &first);
    world.nodes[0].group = 1;
    world.run_for(7 * SECOND);
    world.targets[&first].capacity = 64;
    let report = &mut world.targets[&second];
    (report.state, report.capacity) = (TargetState::Cold, 4);
    world.run_for(10 * SECOND);
    assert_eq!((slots(&world, &first), slots(&world, &second)), (held, 0));
    world.nodes[0].group = 0;
    world.run_for(15 * SECOND);
    assert_eq!((slots(&world, &first), slots(&world, &second)), (16, 1));
}

/// Guards against a borrowed slot that is still used when its lender, which gets no heartbeats of the
/// borrower, reclaims it.
#[test]
fn a_borrower_stops_before_its_lender_takes_the_slot_back() {
    let mut world = started_world(4, 1, 2);
    let target: TargetName = "dc0-runner-000".into();
    let slots = |world: &World, index: usize| world.nodes[index].slots[&target].slots;
    let borrower = (0..4).find(|index| slots(&world, *index) == 0).expect("2 slots for 4 VMs");
    world.handle(borrower, ClusterEvent::SlotNeeded(target.clone()));
    world.step();
    assert_eq!(slots(&world, borrower), 1);
    world.nodes[borrower].group = 1;
    for _ in 0..200 {
        world.step();
        assert!(world.slots_in_use(&target) <= 2, "{}", world.slots_in_use(&target));
    }
    assert_eq!((slots(&world, borrower), world.slots_in_use(&target)), (0, 2));
}

/// Guards against a third crashed target, in another data centre: a caller repeats its request there 2 s
/// after the crash, and digests alone, sent to one remote member a second, often arrive later than that.
#[test]
fn suspects_and_successors_reach_other_data_centres_at_once() {
    let mut world = World::new();
    let vms: Vec<String> = ["a", "b", "c"]
        .iter()
        .flat_map(|data_centre| (0..6).map(move |number| format!("{data_centre}-{number}")))
        .collect();
    for vm in &vms {
        world.list_vm(vm, &vm[..1]);
    }
    for data_centre in ["a", "b", "c"] {
        world.publish_targets(data_centre, 1, 8);
    }
    for (index, vm) in vms.iter().enumerate() {
        world.start_node(vm, &vm[..1], index as u64 + 1);
    }
    world.run_until(20 * SECOND, all_ready).expect("all nodes become ready");
    let entry = SuspectEntry::of_request(9, [("a-runner-000".into(), 1)]);
    world.handle(0, ClusterEvent::SuspectFound(entry));
    let owner = PeerIdentity { vm: "gone".into(), incarnation: 3 };
    let successor = PeerIdentity { vm: "a-1".into(), incarnation: 2 };
    let peer_address = address_of("a-1");
    let entry = SuccessorEntry { owner: owner.clone(), successor, peer_address, age_ms: 0 };
    world.handle(0, ClusterEvent::HandoverCompleted(entry));
    world.run_for(Duration::from_millis(500));
    for node in &world.nodes[1..] {
        assert_eq!(node.suspects.len(), 1);
        assert!(node.cluster.successor_of(&owner).is_some());
    }
}
