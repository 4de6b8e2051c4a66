//! Targets that name the rejections that they can bear from all processes together.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::brittle_world::{BrittlePlan, BrittleWorld};

const SEEDS: u64 = 16;

/// Seeds to play: `BRITTLE_SEEDS` many from `BRITTLE_FIRST_SEED` on.
fn seeds() -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("BRITTLE_FIRST_SEED").unwrap_or(0);
    first..first + number("BRITTLE_SEEDS").unwrap_or(SEEDS)
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A plan drawn at random, over all that a plan can contain.
fn random_plan(seed: u64) -> BrittlePlan {
    let mut rng = SmallRng::seed_from_u64(seed);
    let sizes = [3, 8, 8, 8, 20, 60];
    let processes =
        if rng.random_bool(0.02) { 300 } else { sizes[rng.random_range(0..sizes.len())] };
    let rare = seconds(1_000.0);
    let sometimes = |rng: &mut SmallRng, least: f64| {
        if rng.random_bool(0.4) { seconds(rng.random_range(least..10.0)) } else { rare }
    };
    let cut = rng.random_bool(0.3).then(|| {
        let from = rng.random_range(2.0..15.0);
        (seconds(from), seconds(from + rng.random_range(1.0..15.0)))
    });
    let targets = rng.random_range(1..=6);
    let slots = rng.random_range(2..=8);
    let streamed = rng.random_bool(0.5);
    let longest = if streamed { rng.random_range(200..4_000) } else { rng.random_range(60..400) };
    // Load relative to what the targets can serve.
    let capacity = f64::from(slots) * f64::from(targets) / (longest as f64 / 2_000.0);
    BrittlePlan {
        time: seconds(24.0),
        processes,
        targets,
        slots,
        load: (capacity * rng.random_range(0.3..2.0)).min(400.0),
        streamed,
        answer_ms: (longest / 8, longest),
        limit: [1, 2, 3, 6, 20, 70][rng.random_range(0..6)],
        named: seconds(4.0),
        lost: [0.0, 0.02, 0.3][rng.random_range(0..3)],
        restarts: sometimes(&mut rng, 2.0),
        pauses: sometimes(&mut rng, 1.0),
        longest_pause: seconds(6.0),
        cut,
    }
}

/// Guards against targets that fail because the processes together have more requests rejected than they can bear.
#[test]
fn random_plans_keep_rejection_limits() {
    let (mut broken, mut over) = (Vec::new(), Vec::new());
    for seed in seeds() {
        let plan = random_plan(seed);
        let world = BrittleWorld::play(&plan, seed);
        let most = world.most_rejections();
        if most > plan.limit as usize {
            over.push(format!("seed {seed}: {most} in a second in {plan:?}"));
        }
        if world.falls() > world.allowed_falls() {
            broken.push(format!("seed {seed}: {} falls in {plan:?}", world.falls()));
        }
    }
    eprintln!("plans with more rejections in a second than the limit: {over:#?}");
    assert!(broken.is_empty(), "{}: {broken:#?}", broken.len());
}

/// Guards against processes cut off from each other that begin in their own places while streams from before the limit
/// hold all of them.
#[test]
fn a_cut_data_centre_keeps_a_rejection_limit_beside_older_streams() {
    let seed = 192;
    let plan = random_plan(seed);
    let world = BrittleWorld::play(&plan, seed);
    assert!(world.falls() <= world.allowed_falls(), "{} falls in {plan:?}", world.falls());
}

struct BrittleCase {
    processes: u16,
    targets: u8,
    limit: u32,
    streamed: bool,
    /// Load, as a part of what the targets can serve.
    demand: f64,
    /// Least part of the places that is used.
    used: f64,
}

const BRITTLE_CASES: &[BrittleCase] = &[
    BrittleCase { processes: 8, targets: 3, limit: 2, streamed: false, demand: 0.6, used: 0.5 },
    BrittleCase { processes: 8, targets: 3, limit: 2, streamed: false, demand: 1.5, used: 0.7 },
    BrittleCase { processes: 8, targets: 12, limit: 2, streamed: true, demand: 1.5, used: 0.85 },
    BrittleCase { processes: 8, targets: 3, limit: 12, streamed: false, demand: 1.5, used: 0.7 },
    BrittleCase { processes: 60, targets: 6, limit: 1, streamed: false, demand: 1.5, used: 0.5 },
    BrittleCase { processes: 60, targets: 24, limit: 6, streamed: true, demand: 0.6, used: 0.4 },
    BrittleCase { processes: 300, targets: 30, limit: 4, streamed: true, demand: 1.0, used: 0.35 },
];

/// Guards against processes that each learn how full a target is by requests that it rejects.
#[test]
fn fleets_of_all_sizes_keep_rejection_limits() {
    let mut broken = Vec::new();
    for case in BRITTLE_CASES {
        let answer_ms = if case.streamed { (300, 2_000) } else { (50, 250) };
        let mean = (answer_ms.0 + answer_ms.1) as f64 / 2_000.0;
        let plan = BrittlePlan {
            // Digests to 300 processes take most of the time of this test.
            time: seconds(if case.processes > 100 { 13.0 } else { 24.0 }),
            processes: case.processes,
            targets: case.targets,
            load: case.demand * 4.0 * f64::from(case.targets) / mean,
            streamed: case.streamed,
            answer_ms,
            limit: case.limit,
            ..BrittlePlan::default()
        };
        let world = BrittleWorld::play(&plan, 1);
        let (falls, most) = (world.falls(), world.most_rejections());
        let text = format!(
            "{} processes, {} targets, streamed {}, limit {}, demand {}: {falls} falls, {most} \
             rejections in a second, {:.2} of the places used, {} of {} served",
            case.processes,
            case.targets,
            case.streamed,
            case.limit,
            case.demand,
            world.used(),
            world.served,
            world.asked
        );
        eprintln!("{text}");
        if falls > 0 || most > case.limit as usize || world.used() < case.used {
            broken.push(text);
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against processes that don't know a limit because they send the targets nothing.
#[test]
fn all_processes_learn_of_a_rejection_limit() {
    let plan = BrittlePlan {
        processes: 20,
        targets: 2,
        time: seconds(7.0) + seconds(0.5),
        load: 20.0,
        lost: 0.3,
        ..BrittlePlan::default()
    };
    let world = BrittleWorld::play(&plan, 1);
    assert_eq!(world.mistaken(), 0, "processes that don't know the limit");
}

/// Guards against callers who wait in vain at a process whose turn comes too late for them.
#[test]
fn requests_that_no_turn_reaches_are_refused_at_once() {
    let plan = BrittlePlan {
        processes: 60,
        targets: 2,
        load: 20.0,
        limit: 1,
        streamed: true,
        ..BrittlePlan::default()
    };
    let world = BrittleWorld::play(&plan, 1);
    let (late, refused) = world.refused_late(seconds(0.2));
    eprintln!("{late:.2} of {refused} refused had waited 0.2 s, {} served", world.served);
    assert!(refused > 50 && late <= 0.2, "{late:.2} of {refused} refused had waited 0.2 s");
}
