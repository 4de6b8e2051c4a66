//! Baseline: a random target.

use rand::Rng;

use crate::choose::{ChooseEntry, ChooseTarget, ChooseView};

/// Chooses uniformly at random among the targets that can take the request.
pub struct RandomChoice;

impl ChooseTarget for RandomChoice {
    const NAME: &'static str = "random";

    fn choose(view: ChooseView<'_>) -> usize {
        view.rng.random_range(0..view.candidates.len())
    }
}

inventory::submit! { ChooseEntry::of::<RandomChoice>() }
