//! Pace of targets: how long it counts, what it changes, and what is learned meanwhile.

use super::*;
use std::time::{Duration, Instant};
use tarragon_protocol::load::TargetState;
use tarragon_scheduler::targets::pace::TargetPace;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

struct FadeCase {
    name: &'static str,
    percent: u32,
    age_ms: u64,
    factor: f64,
}

const FADE_CASES: &[FadeCase] = &[
    FadeCase { name: "just told", percent: 250, age_ms: 0, factor: 2.5 },
    FadeCase { name: "half faded", percent: 250, age_ms: 300, factor: 1.75 },
    FadeCase { name: "faded", percent: 250, age_ms: 600, factor: 1.0 },
    FadeCase { name: "long ago", percent: 250, age_ms: 60_000, factor: 1.0 },
    FadeCase { name: "as usual", percent: 100, age_ms: 0, factor: 1.0 },
    FadeCase { name: "fast", percent: 80, age_ms: 300, factor: 0.9 },
    FadeCase { name: "far too fast", percent: 1, age_ms: 0, factor: 0.5 },
    FadeCase { name: "far too slow", percent: 100_000, age_ms: 0, factor: 10.0 },
    FadeCase { name: "largest number", percent: u32::MAX, age_ms: 0, factor: 10.0 },
];

/// Guards against a spell that counts long after its end, and against odd figures that break estimates.
#[test]
fn a_pace_is_bounded_and_fades() {
    for case in FADE_CASES {
        let start = Instant::now();
        let mut pace = TargetPace::default();
        pace.record(case.percent, start);
        let factor = pace.factor(start + ms(case.age_ms));
        assert!((factor - case.factor).abs() < 1e-9, "{}: {factor}", case.name);
    }
}

struct MeanCase {
    name: &'static str,
    /// Readings as milliseconds and percent.
    readings: &'static [(u64, u32)],
    /// Start and end of the work in milliseconds.
    work: (u64, u64),
    /// Least and greatest mean factor.
    mean: (f64, f64),
}

const MEAN_CASES: &[MeanCase] = &[
    MeanCase { name: "nothing told", readings: &[], work: (0, 500), mean: (1.0, 1.0) },
    MeanCase { name: "as usual", readings: &[(0, 100)], work: (0, 500), mean: (1.0, 1.0) },
    MeanCase { name: "told at the end", readings: &[(200, 250)], work: (0, 200), mean: (2.2, 2.3) },
    MeanCase { name: "told at the start", readings: &[(0, 250)], work: (0, 200), mean: (2.2, 2.3) },
    MeanCase {
        name: "told at both ends",
        readings: &[(0, 250), (200, 250)],
        work: (0, 200),
        mean: (2.499, 2.501),
    },
    MeanCase {
        name: "told often in a long spell",
        readings: &[(0, 250), (300, 250), (600, 250), (900, 250)],
        work: (100, 900),
        mean: (2.4, 2.6),
    },
    MeanCase {
        name: "ended before",
        readings: &[(0, 250), (1_000, 100)],
        work: (1_000, 1_500),
        mean: (1.0, 1.0),
    },
    MeanCase {
        name: "one spell in a long answer",
        readings: &[(1_000, 250)],
        work: (0, 6_000),
        mean: (1.1, 1.2),
    },
    MeanCase { name: "no time", readings: &[(100, 250)], work: (100, 100), mean: (1.0, 1.0) },
];

/// Guards against a correction by a pace that did not hold while the work ran.
#[test]
fn the_mean_pace_covers_the_time_of_the_work() {
    for case in MEAN_CASES {
        let start = Instant::now();
        let mut pace = TargetPace::default();
        let (begin, end) = case.work;
        let (before, after): (Vec<(u64, u32)>, _) =
            case.readings.iter().copied().partition(|(at, _)| *at <= begin);
        before.into_iter().for_each(|(at, percent)| pace.record(percent, start + ms(at)));
        let mark = pace.mark(start + ms(begin));
        after
            .into_iter()
            .for_each(|(at, percent): (u64, u32)| pace.record(percent, start + ms(at)));
        let mean = pace.mean_since(&mark, start + ms(end));
        assert!(mean >= case.mean.0 && mean <= case.mean.1, "{}: {mean}", case.name);
    }
}

