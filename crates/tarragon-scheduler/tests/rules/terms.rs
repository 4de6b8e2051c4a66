//! Options that a route sets for its requests (attempts, objective, rank within the tier), limits on the
//! starts at a target and on retries, remote targets, and paused services.

use std::time::Duration;

use tarragon_scheduler::retry::RetryLimits;

use super::*;

struct AttemptCase {
    name: &'static str,
    terms: CallOptions,
    idempotent: bool,
    ends: &'static [AttemptEnd],
    /// Total number of attempts.
    attempts: usize,
}

fn attempts(max_attempts: u32) -> CallOptions {
    CallOptions { max_attempts, ..CallOptions::default() }
}

/// Guards against sending a request to more targets than its route allows, and against giving it up although
/// nothing was sent.
#[test]
fn routes_bound_the_targets_that_get_a_request() {
    let proof = CallOptions { rejection_means_not_run: true, ..attempts(2) };
    let cases = [
        AttemptCase {
            name: "one target",
            terms: attempts(1),
            idempotent: true,
            ends: &[AttemptEnd::Broken],
            attempts: 1,
        },
        AttemptCase {
            name: "two targets",
            terms: attempts(2),
            idempotent: true,
            ends: &[AttemptEnd::Broken, AttemptEnd::Failed],
            attempts: 2,
        },
        AttemptCase {
            name: "a refused connection reaches no target",
            terms: attempts(1),
            idempotent: false,
            ends: &[AttemptEnd::NotSent, AttemptEnd::Broken],
            attempts: 2,
        },
        AttemptCase {
            name: "a rejection that proves nothing",
            terms: attempts(2),
            idempotent: false,
            ends: &[AttemptEnd::Rejected],
            attempts: 1,
        },
        AttemptCase {
            name: "a rejection that proves that nothing was run",
            terms: proof,
            idempotent: false,
            ends: &[AttemptEnd::Rejected, AttemptEnd::Broken],
            attempts: 2,
        },
    ];
    for case in cases {
        let mut driver = Driver::with_targets(4, 4);
        let AttemptCase { terms, idempotent, .. } = case;
        let request = driver.send(Call { terms, idempotent, ..Call::default() });
        let mut made = driver.dispatched().len();
        for (index, end) in case.ends.iter().enumerate() {
            driver.end(request, index as u32 + 1, *end);
            driver.advance(Duration::from_millis(300));
            made += driver.dispatched().len();
        }
        assert_eq!(made, case.attempts, "{}", case.name);
    }
}

/// Guards against requests that can still meet their objective but wait behind a late one, and against
/// ignoring the rank of a route within a tier.
#[test]
fn requests_in_time_go_first_then_those_of_a_lower_rank() {
    let mut driver = Driver::with_targets(1, 1);
    let first = driver.send(Call::default());
    assert_eq!(driver.dispatched().len(), 1);
    let late = driver.now + Duration::from_millis(50);
    let later = driver.now + Duration::from_secs(60);
    let terms = |rank, objective| CallOptions {
        rank,
        first_output_objective: Some(objective),
        ..CallOptions::default()
    };
    let mut send =
        |rank, objective| driver.send(Call { terms: terms(rank, objective), ..Call::default() });
    let too_late = send(0, late);
    let low = send(2, later);
    let high = send(1, later);
    driver.advance(Duration::from_millis(200));
    let mut order = Vec::new();
    let mut running = first;
    for _ in 0..3 {
        driver.end(running, 1, AttemptEnd::Finished);
        let next: Vec<RequestId> =
            driver.dispatched().into_iter().map(|(request, ..)| request).collect();
        assert_eq!(next.len(), 1);
        running = next[0];
        order.push(running);
    }
    assert_eq!(order, [high, low, too_late]);
}

/// Guards against more starts in a second than a cold target can take, which the window allows if each
/// request ends at once.
#[test]
fn starts_in_any_second_are_bounded() {
    let mut driver = Driver::with_targets(1, 8);
    driver.handle(SchedulerEvent::StartLimitSet("t0".into(), Some(2)));
    let mut started = 0;
    for _ in 0..9 {
        let request = driver.send(Call::default());
        for (request, attempt, _) in driver.dispatched() {
            started += 1;
            driver.end(request, attempt, AttemptEnd::Finished);
        }
        assert!(request > 0);
        driver.advance(Duration::from_millis(100));
        for (request, attempt, _) in driver.dispatched() {
            started += 1;
            driver.end(request, attempt, AttemptEnd::Finished);
        }
    }
    assert_eq!(started, 2);
    driver.advance(Duration::from_millis(200));
    assert!(!driver.dispatched().is_empty(), "the next second has room again");
}

