//! What may be the cause of a crash: a request as a whole, or a part of its prompt.

use std::time::Instant;

use indexmap::IndexMap;
use tarragon_protocol::peer::SuspectCause;

use crate::{hash::NumberHash, inflight::RunningAttempt, prelude::*, suspect::CrashId};

/// Maximum number of prompt parts of one request that are considered.
const MAX_PARTS: usize = 24;

/// Number of finished parts after which the older half is forgotten.
const MAX_FINISHED_PARTS: usize = 2_048;

/// Causes of one request: the request itself, then the shared parts of its prompt in their order.
pub type CauseList = Vec<SuspectCause>;

/// The possible causes of a crash that a request sees: the request itself, then the shared parts of its prompt
/// in their order, each once.
pub fn request_causes(profile: &RequestProfile) -> impl Iterator<Item = SuspectCause> {
    let request = SuspectCause::Request(profile.fingerprint);
    let parts = &profile.parts[..profile.parts.len().min(MAX_PARTS)];
    let first = |(index, part): &(usize, &PartId)| !parts[..*index].contains(part);
    let parts = parts.iter().enumerate().filter(first);
    std::iter::once(request).chain(parts.map(|(_, part)| SuspectCause::Part(*part)))
}

/// An attempt whose connection broke, or that its caller abandoned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenAttempt {
    /// What may have caused it.
    pub causes: CauseList,
    /// Restart id of the process that it was sent to, if it was known.
    pub restart: Option<RestartId>,
    /// When the connection broke.
    pub broken: Instant,
    /// When a process at the target's address first answered an attempt dispatched after that.
    pub answered: Option<Instant>,
    /// Whether the caller left before the target had sent anything, instead of a broken connection. This
    /// counts as a crash only if the process turns out to have ended.
    pub abandoned: bool,
}

impl BrokenAttempt {
    /// Records a running attempt whose connection broke, or that was abandoned, at `now`.
    pub fn of(running: &RunningAttempt, now: Instant, abandoned: bool) -> BrokenAttempt {
        BrokenAttempt {
            causes: request_causes(&running.job.profile).collect(),
            restart: running.restart,
            broken: now,
            answered: None,
            abandoned,
        }
    }

    /// Identity of the crash that this attempt saw, if the process has ended.
    pub fn crash_id(&self, target: &TargetName) -> CrashId {
        (target.clone(), self.restart.unwrap_or(0))
    }

    /// Fingerprint of the request.
    pub fn fingerprint(&self) -> Option<Fingerprint> {
        self.causes.iter().find_map(|cause| match cause {
            SuspectCause::Request(fingerprint) => Some(*fingerprint),
            SuspectCause::Part(_) => None,
        })
    }
}

/// Prompt parts with which requests have finished lately, and when. Two generations bound their number at a
/// constant cost for each part.
#[derive(Debug, Default)]
pub struct FinishedParts {
    current: IndexMap<SuspectCause, Instant, NumberHash>,
    former: IndexMap<SuspectCause, Instant, NumberHash>,
}

impl FinishedParts {
    /// Records that a request with this part has finished.
    pub fn record(&mut self, part: SuspectCause, now: Instant) {
        if self.current.len() >= MAX_FINISHED_PARTS && !self.current.contains_key(&part) {
            self.former = std::mem::take(&mut self.current);
        }
        self.current.insert(part, now);
    }

    /// When a request with this part was last known to finish.
    pub fn last_finish(&self, part: SuspectCause) -> Option<Instant> {
        self.current.get(&part).or_else(|| self.former.get(&part)).copied()
    }
}