/// Guards against work that began at the previous process and is corrected by a pace of the new one.
#[test]
fn a_discarded_pace_no_longer_counts() {
    let start = Instant::now();
    let mut pace = TargetPace::default();
    pace.record(250, start);
    let mark = pace.mark(start);
    pace.discard(start + ms(100));
    assert_eq!(pace.factor(start + ms(100)), 1.0);
    pace.record(100, start + ms(200));
    let mean = pace.mean_since(&mark, start + ms(400));
    assert!((1.0..=2.5).contains(&mean), "{mean}");
}

fn tell(driver: &mut Driver, target: &str, pace_percent: Option<u32>, age: Duration) {
    let load = TargetLoad { pace_percent, ..TargetLoad::default() };
    driver.handle(SchedulerEvent::ResponseLoadReported { target: target.into(), load, age });
}

fn pace(driver: &Driver, target: &str) -> f64 {
    let dump = driver.scheduler.dump(driver.now);
    dump.targets.iter().find(|found| &*found.target == target).unwrap().pace
}

/// Guards against work that goes to a target in a slow spell although another one is free.
#[test]
fn a_slow_spell_repels_work_until_it_fades() {
    let mut driver = Driver::with_targets(2, 8);
    tell(&mut driver, "t0", Some(250), Duration::ZERO);
    for _ in 0..4 {
        driver.send(Call::default());
        assert_eq!(&*driver.dispatched()[0].2, "t1");
    }
    driver.advance(ms(700));
    assert_eq!(pace(&driver, "t0"), 1.0);
    driver.send(Call::default());
    assert_eq!(&*driver.dispatched()[0].2, "t0");
}

/// Guards against figures of peers that reset a pace, and against one that outlives the target's process.
#[test]
fn only_the_target_and_its_end_change_a_pace() {
    let mut driver = Driver::with_targets(1, 1);
    tell(&mut driver, "t0", Some(250), Duration::ZERO);
    driver.now += ms(100);
    tell(&mut driver, "t0", None, Duration::ZERO);
    assert!((pace(&driver, "t0") - 2.25).abs() < 1e-9, "{}", pace(&driver, "t0"));
    driver.report("t0", 1, TargetState::Warm);
    assert!((pace(&driver, "t0") - 2.25).abs() < 1e-9, "{}", pace(&driver, "t0"));
    driver.report("t0", 2, TargetState::Warm);
    assert_eq!(pace(&driver, "t0"), 1.0);
}

/// Time between tokens that a target has learned after it answered requests that took `factor` times as long,
/// while it told `pace_percent`.
fn learned_decode(pace_percent: Option<u32>, factor: u64) -> f64 {
    let mut driver = Driver::with_targets(1, 1);
    for _ in 0..20 {
        let request = driver.send(Call::default());
        driver.now += ms(60 * factor);
        tell(&mut driver, "t0", pace_percent, Duration::ZERO);
        driver.progress(request, 1, 1, 60 * factor);
        for token in 1..=10 {
            driver.now += ms(20 * factor);
            tell(&mut driver, "t0", pace_percent, Duration::ZERO);
            driver.progress(request, 1, 1 + token, 60 * factor);
        }
        driver.end(request, 1, AttemptEnd::Finished);
        driver.now += ms(100);
    }
    driver.scheduler.dump(driver.now).targets[0].rates.decode
}

/// Guards against a slow spell that is learned as the lasting speed of the target.
#[test]
fn a_slow_spell_is_not_learned_as_lasting_speed() {
    let usual = learned_decode(None, 1);
    assert_eq!(learned_decode(Some(100), 1), usual);
    let corrected = learned_decode(Some(200), 2);
    assert!((corrected / usual - 1.0).abs() < 0.05, "{corrected} {usual}");
    let uncorrected = learned_decode(None, 2);
    assert!(uncorrected / usual > 1.8, "{uncorrected} {usual}");
}
