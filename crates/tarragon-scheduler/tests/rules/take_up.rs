//! Requests that take up a stream are sized by what is left of it, and come before new ones of their tier.

use std::{collections::VecDeque, time::Duration};

use super::*;

const BUILD: BuildKey = 1;
const OTHER_BUILD: BuildKey = 2;

/// Time between two tokens of the targets.
const TOKEN_TIME: Duration = Duration::from_millis(10);
/// Tokens that callers expect in an answer.
const ANSWER: u32 = 100;

fn list(driver: &mut Driver, name: &str, build: BuildKey) {
    driver.handle(SchedulerEvent::TargetListed(TargetEntry {
        target: name.into(),
        service: "pool".into(),
        in_service: true,
        remote: false,
        build: Some(build),
        process: Some(ListedProcess { restart: 1, leaving: false }),
    }));
}

/// Targets of one slot whose speed is known: 25 ms to the first token, 10 ms for each further one.
fn trained_driver(builds: &[BuildKey]) -> Driver {
    let mut driver = Driver::with_targets(0, 1);
    for (index, build) in builds.iter().enumerate() {
        let name = format!("t{index}");
        driver.add_target("pool", &name, 1);
        list(&mut driver, &name, *build);
    }
    for _ in 0..10 {
        let requests: Vec<_> = builds.iter().map(|_| driver.send(Call::default())).collect();
        requests.iter().for_each(|request| driver.progress(*request, 1, 1, 50));
        driver.advance(TOKEN_TIME * (ANSWER - 1));
        for request in requests {
            driver.progress(request, 1, ANSWER, 50);
            driver.end(request, 1, AttemptEnd::Finished);
        }
    }
    driver
}

fn new(deadline_ms: u64) -> Call {
    let terms = CallOptions { expected_output: Some(ANSWER), ..CallOptions::default() };
    Call { terms, deadline: Duration::from_millis(deadline_ms), ..Call::default() }
}

fn take_up(delivered: u32, deadline_ms: u64) -> Call {
    let call = new(deadline_ms);
    let progress = Some(AnswerProgress { build: BUILD, delivered });
    Call { terms: CallOptions { progress, ..call.terms }, ..call }
}

struct SizeCase {
    name: &'static str,
    call: fn() -> Call,
    begins: bool,
}

const SIZES: &[SizeCase] = &[
    SizeCase { name: "new, time for the answer", call: || new(900), begins: true },
    SizeCase { name: "new, too little time", call: || new(500), begins: false },
    SizeCase { name: "half done, time for the rest", call: || take_up(50, 200), begins: true },
    SizeCase { name: "hardly begun, too little time", call: || take_up(10, 200), begins: false },
    SizeCase { name: "longer than expected", call: || take_up(150, 100), begins: true },
    SizeCase { name: "at its largest size", call: || take_up(200, 100), begins: true },
];

/// Guards against streams that are refused for work that is done, and against hopeless ones that are held.
#[test]
fn a_take_up_is_refused_only_if_the_rest_takes_too_long() {
    for case in SIZES {
        let mut driver = trained_driver(&[BUILD]);
        let request = driver.send((case.call)());
        let refusal = (request, RefusalCode::DeadlineExceeded, CallOutcome::NotRun);
        let expected = if case.begins { vec![] } else { vec![refusal] };
        assert_eq!(driver.refused(), expected, "{}", case.name);
        assert_eq!(driver.dispatched().len(), usize::from(case.begins), "{}", case.name);
    }
}

/// Guards against a take-up that is sent although its caller leaves before the first of the remaining events.
#[test]
fn a_take_up_whose_caller_leaves_before_the_next_event_is_refused_at_once() {
    let mut driver = trained_driver(&[BUILD]);
    let call = take_up(50, 2_000);
    let first_output_deadline = Some(driver.now + Duration::from_millis(5));
    let terms = CallOptions { first_output_deadline, ..call.terms };
    let request = driver.send(Call { terms, ..call });
    let refusal = (request, RefusalCode::DeadlineExceeded, CallOutcome::NotRun);
    assert_eq!(driver.refused(), [refusal]);
}

/// Guards against rests of answers that pass for whole ones: later requests would be taken for shorter than they
/// are.
#[test]
fn the_length_of_an_answer_includes_what_its_caller_had() {
    let mut driver = trained_driver(&[BUILD]);
    for _ in 0..20 {
        let request = driver.send(take_up(90, 2_000));
        driver.progress(request, 1, 10, 50);
        driver.end(request, 1, AttemptEnd::Finished);
    }
    let call = Call { deadline: Duration::from_millis(500), ..Call::default() };
    let request = driver.send(call);
    let refusal = (request, RefusalCode::DeadlineExceeded, CallOutcome::NotRun);
    assert_eq!(driver.refused(), [refusal]);
}

