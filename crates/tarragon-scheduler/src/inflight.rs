//! Attempts that were dispatched and have not ended.

use std::time::Instant;

use indexmap::IndexMap;
use tarragon_protocol::peer::SuspectCause;

use crate::{
    hash::NumberHash,
    job::Job,
    prelude::*,
    suspect::CauseList,
    targets::{estimate::CostEstimate, pace::PaceMark},
};

/// Reason for cancelling an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelCause {
    /// Urgent work needs the slot; the request is resumed later.
    Preempted,
    /// The target is out of service and the grace period is over; the request is resumed at another target.
    Moved,
    /// The caller has disconnected.
    Disconnected,
    /// The deadline has passed.
    Expired,
    /// The process ends. The request has got its final answer.
    Ending,
}

/// One attempt at a target.
#[derive(Debug)]
pub struct RunningAttempt {
    /// The request.
    pub job: Job,
    /// Position of the target.
    pub target: usize,
    /// Restart id of the target's process at dispatch, if it was known.
    pub restart: Option<RestartId>,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Whether bytes may have been sent to the target.
    pub started: bool,
    /// When it was dispatched.
    pub dispatched: Instant,
    /// When the first token was reported.
    pub first_token: Option<Instant>,
    /// Tokens received in this attempt.
    pub tokens: u32,
    /// Expected times at dispatch.
    pub estimate: CostEstimate,
    /// Pace of the target at dispatch, then at the first token.
    pub pace: PaceMark,
    /// Prompt tokens that the target has to compute: the expected number, then the one that the target reports.
    pub uncached: u32,
    /// Tokens of this attempt that are counted in the target's pending prefill; 0 after the first token.
    pub pending: u64,
    /// Pending prefill tokens of other own requests at the target at dispatch.
    pub ahead: u64,
    /// Cached fraction of the prompt, if the target reported it.
    pub cached_part: Option<f32>,
    /// Answer tokens that the workspace has been charged for.
    pub charged: u32,
    /// Causes for which it was dispatched as a suspect.
    pub suspect_causes: CauseList,
    /// Reason of the cancellation, once one was requested.
    pub cancel: Option<CancelCause>,
}

/// Attempts in flight, by request.
#[derive(Debug, Default)]
pub struct InFlightTable {
    attempts: IndexMap<RequestId, RunningAttempt, NumberHash>,
    suspects: IndexMap<SuspectCause, u32, NumberHash>,
    preempting: usize,
}

impl RunningAttempt {
    /// Whether it was dispatched as a suspect.
    pub fn is_suspect(&self) -> bool {
        !self.suspect_causes.is_empty()
    }
}

impl InFlightTable {
    /// Number of attempts.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Attempts that are being cancelled for more urgent work.
    pub fn preempting(&self) -> usize {
        self.preempting
    }

    /// Suspects in flight.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Whether a request runs as a suspect because of one of these causes.
    pub fn runs_suspect(&self, causes: &[SuspectCause]) -> bool {
        causes.iter().any(|cause| self.suspects.contains_key(cause))
    }

    /// The attempt of a request.
    pub fn get(&self, request: RequestId) -> Option<&RunningAttempt> {
        self.attempts.get(&request)
    }

    /// The attempt of a request, if it is the one with this number.
    pub fn get_mut(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
    ) -> Option<&mut RunningAttempt> {
        self.attempts.get_mut(&request).filter(|running| running.attempt == attempt)
    }

    /// All attempts.
    pub fn iter(&self) -> impl Iterator<Item = &RunningAttempt> {
        self.attempts.values()
    }

    /// Up to `count` attempts starting at a position, wrapping around at the end.
    pub fn sample(&self, start: usize, count: usize) -> impl Iterator<Item = &RunningAttempt> {
        let total = self.attempts.len();
        (0..count.min(total)).map(move |offset| &self.attempts[(start + offset) % total])
    }

    /// Adds an attempt.
    pub fn insert(&mut self, running: RunningAttempt) {
        for cause in &running.suspect_causes {
            *self.suspects.entry(*cause).or_default() += 1;
        }
        self.attempts.insert(running.job.request(), running);
    }

    /// Removes the attempt of a request, if it is the one with this number.
    pub fn remove(&mut self, request: RequestId, attempt: AttemptNumber) -> Option<RunningAttempt> {
        self.attempts.get(&request).filter(|running| running.attempt == attempt)?;
        let running = self.attempts.swap_remove(&request)?;
        for cause in &running.suspect_causes {
            if let Some(count) = self.suspects.get_mut(cause) {
                *count -= 1;
                if *count == 0 {
                    self.suspects.swap_remove(cause);
                }
            }
        }
        if running.cancel == Some(CancelCause::Preempted) {
            self.preempting -= 1;
        }
        Some(running)
    }

    /// Records that an attempt is being cancelled. The first cause is kept, except that a cause which ends
    /// the request replaces one after which it would be resumed, and a disconnected caller replaces any,
    /// since nobody is left to answer. Returns the attempt's number if it was not being cancelled already.
    pub fn cancel(&mut self, request: RequestId, cause: CancelCause) -> Option<AttemptNumber> {
        let running = self.attempts.get_mut(&request)?;
        match running.cancel {
            None => {
                running.cancel = Some(cause);
                self.preempting += usize::from(cause == CancelCause::Preempted);
                Some(running.attempt)
            }
            Some(old) => {
                let goes_on = matches!(old, CancelCause::Preempted | CancelCause::Moved);
                let replaces = match cause {
                    CancelCause::Disconnected => old != CancelCause::Ending,
                    CancelCause::Expired | CancelCause::Ending => goes_on,
                    CancelCause::Preempted | CancelCause::Moved => false,
                };
                if replaces {
                    running.cancel = Some(cause);
                    self.preempting -= usize::from(old == CancelCause::Preempted);
                }
                None
            }
        }
    }
}
