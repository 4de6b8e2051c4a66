//! Requests that a target still runs from the time before it turned cold.

use std::time::{Duration, Instant};

use tarragon_protocol::peer::LoadEntry;

use crate::prelude::*;

/// Time within which the VMs of a data centre learn that a target has turned cold. Until then some of
/// them still use the slots that it had while it was warm.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Upper bound of the requests at a cold target that were sent while it was warm. Their senders may no
/// longer have a slot, so the slots do not count them. A target that turns cold without a restart keeps
/// them, and new requests on top of them would exceed its capacity.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LeftoverLoad {
    bound: u32,
    /// Reports from before this time are ignored: more old requests may have arrived after them.
    counts_from: Option<Instant>,
}

impl LeftoverLoad {
    /// Records that the target turned cold. Its previous capacity bounds the requests in flight.
    pub(super) fn turn_cold(&mut self, entry: &LoadEntry, previous_capacity: u32, now: Instant) {
        self.bound = entry.occupied.max(previous_capacity);
        self.counts_from = Some(now + PROPAGATION_TIME);
    }

    /// Applies a report with figures of time `at`. While the target is cold the bound only falls: a
    /// report counts the remaining old requests together with new ones, so it is never too low.
    pub(super) fn observe(&mut self, entry: &LoadEntry, at: Instant) {
        if entry.state != TargetState::Cold {
            *self = LeftoverLoad::default();
        } else if self.counts_from.is_none_or(|from| at >= from) {
            self.bound = self.bound.min(entry.occupied);
        }
    }

    /// Capacity that is left for new requests.
    pub(super) fn remaining(self, capacity: u32) -> u32 {
        capacity.saturating_sub(self.bound)
    }
}