/// Guards against take-ups that are refused under a load at which nearly all new requests begin.
#[test]
fn take_ups_begin_under_a_load_at_which_new_requests_begin() {
    const STEP: Duration = Duration::from_millis(100);
    let mut driver = trained_driver(&[BUILD; 4]);
    let mut running: VecDeque<(u32, RequestId)> = VecDeque::new();
    let (mut asked, mut begun, mut taken_up) = ([0; 2], [0; 2], Vec::new());
    for step in 0..300 {
        let mut dispatched = Vec::new();
        if step % 4 == 0 {
            asked[0] += 1;
            driver.send(new(3_000));
            dispatched.append(&mut driver.dispatched());
        }
        if step % 10 == 0 {
            asked[1] += 1;
            taken_up.push(driver.send(take_up(60, 500)));
            dispatched.append(&mut driver.dispatched());
        }
        driver.advance(STEP);
        dispatched.append(&mut driver.dispatched());
        while running.front().is_some_and(|(end, _)| *end <= step) {
            let (_, request) = running.pop_front().unwrap();
            driver.progress(request, 1, if taken_up.contains(&request) { 40 } else { ANSWER }, 50);
            driver.end(request, 1, AttemptEnd::Finished);
            dispatched.append(&mut driver.dispatched());
        }
        for (request, ..) in dispatched {
            let is_taken_up = taken_up.contains(&request);
            begun[usize::from(is_taken_up)] += 1;
            driver.progress(request, 1, 1, 50);
            running.push_back((step + if is_taken_up { 4 } else { 10 }, request));
        }
        running.make_contiguous().sort_unstable();
    }
    let share = |kind: usize| f64::from(begun[kind]) / f64::from(asked[kind]);
    assert!(share(0) > 0.9, "new: {} of {}", begun[0], asked[0]);
    assert!(share(1) > 0.9, "taken up: {} of {}, new: {}", begun[1], asked[1], share(0));
}

/// Guards against take-ups that wait in vain behind others of their build, because the targets of other builds are
/// counted.
#[test]
fn the_wait_of_a_take_up_is_that_at_the_targets_of_its_build() {
    let builds = [BUILD, OTHER_BUILD, OTHER_BUILD, OTHER_BUILD];
    let mut driver = trained_driver(&builds);
    // Rounds in which requests wait tell the speed of the service.
    let mut running = Vec::new();
    for _ in 0..12 {
        driver.send(new(60_000));
        running.extend(driver.dispatched().into_iter().map(|(request, ..)| request));
    }
    assert_eq!(running.len(), builds.len());
    for _ in 0..6 {
        for request in &running {
            driver.progress(*request, 1, 1, 50);
        }
        driver.advance(TOKEN_TIME * ANSWER);
        for request in std::mem::take(&mut running) {
            driver.progress(request, 1, ANSWER, 50);
            driver.end(request, 1, AttemptEnd::Finished);
            running.extend(driver.dispatched().into_iter().map(|(request, ..)| request));
            driver.send(new(60_000));
            running.extend(driver.dispatched().into_iter().map(|(request, ..)| request));
        }
    }
    for _ in 0..3 {
        driver.send(take_up(0, 60_000));
        assert_eq!(driver.refused(), []);
    }
    let hopeless = driver.send(take_up(60, 2_200));
    let refusal = (hopeless, RefusalCode::DeadlineExceeded, CallOutcome::NotRun);
    assert_eq!(driver.refused(), [refusal]);
    driver.send(take_up(60, 4_500));
    assert_eq!(driver.refused(), [], "its wait ends in time");
}

struct ShedCase {
    name: &'static str,
    /// Tier of each waiting request, and whether it takes up a stream, in order of arrival.
    waiting: &'static [(Tier, bool)],
    arriving: (Tier, bool),
    /// Position of the request that is shed; the arriving one comes last.
    shed: usize,
}

