//! Random events: every request ends exactly once, and all counters return to zero.

mod world;

use std::cell::RefCell;

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use tarragon_scheduler::prelude::*;
use world::{Step, World};

/// Number of cases per seed, and of steps per case.
const CASES: u32 = 150;
const STEPS: std::ops::Range<usize> = 50..400;

const SEEDS: [u8; 4] = [1, 7, 42, 199];

fn any_end() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        6 => Just(AttemptEnd::Finished),
        1 => Just(AttemptEnd::NotSent),
        1 => Just(AttemptEnd::Unreached),
        1 => Just(AttemptEnd::Withheld),
        1 => Just(AttemptEnd::Rejected),
        2 => Just(AttemptEnd::Broken),
        1 => Just(AttemptEnd::Severed),
        1 => Just(AttemptEnd::Failed),
        1 => Just(AttemptEnd::Garbled),
        1 => Just(AttemptEnd::Cancelled),
    ]
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        10 => (0..4usize, 0..6u8, 0..3u8, any::<bool>(), 1..8_000u32, 0..40u8).prop_map(
            |(tier, workspace, service, idempotent, prompt, fingerprint)| Step::Arrive {
                tier, workspace, service, idempotent, prompt, fingerprint,
            }
        ),
        8 => (any::<prop::sample::Index>(), any_end()).prop_map(|(pick, end)| Step::End(pick, end)),
        6 => (any::<prop::sample::Index>(), 1..300u32, 1..3_000u64)
            .prop_map(|(pick, tokens, first)| Step::Progress(pick, tokens, first)),
        2 => any::<prop::sample::Index>().prop_map(Step::Disconnect),
        8 => (1..400u64).prop_map(Step::Advance),
        2 => (0..8u8, any::<bool>()).prop_map(|(target, listed)| Step::List(target, listed)),
        1 => (0..8u8).prop_map(Step::Remove),
        4 => (0..8u8, 0..5u32, any::<bool>())
            .prop_map(|(target, slots, cold)| Step::Slots(target, slots, cold)),
        4 => (0..8u8, 0..3u64, 0..3_000u64)
            .prop_map(|(target, restart, age)| Step::Report(target, restart, age)),
        2 => (0..8u8, 0..20u64, 0..3u8).prop_map(|(target, sequence, change)| {
            Step::Cache(target, sequence, change)
        }),
        1 => (0..3u8, 0..4usize).prop_map(|(peer, floor)| Step::Peer(peer, floor)),
        1 => (0..3u8).prop_map(Step::ForgetPeer),
        1 => (0..40u8, any::<bool>()).prop_map(|(print, guilty)| Step::Suspect(print, guilty)),
        1 => (0..3u8).prop_map(Step::Rules),
    ]
}

/// Guards against lost requests, double answers, and leaked slots that make a target unusable.
#[test]
fn every_request_ends_exactly_once() {
    let outcomes = RefCell::new(ReachedOutcomes::default());
    for seed in SEEDS {
        let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let mut runner = TestRunner::new_with_rng(config, rng);
        let steps = prop::collection::vec(any_step(), STEPS);
        let result = runner.run(&steps, |steps| {
            let mut world = World::new(u64::from(seed));
            for step in &steps {
                world.apply(step)?;
            }
            world.finish()?;
            outcomes.borrow_mut().add(world.statistics());
            Ok(())
        });
        if let Err(error) = result {
            panic!("seed {seed}: {error}");
        }
    }
    outcomes.into_inner().check();
}

/// Counts the outcomes that the runs have reached, since a run without them would prove nothing.
#[derive(Default)]
struct ReachedOutcomes {
    counts: indexmap::IndexMap<&'static str, u64>,
}

impl ReachedOutcomes {
    fn add(&mut self, statistics: &SchedulerStatistics) {
        let counts = [
            ("finished", statistics.finished.iter().sum()),
            ("displaced", statistics.displaced.iter().sum()),
            ("disconnected", statistics.disconnected.iter().sum()),
            ("retries", statistics.retries),
            ("denied retries", statistics.retries_denied),
            ("pre-emptions", statistics.preemptions),
            ("cold signs", statistics.cold_signs),
            ("convictions", statistics.convictions),
            ("shed", statistics.refusals(RefusalCode::Shed)),
            ("deadline", statistics.refusals(RefusalCode::DeadlineExceeded)),
            ("limit", statistics.refusals(RefusalCode::LimitReached)),
            ("no target", statistics.refusals(RefusalCode::NoTarget)),
            ("target failed", statistics.refusals(RefusalCode::TargetFailed)),
            ("crashes targets", statistics.refusals(RefusalCode::CrashesTargets)),
        ];
        for (name, count) in counts {
            *self.counts.entry(name).or_default() += count;
        }
    }

    fn check(&self) {
        println!("{:?}", self.counts);
        let missed: Vec<_> = self.counts.iter().filter(|(_, count)| **count == 0).collect();
        assert!(missed.is_empty(), "never reached: {missed:?}");
    }
}
