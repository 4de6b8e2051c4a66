//! Requests that crash targets.

use super::*;
use std::time::Duration;
use tarragon_protocol::{load::TargetState, peer::SuspectEntry};

const SUSPECT_FINGERPRINT: Fingerprint = 666;

fn suspect_request() -> Call {
    Call { fingerprint: Some(SUSPECT_FINGERPRINT), ..Call::default() }
}

/// The target of a request's dispatch among the last actions.
fn target_of(driver: &Driver, request: RequestId) -> Option<TargetName> {
    driver.dispatched().into_iter().find(|(id, ..)| *id == request).map(|(.., target)| target)
}

fn announced_suspects(driver: &Driver) -> Vec<SuspectEntry> {
    driver
        .actions
        .iter()
        .filter_map(|action| match action {
            SchedulerAction::AnnounceSuspect(entry) => Some(entry.clone()),
            _ => None,
        })
        .collect()
}

struct CrashCase {
    name: &'static str,
    after: fn(&mut Driver, &str),
    crash: bool,
}

const CRASHES: &[CrashCase] = &[
    CrashCase {
        name: "new restart id",
        after: |driver, target| {
            driver.report(target, 2, TargetState::Cold);
        },
        crash: true,
    },
    CrashCase {
        name: "same restart id: only the connection broke",
        after: |driver, target| {
            driver.now += Duration::from_millis(10);
            driver.report(target, 1, TargetState::Warm);
        },
        crash: false,
    },
    CrashCase {
        name: "restart long after the break",
        after: |driver, target| {
            driver.advance_silently(Duration::from_secs(11));
            driver.report(target, 2, TargetState::Cold);
        },
        crash: false,
    },
];

/// Guards against a suspicion after an ordinary broken connection, and against a crash that isn't announced
/// to peers.
#[test]
fn a_broken_connection_is_a_crash_only_with_a_restart() {
    for case in CRASHES {
        let mut driver = Driver::with_targets(2, 4);
        let request = driver.send(Call { idempotent: false, ..suspect_request() });
        let target = target_of(&driver, request).unwrap();
        driver.end(request, 1, AttemptEnd::Broken);
        (case.after)(&mut driver, &target);
        let found = announced_suspects(&driver);
        assert_eq!(found.len(), usize::from(case.crash), "{}", case.name);
        for entry in found {
            let crashes: Vec<_> =
                entry.crashes.iter().map(|one| (one.target.clone(), one.restart)).collect();
            assert_eq!(crashes, [(target.clone(), 1)], "{}", case.name);
            assert!(!entry.convicted, "{}", case.name);
        }
    }
}

fn target_listed(target: &str, restart: u64) -> SchedulerEvent {
    target_listed_as(target, restart, false)
}

fn target_listed_as(target: &str, restart: u64, leaving: bool) -> SchedulerEvent {
    SchedulerEvent::TargetListed(TargetEntry {
        target: target.into(),
        service: "pool".into(),
        in_service: true,
        remote: false,
        build: None,
        process: Some(ListedProcess { restart, leaving }),
    })
}

/// Load that a process at the target reported to a peer, which passes it on late.
fn response_load(target: &str) -> SchedulerEvent {
    let load = TargetLoad::default();
    SchedulerEvent::ResponseLoadReported { target: target.into(), load, age: Duration::ZERO }
}

/// Submits another request and finishes it.
fn finish_another(driver: &mut Driver) {
    let other = driver.send(Call { idempotent: false, ..Call::default() });
    driver.advance_silently(Duration::from_millis(20));
    driver.end(other, 1, AttemptEnd::Finished);
}

struct SurvivalCase {
    name: &'static str,
    /// Events after the connection broke and before another process is listed.
    after: fn(&mut Driver, &str),
    crash: bool,
}