const SHEDDING: &[ShedCase] = &[
    ShedCase {
        name: "a new request gives way before a newer take-up of its tier",
        waiting: &[(Tier::Normal, false), (Tier::Normal, true)],
        arriving: (Tier::High, false),
        shed: 0,
    },
    ShedCase {
        name: "a new request gives way to a take-up of its own tier",
        waiting: &[(Tier::Normal, false), (Tier::Normal, false)],
        arriving: (Tier::Normal, true),
        shed: 1,
    },
    ShedCase {
        name: "a take-up displaces no other one",
        waiting: &[(Tier::Normal, true), (Tier::Normal, true)],
        arriving: (Tier::Normal, true),
        shed: 2,
    },
    ShedCase {
        name: "a new request displaces no take-up of its tier",
        waiting: &[(Tier::Normal, true), (Tier::Normal, true)],
        arriving: (Tier::Normal, false),
        shed: 2,
    },
    ShedCase {
        name: "a take-up of a lower tier gives way",
        waiting: &[(Tier::Normal, true), (Tier::High, false)],
        arriving: (Tier::High, false),
        shed: 0,
    },
    ShedCase {
        name: "a take-up displaces no higher tier",
        waiting: &[(Tier::High, false), (Tier::High, false)],
        arriving: (Tier::Normal, true),
        shed: 2,
    },
];

/// Guards against half a stream that is thrown away for one that has yet to begin.
#[test]
fn new_requests_are_shed_before_take_ups_of_their_tier() {
    for case in SHEDDING {
        let mut driver = Driver::new(SchedulerLimits { waiting: 2, waiting_tokens: 1_000_000 });
        driver.add_target("pool", "t0", 1);
        list(&mut driver, "t0", BUILD);
        driver.send(Call::tier(Tier::Urgent));
        let mut requests = Vec::new();
        for (tier, taken_up) in case.waiting.iter().chain([&case.arriving]) {
            let call = if *taken_up { take_up(50, 60_000) } else { new(60_000) };
            requests.push(driver.send(Call { tier: *tier, ..call }));
        }
        let refusal = (requests[case.shed], RefusalCode::Shed, CallOutcome::NotRun);
        assert_eq!(driver.refused(), [refusal], "{}", case.name);
    }
}

/// Guards against take-ups that wait for a permit behind new requests of their tier until their callers leave.
#[test]
fn take_ups_get_permits_before_new_requests_of_their_tier() {
    const SECOND: Duration = Duration::from_secs(1);
    let mut driver = trained_driver(&[BUILD]);
    driver.set_slots("t0", 8, false);
    driver.handle(SchedulerEvent::StartsPaced("t0".into(), true));
    let forecast = StartForecast { next: driver.now + SECOND, interval: SECOND };
    driver.handle(SchedulerEvent::StartsForecast("pool".into(), Some(forecast)));
    let waiting = driver.send(new(4_000));
    // It is past its objective before the permit comes.
    let call = take_up(50, 1_500);
    let first_output_objective = Some(driver.now + SECOND / 10);
    let terms = CallOptions { first_output_objective, ..call.terms };
    let taken_up = driver.send(Call { terms, ..call });
    assert_eq!(driver.refused(), [], "the first permit is in time");
    driver.advance_silently(SECOND);
    assert_eq!(driver.refused(), [], "both wait");
    let until = driver.now + SECOND;
    driver.handle(SchedulerEvent::StartsPermitted { target: "t0".into(), count: 1, until });
    let sent: Vec<_> = driver.dispatched().into_iter().map(|(request, ..)| request).collect();
    assert_eq!(sent, [taken_up], "{waiting} is new");
}

/// Guards against streams that are given up shortly before their end, because the target breaks off and the rest is
/// taken for a whole answer.
#[test]
fn a_broken_stream_goes_on_if_there_is_time_for_the_rest() {
    for model in ["assess", ""] {
        let mut driver = trained_driver(&[BUILD; 2]);
        for _ in 0..10 {
            let request = driver.send(Call { model: "", ..Call::default() });
            driver.advance(TOKEN_TIME * ANSWER);
            driver.end(request, 1, AttemptEnd::Finished);
        }
        driver.advance(Duration::from_secs(1));
        let request = driver.send(Call { model, ..new(1_000) });
        driver.handle(SchedulerEvent::StreamBegan(request, 1, BUILD));
        driver.progress(request, 1, 1, 50);
        driver.advance(Duration::from_millis(700));
        driver.progress(request, 1, 70, 50);
        driver.end(request, 1, AttemptEnd::Broken);
        assert_eq!(driver.refused(), [], "model {model:?}");
        driver.advance(Duration::from_millis(200));
        let sent: Vec<_> = driver.dispatched().into_iter().map(|(request, ..)| request).collect();
        assert_eq!(sent, [request], "model {model:?}");
    }
}
