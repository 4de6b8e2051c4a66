//! The record of one used ticket.

use std::time::Duration;

use tarragon_protocol::{identity::TicketSequence, peer::PlainAnswer};

use super::{CallBinding, LATE_ANSWER_RETENTION, RECORD_RETENTION};
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
    /// Number of attempts that were allowed to be written.
    pub(super) attempts: AttemptNumber,
    /// Size in bytes up to which the answer's body is kept for a repeat.
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
    Done(Box<PlainAnswer>),
    /// Done, but the answer was too large to be kept.
    DoneWithoutBody,
    /// Sealed without a run.
    NotRun(KeptRefusal),
    /// May have run.
    Unknown(KeptRefusal),
}

/// A refusal as it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct KeptRefusal {
    code: RefusalCode,
    retry_after_ms: u32,
    /// Empty if there was no room for it.
    message: Box<str>,
}

/// Memory in bytes that an answer, and each of its headers, takes beside its content. If it were not
/// counted, 65,536 small answers would take twice the bound.
const ANSWER_OVERHEAD: usize = 128;
const HEADER_OVERHEAD: usize = 80;

/// Memory in bytes that a message takes beside its content.
const MESSAGE_OVERHEAD: usize = 16;

impl KeptAnswer {
    /// Converts an answer for storage. Keeps the body only if it is within `answer_limit` and the answer
    /// fits into `room` bytes, and a refusal's message only if that fits into `room`.
    pub(super) fn keep(answer: &TicketAnswer, answer_limit: usize, room: usize) -> KeptAnswer {
        match answer {
            TicketAnswer::Done(plain) => {
                if plain.body.len() <= answer_limit && answer_bytes(plain) <= room {
                    KeptAnswer::Done(Box::new(plain.clone()))
                } else {
                    KeptAnswer::DoneWithoutBody
                }
            }
            TicketAnswer::Refused(refusal) if refusal.outcome == CallOutcome::NotRun => {
                KeptAnswer::NotRun(KeptRefusal::keep(refusal, room))
            }
            TicketAnswer::Refused(refusal) if refusal.code == RefusalCode::AnswerNotKept => {
                KeptAnswer::DoneWithoutBody
            }
            TicketAnswer::Refused(refusal) => KeptAnswer::Unknown(KeptRefusal::keep(refusal, room)),
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
            KeptAnswer::NotRun(refusal) => refusal.replay(CallOutcome::NotRun),
            KeptAnswer::Unknown(refusal) => refusal.replay(CallOutcome::Unknown),
        }
    }

    /// Bytes that count towards the bound of all kept answers.
    pub(super) fn bytes(&self) -> usize {
        match self {
            KeptAnswer::Done(answer) => answer_bytes(answer),
            KeptAnswer::DoneWithoutBody => 0,
            KeptAnswer::NotRun(refusal) | KeptAnswer::Unknown(refusal) => refusal.bytes(),
        }
    }
}

impl KeptRefusal {
    fn keep(refusal: &Refusal, room: usize) -> KeptRefusal {
        let fits = refusal.message.len() + MESSAGE_OVERHEAD <= room;
        let message = if fits { refusal.message.as_str() } else { "" };
        let retry_after = refusal.retry_after.unwrap_or_default().as_millis();
        let retry_after_ms = u32::try_from(retry_after).unwrap_or(u32::MAX);
        KeptRefusal { code: refusal.code, retry_after_ms, message: message.into() }
    }

    fn replay(&self, outcome: CallOutcome) -> TicketAnswer {
        let message = if self.message.is_empty() {
            "this is the recorded outcome of the ticket".to_owned()
        } else {
            self.message.to_string()
        };
        let retry_after =
            (self.retry_after_ms > 0).then(|| Duration::from_millis(self.retry_after_ms.into()));
        TicketAnswer::Refused(Refusal { code: self.code, outcome, message, retry_after })
    }

    fn bytes(&self) -> usize {
        if self.message.is_empty() { 0 } else { self.message.len() + MESSAGE_OVERHEAD }
    }
}

/// Memory that an answer takes.
fn answer_bytes(answer: &PlainAnswer) -> usize {
    let header = |(name, value): &(String, String)| name.len() + value.len() + HEADER_OVERHEAD;
    answer.body.len() + answer.headers.iter().map(header).sum::<usize>() + ANSWER_OVERHEAD
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
        (Duration::from_millis(self.issued_ms) + RECORD_RETENTION).max(boot + LATE_ANSWER_RETENTION)
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

    /// The running call, mutable.
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