const SURVIVALS: &[SurvivalCase] = &[
    SurvivalCase { name: "nothing", after: |_, _| {}, crash: true },
    SurvivalCase {
        name: "answers alone, maybe of the new process",
        after: |driver, _| {
            driver.advance_silently(Duration::from_millis(500));
            finish_another(driver);
        },
        crash: true,
    },
    SurvivalCase {
        name: "an answer, and a listing from before a new process can be listed",
        after: |driver, target| {
            finish_another(driver);
            driver.advance_silently(Duration::from_millis(400));
            driver.confirm_process(target, 1);
        },
        crash: true,
    },
    SurvivalCase {
        name: "an answer, and a listing in which a new process would show",
        after: |driver, target| {
            finish_another(driver);
            driver.advance_silently(Duration::from_millis(600));
            driver.confirm_process(target, 1);
        },
        crash: false,
    },
    SurvivalCase {
        name: "an answer that a peer tells, and a listing",
        after: |driver, target| {
            driver.advance_silently(Duration::from_millis(500));
            driver.handle(response_load(target));
            driver.advance_silently(Duration::from_millis(600));
            driver.confirm_process(target, 1);
        },
        crash: true,
    },
    SurvivalCase {
        name: "an entry that would have lapsed",
        after: |driver, target| {
            driver.advance_silently(Duration::from_secs(4));
            driver.confirm_process(target, 1);
        },
        crash: false,
    },
    SurvivalCase {
        name: "an entry that may lapse yet",
        after: |driver, target| {
            driver.advance_silently(Duration::from_millis(3_900));
            driver.confirm_process(target, 1);
        },
        crash: true,
    },
];

/// Guards against a crash that is dismissed because a new process answers at the target's address.
#[test]
fn only_proof_that_the_process_is_alive_ends_a_suspicion() {
    for case in SURVIVALS {
        let mut driver = Driver::with_targets(1, 4);
        driver.handle(target_listed("t0", 1));
        let request = driver.send(Call { idempotent: false, ..suspect_request() });
        driver.end(request, 1, AttemptEnd::Broken);
        (case.after)(&mut driver, "t0");
        driver.handle(target_listed("t0", 2));
        assert_eq!(announced_suspects(&driver).len(), usize::from(case.crash), "{}", case.name);
    }
}

/// Guards against suspicions of requests whose connection broke although the target keeps serving others.
#[test]
fn an_older_connection_that_still_delivers_shows_that_the_process_is_alive() {
    for (older, crash) in [(true, false), (false, true)] {
        let mut driver = Driver::with_targets(1, 4);
        driver.handle(target_listed("t0", 1));
        let other =
            |driver: &mut Driver| driver.send(Call { idempotent: false, ..Call::default() });
        let early = other(&mut driver);
        driver.advance_silently(Duration::from_millis(10));
        let request = driver.send(Call { idempotent: false, ..suspect_request() });
        driver.end(request, 1, AttemptEnd::Broken);
        driver.advance_silently(Duration::from_millis(10));
        let late = other(&mut driver);
        driver.advance_silently(Duration::from_millis(10));
        driver.end(if older { early } else { late }, 1, AttemptEnd::Finished);
        driver.handle(target_listed("t0", 2));
        assert_eq!(
            announced_suspects(&driver).len(),
            usize::from(crash),
            "older connection: {older}"
        );
    }
}

struct EndCase {
    name: &'static str,
    /// How the process and the request that it ran end.
    events: fn(&mut Driver, RequestId),
    crash: bool,
}

