//! Capacity of a deployment: what its engines complete when each always has as many requests as it bears.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    engine::{EngineCall, EngineProfile, FakeEngine},
    soak::topology::WARM_BEARS,
    workload::Workload,
};

/// Time before the count starts.
const WARM_UP: Duration = Duration::from_secs(300);
/// Time over which completions are counted.
const COUNTED: Duration = Duration::from_secs(1_200);

/// Requests per second, calls of the plain service included, that the engines of a workload complete. The
/// engine is kept at its reported capacity, without idle time and without a choice of targets.
pub fn measure_capacity(workload: &Workload, seed: u64) -> f64 {
    let engine_weight: u32 =
        workload.classes.iter().filter(|class| class.plain.is_none()).map(|c| c.weight).sum();
    let all_weight: u32 = workload.classes.iter().map(|class| class.weight).sum();
    let per_engine = completions(&workload.clone().without_plain(), seed) as f64;
    let engines = workload.engines.count as f64;
    let rate = per_engine * engines / COUNTED.as_secs_f64();
    rate * f64::from(all_weight) / f64::from(engine_weight)
}

fn completions(workload: &Workload, seed: u64) -> u64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut engine = FakeEngine::new(EngineProfile::default());
    let mut next_key = 0_u64;
    let mut open = 0;
    let mut completed = 0;
    let mut now = Duration::ZERO;
    while now < WARM_UP + COUNTED {
        while open < WARM_BEARS {
            let plan = workload.draw(&mut random, now);
            let call = EngineCall {
                prompt_tokens: plan.prompt_tokens,
                output_tokens: plan.output_tokens,
                blocks: plan.blocks(),
            };
            engine.admit(now, next_key, call);
            next_key += 1;
            open += 1;
        }
        now += Duration::from_millis(50);
        for news in engine.advance(now, 1.0) {
            if news.finished {
                open -= 1;
                completed += u64::from(now > WARM_UP);
            }
        }
    }
    completed
}
