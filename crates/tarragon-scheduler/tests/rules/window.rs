//! Windows: cold targets, signs that a target has become cold again, and silent targets.

use super::*;
use std::time::Duration;
use tarragon_protocol::load::TargetState;

fn submit_requests(driver: &mut Driver, requests: usize) -> Vec<RequestId> {
    let mut sent = Vec::new();
    for _ in 0..requests {
        let request = driver.send(Call::default());
        sent.extend(driver.dispatched().iter().map(|_| request));
    }
    sent
}

/// Guards against overload of a cold target, and against a jump to its full number of slots when it becomes
/// warm.
#[test]
fn a_cold_target_gets_its_share_and_then_warms_up() {
    let mut driver = Driver::with_targets(1, 8);
    driver.set_slots("t0", 2, true);
    let sent = submit_requests(&mut driver, 12);
    assert_eq!(sent.len(), 2);
    driver.set_slots("t0", 8, false);
    assert!(driver.dispatched().is_empty(), "the ramp starts at the cold share");
    driver.progress(sent[0], 1, 1, 60);
    assert_eq!(driver.dispatched().len(), 1);
    driver.end(sent[0], 1, AttemptEnd::Finished);
    assert_eq!(driver.dispatched().len(), 2);
}

/// Guards against exceeding the capacity of a cold target because another VM's request, sent while it was
/// warm, still runs there. A request dispatched after the load was measured must not hide that one.
#[test]
fn requests_of_other_processes_at_a_cold_target_take_slots() {
    let mut driver = Driver::with_targets(1, 8);
    driver.set_slots("t0", 1, true);
    driver.report_running("t0", 1, TargetState::Cold, 1);
    assert!(submit_requests(&mut driver, 2).is_empty());
    driver.report_running("t0", 1, TargetState::Cold, 0);
    assert_eq!(driver.dispatched().len(), 1);

    let mut driver = Driver::with_targets(1, 8);
    driver.set_slots("t0", 2, true);
    driver.now += Duration::from_millis(100);
    assert_eq!(submit_requests(&mut driver, 1).len(), 1);
    driver.now += Duration::from_millis(100);
    driver.report_aged("t0", TargetState::Cold, 1, Duration::from_millis(150));
    assert!(submit_requests(&mut driver, 1).is_empty());
}

struct SignCase {
    name: &'static str,
    sign: fn(&mut Driver, RequestId),
}

const SIGNS: &[SignCase] = &[
    SignCase {
        name: "restart id",
        sign: |driver, _| {
            driver.report("t0", 2, TargetState::Warm);
        },
    },
    SignCase { name: "error", sign: |driver, request| driver.end(request, 1, AttemptEnd::Failed) },
    SignCase { name: "reset", sign: |driver, request| driver.end(request, 1, AttemptEnd::Broken) },
    SignCase { name: "busy", sign: |driver, request| driver.end(request, 1, AttemptEnd::Rejected) },
    SignCase {
        name: "late first token",
        sign: |driver, request| driver.progress(request, 1, 1, 5_000),
    },
];

/// Guards against full load on a target that became cold again without announcing it.
#[test]
fn signs_of_a_cold_target_reduce_its_window_at_once() {
    for case in SIGNS {
        let mut driver = Driver::with_targets(1, 8);
        for request in submit_requests(&mut driver, 6) {
            driver.progress(request, 1, 1, 60);
            driver.end(request, 1, AttemptEnd::Finished);
        }
        let sent = submit_requests(&mut driver, 2);
        (case.sign)(&mut driver, sent[0]);
        let poll = SchedulerAction::PollTarget("t0".into());
        assert!(driver.actions.contains(&poll), "{}: {:?}", case.name, driver.actions);
        assert!(submit_requests(&mut driver, 3).is_empty(), "{}", case.name);
        assert!(driver.scheduler.in_flight() <= 2, "{}", case.name);
    }
}

/// Guards against sending a full window of requests to a target that has died unnoticed.
#[test]
fn a_silent_target_gets_one_request_until_it_answers() {
    let mut driver = Driver::with_targets(1, 8);
    driver.advance_silently(Duration::from_millis(900));
    assert_eq!(submit_requests(&mut driver, 2).len(), 2);
    let mut driver = Driver::with_targets(1, 8);
    driver.advance_silently(Duration::from_millis(1_100));
    let sent = submit_requests(&mut driver, 5);
    assert_eq!(sent.len(), 1);
    driver.progress(sent[0], 1, 1, 60);
    assert_eq!(driver.dispatched().len(), 4);
}

