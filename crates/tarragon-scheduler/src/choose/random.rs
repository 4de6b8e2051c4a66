//! Baseline: any target that can take the request.

use rand::Rng;

use crate::choose::{ChooseEntry, ChooseTarget, ChooseView};

/// Chooses at random.
pub struct RandomChoice;

impl ChooseTarget for RandomChoice {
    const NAME: &'static str = "random";

    fn choose(view: ChooseView<'_>) -> usize {
        view.rng.random_range(0..view.candidates.len())
    }
}

inventory::submit! { ChooseEntry::of::<RandomChoice>() }
