//! The record of one used ticket.

use std::{sync::Arc, time::Duration};

use tarragon_protocol::{identity::TicketSequence, peer::PlainAnswer};

use super::{CallBinding, LATE_ANSWER_KEEP, RECORD_KEEP};
use crate::prelude::*;

/// What is known of the call of one ticket.
#[derive(Debug, Clone)]
pub(super) struct TicketRecord {
    /// Call that used the ticket first.
    pub(super) binding: CallBinding,
    /// Owner's boot clock when the ticket was issued, in milliseconds.
    pub(super) issued_ms: u64,
    /// Running or final.
    pub(super) state: RecordState,
}

/// State of a record. The only change is from `Running` to `Final`.
#[derive(Debug, Clone)]
pub(super) enum RecordState {
    /// Queued or dispatched.
    Running(Box<RunningCall>),
    /// Has its final answer.
    Final {
        /// The answer that each repeat gets.
        answer: KeptAnswer,
        /// Boot clock until which the record is kept.
        keep_until: Duration,
    },
}

/// A call without a final answer.
#[derive(Debug, Clone)]
pub(super) struct RunningCall {
    /// Requests that wait for the answer.
    pub(super) waiters: Vec<TicketWaiter>,
    /// Whether bytes of the call may be at a target, and nothing shows that it did not run there.
    pub(super) written: bool,
    /// Attempts that were let through to be written.
    pub(super) attempts: AttemptNumber,
    /// Largest body in bytes that is kept for a repeat.
    pub(super) answer_limit: usize,
}

/// A request that waits for a ticket's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TicketWaiter {
    /// The request.
    pub(super) request: RequestId,
    /// Its deadline on this process's boot clock.
    pub(super) deadline: Duration,
}

/// A final answer as it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum KeptAnswer {
    /// Done, with the answer.
    Done(Arc<PlainAnswer>),
    /// Done, but the answer was too large to be kept.
    DoneWithoutBody,
    /// Sealed without a run.
    NotRun(Arc<Refusal>),
    /// May have run.
    Unknown(Arc<Refusal>),
}

impl KeptAnswer {
    /// Stores an answer, without its body if that is larger than either limit.
    pub(super) fn keep(answer: &TicketAnswer, answer_limit: usize, room: usize) -> KeptAnswer {
        match answer {
            TicketAnswer::Done(plain) => {
                let within = plain.body.len() <= answer_limit && answer_bytes(plain) <= room;
                if within {
                    KeptAnswer::Done(Arc::new(plain.clone()))
                } else {
                    KeptAnswer::DoneWithoutBody
                }
            }
            TicketAnswer::Refused(refusal) if refusal.outcome == CallOutcome::NotRun => {
                KeptAnswer::NotRun(Arc::new(refusal.clone()))
            }
            TicketAnswer::Refused(refusal) if refusal.code == RefusalCode::AnswerNotKept => {
                KeptAnswer::DoneWithoutBody
            }
            TicketAnswer::Refused(refusal) => {
                let outcome = CallOutcome::Unknown;
                KeptAnswer::Unknown(Arc::new(Refusal { outcome, ..refusal.clone() }))
            }
        }
    }

    /// The answer that a repeat gets.
    pub(super) fn replay(&self) -> TicketAnswer {
        match self {
            KeptAnswer::Done(answer) => TicketAnswer::Done((**answer).clone()),
            KeptAnswer::DoneWithoutBody => TicketAnswer::Refused(Refusal::unknown(
                RefusalCode::AnswerNotKept,
                "the call was done, but its answer was too large to be kept",
            )),
            KeptAnswer::NotRun(refusal) | KeptAnswer::Unknown(refusal) => {
                TicketAnswer::Refused((**refusal).clone())
            }
        }
    }

    /// Bytes that count towards the bound of all kept answers.
    pub(super) fn bytes(&self) -> usize {
        match self {
            KeptAnswer::Done(answer) => answer_bytes(answer),
            _ => 0,
        }
    }
}

/// Size of an answer with its headers.
pub(super) fn answer_bytes(answer: &PlainAnswer) -> usize {
    let headers = answer.headers.iter().map(|(name, value)| name.len() + value.len());
    answer.body.len() + headers.sum::<usize>()
}

impl RunningCall {
    /// The requests that wait for the answer.
    pub(super) fn requests(&self) -> Vec<RequestId> {
        self.waiters.iter().map(|waiter| waiter.request).collect()
    }
}

impl TicketRecord {
    /// Boot clock until which a record that becomes final now is kept.
    pub(super) fn keep_until(&self, boot: Duration) -> Duration {
        (Duration::from_millis(self.issued_ms) + RECORD_KEEP).max(boot + LATE_ANSWER_KEEP)
    }

    /// Whether the record may be dropped. A running call's record never may.
    pub(super) fn may_drop(&self, boot: Duration) -> bool {
        match &self.state {
            RecordState::Running(_) => false,
            RecordState::Final { keep_until, .. } => *keep_until <= boot,
        }
    }

    /// The running call, if there is no final answer yet.
    pub(super) fn running(&self) -> Option<&RunningCall> {
        match &self.state {
            RecordState::Running(call) => Some(call),
            RecordState::Final { .. } => None,
        }
    }

    /// The running call, for a change.
    pub(super) fn running_mut(&mut self) -> Option<&mut RunningCall> {
        match &mut self.state {
            RecordState::Running(call) => Some(call),
            RecordState::Final { .. } => None,
        }
    }
}

/// "Not run" for one ticket, with its number in the text.
pub(super) fn not_run(code: RefusalCode, sequence: TicketSequence, cause: &str) -> TicketAnswer {
    TicketAnswer::Refused(Refusal::not_run(code, format!("ticket {sequence}: {cause}")))
}

/// "Unknown" for one ticket, with its number in the text.
pub(super) fn unknown(code: RefusalCode, sequence: TicketSequence, cause: &str) -> TicketAnswer {
    TicketAnswer::Refused(Refusal::unknown(code, format!("ticket {sequence}: {cause}")))
}