/// Guards against retries of one service that use up the budget of another one.
#[test]
fn services_have_separate_retry_budgets_if_limits_are_set() {
    let mut driver = Driver::with_targets(4, 4);
    driver.add_target("ledger", "l0", 4);
    driver.add_target("ledger", "l1", 4);
    driver.scheduler.set_retry_limits(RetryLimits {
        per_success: 0.0,
        max_saved: 1.0,
        floor_rate: 0.0,
        floor_saved: 1.0,
    });
    let mut retried = Vec::new();
    for service in ["pool", "pool", "ledger"] {
        let request = driver.send(Call { service, ..Call::default() });
        driver.end(request, 1, AttemptEnd::Failed);
        driver.advance(Duration::from_millis(200));
        let again = driver.dispatched();
        retried.push(!again.is_empty());
        for (request, attempt, _) in again {
            driver.end(request, attempt, AttemptEnd::Finished);
        }
    }
    assert_eq!(retried, [true, false, true]);
}

/// Guards against using a target of another data centre when a local one could take the request as soon.
#[test]
fn targets_nearby_are_preferred() {
    let mut driver = Driver::with_targets(2, 4);
    driver.handle(SchedulerEvent::TargetListed(TargetEntry {
        target: "t0".into(),
        service: "pool".into(),
        in_service: true,
        remote: true,
        build: None,
        process: None,
    }));
    for _ in 0..6 {
        let request = driver.send(Call::default());
        let targets: Vec<String> =
            driver.dispatched().into_iter().map(|(_, _, target)| target.to_string()).collect();
        assert_eq!(targets, ["t1"]);
        driver.end(request, 1, AttemptEnd::Finished);
    }
}

/// Guards against refusals because the throughput of an idle pool is underestimated: a burst that arrived
/// right before the end of an interval made the few calls of that interval look like all that the pool can
/// process.
#[test]
fn a_burst_at_an_idle_pool_does_not_lower_its_throughput() {
    let mut driver = Driver::with_targets(2, 2);
    let plain = || Call {
        model: "",
        tier: Tier::High,
        deadline: Duration::from_secs(4),
        ..Call::default()
    };
    for _ in 0..20 {
        let request = driver.send(plain());
        driver.advance(Duration::from_millis(10));
        driver.end(request, 1, AttemptEnd::Finished);
        driver.advance(Duration::from_millis(490));
    }
    let burst: Vec<RequestId> = (0..60).map(|_| driver.send(plain())).collect();
    driver.advance(Duration::from_millis(600));
    let mut refused = driver.refused().len();
    for _ in 0..20 {
        driver.send(plain());
        refused += driver.refused().len();
    }
    assert_eq!(refused, 0, "{} wait", driver.waiting());
    assert!(driver.waiting() as usize >= burst.len());
}

/// Guards against requests that wait in vain while all targets of their service have paused, and against
/// refusals without the time after which to retry.
#[test]
fn requests_of_a_paused_service_are_refused_with_the_remaining_pause() {
    let mut driver = Driver::with_targets(1, 1);
    driver.send(Call::default());
    let waiting = driver.send(Call::default());
    assert_eq!(driver.waiting(), 1);
    driver.list_target("pool", "t0", false);
    let until = driver.now + Duration::from_millis(700);
    driver.handle(SchedulerEvent::ServicePaused("pool".into(), Some(until)));
    let waits = |driver: &Driver| -> Vec<(RequestId, Option<Duration>)> {
        let refusals = driver.actions.iter().filter_map(|action| match action {
            SchedulerAction::Refuse { request, refusal } => Some((*request, refusal.retry_after)),
            _ => None,
        });
        refusals.collect()
    };
    assert_eq!(waits(&driver), [(waiting, Some(Duration::from_millis(700)))]);
    driver.advance(Duration::from_millis(200));
    let late = driver.send(Call::default());
    assert_eq!(waits(&driver), [(late, Some(Duration::from_millis(500)))]);
}

/// Guards against requests that wait, and in the end run, although their callers leave when no part of an
/// answer has arrived for some seconds. Seen in the run nilestitch-front-grown, scale-1: 1,014 of 1,197
/// callers that left had not been sent to a target.
#[test]
fn requests_are_refused_before_their_callers_time_out() {
    let mut driver = Driver::with_targets(1, 1);
    driver.send(Call::default());
    let patience = Some(driver.now + Duration::from_secs(3));
    let terms = CallOptions { first_output_deadline: patience, ..CallOptions::default() };
    let impatient = driver.send(Call { terms, ..Call::default() });
    driver.advance(Duration::from_millis(2_500));
    assert_eq!(driver.refused(), []);
    driver.advance(Duration::from_millis(600));
    let refused: Vec<_> = driver.refused().iter().map(|(request, ..)| *request).collect();
    assert_eq!(refused, [impatient]);
    // A request whose caller waits until the deadline stays queued.
    assert_eq!(driver.send(Call::default()), impatient + 1);
    driver.advance(Duration::from_secs(10));
    assert_eq!(driver.refused(), []);
}
