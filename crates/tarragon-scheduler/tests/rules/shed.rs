//! Overload: order of shedding, shed floors and deadlines.

use super::*;
use std::time::Duration;
use tarragon_protocol::peer::PeerIdentity;

fn driver_with_full_target(waiting: usize) -> Driver {
    let mut driver = Driver::new(SchedulerLimits { waiting, waiting_tokens: 1_000_000 });
    driver.add_target("pool", "t0", 1);
    // The only slot is taken by a request that can't be pre-empted.
    driver.send(Call::tier(Tier::Urgent));
    driver
}

struct ShedCase {
    name: &'static str,
    waiting: &'static [Tier],
    arriving: Tier,
    /// Tier that is shed, and whether it is the arriving request.
    shed: (Tier, bool),
}

const SHEDDING: &[ShedCase] = &[
    ShedCase {
        name: "the lowest tier gives way",
        waiting: &[Tier::Routine, Tier::Normal, Tier::High],
        arriving: Tier::Urgent,
        shed: (Tier::Routine, false),
    },
    ShedCase {
        name: "the newest of the lowest tier gives way",
        waiting: &[Tier::Normal, Tier::Normal, Tier::High],
        arriving: Tier::High,
        shed: (Tier::Normal, false),
    },
    ShedCase {
        name: "among equals the arriving one is the newest",
        waiting: &[Tier::High, Tier::High, Tier::Urgent],
        arriving: Tier::High,
        shed: (Tier::High, true),
    },
    ShedCase {
        name: "a lower one displaces nothing",
        waiting: &[Tier::High, Tier::High, Tier::Urgent],
        arriving: Tier::Routine,
        shed: (Tier::Routine, true),
    },
];

/// Guards against an urgent request that is refused while routine work waits.
#[test]
fn overload_sheds_the_lowest_tier_first() {
    for case in SHEDDING {
        let mut driver = driver_with_full_target(3);
        let waiting: Vec<_> =
            case.waiting.iter().map(|tier| (*tier, driver.send(Call::tier(*tier)))).collect();
        let arriving = driver.send(Call::tier(case.arriving));
        let newest = waiting.iter().rev().find(|(tier, _)| *tier == case.shed.0);
        let expected = if case.shed.1 { arriving } else { newest.map_or(0, |found| found.1) };
        let refused = driver.refused();
        assert_eq!(refused, [(expected, RefusalCode::Shed, CallOutcome::NotRun)], "{}", case.name);
    }
}

/// Guards against requests that keep their place in the queue although their deadline has passed.
#[test]
fn requests_past_their_deadline_are_refused_before_newer_ones() {
    let mut driver = driver_with_full_target(2);
    driver.send(Call::tier(Tier::Routine));
    let late =
        driver.send(Call { deadline: Duration::from_millis(50), ..Call::tier(Tier::Routine) });
    driver.now += Duration::from_millis(60);
    driver.send(Call::tier(Tier::Routine));
    assert_eq!(driver.refused(), [(late, RefusalCode::DeadlineExceeded, CallOutcome::NotRun)]);
    assert_eq!(driver.waiting(), 2);
}

fn peer_floor(driver: &mut Driver, floor: Tier) {
    let peer = PeerIdentity { vm: "vm2".into(), incarnation: 5 };
    let received = driver.now;
    let pressure = PeerPressure { peer, shed_floor: floor, waiting: [0; 4], received };
    driver.handle(SchedulerEvent::PeerReported(pressure));
}

/// Guards against routine work that starts here while another VM sheds a higher tier, even if the
/// announcement of the floor is overtaken by a digest with a lower one.
#[test]
fn floors_of_peers_are_held_for_three_seconds() {
    let mut driver = Driver::with_targets(1, 4);
    peer_floor(&mut driver, Tier::High);
    peer_floor(&mut driver, Tier::Routine);
    let request = driver.send(Call::tier(Tier::Normal));
    assert_eq!(driver.refused(), [(request, RefusalCode::Shed, CallOutcome::NotRun)]);
    driver.send(Call::tier(Tier::High));
    assert_eq!(driver.dispatched().len(), 1);
    driver.advance(Duration::from_millis(2_900));
    driver.send(Call::tier(Tier::Normal));
    assert!(driver.dispatched().is_empty());
    driver.advance(Duration::from_millis(200));
    driver.send(Call::tier(Tier::Normal));
    assert_eq!(driver.dispatched().len(), 1);
}

