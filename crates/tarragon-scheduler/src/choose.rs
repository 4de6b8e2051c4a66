//! Choice of targets: the plug-in interface and registry.

pub mod least_cost;
pub mod least_requests;
pub mod random;
pub mod round_robin;

use rand_chacha::ChaCha8Rng;

use crate::targets::estimate::CostEstimate;

/// Plug-in that is used where no rule names one.
pub const DEFAULT_CHOOSE: &str = "least-cost";

/// A target that can take the request now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChooseCandidate {
    /// Position in the target table.
    pub target: usize,
    /// Own requests in flight there.
    pub in_flight: u32,
    /// Own requests that may be in flight there.
    pub window: u32,
    /// Expected times.
    pub estimate: CostEstimate,
}

/// Input of a plug-in.
pub struct ChooseView<'a> {
    /// Targets that can take the request, in the order of the target table; never empty.
    pub candidates: &'a [ChooseCandidate],
    /// Source of random choices.
    pub rng: &'a mut ChaCha8Rng,
    /// Position in the target table of the last target chosen for this service.
    pub last: usize,
}

/// A plug-in that chooses among the targets that can take a request.
pub trait ChooseTarget {
    /// Name in rules.
    const NAME: &'static str;

    /// Position in [`ChooseView::candidates`].
    fn choose(view: ChooseView<'_>) -> usize;
}

/// A registered plug-in.
#[derive(Clone, Copy)]
pub struct ChooseEntry {
    /// Name in rules.
    pub name: &'static str,
    /// See [`ChooseTarget::choose`].
    pub choose: fn(ChooseView<'_>) -> usize,
}

impl ChooseEntry {
    /// The entry of a plug-in.
    pub const fn of<P>() -> ChooseEntry
    where
        P: ChooseTarget,
    {
        ChooseEntry { name: P::NAME, choose: P::choose }
    }
}

inventory::collect!(ChooseEntry);

/// The plug-in with this name.
pub fn find_choose(name: &str) -> Option<ChooseEntry> {
    inventory::iter::<ChooseEntry>.into_iter().find(|entry| entry.name == name).copied()
}

/// Names of all plug-ins, sorted.
pub fn choose_names() -> Vec<&'static str> {
    let mut names: Vec<_> =
        inventory::iter::<ChooseEntry>.into_iter().map(|entry| entry.name).collect();
    names.sort_unstable();
    names
}
