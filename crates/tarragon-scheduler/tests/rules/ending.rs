//! The planned end of the process: what may begin before it, and which final answers the rest gets.

use super::*;
use std::time::Duration;

/// From the plan of the end to the time when all requests must be complete.
const TIME_LEFT: Duration = Duration::from_secs(7);
const RESERVE: Duration = Duration::from_secs(2);

fn plan_end(driver: &mut Driver) {
    let end = WorkEnd { at: driver.now + TIME_LEFT, reserve: RESERVE };
    driver.handle(SchedulerEvent::EndPlanned(end));
}

/// A plain call that must not be repeated.
fn dispatch_call() -> Call {
    Call { model: "", idempotent: false, ..Call::default() }
}

/// A target whose speed is known: 0.1 s to the first token, 20 tokens a second.
fn driver_with_known_speed(slots: u32) -> Driver {
    let mut driver = Driver::with_targets(1, slots);
    for _ in 0..12 {
        let request = driver.send(Call::default());
        driver.advance(Duration::from_millis(100));
        driver.progress(request, 1, 1, 100);
        driver.advance(Duration::from_secs(1));
        driver.progress(request, 1, 20, 100);
        driver.end(request, 1, AttemptEnd::Finished);
    }
    driver
}

/// A generation with an answer of this length.
fn generation(tokens: u32) -> Call {
    let terms = CallOptions { expected_output: Some(tokens), ..CallOptions::default() };
    Call { terms, ..Call::default() }
}

struct WaitCase {
    name: &'static str,
    /// Whether the request arrives before the end is planned.
    arrives_before: bool,
    deadline: Duration,
    call: fn() -> Call,
}

const WAITING: &[WaitCase] = &[
    WaitCase {
        name: "waits when the end is planned",
        arrives_before: true,
        deadline: Duration::from_secs(15),
        call: Call::default,
    },
    WaitCase {
        name: "arrives after the end is planned",
        arrives_before: false,
        deadline: Duration::from_secs(15),
        call: Call::default,
    },
    WaitCase {
        name: "must not be repeated",
        arrives_before: true,
        deadline: Duration::from_secs(15),
        call: dispatch_call,
    },
    WaitCase {
        name: "has a deadline shortly after the end",
        arrives_before: true,
        deadline: Duration::from_millis(7_200),
        call: Call::default,
    },
];

/// Guards against requests that wait for a slot until their process has gone.
#[test]
fn waiting_requests_are_refused_while_another_process_can_serve_them() {
    for case in WAITING {
        let mut driver = Driver::with_targets(1, 1);
        driver.send(Call::tier(Tier::Urgent));
        let call = || Call { deadline: case.deadline, ..(case.call)() };
        let early = case.arrives_before.then(|| driver.send(call()));
        let start = driver.now;
        plan_end(&mut driver);
        let waiting = early.unwrap_or_else(|| driver.send(call()));
        while driver.waiting() > 0 && driver.now < start + 2 * TIME_LEFT {
            driver.advance(Duration::from_millis(100));
        }
        let refused = driver.refused();
        assert_eq!(
            refused,
            [(waiting, RefusalCode::ShuttingDown, CallOutcome::NotRun)],
            "{}",
            case.name
        );
        let spent = driver.now - start;
        assert!(spent <= (TIME_LEFT - RESERVE) / 2, "{}: after {spent:?}", case.name);
    }
}

struct BeginCase {
    name: &'static str,
    /// Tokens of the answer.
    tokens: u32,
    /// When it arrives after the end was planned.
    after: Duration,
    begins: bool,
}

const BEGINNING: &[BeginCase] = &[
    BeginCase { name: "short", tokens: 20, after: Duration::ZERO, begins: true },
    BeginCase { name: "long", tokens: 200, after: Duration::ZERO, begins: false },
    BeginCase { name: "short, late", tokens: 20, after: Duration::from_secs(4), begins: true },
    BeginCase { name: "medium, late", tokens: 50, after: Duration::from_secs(4), begins: false },
    BeginCase { name: "short, too late", tokens: 1, after: Duration::from_secs(6), begins: false },
];

/// Guards against answers that are cut because they began too late before the end, and against free slots that a
/// process doesn't use although it could complete a request.
#[test]
fn only_requests_that_can_be_completed_begin() {
    for case in BEGINNING {
        let mut driver = driver_with_known_speed(4);
        plan_end(&mut driver);
        driver.advance(case.after);
        let request = driver.send(generation(case.tokens));
        let begun = driver.dispatched().iter().any(|(begun, ..)| *begun == request);
        assert_eq!(begun, case.begins, "{}", case.name);
        let refused = driver.refused();
        let refusal = (request, RefusalCode::ShuttingDown, CallOutcome::NotRun);
        assert_eq!(refused.contains(&refusal), !case.begins, "{}: {refused:?}", case.name);
    }
}

/// Guards against requests that are refused because of the end of the process although it doesn't concern them.
#[test]
fn requests_that_end_before_the_process_keep_their_place() {
    let mut driver = Driver::with_targets(1, 1);
    let running = driver.send(Call::default());
    let waiting = driver.send(Call { deadline: Duration::from_secs(4), ..Call::default() });
    plan_end(&mut driver);
    driver.advance(Duration::from_millis(3_500));
    assert_eq!(driver.waiting(), 1);
    driver.end(running, 1, AttemptEnd::Finished);
    assert_eq!(driver.dispatched().iter().map(|sent| sent.0).collect::<Vec<_>>(), [waiting]);
}

/// Guards against a burst of bare closes when the process exits: what runs gets its final answer in parts, and
/// never one that says that it has not run.
#[test]
fn running_requests_get_their_final_answers_in_parts() {
    let mut driver = Driver::with_targets(1, 4);
    let streaming = driver.send(Call::default());
    driver.progress(streaming, 1, 1, 100);
    let others = [dispatch_call(), Call::default(), dispatch_call()].map(|call| driver.send(call));
    plan_end(&mut driver);
    let mut ended = Vec::new();
    for _ in 0..4 {
        driver.handle(SchedulerEvent::EndReached(1));
        let refused = driver.refused();
        let [(request, code, outcome)] = refused[..] else { panic!("{refused:?}") };
        assert_eq!((code, outcome), (RefusalCode::ShuttingDown, CallOutcome::Unknown));
        driver.handle(SchedulerEvent::Disconnected(request));
        driver.end(request, 1, AttemptEnd::Cancelled);
        assert_eq!(driver.actions, [], "it is neither retried nor suspected");
        ended.push(request);
    }
    assert_eq!(ended.last(), Some(&streaming), "its caller has a part of the answer");
    assert!(others.iter().all(|request| ended.contains(request)));
    driver.handle(SchedulerEvent::EndReached(1));
    assert_eq!(driver.actions, []);
}