/// Guards against starting work below a floor that was received after the work had been queued.
#[test]
fn queued_work_below_a_floor_does_not_start() {
    let mut driver = Driver::with_targets(1, 1);
    let running = driver.send(Call::tier(Tier::Normal));
    driver.send(Call::tier(Tier::Routine));
    peer_floor(&mut driver, Tier::Normal);
    driver.end(running, 1, AttemptEnd::Finished);
    assert!(driver.dispatched().is_empty());
    driver.advance(Duration::from_millis(3_100));
    assert_eq!(driver.dispatched().len(), 1);
}

/// Guards against peers that learn of shedding only after it has begun.
#[test]
fn the_shed_floor_is_announced_when_the_queue_is_nearly_full() {
    let mut driver = driver_with_full_target(8);
    for _ in 0..5 {
        driver.send(Call::tier(Tier::High));
        assert!(driver.actions.is_empty());
    }
    driver.send(Call::tier(Tier::High));
    assert_eq!(driver.actions, [SchedulerAction::AnnounceFloor(Tier::High)]);
    assert_eq!(driver.scheduler.shed_floor(), Tier::High);
    let request = driver.send(Call::tier(Tier::Normal));
    assert_eq!(driver.refused(), [(request, RefusalCode::Shed, CallOutcome::NotRun)]);
}

/// Guards against a peer that starts routine work while this VM sheds normal work because of another peer's
/// floor, and against an announcement with every refusal.
#[test]
fn a_shed_tier_is_announced_and_held_for_two_seconds() {
    let mut driver = Driver::with_targets(1, 4);
    peer_floor(&mut driver, Tier::High);
    driver.send(Call::tier(Tier::Normal));
    assert!(driver.actions.contains(&SchedulerAction::AnnounceFloor(Tier::Normal)));
    driver.send(Call::tier(Tier::Normal));
    assert_eq!(driver.actions.len(), 1, "{:?}", driver.actions);
    driver.advance(Duration::from_millis(1_900));
    assert_eq!(driver.scheduler.shed_floor(), Tier::Normal);
    driver.advance(Duration::from_millis(200));
    assert_eq!(driver.actions, [SchedulerAction::AnnounceFloor(Tier::Routine)]);
}

/// Guards against idle targets because a queue full of routine work sets a floor that excludes routine work.
#[test]
fn a_queue_of_routine_work_sets_no_floor() {
    let mut driver = driver_with_full_target(4);
    for _ in 0..5 {
        driver.send(Call::tier(Tier::Routine));
    }
    assert_eq!(driver.scheduler.shed_floor(), Tier::Routine);
    driver.end(1, 1, AttemptEnd::Finished);
    assert_eq!(driver.dispatched().len(), 1);
}

/// Time that a refusal takes to reach its caller.
const ANSWER_TIME: Duration = Duration::from_millis(20);

/// Guards against a refusal that comes at the deadline or after it, when its caller has left.
#[test]
fn waiting_requests_are_refused_before_their_deadline() {
    for offset in [0, 1, 19, 50, 99] {
        let mut driver = Driver::with_targets(1, 1);
        driver.send(Call::default());
        let limit = Duration::from_millis(1_000 + offset);
        let waiting = driver.send(Call { deadline: limit, ..Call::default() });
        let deadline = driver.now + limit;
        while driver.waiting() > 0 && driver.now < deadline + limit {
            driver.advance(Duration::from_millis(100));
        }
        let refused = driver.refused();
        assert_eq!(refused, [(waiting, RefusalCode::DeadlineExceeded, CallOutcome::NotRun)]);
        assert!(driver.now + ANSWER_TIME <= deadline, "deadline at {limit:?}");
    }
}
