//! Baseline: targets in turn.

use crate::choose::{ChooseEntry, ChooseTarget, ChooseView};

/// Chooses the next target after the last one chosen.
pub struct RoundRobin;

impl ChooseTarget for RoundRobin {
    const NAME: &'static str = "round-robin";

    fn choose(view: ChooseView<'_>) -> usize {
        view.candidates.iter().position(|candidate| candidate.target > view.last).unwrap_or(0)
    }
}

inventory::submit! { ChooseEntry::of::<RoundRobin>() }