const ENDS: &[EndCase] = &[
    EndCase {
        name: "its entry lapses after the break",
        events: |driver, request| {
            driver.end(request, 1, AttemptEnd::Broken);
            driver.advance_silently(Duration::from_secs(4));
            driver.handle(SchedulerEvent::TargetExpired("t0".into()));
        },
        crash: true,
    },
    EndCase {
        name: "its entry lapses before the break is noticed",
        events: |driver, request| {
            driver.handle(SchedulerEvent::TargetExpired("t0".into()));
            driver.end(request, 1, AttemptEnd::Broken);
        },
        crash: true,
    },
    EndCase {
        name: "another process is listed before the break is noticed",
        events: |driver, request| {
            driver.handle(target_listed("t0", 2));
            driver.end(request, 1, AttemptEnd::Broken);
        },
        crash: true,
    },
    EndCase {
        name: "another process is listed while the request still waits",
        events: |driver, _| {
            driver.handle(target_listed("t0", 2));
        },
        crash: true,
    },
    EndCase {
        name: "its entry lapses while it answers",
        events: |driver, request| {
            driver.progress(request, 1, 1, 10);
            driver.handle(SchedulerEvent::TargetExpired("t0".into()));
        },
        crash: false,
    },
    EndCase {
        name: "the caller leaves a silent target that has been restarted",
        events: |driver, request| {
            driver.handle(target_listed("t0", 2));
            driver.handle(SchedulerEvent::Disconnected(request));
            driver.end(request, 1, AttemptEnd::Cancelled);
        },
        crash: true,
    },
    EndCase {
        name: "the caller leaves a silent target that is restarted then",
        events: |driver, request| {
            driver.handle(SchedulerEvent::Disconnected(request));
            driver.end(request, 1, AttemptEnd::Cancelled);
            driver.handle(target_listed("t0", 2));
        },
        crash: true,
    },
    EndCase {
        name: "the caller leaves a target that can't be reached then",
        events: |driver, request| {
            driver.handle(SchedulerEvent::Disconnected(request));
            driver.end(request, 1, AttemptEnd::Cancelled);
            let other = driver.send(Call { idempotent: false, ..Call::default() });
            driver.end(other, 1, AttemptEnd::NotSent);
        },
        crash: false,
    },
    EndCase {
        name: "a connection to it breaks, and then this process has no link to it",
        events: |driver, request| {
            driver.end(request, 1, AttemptEnd::Broken);
            let other = driver.send(Call { idempotent: false, ..Call::default() });
            driver.end(other, 1, AttemptEnd::Unreached);
        },
        crash: false,
    },
    EndCase {
        name: "the link to it is lost, and it is restarted then",
        events: |driver, request| {
            driver.end(request, 1, AttemptEnd::Severed);
            driver.handle(target_listed("t0", 2));
        },
        crash: false,
    },
    EndCase {
        name: "it said that it would stop",
        events: |driver, request| {
            driver.handle(target_listed_as("t0", 1, true));
            driver.end(request, 1, AttemptEnd::Broken);
            driver.handle(target_listed("t0", 2));
        },
        crash: false,
    },
    EndCase {
        name: "it said that it would stop, and its entry goes before the break is noticed",
        events: |driver, request| {
            driver.handle(target_listed_as("t0", 1, true));
            driver.handle(SchedulerEvent::TargetExpired("t0".into()));
            driver.end(request, 1, AttemptEnd::Broken);
        },
        crash: false,
    },
    EndCase {
        name: "operators take it out",
        events: |driver, request| {
            driver.end(request, 1, AttemptEnd::Broken);
            driver.handle(SchedulerEvent::TargetRemoved("t0".into()));
        },
        crash: false,
    },
];

/// Guards against crashes that are missed because the end of the process and the end of its connection are
/// reported in an unusual order, and against planned stops that count as crashes.
#[test]
fn an_unplanned_process_end_is_a_crash_in_any_order_of_events() {
    for case in ENDS {
        let mut driver = Driver::with_targets(1, 4);
        driver.handle(target_listed("t0", 1));
        let request = driver.send(Call { idempotent: false, ..suspect_request() });
        driver.handle(SchedulerEvent::AttemptStarted(request, 1));
        (case.events)(&mut driver, request);
        let suspects = driver.scheduler.suspect_count();
        assert_eq!(suspects, usize::from(case.crash), "{}", case.name);
    }
}

