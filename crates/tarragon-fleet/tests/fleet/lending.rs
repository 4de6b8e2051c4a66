//! Slots that are divided among the processes of a data centre, and their loans. Without them an urgent request waits
//! at one process while another one sends normal work to the same target, and several processes use the same slot.

use std::time::Duration;

use tarragon_fleet::{
    lending::{LendingMessage, SlotAsk, WaitUrgency},
    node::LendingStatistics,
};

use crate::support::*;

const SLOTS: u32 = 4;
/// Smallest fleet of one data centre whose digests go to peers in rotation.
const SIZE: u16 = 14;

/// A fleet of one data centre whose processes divide the slots of their targets.
fn lending_fleet(size: u16, targets: u8) -> Fleet {
    let mut fleet = Fleet::start(size, targets);
    fleet.nodes.iter_mut().for_each(|node| node.open_lending());
    fleet.advance(Duration::from_millis(300));
    fleet
}

fn slots(fleet: &Fleet, target: &str) -> Vec<u32> {
    let usable =
        |node: &FleetNode| node.scheduler().slot_usage(target).map_or(0, |used| used.slots);
    fleet.nodes.iter().map(usable).collect()
}

fn owner_and_other(fleet: &Fleet, target: &str) -> (usize, usize) {
    let slots = slots(fleet, target);
    let owner = slots.iter().position(|slots| *slots > 0).unwrap();
    let other = slots.iter().position(|slots| *slots == 0).unwrap();
    (owner, other)
}

/// Sends a request to a process without a slot. Returns its start on a borrowed one.
fn borrow(fleet: &mut Fleet, borrower: usize) -> SchedulerAction {
    assert!(dispatched(&fleet.ask(borrower, 100)).is_empty());
    for _ in 0..SIZE {
        let decided = fleet.deliver_loans();
        if let [(node, action)] = &decided[..] {
            assert_eq!(*node, borrower);
            return action.clone();
        }
        // The process asks the next peers.
        fleet.advance(Duration::from_millis(100));
    }
    panic!("no peer has lent a slot");
}

/// Ends an attempt and delivers what follows. Returns the decisions of all processes.
fn finish(
    fleet: &mut Fleet,
    node: usize,
    action: &SchedulerAction,
) -> Vec<(usize, SchedulerAction)> {
    let SchedulerAction::Dispatch { request, attempt, target } = action else { panic!() };
    let mut actions = Vec::new();
    let now = fleet.now;
    let end = AttemptEnd::Finished;
    fleet.nodes[node].end_attempt(now, (*request, *attempt), target, end, &mut actions);
    let mut decided: Vec<_> = actions.into_iter().map(|action| (node, action)).collect();
    decided.extend(fleet.deliver_loans());
    decided
}

#[test]
fn each_slot_has_one_owner() {
    struct Case {
        processes: u16,
        divided: bool,
    }
    let cases = [
        Case { processes: 4, divided: false },
        Case { processes: 13, divided: false },
        Case { processes: 14, divided: true },
        Case { processes: 28, divided: true },
    ];
    for case in cases {
        let fleet = lending_fleet(case.processes, 6);
        for target in 1..=6 {
            let total: u32 = slots(&fleet, &format!("10.9.0.{target}:80")).iter().sum();
            assert_eq!(total == SLOTS, case.divided, "{} processes: {total}", case.processes);
        }
    }
}

#[test]
fn a_process_without_a_slot_borrows_one_and_returns_it() {
    let mut fleet = lending_fleet(SIZE, 1);
    let target = "10.9.0.1:80";
    let before = slots(&fleet, target);
    let (_, borrower) = owner_and_other(&fleet, target);
    let action = borrow(&mut fleet, borrower);
    assert_eq!(slots(&fleet, target).iter().sum::<u32>(), SLOTS);
    finish(&mut fleet, borrower, &action);
    assert_eq!(slots(&fleet, target), before);
}

