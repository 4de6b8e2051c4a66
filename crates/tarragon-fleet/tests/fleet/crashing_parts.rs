//! Requests of which no two are alike, and which share a prompt part that crashes each target that begins to
//! write an answer on it.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::crash_world::{CONTACT, CrashPlan, CrashTally, CrashWorld, PromptPlan};

/// Sendings that the users allow later than the bound after the fifth crash.
const ALLOWED: usize = 3;
/// Least number of sound requests on which the users judge what callers get.
const MIN_SOUND: usize = 20;
/// Least fraction of the usual rate at which sound requests have to begin at their first attempt.
const MIN_BEGUN: f64 = 0.5;
const SEEDS: u64 = 8;

fn seeds() -> u64 {
    std::env::var("CRASH_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

fn part_plan(name: &'static str, prompts: PromptPlan) -> CrashPlan {
    CrashPlan {
        name,
        processes: 6,
        load: 30,
        other_crashes: Duration::from_secs(8),
        prompts: Some(prompts),
        ..CrashPlan::default()
    }
}

/// What breaks the users' rules in a play.
fn faults(plan: &CrashPlan, tally: &CrashTally) -> Vec<String> {
    let mut faults = Vec::new();
    let prompts = plan.prompts.as_ref().unwrap();
    for (part, part_tally) in &tally.parts {
        let (crashes, late) = (part_tally.crashes.len(), part_tally.late());
        if late > ALLOWED {
            faults.push(format!("part {part}: {crashes} crashes, {late} late sendings"));
        }
        let Some(judged) = part_tally.crashes.get(4).or(part_tally.crashes.last()) else {
            continue;
        };
        let (usual, before) = tally.begun(CONTACT, prompts.bad_from);
        let (begun, after) = tally.begun(*judged + CONTACT * 2, part_tally.last_asked);
        if before >= MIN_SOUND && after >= MIN_SOUND && begun < usual * MIN_BEGUN {
            faults.push(format!("part {part}: {begun:.2} of {after} sound requests begin"));
        }
    }
    faults
}

/// Plays a plan with several seeds and tells those in which a rule was broken.
fn broken_plays(plan: &CrashPlan, seeds: u64) -> Vec<(&'static str, u64, Vec<String>)> {
    let play = |seed| {
        let tally = CrashWorld::play(plan, seed);
        let crashes: usize = tally.parts.values().map(|part| part.crashes.len()).sum();
        assert!(crashes >= 2, "{}: no request with the part ran", plan.name);
        (plan.name, seed, faults(plan, &tally))
    };
    (0..seeds).map(play).filter(|(.., faults)| !faults.is_empty()).collect()
}

fn assert_contained(plan: &CrashPlan, seeds: u64) {
    let found = broken_plays(plan, seeds);
    assert!(found.is_empty(), "{} of {seeds} seeds: {found:#?}", found.len());
}

/// Guards against a prompt part that crashes one target after the other under requests that are all different.
#[test]
fn a_crashing_prompt_part_is_stopped() {
    assert_contained(&part_plan("one part", PromptPlan::default()), seeds());
}

struct PartCase {
    name: &'static str,
    plan: fn() -> CrashPlan,
    /// Plays for each one that is asked for; large fleets take longer.
    seeds_per: u64,
}

/// Each case guards against one way in which blame goes astray.
const CASES: &[PartCase] = &[
    PartCase {
        name: "the first part of the prompt is the bad one",
        plan: || part_plan("first", PromptPlan { bad_is_first: true, ..PromptPlan::default() }),
        seeds_per: 1,
    },
    PartCase {
        name: "two bad parts at the same time",
        plan: || {
            part_plan("two", PromptPlan { bad_parts: 2, bad_rate: 6.0, ..PromptPlan::default() })
        },
        seeds_per: 1,
    },
    PartCase {
        name: "many targets crash at once for another cause",
        plan: || {
            let centre_losses = Duration::from_secs(9);
            part_plan("losses", PromptPlan { centre_losses, ..PromptPlan::default() })
        },
        seeds_per: 1,
    },
    PartCase {
        name: "single processes restart, and forget",
        plan: || CrashPlan {
            process_restarts: Duration::from_secs(4),
            ..part_plan("restarts", PromptPlan::default())
        },
        seeds_per: 1,
    },
    PartCase {
        name: "all processes restart and forget which parts are sound",
        plan: || {
            let fleet_restart = Some(Duration::from_secs(7));
            part_plan("fleet restart", PromptPlan { fleet_restart, ..PromptPlan::default() })
        },
        seeds_per: 1,
    },
    PartCase {
        name: "crashed targets leave their connections open",
        plan: || CrashPlan { silent: true, ..part_plan("silent", PromptPlan::default()) },
        seeds_per: 1,
    },
    PartCase {
        name: "a process is cut off from the others meanwhile",
        plan: || {
            let cut = Some((Duration::from_secs(7), Duration::from_secs(8)));
            part_plan("cut", PromptPlan { cut, ..PromptPlan::default() })
        },
        seeds_per: 1,
    },
    PartCase {
        name: "digests get lost, and connections break for other causes",
        plan: || CrashPlan { lost: 0.3, breaks: 0.04, ..part_plan("lost", PromptPlan::default()) },
        seeds_per: 1,
    },
    PartCase {
        name: "little traffic, so that few processes see a part finish",
        plan: || {
            let prompts = PromptPlan { bad_rate: 2.0, sessions: 6, ..PromptPlan::default() };
            CrashPlan { load: 6, ..part_plan("little", prompts) }
        },
        seeds_per: 1,
    },
    PartCase {
        name: "each bad request has hundreds of further parts of its own",
        plan: || part_plan("hostile", PromptPlan { more_parts: 300, ..PromptPlan::default() }),
        seeds_per: 4,
    },
    PartCase {
        name: "sixty processes",
        plan: || CrashPlan {
            time: Duration::from_secs(25),
            processes: 60,
            targets: 60,
            load: 60,
            other_crashes: Duration::from_secs(2),
            ..part_plan("sixty", PromptPlan { bad_rate: 10.0, ..PromptPlan::default() })
        },
        seeds_per: 12,
    },
];

/// Guards against blame for a crash that goes to a sound part, or is lost or not told in time.
#[test]
fn a_crashing_prompt_part_is_stopped_in_other_conditions() {
    let play = |case: &PartCase| {
        println!("{}", case.name);
        broken_plays(&(case.plan)(), seeds().div_ceil(case.seeds_per))
    };
    let found: Vec<_> = CASES.iter().flat_map(play).collect();
    assert!(found.is_empty(), "{found:#?}");
}

/// Guards against verdicts that arrive too late where each process hears from a few of the others at a time.
#[test]
fn a_crashing_prompt_part_is_stopped_by_three_hundred_processes() {
    let plan = CrashPlan {
        time: Duration::from_secs(20),
        processes: 300,
        targets: 200,
        load: 95,
        other_crashes: Duration::from_secs(2),
        ..part_plan("three hundred", PromptPlan { bad_rate: 12.0, ..PromptPlan::default() })
    };
    assert_contained(&plan, seeds().div_ceil(24));
}

/// Guards against conditions that nobody has thought of: each seed draws a plan of its own.
#[test]
fn a_crashing_prompt_part_is_stopped_in_random_conditions() {
    let mut found = Vec::new();
    for seed in 0..seeds() * 2 {
        let plan = random_plan(seed);
        let faults = faults(&plan, &CrashWorld::play(&plan, seed));
        if !faults.is_empty() {
            found.push((seed, faults, plan));
        }
    }
    assert!(found.is_empty(), "{} plans: {found:#?}", found.len());
}

fn random_plan(seed: u64) -> CrashPlan {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x9a27);
    let millis = Duration::from_millis;
    let prompts = PromptPlan {
        bad_parts: rng.random_range(1..=2),
        bad_rate: rng.random_range(1.0..8.0),
        bad_from: millis(rng.random_range(50..120) * 100),
        bad_is_first: rng.random_bool(0.3),
        sessions: rng.random_range(4..60),
        more_parts: if rng.random_bool(0.1) { 80 } else { 0 },
        centre_losses: millis(if rng.random_bool(0.3) { 11_000 } else { 1_000_000 }),
        fleet_restart: rng.random_bool(0.15).then(|| millis(rng.random_range(50..200) * 100)),
        cut: rng.random_bool(0.2).then(|| {
            (millis(rng.random_range(40..150) * 100), millis(rng.random_range(10..100) * 100))
        }),
    };
    let fast = rng.random_bool(0.5);
    CrashPlan {
        processes: rng.random_range(3..12),
        targets: rng.random_range(9..16),
        load: rng.random_range(8..50),
        other_crashes: millis(rng.random_range(3_000..20_000)),
        away_ms: if fast { (1_000, 4_000) } else { (2_000, 6_000) },
        same_name: rng.random_range(0.0..1.0),
        breaks: rng.random_range(0.0..0.03),
        lost: rng.random_range(0.0..0.2),
        process_restarts: millis(rng.random_range(4_000..60_000)),
        silent: rng.random_bool(0.15),
        ..part_plan("random", prompts)
    }
}
