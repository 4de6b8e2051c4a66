//! Places of refused requests, for those that come back as they were told.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::{hash::NumberHash, job::Job, prelude::*};

/// Maximum number of places, so that callers who never come back take little memory.
const MAX_PLACES: usize = 4_096;

/// A place is kept for this long after the time at which the caller was told to come back. Callers come back within
/// a third of the time that they have left, so that those who come later have given up.
const PLACE_LIFETIME: Duration = Duration::from_secs(5);

/// The place in the queue that a refused request had, or would have had.
#[derive(Debug, Clone, Copy)]
struct RefusedPlace {
    lane: usize,
    tier: Tier,
    workspace_key: u64,
    sequence: u64,
    tag: u64,
    /// When the caller was told to come back.
    due: Instant,
}

/// How a request compares with what its caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnKind {
    /// It was not refused before, or that is too long ago.
    New,
    /// It came back before it was told to.
    Early,
    /// It came back as told, and was given its place.
    Placed,
}

/// Places of refused requests by fingerprint.
#[derive(Debug, Default)]
pub struct ReturnTable {
    places: IndexMap<Fingerprint, RefusedPlace, NumberHash>,
}

impl ReturnTable {
    /// Keeps the place of a request that is refused, until its caller comes back.
    pub fn keep(&mut self, job: &Job, tag: u64, due: Instant) {
        if self.places.len() >= MAX_PLACES {
            self.places.swap_remove_index(0);
        }
        let place = RefusedPlace {
            lane: job.lane,
            tier: job.tier(),
            workspace_key: job.workspace_key,
            sequence: job.sequence,
            tag,
            due,
        };
        self.places.insert(job.profile.fingerprint, place);
    }

    /// Gives a request the place of its first arrival if it came back no earlier than told. The place is used up
    /// either way, so that a caller who repeats at once gains nothing.
    pub fn restore(&mut self, job: &mut Job, now: Instant) -> ReturnKind {
        let Some(place) = self.places.swap_remove(&job.profile.fingerprint) else {
            return ReturnKind::New;
        };
        let is_same = (place.lane, place.tier, place.workspace_key)
            == (job.lane, job.tier(), job.workspace_key);
        if !is_same || now > place.due + PLACE_LIFETIME {
            return ReturnKind::New;
        }
        if now < place.due {
            return ReturnKind::Early;
        }
        job.sequence = place.sequence;
        job.first_tag = Some(place.tag);
        ReturnKind::Placed
    }

    /// Drops the places of callers that have not come back.
    pub fn sweep(&mut self, now: Instant) {
        self.places.retain(|_, place| now <= place.due + PLACE_LIFETIME);
    }
}