/// Guards against a request that crashes one target after another.
#[test]
fn a_request_is_convicted_by_its_second_crash() {
    let mut driver = Driver::with_targets(4, 4);
    let request = driver.send(suspect_request());
    let first = target_of(&driver, request).unwrap();
    driver.end(request, 1, AttemptEnd::Broken);
    driver.report(&first, 2, TargetState::Cold);
    driver.advance(Duration::from_millis(200));
    let second = target_of(&driver, request).unwrap();
    assert_ne!(first, second);
    driver.end(request, 2, AttemptEnd::Broken);
    driver.advance_silently(Duration::from_millis(500));
    assert!(driver.dispatched().is_empty(), "held until it is known whether the target crashed");
    driver.report(&second, 2, TargetState::Cold);
    assert!(announced_suspects(&driver)[0].convicted);
    driver.advance(Duration::from_millis(100));
    let answer = (request, RefusalCode::CrashesTargets, CallOutcome::Unknown);
    assert_eq!(driver.refused(), [answer]);
    let again = driver.send(suspect_request());
    assert_eq!(driver.refused(), [(again, RefusalCode::CrashesTargets, CallOutcome::NotRun)]);
    driver.advance(Duration::from_secs(601));
    driver.send(suspect_request());
    assert_eq!(driver.dispatched().len(), 1, "the verdict ends after ten minutes");
}

fn peer_report(crashes: &[(&str, u64)]) -> SchedulerEvent {
    let crashes = crashes.iter().map(|(target, restart)| ((*target).into(), *restart));
    SchedulerEvent::SuspectReported(SuspectEntry {
        age_ms: 100,
        ..SuspectEntry::of_request(SUSPECT_FINGERPRINT, crashes)
    })
}

/// Guards against a request that crashes more targets because its caller sends it again through another VM.
#[test]
fn crashes_reported_by_two_peers_convict_together() {
    let mut driver = Driver::with_targets(2, 4);
    driver.handle(peer_report(&[("t8", 3)]));
    driver.handle(peer_report(&[("t8", 3)]));
    assert!(driver.actions.is_empty(), "the same crash heard twice is one crash");
    driver.handle(peer_report(&[("t9", 5)]));
    assert!(announced_suspects(&driver)[0].convicted);
    let request = driver.send(suspect_request());
    assert_eq!(driver.refused(), [(request, RefusalCode::CrashesTargets, CallOutcome::NotRun)]);
}

/// Guards against a harmless request that stays suspected because peers report the old crash again.
#[test]
fn a_finished_attempt_clears_the_suspicion() {
    let mut driver = Driver::with_targets(2, 4);
    driver.handle(peer_report(&[("t8", 3)]));
    let request = driver.send(suspect_request());
    driver.end(request, 1, AttemptEnd::Finished);
    driver.handle(peer_report(&[("t8", 3)]));
    driver.handle(peer_report(&[("t9", 5)]));
    assert!(announced_suspects(&driver).is_empty());
    driver.send(suspect_request());
    assert_eq!(driver.dispatched().len(), 1);
}

/// Guards against urgent work that is lost in a crash caused by a suspect of a lower tier.
#[test]
fn suspects_run_alone_and_not_beside_higher_tiers() {
    let mut driver = Driver::with_targets(1, 4);
    driver.handle(peer_report(&[("t8", 3)]));
    let urgent = driver.send(Call::tier(Tier::Urgent));
    driver.send(Call { tier: Tier::Normal, ..suspect_request() });
    assert!(driver.dispatched().is_empty());
    driver.end(urgent, 1, AttemptEnd::Finished);
    driver.advance(Duration::from_millis(100));
    assert_eq!(driver.dispatched().len(), 1);
    driver.send(suspect_request());
    assert!(driver.dispatched().is_empty(), "the same suspect runs once at a time");
    driver.send(Call::default());
    assert_eq!(driver.dispatched().len(), 1, "others are not held up by a waiting suspect");
}

/// Guards against memory that grows with a flood of different crashing requests.
#[test]
fn the_number_of_suspects_is_bounded() {
    let mut driver = Driver::with_targets(1, 1);
    for fingerprint in 0..3_000 {
        driver.handle(SchedulerEvent::SuspectReported(SuspectEntry {
            convicted: fingerprint == 0,
            ..SuspectEntry::of_request(fingerprint, [("t8".into(), fingerprint)])
        }));
    }
    assert_eq!(driver.scheduler.dump(driver.now).suspects, 1_024);
    let request = driver.send(Call { fingerprint: Some(0), ..Call::default() });
    assert_eq!(driver.refused()[0].1, RefusalCode::CrashesTargets, "verdicts outlive: {request}");
}
