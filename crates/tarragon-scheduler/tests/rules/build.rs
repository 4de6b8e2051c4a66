//! Streams go on only at targets of the build that began them.

use super::*;

const OLD: BuildKey = 1;
const NEW: BuildKey = 2;

fn list(driver: &mut Driver, name: &str, build: BuildKey, in_service: bool) {
    list_process(driver, name, build, in_service, false);
}

fn list_process(driver: &mut Driver, name: &str, build: BuildKey, in_service: bool, leaving: bool) {
    driver.handle(SchedulerEvent::TargetListed(TargetEntry {
        target: name.into(),
        service: "pool".into(),
        in_service,
        remote: false,
        build: Some(build),
        process: Some(ListedProcess { restart: 1, leaving }),
    }));
}

/// The target is about to stop.
fn list_leaving(driver: &mut Driver, name: &str, build: BuildKey) {
    list_process(driver, name, build, false, true);
}

/// A driver with targets of the two builds, and one slot each.
fn driver_of(builds: &[(&str, BuildKey)]) -> Driver {
    let mut driver = Driver::with_targets(0, 1);
    for (name, build) in builds {
        driver.add_target("pool", name, 1);
        list(&mut driver, name, *build, true);
    }
    driver
}

fn bound_to(build: BuildKey) -> Call {
    let progress = Some(AnswerProgress { build, delivered: 0 });
    Call { terms: CallOptions { progress, ..CallOptions::default() }, ..Call::default() }
}

fn targets_of(driver: &Driver, request: RequestId) -> Vec<TargetName> {
    let dispatched = driver.dispatched().into_iter();
    dispatched.filter(|(one, ..)| *one == request).map(|(_, _, target)| target).collect()
}

struct ResumeCase {
    name: &'static str,
    /// Whether the first event had been passed on when the attempt broke.
    begun: bool,
    /// Target of the second attempt; `None` if the request is refused.
    second: Option<&'static str>,
    targets: &'static [(&'static str, BuildKey)],
}

const RESUMES: &[ResumeCase] = &[
    ResumeCase {
        name: "begun",
        begun: true,
        second: Some("t1"),
        targets: &[("t0", OLD), ("t1", OLD), ("t2", NEW)],
    },
    ResumeCase {
        name: "begun, and no other target of the build",
        begun: true,
        second: None,
        targets: &[("t0", OLD), ("t2", NEW)],
    },
    ResumeCase {
        name: "not begun",
        begun: false,
        second: Some("t2"),
        targets: &[("t0", OLD), ("t2", NEW)],
    },
];

/// Guards against an answer whose first part comes from one build and the rest from another.
#[test]
fn a_broken_stream_is_resumed_at_its_build() {
    for case in RESUMES {
        let mut driver = driver_of(case.targets);
        for (name, _) in &case.targets[1..] {
            driver.set_slots(name, 0, false);
        }
        let request = driver.send(Call::default());
        assert_eq!(targets_of(&driver, request), ["t0".into()], "{}", case.name);
        driver.handle(SchedulerEvent::AttemptStarted(request, 1));
        if case.begun {
            driver.handle(SchedulerEvent::StreamBegan(request, 1, OLD));
            driver.progress(request, 1, 3, 50);
        }
        list_leaving(&mut driver, "t0", OLD);
        for (name, _) in &case.targets[1..] {
            driver.set_slots(name, 1, false);
        }
        driver.end(request, 1, AttemptEnd::Broken);
        let refused = driver.refused();
        match case.second {
            Some(second) => {
                driver.advance(std::time::Duration::from_millis(300));
                assert_eq!(targets_of(&driver, request), [second.into()], "{}", case.name);
            }
            None => {
                let expected = (request, RefusalCode::NoTarget, CallOutcome::Unknown);
                assert_eq!(refused, [expected], "{}", case.name);
            }
        }
    }
}

/// Guards against take-ups that wait for a target which will never come, and against take-ups at another build.
#[test]
fn a_take_up_without_a_target_of_its_build_is_refused_at_once() {
    let mut driver = driver_of(&[("t0", NEW)]);
    let request = driver.send(bound_to(OLD));
    assert_eq!(driver.refused(), [(request, RefusalCode::NoTarget, CallOutcome::NotRun)]);
    // The last target of the build leaves while a take-up waits for it.
    let mut driver = driver_of(&[("t0", NEW), ("t1", OLD)]);
    driver.set_slots("t1", 0, false);
    let request = driver.send(bound_to(OLD));
    assert_eq!(driver.refused(), []);
    list_leaving(&mut driver, "t1", OLD);
    driver.advance_silently(std::time::Duration::from_millis(100));
    assert_eq!(driver.refused(), [(request, RefusalCode::NoTarget, CallOutcome::NotRun)]);
}

/// Guards against new requests that take the slots which only take-ups may use, and against take-ups that hold up
/// new requests for other targets.
#[test]
fn take_ups_go_first_at_their_build_and_hold_up_no_others() {
    let mut driver = driver_of(&[("t0", OLD), ("t1", NEW)]);
    let running: Vec<RequestId> = (0..2).map(|_| driver.send(Call::default())).collect();
    let new = driver.send(Call::default());
    let taken_up = driver.send(bound_to(NEW));
    assert_eq!(driver.waiting(), 2);
    let at_new = running[1];
    driver.end(at_new, 1, AttemptEnd::Finished);
    assert_eq!(targets_of(&driver, taken_up), ["t1".into()]);
    let waiting = driver.send(bound_to(NEW));
    driver.end(running[0], 1, AttemptEnd::Finished);
    assert_eq!(targets_of(&driver, new), ["t0".into()]);
    assert_eq!(targets_of(&driver, waiting), Vec::<TargetName>::new());
}

/// Guards against take-ups that wait behind new requests of their tier, and that go before more urgent ones.
#[test]
fn take_ups_go_first_within_their_tier() {
    let mut driver = driver_of(&[("t0", OLD)]);
    let running = driver.send(Call::default());
    let new = driver.send(Call::default());
    let taken_up = driver.send(bound_to(OLD));
    let urgent = driver.send(Call::tier(Tier::Urgent));
    let mut order = vec![running];
    for _ in 0..3 {
        let last = *order.last().unwrap();
        driver.end(last, 1, AttemptEnd::Finished);
        order.extend(driver.dispatched().into_iter().map(|(request, ..)| request));
    }
    assert_eq!(order, [running, urgent, taken_up, new]);
}

/// Guards against refusals, and streams that are given up, because the only targets of a build are in a back-off.
#[test]
fn take_ups_wait_for_a_target_that_is_briefly_out_of_service() {
    let mut driver = driver_of(&[("t0", NEW), ("t1", OLD)]);
    list(&mut driver, "t1", OLD, false);
    let served = driver.send(bound_to(OLD));
    driver.advance(std::time::Duration::from_secs(1));
    assert_eq!(driver.refused(), []);
    list(&mut driver, "t1", OLD, true);
    assert_eq!(targets_of(&driver, served), ["t1".into()]);
    driver.end(served, 1, AttemptEnd::Finished);
    list(&mut driver, "t1", OLD, false);
    let refused = driver.send(bound_to(OLD));
    driver.advance(std::time::Duration::from_millis(2_100));
    assert_eq!(driver.refused(), [(refused, RefusalCode::NoTarget, CallOutcome::NotRun)]);
}
