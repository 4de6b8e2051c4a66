//! Nodes with their peers: configuration, cold targets, leaving targets and failing targets.

use std::time::{Duration, Instant};

use crate::support::*;

/// Guards against a return to an older configuration when a source is late.
#[test]
fn operator_state_never_goes_back() {
    let mut fleet = Fleet::start(1, 1);
    let now = fleet.now;
    let node = &mut fleet.nodes[0];
    let mut take = |state| node.apply_operator_state(now, state, "peer", &mut Vec::new());
    assert!(take(operator(9, 4)));
    assert!(!take(operator(8, 5)), "an older revision");
    assert!(!take(operator(10, 3)), "an older version");
    assert!(!take(operator(9, 4)), "the same again");
    assert_eq!(fleet.nodes[0].operator_state().revision, 9);
}

struct EraCase {
    name: &'static str,
    /// Era, revision and version of the states in the order in which they arrive.
    states: &'static [(u64, u64, u64)],
    /// Version that is active at the end, whatever the order.
    version: u64,
}

const ERA_CASES: &[EraCase] = &[
    EraCase {
        name: "revisions go back",
        states: &[(0, 90, 4), (1, 20, 4), (1, 25, 7)],
        version: 7,
    },
    EraCase { name: "the copy lacks the newest", states: &[(0, 90, 4), (1, 20, 2)], version: 4 },
    EraCase { name: "the same revision again", states: &[(0, 20, 4), (1, 20, 5)], version: 5 },
    EraCase {
        name: "two restores",
        states: &[(0, 90, 9), (1, 20, 2), (2, 10, 1), (2, 12, 11)],
        version: 11,
    },
];

/// Guards against processes that end in different states, or go back, because they hear of the eras of the store
/// in different orders.
#[test]
fn operator_state_is_ordered_across_eras_whoever_speaks_first() {
    for case in ERA_CASES {
        let forward: Vec<_> = case.states.to_vec();
        let backward: Vec<_> = case.states.iter().rev().copied().collect();
        for states in [forward, backward] {
            let now = Instant::now() + Duration::from_secs(100);
            let mut node = node(1, true, now);
            let mut highest = 0;
            for (era, revision, version) in states {
                let state =
                    OperatorState { era, configuration_era: era, ..operator(revision, version) };
                node.apply_operator_state(now, state, "peer", &mut Vec::new());
                assert!(node.operator_state().version() >= highest, "{}: it went back", case.name);
                highest = node.operator_state().version();
            }
            assert_eq!(highest, case.version, "{}", case.name);
        }
    }
}

/// Guards against a data centre that gets requests again since the copy lacks its evacuation, and against one
/// that stays out for good because nobody writes its evacuation again.
#[test]
fn an_evacuation_is_carried_into_the_next_era_for_a_while() {
    let mut fleet = Fleet::start(1, 1);
    let now = fleet.now;
    let evacuated = ["north".into()].into_iter().collect();
    let state = OperatorState { evacuated, ..operator(9, 4) };
    fleet.nodes[0].apply_operator_state(now, state, "store", &mut Vec::new());
    let copy = OperatorState { era: 1, configuration_era: 1, ..operator(5, 4) };
    fleet.nodes[0].apply_operator_state(now, copy, "store", &mut Vec::new());
    assert!(dispatched(&fleet.ask(0, 100)).is_empty(), "its targets get nothing");
    fleet.advance(Duration::from_secs(6));
    assert!(fleet.nodes[0].operator_state().evacuated.is_empty(), "it isn't out for good");
}

/// Guards against a cold target that gets more starts per second from all processes together than its limit.
#[test]
fn all_processes_together_keep_the_start_limit_of_a_cold_target() {
    for size in [1, 3, 8, 20] {
        let mut fleet = Fleet::start(size, 1);
        let fresh = ListedTarget { started_ms: 2_000, ..listed(1) };
        fleet.publish(2, 1, vec![fresh]);
        let mut started = 0;
        // One second, in which each request ends at once.
        for _ in 0..10 {
            for node in 0..fleet.nodes.len() {
                let actions = fleet.ask(node, 100);
                started += dispatched(&actions).len();
                for action in &actions {
                    fleet.finish(node, action, AttemptEnd::Finished);
                }
            }
            for (node, action) in fleet.advance(Duration::from_millis(99)) {
                started += dispatched(std::slice::from_ref(&action)).len();
                fleet.finish(node, &action, AttemptEnd::Finished);
            }
        }
        // 8.1 a second with the overage and slack of the operators' bounds.
        assert!(started <= 17, "{size} processes started {started}");
        assert!(started > 0, "{size} processes started nothing");
    }
}

