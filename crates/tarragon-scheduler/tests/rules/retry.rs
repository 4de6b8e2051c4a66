//! Ends of attempts: which requests are retried, and what the caller is answered.

use super::*;
use std::time::Duration;

use tarragon_scheduler::retry::RetryLimits;

struct EndCase {
    name: &'static str,
    idempotent: bool,
    end: AttemptEnd,
    /// Expected refusal, or `None` if the request is retried at another target.
    answer: Option<(RefusalCode, CallOutcome)>,
}

const UNKNOWN: Option<(RefusalCode, CallOutcome)> =
    Some((RefusalCode::TargetFailed, CallOutcome::Unknown));
const DEADLINE: Option<(RefusalCode, CallOutcome)> =
    Some((RefusalCode::DeadlineExceeded, CallOutcome::NotRun));
const NO_TARGET: Option<(RefusalCode, CallOutcome)> =
    Some((RefusalCode::NoTarget, CallOutcome::NotRun));

const ENDS: &[EndCase] = &[
    EndCase { name: "refused", idempotent: true, end: AttemptEnd::NotSent, answer: None },
    EndCase { name: "no link", idempotent: true, end: AttemptEnd::Unreached, answer: None },
    EndCase { name: "link lost", idempotent: true, end: AttemptEnd::Severed, answer: None },
    EndCase { name: "busy", idempotent: true, end: AttemptEnd::Rejected, answer: None },
    EndCase { name: "reset", idempotent: true, end: AttemptEnd::Broken, answer: None },
    EndCase { name: "error", idempotent: true, end: AttemptEnd::Failed, answer: None },
    EndCase { name: "gap", idempotent: true, end: AttemptEnd::Garbled, answer: None },
    EndCase { name: "late", idempotent: true, end: AttemptEnd::Withheld, answer: DEADLINE },
    EndCase { name: "once, refused", idempotent: false, end: AttemptEnd::NotSent, answer: None },
    EndCase { name: "once, no link", idempotent: false, end: AttemptEnd::Unreached, answer: None },
    EndCase {
        name: "once, link lost",
        idempotent: false,
        end: AttemptEnd::Severed,
        answer: UNKNOWN,
    },
    EndCase { name: "once, busy", idempotent: false, end: AttemptEnd::Rejected, answer: NO_TARGET },
    EndCase { name: "once, reset", idempotent: false, end: AttemptEnd::Broken, answer: UNKNOWN },
    EndCase { name: "once, silent", idempotent: false, end: AttemptEnd::Silent, answer: UNKNOWN },
    EndCase { name: "once, error", idempotent: false, end: AttemptEnd::Failed, answer: UNKNOWN },
    EndCase { name: "once, gap", idempotent: false, end: AttemptEnd::Garbled, answer: UNKNOWN },
    EndCase { name: "once, late", idempotent: false, end: AttemptEnd::Withheld, answer: DEADLINE },
];

/// Guards against a non-idempotent call that runs twice, and against a false "not run" outcome.
#[test]
fn the_end_of_an_attempt_decides_whether_it_is_retried() {
    for case in ENDS {
        let mut driver = Driver::with_targets(2, 4);
        let request = driver.send(Call { idempotent: case.idempotent, ..Call::default() });
        let first = driver.dispatched();
        assert_eq!(first.len(), 1, "{}", case.name);
        driver.end(request, 1, case.end);
        let refused: Vec<_> =
            driver.refused().into_iter().map(|(_, code, outcome)| (code, outcome)).collect();
        assert_eq!(refused, Vec::from_iter(case.answer), "{}", case.name);
        driver.advance(Duration::from_millis(200));
        let again = driver.dispatched();
        assert_eq!(again.is_empty(), case.answer.is_some(), "{}", case.name);
        if let Some((_, attempt, target)) = again.first() {
            assert_eq!(*attempt, 2, "{}", case.name);
            assert_ne!(*target, first[0].2, "{}: another target", case.name);
        }
    }
}

/// Guards against a stream that starts again from its first token after a broken connection, and against a
/// lost slot when the end of an old attempt arrives late.
#[test]
fn broken_streams_resume_and_late_ends_are_dropped() {
    let mut driver = Driver::with_targets(2, 1);
    let request = driver.send(Call::default());
    driver.progress(request, 1, 20, 40);
    driver.end(request, 1, AttemptEnd::Broken);
    driver.advance(Duration::from_millis(200));
    assert_eq!(driver.dispatched().len(), 1);
    driver.handle(SchedulerEvent::AttemptEnded(request, 1, AttemptEnd::Broken));
    assert_eq!(driver.scheduler.in_flight(), 1);
    assert!(driver.scheduler.statistics().wasted_prefill_tokens >= 100);
    driver.end(request, 2, AttemptEnd::Finished);
    assert_eq!(driver.scheduler.in_flight(), 0);
}

struct SecondTargetCase {
    name: &'static str,
    prepare: fn(&mut Driver),
}

