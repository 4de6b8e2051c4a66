//! Records of a process that has ended, held here to answer repeated requests. Their calls are never run
//! here.

use std::{fmt, time::Duration};

use indexmap::IndexMap;
use tarragon_protocol::{identity::TicketSequence, peer::HandoverRecord};

use super::{CallBinding, RECORD_RETENTION, Ticket, TicketDecision, record::*};
use crate::prelude::*;

/// Why records were not adopted. The process that shuts down then has no successor for them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdoptFault {
    /// This process has frozen its own records and is about to end.
    Frozen,
    /// The records do not fit. Taking a part of them would make "not run" answers false.
    Full,
    /// The message names this process as the owner.
    OwnRecords,
    /// A record can't be read.
    Malformed,
}

impl fmt::Display for AdoptFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            AdoptFault::Frozen => "this process is ending too",
            AdoptFault::Full => "the record table has no room for all records",
            AdoptFault::OwnRecords => "the records belong to this process",
            AdoptFault::Malformed => "a record can't be read",
        })
    }
}

impl std::error::Error for AdoptFault {}

/// All records of one ended process.
#[derive(Debug)]
pub(super) struct AdoptedRecords {
    records: IndexMap<TicketSequence, (CallBinding, KeptAnswer)>,
    adopted_at: Duration,
    owner_boot: Duration,
    keep: Duration,
}

impl AdoptedRecords {
    /// Reads a handover message. Answers that no longer fit into `room` bytes in all are kept without
    /// body or text.
    pub(super) fn read(
        message: &HandoverMessage,
        boot: Duration,
        mut room: usize,
    ) -> Result<AdoptedRecords, AdoptFault> {
        let mut records = IndexMap::with_capacity(message.records.len());
        for record in &message.records {
            let binding = CallBinding::from_text(&record.binding).ok_or(AdoptFault::Malformed)?;
            let answer = KeptAnswer::keep(&record.answer, usize::MAX, room);
            room -= answer.bytes();
            records.insert(record.sequence, (binding, answer));
        }
        let keep = Duration::from_millis(message.keep_ms).min(RECORD_RETENTION);
        let owner_boot = Duration::from_millis(message.owner_boot_ms);
        Ok(AdoptedRecords { records, adopted_at: boot, owner_boot, keep })
    }

    /// Number of records.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Bytes of the kept answers.
    pub(super) fn bytes(&self) -> usize {
        self.records.values().map(|(_, answer)| answer.bytes()).sum()
    }

    /// Whether the records' retention has ended.
    pub(super) fn may_drop(&self, boot: Duration) -> bool {
        boot.saturating_sub(self.adopted_at) >= self.keep
    }

    /// Lower bound of the owner's boot clock. The transit time of the message is missing, which is
    /// harmless: a record that the owner had dropped belonged to a ticket that was already older than
    /// [`RECORD_RETENTION`] when the message was made.
    fn owner_boot_now(&self, boot: Duration) -> Duration {
        self.owner_boot + boot.saturating_sub(self.adopted_at)
    }

    /// The answer to a repeated request. A ticket without a record was sealed when its owner froze its
    /// records.
    pub(super) fn answer(
        &self,
        ticket: &Ticket,
        binding: CallBinding,
        boot: Duration,
    ) -> TicketDecision {
        let sequence = ticket.sequence;
        match self.records.get(&sequence) {
            Some((bound, _)) if *bound != binding => TicketDecision::Mismatch,
            Some((_, answer)) => TicketDecision::Answer(answer.replay()),
            None if ticket.age(self.owner_boot_now(boot)) >= RECORD_RETENTION => {
                let cause = "its record may have been dropped";
                TicketDecision::Answer(unknown(RefusalCode::TicketExpired, sequence, cause))
            }
            None => {
                let cause = "it was not used before its owner shut down";
                TicketDecision::Answer(not_run(RefusalCode::TicketSealed, sequence, cause))
            }
        }
    }

    /// The answer recorded for a ticket, whatever call it is bound to.
    pub(super) fn recorded(&self, sequence: TicketSequence) -> Option<TicketAnswer> {
        self.records.get(&sequence).map(|(_, answer)| answer.replay())
    }

    /// The records as a message for the next successor.
    pub(super) fn message(&self, owner: &PeerIdentity, boot: Duration) -> HandoverMessage {
        let records = self
            .records
            .iter()
            .map(|(sequence, (binding, answer))| HandoverRecord {
                sequence: *sequence,
                binding: binding.to_text(),
                answer: answer.replay(),
            })
            .collect();
        let keep = self.keep.saturating_sub(boot.saturating_sub(self.adopted_at));
        HandoverMessage {
            owner: owner.clone(),
            records,
            keep_ms: keep.as_millis() as u64,
            owner_boot_ms: self.owner_boot_now(boot).as_millis() as u64,
        }
    }
}