/// Guards against waiting requests that all go to a new target at the moment at which its slots become known
/// (grown fleet, scale-2: 21 starts in a second at a target with a limit of 8).
#[test]
fn waiting_requests_keep_the_start_limit_of_a_new_target() {
    let mut fleet = Fleet::start(8, 1);
    for node in 0..8 {
        for _ in 0..6 {
            fleet.ask(node, 100);
        }
    }
    let fresh = ListedTarget { started_ms: 2_000, ..listed(2) };
    fleet.now += Duration::from_millis(100);
    let new = fresh.address.clone();
    let published = listing(2, vec![listed(1), fresh]);
    let mut started = 0;
    for node in &mut fleet.nodes {
        let mut actions = Vec::new();
        node.apply_listing(fleet.now, &published, Duration::ZERO, &mut actions);
        started += dispatched(&actions).iter().filter(|target| **target == new).count();
    }
    let later = fleet.advance(Duration::from_millis(800));
    let later: Vec<_> = later.into_iter().map(|(_, action)| action).collect();
    started += dispatched(&later).iter().filter(|target| **target == new).count();
    assert!((1..=8).contains(&started), "{started} starts at a target that bears 8 in a second");
}

/// Guards against a cold period that starts over each time that the same entry is read.
#[test]
fn reading_the_same_entry_again_does_not_extend_the_cold_time() {
    let mut fleet = Fleet::start(1, 1);
    let cold = ListedTarget { cold_left: Duration::from_millis(900), revision: 9, ..listed(1) };
    for revision in 2..5 {
        fleet.publish(revision, 1, vec![cold.clone()]);
        fleet.advance(Duration::from_millis(500));
    }
    assert!(!fleet.nodes[0].directory().get(&cold.address).unwrap().is_cold(fleet.now));
}

/// Guards against requests to a leaving target, and to a target whose data centre is out of service.
#[test]
fn targets_out_of_service_get_no_requests() {
    let mut fleet = Fleet::start(2, 2);
    let leaving = ListedTarget { leaving: true, ..listed(1) };
    fleet.publish(2, 1, vec![leaving, listed(2)]);
    for node in 0..2 {
        let targets = dispatched(&fleet.ask(node, 100));
        assert_eq!(targets, [listed(2).address]);
        assert_eq!(fleet.nodes[node].may_send(&listed(1).address, SERVICE), None);
    }
    let now = fleet.now;
    let mut state = operator(3, 1);
    state.evacuated.insert("north".into());
    fleet.nodes[0].apply_operator_state(now, state, "store", &mut Vec::new());
    assert_eq!(dispatched(&fleet.ask(0, 100)), []);
    assert_eq!(fleet.nodes[0].may_send(&listed(2).address, SERVICE), None);
}

/// Guards against a request that reaches another service, which has got the address of its target between
/// the dispatch and the first byte.
#[test]
fn a_reused_address_gets_no_request_for_its_former_service() {
    let mut fleet = Fleet::start(1, 1);
    let address = listed(1).address;
    assert_eq!(dispatched(&fleet.ask(0, 100)), std::slice::from_ref(&address));
    assert!(fleet.nodes[0].may_send(&address, SERVICE).is_some());
    let other = ListedTarget {
        instance: "i-other".into(),
        service: "ledger".into(),
        started_ms: 2_000,
        ..listed(1)
    };
    fleet.publish(2, 1, vec![other]);
    assert_eq!(fleet.nodes[0].may_send(&address, SERVICE), None);
    assert!(fleet.nodes[0].may_send(&address, "ledger").is_some());
}

/// Guards against a target whose address another process has, and which the outdated entry brings back.
#[test]
fn a_replaced_target_stays_out_until_its_successor_is_listed() {
    let mut fleet = Fleet::start(1, 1);
    let address = listed(1).address;
    let now = fleet.now;
    fleet.nodes[0].mark_target_replaced(now, &address, &listed(1).instance, &mut Vec::new());
    for revision in 2..4 {
        fleet.now += Duration::from_millis(100);
        fleet.publish(revision, 1, vec![listed(1)]);
        assert_eq!(fleet.nodes[0].may_send(&address, SERVICE), None);
    }
    fleet.now += Duration::from_millis(100);
    let successor = ListedTarget { instance: "i-9".into(), started_ms: 2_000, ..listed(1) };
    fleet.publish(4, 1, vec![successor]);
    assert!(fleet.nodes[0].may_send(&address, SERVICE).is_some());
}

