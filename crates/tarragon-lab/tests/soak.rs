//! Randomised runs with a fixed list of seeds, and mutations that show that the checks find broken rules.
//! They guard against faults that need a certain order of events: doubled runs, false "not-run" answers,
//! overloaded cold targets, work for data centres that are out, lost requests.

use tarragon_lab::soak::{self, CheckName, Mutation, SoakOptions};

/// Seeds of the CI run. Both workloads are among them.
const SEEDS: u64 = 12;
/// Steps of each run: two to five minutes of virtual time.
const STEPS: u64 = 400_000;

fn run(seed: u64, steps: u64, mutation: Option<Mutation>) -> soak::SeedReport {
    let options = SoakOptions { seed, seeds: 1, steps, mutation, echo: false };
    soak::run(options).seeds.remove(0)
}

#[test]
fn no_rule_is_broken_under_faults() {
    let seeds: Vec<u64> = (1..=SEEDS).collect();
    let reports: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = seeds
            .chunks(3)
            .map(|part| scope.spawn(|| part.iter().map(|seed| run(*seed, STEPS, None)).collect()))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap_or_else(|_| Vec::new()))
            .collect()
    });
    assert_eq!(reports.len(), seeds.len());
    for report in reports {
        println!("{report}");
        assert!(report.violations.is_empty(), "{report}");
    }
}

#[test]
fn same_seed_gives_the_same_run() {
    let (first, second) = (run(5, 60_000, None), run(5, 60_000, None));
    assert_eq!(first.hash, second.hash);
    assert_eq!(first.calls, second.calls);
    assert_ne!(first.hash, run(6, 60_000, None).hash);
}

/// A broken rule, the seed to try first, and the check that must find it with one of the seeds.
struct MutationCase {
    mutation: Mutation,
    seed: u64,
    check: CheckName,
}

const MUTATIONS: [MutationCase; 12] = [
    MutationCase { mutation: Mutation::RunRepeats, seed: 2, check: CheckName::DispatchOnce },
    MutationCase { mutation: Mutation::ClaimNotRun, seed: 2, check: CheckName::TrueNotRun },
    MutationCase { mutation: Mutation::HideCold, seed: 2, check: CheckName::ColdLoad },
    MutationCase { mutation: Mutation::HideLeaving, seed: 8, check: CheckName::LeavingTarget },
    MutationCase { mutation: Mutation::IgnoreOut, seed: 11, check: CheckName::OutDataCentre },
    MutationCase { mutation: Mutation::InvertTiers, seed: 1, check: CheckName::TierOrder },
    MutationCase { mutation: Mutation::CutAnswers, seed: 2, check: CheckName::WholeAnswer },
    MutationCase { mutation: Mutation::ExitAtOnce, seed: 1, check: CheckName::GracefulShutdown },
    MutationCase {
        mutation: Mutation::ForgetVersion,
        seed: 3,
        check: CheckName::ConfigurationReverted,
    },
    MutationCase {
        mutation: Mutation::DropConfiguration,
        seed: 3,
        check: CheckName::ConfigurationInForce,
    },
    MutationCase { mutation: Mutation::SwallowRefusals, seed: 2, check: CheckName::Answered },
    MutationCase { mutation: Mutation::ChangeFingerprints, seed: 2, check: CheckName::CrashBound },
];

#[test]
fn each_broken_rule_is_found_by_its_check() {
    let find = |case: &MutationCase| {
        let mut seeds = std::iter::once(case.seed).chain(1..=SEEDS);
        let found = seeds.find_map(|seed| {
            let report = run(seed, STEPS, Some(case.mutation));
            let found = report.violations.first()?.check;
            let (name, steps) = (case.mutation.name(), report.steps);
            println!("{name}: {found:?} at seed {seed} after {steps} steps");
            (found == case.check).then_some(found)
        });
        (found, case.check, case.mutation)
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = MUTATIONS
            .chunks(3)
            .map(|part| scope.spawn(move || part.iter().map(find).collect::<Vec<_>>()))
            .collect();
        for (found, wanted, mutation) in threads.into_iter().flat_map(|t| t.join().unwrap()) {
            assert_eq!(found, Some(wanted), "{}", mutation.name());
        }
    });
}
