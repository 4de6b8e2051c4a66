//! Requests that a target still runs from before it turned cold.

use std::time::{Duration, Instant};

use tarragon_protocol::peer::LoadEntry;

use crate::prelude::*;

/// Time for the news that a target turned cold to reach the VMs of its data centre. Until then some of them
/// still send under the slots of its warm time.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Upper bound of the requests at a cold target that were sent under the slots of its warm time. Their
/// senders may have no slot any more, so nobody else counts them: a target that turns cold without a
/// restart keeps them, and new work on top of them would exceed what it bears.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LeftoverLoad {
    bound: u32,
    /// Reports of figures from before this time do not count: old requests may have followed.
    counts_from: Option<Instant>,
}

impl LeftoverLoad {
    /// The target turned cold. `bore` is what it bore before, which bounds the requests in flight.
    pub(super) fn turn_cold(&mut self, entry: &LoadEntry, previous_capacity: u32, now: Instant) {
        self.bound = entry.occupied.max(previous_capacity);
        self.counts_from = Some(now + PROPAGATION_TIME);
    }

    /// Takes a report of figures of time `at`. While the target is cold the bound can only fall: a report
    /// counts the rest of the old requests together with new ones, so it is never too low.
    pub(super) fn observe(&mut self, entry: &LoadEntry, at: Instant) {
        if entry.state != TargetState::Cold {
            *self = LeftoverLoad::default();
        } else if self.counts_from.is_none_or(|from| at >= from) {
            self.bound = self.bound.min(entry.occupied);
        }
    }

    /// What is left for new work of the requests that the target bears.
    pub(super) fn remaining(self, capacity: u32) -> u32 {
        capacity.saturating_sub(self.bound)
    }
}