/// Guards against processes that each fill all slots of a target.
#[test]
fn requests_of_peers_occupy_slots() {
    let mut fleet = Fleet::start(2, 1);
    // A target that has been idle gets one request until it has shown that it lives.
    for action in fleet.ask(0, 100) {
        fleet.finish(0, &action, AttemptEnd::Finished);
    }
    let first: usize = (0..4).map(|_| dispatched(&fleet.ask(0, 100)).len()).sum();
    assert_eq!(first, 4);
    fleet.advance(Duration::from_millis(200));
    assert_eq!(dispatched(&fleet.ask(1, 100)), [], "all four slots are in use");
}

/// Guards against a target that fails each request although it seems healthy, and that gets all requests
/// because it is idle.
#[test]
fn a_failing_target_is_backed_off_from() {
    let mut fleet = Fleet::start(1, 2);
    let bad = listed(1).address;
    let mut to_bad = 0;
    for _ in 0..40 {
        let actions = fleet.ask(0, 100);
        for action in &actions {
            let failed = dispatched(std::slice::from_ref(action)).contains(&bad);
            to_bad += usize::from(failed);
            let end = if failed { AttemptEnd::Failed } else { AttemptEnd::Finished };
            fleet.finish(0, action, end);
        }
        for (node, action) in fleet.advance(Duration::from_millis(100)) {
            fleet.finish(node, &action, AttemptEnd::Finished);
        }
    }
    assert!(to_bad <= 12, "{to_bad} of 40 requests went to the failing target");
}

/// Guards against peers that go on using a target which has told one process that it is leaving, and against an
/// entry that brings it back: one that is read later, or that lapses and returns.
#[test]
fn a_leaving_target_stays_out_at_all_peers_whatever_its_entry_says() {
    let mut fleet = Fleet::start(3, 2);
    let leaver = listed(1);
    let now = fleet.now;
    fleet.nodes[0].mark_target_leaving(now, &leaver.address, &leaver.instance, &mut Vec::new());
    assert_eq!(fleet.nodes[0].may_send(&leaver.address, SERVICE), None);
    fleet.advance(Duration::from_millis(200));
    let is_out = |fleet: &Fleet| {
        fleet.nodes.iter().all(|node| node.may_send(&leaver.address, SERVICE).is_none())
    };
    assert!(is_out(&fleet), "peers have heard it");
    for (revision, targets) in [
        (2, vec![ListedTarget { revision: 9, ..leaver.clone() }, listed(2)]),
        (3, vec![listed(2)]),
        (4, vec![ListedTarget { revision: 11, ..leaver.clone() }, listed(2)]),
    ] {
        fleet.now += Duration::from_millis(900);
        fleet.publish(revision, 1, targets);
        assert!(is_out(&fleet), "revision {revision}");
    }
    fleet.now += Duration::from_millis(900);
    let successor = ListedTarget { started_ms: 2_000, ..leaver.clone() };
    fleet.publish(5, 1, vec![successor, listed(2)]);
    assert!(fleet.nodes.iter().all(|node| node.may_send(&leaver.address, SERVICE).is_some()));
}

/// Guards against callers who wait, or aren't told how long, while all targets of their service want no
/// requests; and against peers that are bound by a pause which was asked of one process.
#[test]
fn callers_learn_when_the_first_target_takes_requests_again() {
    let mut fleet = Fleet::start(2, 2);
    let now = fleet.now;
    for (index, seconds) in [(1, 2.0), (2, 1.5)] {
        let (target, pause) = (listed(index), Duration::from_secs_f64(seconds));
        let (name, instance) = (target.address, target.instance);
        fleet.nodes[0].pause_target(now, &name, &instance, pause, &mut Vec::new());
        // A shorter pause that is asked for later changes nothing.
        let shorter = Duration::from_millis(100);
        fleet.nodes[0].pause_target(now, &name, &instance, shorter, &mut Vec::new());
    }
    let refused: Vec<Option<Duration>> = fleet
        .ask(0, 100)
        .iter()
        .filter_map(|action| match action {
            SchedulerAction::Refuse { refusal, .. } => Some(refusal.retry_after),
            _ => None,
        })
        .collect();
    assert_eq!(refused, [Some(Duration::from_millis(1_500))]);
    assert_eq!(dispatched(&fleet.ask(1, 100)).len(), 1, "a peer isn't bound");
    fleet.advance(Duration::from_millis(1_400));
    assert_eq!(dispatched(&fleet.ask(0, 100)), []);
    fleet.advance(Duration::from_millis(200));
    assert_eq!(dispatched(&fleet.ask(0, 100)), [listed(2).address]);
}