/// Guards against outdated windows in the first decision after a pause of the process, before any tick.
#[test]
fn outdated_windows_are_not_used_after_a_pause() {
    let mut driver = Driver::with_targets(1, 8);
    driver.now += Duration::from_secs(20);
    assert_eq!(submit_requests(&mut driver, 5).len(), 1);
}

/// Guards against sending requests to targets that don't hold the model, on a VM that polls none of the
/// targets and so receives no lists of models.
#[test]
fn models_of_unpolled_targets_follow_from_the_rules() {
    let mut driver = Driver::new(SchedulerLimits::default());
    for name in ["t0", "t1"] {
        driver.list_target("pool", name, true);
        driver.set_slots(name, 8, false);
    }
    let mut rules = tarragon_config::rules::RuleSet::default();
    for model in ["assess", "draft"] {
        let rule = tarragon_config::rules::ModelRule {
            service: "pool".into(),
            replicas: Some(1),
            adapter: None,
            version: 1,
            role: Default::default(),
            origin: Default::default(),
        };
        rules.models.insert(model.into(), rule);
    }
    driver.handle(SchedulerEvent::RulesChanged(std::sync::Arc::new(rules)));
    driver.handle(SchedulerEvent::Tick);
    for _ in 0..4 {
        driver.send(Call::default());
    }
    let explanation = |driver: &Driver| driver.scheduler.dump(driver.now).targets;
    let used = explanation(&driver).iter().filter(|target| target.in_flight > 0).count();
    assert_eq!(used, 1, "only the target that holds the model by the rules");
    let other = explanation(&driver).into_iter().find(|target| target.in_flight == 0).unwrap();
    driver.report(&other.target, 1, TargetState::Warm);
    driver.send(Call::default());
    driver.send(Call::default());
    let used = explanation(&driver).iter().filter(|target| target.in_flight > 0).count();
    assert_eq!(used, 2, "a report that names the model goes before the rules");
}

struct ClosedCase {
    name: &'static str,
    close: fn(&mut Driver),
}

const CLOSED: &[ClosedCase] = &[
    ClosedCase { name: "out of service", close: |driver| driver.list_target("pool", "t0", false) },
    ClosedCase {
        name: "reports that it is leaving",
        close: |driver| {
            driver.report("t0", 1, TargetState::Leaving);
        },
    },
    ClosedCase {
        name: "no longer published",
        close: |driver| {
            driver.handle(SchedulerEvent::TargetRemoved("t0".into()));
        },
    },
];

/// Guards against new work on a target or data centre that is being taken out of service, and against callers
/// that keep waiting although no target can serve them.
#[test]
fn a_target_out_of_service_gets_no_new_work() {
    for case in CLOSED {
        let mut driver = Driver::with_targets(1, 1);
        let running = driver.send(Call::default());
        let waiting = driver.send(Call::default());
        (case.close)(&mut driver);
        driver.end(running, 1, AttemptEnd::Finished);
        assert!(driver.dispatched().is_empty(), "{}", case.name);
        let late = driver.send(Call::default());
        let refusal = |request| (request, RefusalCode::NoTarget, CallOutcome::NotRun);
        assert_eq!(driver.refused(), [refusal(late)], "{}", case.name);
        driver.advance_silently(Duration::from_secs(3));
        assert_eq!(driver.refused(), [refusal(waiting)], "{}", case.name);
    }
}

/// Guards against long streams that delay the shutdown of a target.
#[test]
fn streams_move_when_the_grace_period_is_over() {
    let mut driver = Driver::with_targets(2, 1);
    let request = driver.send(Call::default());
    let target = driver.dispatched()[0].2.clone();
    driver.list_target("pool", &target, false);
    driver.advance(Duration::from_secs(19));
    assert!(driver.actions.is_empty());
    driver.advance(Duration::from_secs(2));
    assert_eq!(driver.actions, [SchedulerAction::Cancel { request, attempt: 1 }]);
    driver.end(request, 1, AttemptEnd::Cancelled);
    let moved = driver.dispatched();
    assert_eq!(moved.len(), 1);
    assert_ne!(moved[0].2, target);
}