const UNUSABLE_TARGETS: &[SecondTargetCase] = &[
    SecondTargetCase {
        name: "without slots for this process",
        prepare: |driver| driver.set_slots("t1", 0, false),
    },
    SecondTargetCase {
        name: "cold, without a start for this process",
        prepare: |driver| {
            driver.set_slots("t1", 4, true);
            driver.handle(SchedulerEvent::StartLimitSet("t1".into(), Some(0)));
        },
    },
];

/// Guards against a failed request that waits until its deadline for a target that this process may not use.
#[test]
fn retries_do_not_wait_for_targets_that_this_process_may_not_use() {
    for case in UNUSABLE_TARGETS {
        let mut driver = Driver::with_targets(2, 4);
        (case.prepare)(&mut driver);
        let request = driver.send(Call { deadline: Duration::from_secs(2), ..Call::default() });
        assert_eq!(driver.dispatched(), [(request, 1, "t0".into())], "{}", case.name);
        driver.end(request, 1, AttemptEnd::Failed);
        driver.advance(Duration::from_millis(200));
        assert_eq!(driver.dispatched(), [(request, 2, "t0".into())], "{}", case.name);
    }
}

struct SilentCase {
    name: &'static str,
    prepare: fn(&mut Driver),
    call: fn() -> Call,
    /// Whether the request can be sent to the other target at once.
    replaced: bool,
}

fn attempts(max_attempts: u32) -> Call {
    Call { terms: CallOptions { max_attempts, ..CallOptions::default() }, ..Call::default() }
}

const SILENT: &[SilentCase] = &[
    SilentCase {
        name: "the other target is free",
        prepare: |_| {},
        call: || attempts(2),
        replaced: true,
    },
    SilentCase {
        name: "the other target is taken",
        prepare: |driver| {
            driver.send(Call::default());
        },
        call: || attempts(2),
        replaced: false,
    },
    SilentCase {
        name: "no attempt is left",
        prepare: |_| {},
        call: || attempts(1),
        replaced: false,
    },
    SilentCase {
        name: "it must not be repeated",
        prepare: |_| {},
        call: || Call { idempotent: false, ..attempts(2) },
        replaced: false,
    },
    SilentCase {
        name: "the retry budget is empty",
        prepare: |driver| {
            let none =
                RetryLimits { per_success: 0.0, max_saved: 0.0, floor_rate: 0.0, floor_saved: 0.0 };
            driver.scheduler.set_retry_limits(none);
        },
        call: || attempts(2),
        replaced: false,
    },
    SilentCase {
        name: "the service has paused",
        prepare: |driver| {
            let until = Some(driver.now + Duration::from_secs(30));
            driver.handle(SchedulerEvent::ServicePaused("pool".into(), until));
        },
        call: || attempts(2),
        replaced: false,
    },
];

/// Guards against an attempt that ends because its target is silent, though the request can't be sent again.
#[test]
fn silent_targets_are_left_only_for_an_attempt_that_begins_at_once() {
    for case in SILENT {
        let mut driver = Driver::with_targets(2, 1);
        let request = driver.send((case.call)());
        let first = driver.dispatched()[0].2.clone();
        (case.prepare)(&mut driver);
        driver.actions.clear();
        let now = driver.now;
        let may_replace = driver.scheduler.may_replace(request, 1, now);
        assert_eq!(may_replace, case.replaced, "{}", case.name);
        assert!(!driver.scheduler.may_replace(request, 2, now), "{}: another attempt", case.name);
        if case.replaced {
            driver.end(request, 1, AttemptEnd::Silent);
            let again = driver.dispatched();
            assert_eq!(again.len(), 1, "{}", case.name);
            assert_ne!(again[0].2, first, "{}", case.name);
        }
    }
}

/// Guards against answers that are given up for a target which then doesn't take their requests.
#[test]
fn all_requests_that_leave_a_silent_target_begin_at_once() {
    let mut driver = Driver::with_targets(1, 3);
    let requests = [1, 2, 3].map(|_| driver.send(attempts(2)));
    driver.add_target("pool", "free", 3);
    // Requests of a higher tier don't run beside a request that is suspected of crashing targets.
    driver.send(Call { tier: Tier::Urgent, ..attempts(2) });
    assert_eq!(driver.dispatched().len(), 1);
    for request in &requests[..2] {
        assert!(driver.scheduler.may_replace(*request, 1, driver.now));
        driver.end(*request, 1, AttemptEnd::Silent);
        assert_eq!(driver.dispatched(), [(*request, 2, "free".into())]);
    }
    assert!(!driver.scheduler.may_replace(requests[2], 1, driver.now), "no place is left");
}

/// Guards against a request that leaves the only target that it can go on at.
#[test]
fn the_only_target_is_not_left_because_it_is_silent() {
    let mut driver = Driver::with_targets(1, 4);
    let requests = [1, 2].map(|_| driver.send(attempts(2)));
    for request in requests {
        assert!(!driver.scheduler.may_replace(request, 1, driver.now));
    }
}