/// Guards against calls of some milliseconds that wait for the next digest, since the last one told that
/// peers use all slots of their target (large fleet, quiet-1: one in seven truck dispatches late on a calm
/// day).
#[test]
fn calls_without_streams_do_not_wait_for_digests_about_a_full_target() {
    struct SlotCase {
        name: &'static str,
        streamed: bool,
        dispatched: usize,
    }
    let cases = [
        SlotCase { name: "a plain service", streamed: false, dispatched: 1 },
        SlotCase { name: "a service with streams", streamed: true, dispatched: 0 },
    ];
    for case in cases {
        let mut fleet = Fleet::start(2, 1);
        let route = CallRoute { streamed: case.streamed, ..route("/a/", SERVICE) };
        let configuration = FleetConfiguration { routes: vec![route.into()], ..configuration(2) };
        let state = OperatorState { configuration: Some(configuration.into()), ..operator(2, 2) };
        let now = fleet.now;
        for node in &mut fleet.nodes {
            node.apply_operator_state(now, state.clone(), "store", &mut Vec::new());
        }
        for action in fleet.ask(0, 100) {
            fleet.finish(0, &action, AttemptEnd::Finished);
        }
        let first: usize = (0..4).map(|_| dispatched(&fleet.ask(0, 100)).len()).sum();
        assert_eq!(first, 4, "{}", case.name);
        fleet.advance(Duration::from_millis(200));
        assert_eq!(dispatched(&fleet.ask(1, 100)).len(), case.dispatched, "{}", case.name);
    }
}

/// Guards against more requests at a target than it runs, and against a restarted target that is used by what its
/// previous process told.
#[test]
fn a_target_gets_no_more_than_it_lists_and_tells() {
    struct ToldCase {
        name: &'static str,
        told: Option<u32>,
        slots: u32,
    }
    let cases = [
        ToldCase { name: "tells nothing", told: None, slots: 4 },
        ToldCase { name: "tells what is listed", told: Some(4), slots: 4 },
        ToldCase { name: "tells fewer", told: Some(2), slots: 2 },
        ToldCase { name: "tells more", told: Some(100_000), slots: 4 },
    ];
    for case in cases {
        let mut fleet = Fleet::start(1, 1);
        let target = listed(1).address;
        let load = AnswerLoad { slots: case.told, ..AnswerLoad::default() };
        let now = fleet.now;
        fleet.nodes[0].update_target_load(now, &target, load, &mut Vec::new());
        let load = AnswerLoad::default();
        fleet.nodes[0].update_target_load(now, &target, load, &mut Vec::new());
        fleet.advance(Duration::from_millis(400));
        let slots =
            |fleet: &Fleet| fleet.nodes[0].scheduler().slot_usage(&target).map(|used| used.slots);
        assert_eq!(slots(&fleet), Some(case.slots), "{}", case.name);
        let restarted =
            ListedTarget { instance: "i-9".into(), started_ms: 9_000, revision: 6, ..listed(1) };
        fleet.publish(2, 1, vec![restarted]);
        fleet.advance(Duration::from_secs(4));
        assert_eq!(slots(&fleet), Some(4), "{} after a restart", case.name);
    }
}

/// Guards against prompts that are placed by an engine memory that is no longer configured.
#[test]
fn a_change_of_the_engine_memory_reaches_the_scheduler() {
    let mut fleet = Fleet::start(1, 1);
    let now = fleet.now;
    for (revision, memory_tokens) in [(2, 0), (3, 492_727), (4, 1_000), (5, 0)] {
        let mut configuration = configuration(revision);
        configuration.services[SERVICE].memory_tokens = memory_tokens;
        let state = OperatorState {
            configuration: Some(configuration.into()),
            ..operator(revision, revision)
        };
        fleet.nodes[0].apply_operator_state(now, state, "store", &mut Vec::new());
        let dump = fleet.nodes[0].scheduler().dump(now);
        assert_eq!(dump.targets[0].memory_tokens, memory_tokens, "revision {revision}");
    }
}
