//! Decides whether a request waits for a busy target that has the beginning of its prompt cached, instead of going
//! to an open target that would have to compute it.

use std::time::{Duration, Instant};

/// A busy target that holds part of a prompt, compared with the open one that the request would go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderOffer {
    /// Prefill time that the holder saves, at the speed and pace of both targets.
    pub saved: Duration,
    /// Expected time until the holder has a free slot.
    pub wait: Duration,
    /// Expected time to the first token at the holder, from the dispatch on.
    pub held_first: Duration,
    /// Expected time to the first token at the open target.
    pub open_first: Duration,
}

/// Until when a request may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderBounds {
    /// When the first part of the answer should be sent.
    pub objective: Option<Instant>,
    /// After this time the request is refused.
    pub latest_start: Instant,
    /// Until when it may wait by an earlier decision. The sum of all waits stays below the first saving.
    pub until: Option<Instant>,
}

impl HolderOffer {
    /// Until when the request waits at the longest; `None` if it should go to the open target now. There it can
    /// still meet its objective at that time, so that a wrong estimate of the wait costs no more than the saving.
    pub fn wait_until(&self, bounds: HolderBounds, now: Instant) -> Option<Instant> {
        if self.wait >= self.saved {
            return None;
        }
        let ready = now + self.wait;
        if bounds.objective.is_some_and(|objective| ready + self.held_first > objective) {
            return None;
        }
        let objective = bounds.objective.unwrap_or(bounds.latest_start);
        let fallback = objective.min(bounds.latest_start).checked_sub(self.open_first)?;
        let until = fallback.min(now + self.saved);
        let until = bounds.until.map_or(until, |known| known.min(until));
        (now < until && ready <= until).then_some(until)
    }
}