#[test]
fn urgent_requests_go_first_over_the_whole_fleet() {
    let mut fleet = lending_fleet(SIZE, 1);
    let target = "10.9.0.1:80";
    let (_, other) = owner_and_other(&fleet, target);
    let mut running = Vec::new();
    for node in 0..usize::from(SIZE) {
        for _ in 0..2 {
            let actions = fleet.ask_in_tier(node, Tier::Normal);
            running.extend(actions.into_iter().map(|action| (node, action)));
        }
        running.extend(fleet.deliver_loans());
    }
    assert_eq!(running.len(), SLOTS as usize, "{running:?}");
    fleet.ask_in_tier(other, Tier::Urgent);
    // The process asks all peers in turns.
    for _ in 0..SIZE {
        fleet.now += Duration::from_millis(100);
        fleet.tick_all();
        fleet.deliver_loans();
    }
    let (node, action) = running.first().unwrap().clone();
    let decided = finish(&mut fleet, node, &action);
    let starts: Vec<usize> = decided.iter().map(|(node, _)| *node).collect();
    assert_eq!(starts, [other], "a normal request was sent before the urgent one");
}

#[test]
fn a_loan_ends_without_a_return() {
    struct Case {
        name: &'static str,
        /// Whether the borrower dies, instead of only its return being lost.
        dies: bool,
        after: Duration,
    }
    let cases = [
        Case { name: "return lost", dies: false, after: Duration::from_millis(900) },
        Case { name: "borrower dies", dies: true, after: Duration::from_millis(2_500) },
    ];
    for case in cases {
        let mut fleet = lending_fleet(SIZE, 1);
        let target = "10.9.0.1:80";
        let (_, borrower) = owner_and_other(&fleet, target);
        let action = borrow(&mut fleet, borrower);
        if case.dies {
            fleet.kill(&[borrower]);
        } else {
            fleet.finish(borrower, &action, AttemptEnd::Finished);
            fleet.nodes[borrower].take_lending_messages();
        }
        let end = fleet.now + case.after;
        while fleet.now < end {
            fleet.now += Duration::from_millis(100);
            fleet.gossip_in_turns();
            fleet.tick_all();
        }
        let alive = (0..usize::from(SIZE)).filter(|node| !case.dies || *node != borrower);
        let usable: u32 = alive.map(|node| slots(&fleet, target)[node]).sum();
        assert_eq!(usable, SLOTS, "{}", case.name);
    }
}

#[test]
fn a_process_that_reaches_no_peer_uses_its_own_slots() {
    let mut fleet = lending_fleet(SIZE, 6);
    let own: u32 = (1..=6).map(|target| slots(&fleet, &format!("10.9.0.{target}:80"))[0]).sum();
    let mut sent = 0;
    for _ in 0..24 {
        sent += dispatched(&fleet.ask(0, 100)).len() as u32;
        fleet.nodes[0].take_lending_messages();
    }
    assert_eq!(sent, own);
}

#[test]
fn an_offer_that_nobody_needs_is_declined_once() {
    let mut fleet = lending_fleet(SIZE, 1);
    let target = "10.9.0.1:80";
    let (owner, other) = owner_and_other(&fleet, target);
    let urgency = WaitUrgency { class: 0, slack_ms: 0 };
    let service = tarragon_fleet::digest::name_key(SERVICE);
    let ask = LendingMessage::Ask(SlotAsk { service, urgency, count: 4 });
    let now = fleet.now;
    let from = address(other as u16 + 1);
    fleet.nodes[owner].receive_lending(now, from, ask, &mut Vec::new());
    fleet.deliver_loans();
    let LendingStatistics { lent, .. } = fleet.nodes[owner].lending_statistics();
    assert_eq!((lent, slots(&fleet, target)[owner]), (1, 1));
}

#[test]
fn messages_of_another_version_are_ignored() {
    let message = LendingMessage::Return(7);
    let mut bytes = message.to_bytes().unwrap();
    assert_eq!(LendingMessage::from_bytes(&bytes).unwrap(), Some(message));
    bytes[0] = 200;
    assert_eq!(LendingMessage::from_bytes(&bytes).unwrap(), None);
    assert_eq!(LendingMessage::from_bytes(&[]).unwrap(), None);
}
