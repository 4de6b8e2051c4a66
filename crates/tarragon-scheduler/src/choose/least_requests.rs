//! Baseline: the target with the fewest own requests in flight.

use rand::Rng;

use crate::choose::{ChooseEntry, ChooseTarget, ChooseView};

/// Chooses the target with the fewest own requests in flight, at random among equals.
pub struct LeastRequests;

impl ChooseTarget for LeastRequests {
    const NAME: &'static str = "least-requests";

    fn choose(view: ChooseView<'_>) -> usize {
        let mut best = 0;
        let mut equals = 1;
        for (position, candidate) in view.candidates.iter().enumerate().skip(1) {
            let least = view.candidates[best].in_flight;
            if candidate.in_flight < least {
                best = position;
                equals = 1;
            } else if candidate.in_flight == least {
                equals += 1;
                if view.rng.random_range(0..equals) == 0 {
                    best = position;
                }
            }
        }
        best
    }
}

inventory::submit! { ChooseEntry::of::<LeastRequests>() }
