//! Default plug-in: the lowest cost estimate, computed from the expected times to the first and to the last
//! token.

use rand::Rng;

use crate::choose::{ChooseCandidate, ChooseEntry, ChooseTarget, ChooseView};

/// Maximum number of best candidates from which two are drawn.
const BEST: usize = 4;

/// Candidates that cost more than this multiple of the best one are not drawn. With a wider bound, a small
/// pool would often draw a target that is slow or has to compute the whole prompt.
const MAX_RATIO: f32 = 1.1;

/// Draws two of the best candidates and takes the cheaper one, so that several processes do not all
/// choose the target that was last seen idle.
pub struct LeastCost;

impl ChooseTarget for LeastCost {
    const NAME: &'static str = "least-cost";

    fn choose(view: ChooseView<'_>) -> usize {
        let (best, count) = best_positions(view.candidates);
        let first = view.rng.random_range(0..count);
        let second = view.rng.random_range(0..count);
        best[first.min(second)]
    }
}

/// Positions of the best candidates, the cheapest first, and how many of them are worth drawing.
fn best_positions(candidates: &[ChooseCandidate]) -> ([usize; BEST], usize) {
    let mut best = [0; BEST];
    let mut scores = [f32::INFINITY; BEST];
    let mut count = 0;
    for (position, candidate) in candidates.iter().enumerate() {
        let score = candidate.estimate.score;
        if count == BEST && score >= scores[BEST - 1] {
            continue;
        }
        let mut slot = count.min(BEST - 1);
        while slot > 0 && scores[slot - 1] > score {
            scores[slot] = scores[slot - 1];
            best[slot] = best[slot - 1];
            slot -= 1;
        }
        scores[slot] = score;
        best[slot] = position;
        count = (count + 1).min(BEST);
    }
    let limit = scores[0] * MAX_RATIO;
    let near = scores[..count].iter().take_while(|score| **score <= limit).count();
    (best, near.max(1))
}

inventory::submit! { ChooseEntry::of::<LeastCost>() }
