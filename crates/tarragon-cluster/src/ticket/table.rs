//! The tickets that this process issues and the records of those that were used.
//!
//! Two rules guarantee that a call runs at most once. First, a call is only written after
//! [`TicketTable::may_write`] has allowed it, which happens only for a running record without an open
//! attempt. Second, "not run" is answered only in states after which the ticket's call is never allowed
//! to be written: a final record, a number up to the watermark, an expired ticket, or a frozen table.

use std::time::Duration;

use indexmap::IndexMap;
use tarragon_protocol::{identity::TicketSequence, peer::HandoverRecord};

use super::{
    RECORD_RETENTION, TICKET_VALIDITY, Ticket,
    adopted::{AdoptFault, AdoptedRecords},
    decision::*,
    record::*,
};
use crate::{
    invariant::{Invariant, check_invariant},
    prelude::*,
};

/// Issues tickets and keeps the records of those that were used.
#[derive(Debug)]
pub struct TicketTable {
    identity: PeerIdentity,
    peer_address: String,
    limits: TicketLimits,
    issued: TicketSequence,
    watermark: TicketSequence,
    records: IndexMap<TicketSequence, TicketRecord>,
    answer_bytes: usize,
    adopted: IndexMap<PeerIdentity, AdoptedRecords>,
    /// Calls that had been written when the table was frozen. Their records are final, but their waiters
    /// still get the answer if it arrives.
    outstanding: IndexMap<TicketSequence, RunningCall>,
    ended: Vec<TicketEnd>,
    draining: bool,
    frozen: bool,
}

impl TicketTable {
    /// Creates the empty table of a new process.
    pub fn new(identity: PeerIdentity, peer_address: String, limits: TicketLimits) -> TicketTable {
        TicketTable {
            identity,
            peer_address,
            limits,
            issued: 0,
            watermark: 0,
            records: IndexMap::new(),
            answer_bytes: 0,
            adopted: IndexMap::new(),
            outstanding: IndexMap::new(),
            ended: Vec::new(),
            draining: false,
            frozen: false,
        }
    }

    /// Issues a ticket. Of it, the table only keeps the number.
    pub fn issue(&mut self, boot: Duration) -> Ticket {
        self.issued += 1;
        Ticket {
            owner: self.identity.clone(),
            peer_address: self.peer_address.clone(),
            sequence: self.issued,
            issued_ms: boot.as_millis() as u64,
        }
    }

    /// Decides what to do with a request that presents a ticket.
    pub fn present(&mut self, boot: Duration, ticket_use: &TicketUse<'_>) -> TicketDecision {
        let ticket = ticket_use.ticket;
        if ticket.owner == self.identity {
            return self.present_own(boot, ticket_use);
        }
        match self.adopted.get(&ticket.owner) {
            Some(records) => records.answer(ticket, ticket_use.binding, boot),
            None => self.route(ticket_use),
        }
    }

    fn present_own(&mut self, boot: Duration, ticket_use: &TicketUse<'_>) -> TicketDecision {
        let sequence = ticket_use.ticket.sequence;
        match self.records.get_mut(&sequence) {
            Some(record) if record.binding != ticket_use.binding => TicketDecision::Mismatch,
            Some(record) => join(record, sequence, ticket_use, self.limits.waiters),
            None => self.present_unused(boot, ticket_use),
        }
    }

    /// Decides on a ticket without a record. The order of the checks matters: a ticket so old that its
    /// record may have been dropped must not be answered as not run.
    fn present_unused(&mut self, boot: Duration, ticket_use: &TicketUse<'_>) -> TicketDecision {
        let (ticket, sequence) = (ticket_use.ticket, ticket_use.ticket.sequence);
        let age = ticket.age(boot);
        if sequence > self.issued {
            return TicketDecision::Mismatch;
        }
        if age >= RECORD_RETENTION {
            let cause = "its record may have been dropped";
            return TicketDecision::Answer(unknown(RefusalCode::TicketExpired, sequence, cause));
        }
        if age >= TICKET_VALIDITY {
            let cause = "it expired before it was used";
            return TicketDecision::Answer(not_run(RefusalCode::TicketExpired, sequence, cause));
        }
        if sequence <= self.watermark {
            let cause = "its owner sealed it before it was used";
            return TicketDecision::Answer(not_run(RefusalCode::TicketSealed, sequence, cause));
        }
        if self.draining {
            self.seal_unused();
            let cause = "its owner is shutting down";
            return TicketDecision::Answer(not_run(RefusalCode::TicketSealed, sequence, cause));
        }
        if !self.make_room(boot) {
            self.seal_unused();
            let cause = "its owner has no room for more records";
            return TicketDecision::Answer(not_run(RefusalCode::TicketSealed, sequence, cause));
        }
        self.start(boot, ticket_use)
    }

    fn start(&mut self, boot: Duration, ticket_use: &TicketUse<'_>) -> TicketDecision {
        let TicketUse { ticket, binding, deadline, waiter, answer_limit, .. } = *ticket_use;
        let sequence = ticket.sequence;
        let usable = sequence > self.watermark && ticket.age(boot) < TICKET_VALIDITY;
        let usable =
            check_invariant(Invariant::SealedTicketStaysUnused, usable && !self.draining, || {
                format!("ticket {sequence} is sealed or expired and was to be started")
            });
        if !usable {
            let cause = "it can't be used any more";
            return TicketDecision::Answer(not_run(RefusalCode::TicketSealed, sequence, cause));
        }
        let waiters = vec![TicketWaiter { request: waiter, deadline }];
        let call = RunningCall { waiters, written: false, attempts: 0, answer_limit };
        let state = RecordState::Running(Box::new(call));
        let record = TicketRecord { binding, issued_ms: ticket.issued_ms, state };
        self.records.insert(sequence, record);
        if deadline > boot {
            return TicketDecision::Start(sequence);
        }
        let answer = not_run(RefusalCode::DeadlineExceeded, sequence, "its deadline has passed");
        self.record_final(boot, sequence, &answer);
        TicketDecision::Answer(answer)
    }

    /// Decides on a ticket of another process whose records are not held here.
    fn route(&self, ticket_use: &TicketUse<'_>) -> TicketDecision {
        let ticket = ticket_use.ticket;
        let successor = ticket_use.successor.filter(|entry| entry.owner == ticket.owner);
        let (holder, address) = match successor {
            Some(entry) => (&entry.successor, &entry.peer_address),
            None => (&ticket.owner, &ticket.peer_address),
        };
        if ticket_use.forwarded || holder.vm == self.identity.vm || *address == self.peer_address {
            let cause = "its owner has ended and left its records to nobody known here";
            let code = RefusalCode::OwnerUnreachable;
            return TicketDecision::Answer(unknown(code, ticket.sequence, cause));
        }
        TicketDecision::Forward(PeerAddress { vm: holder.vm.clone(), address: address.clone() })
    }

    /// The state of a ticket. Changes nothing.
    pub fn query(&self, ticket: &Ticket) -> TicketStatus {
        if ticket.owner != self.identity {
            return match self.adopted.get(&ticket.owner) {
                Some(records) => records
                    .recorded(ticket.sequence)
                    .map_or(TicketStatus::Unused, TicketStatus::Answered),
                None => TicketStatus::Elsewhere,
            };
        }
        match self.records.get(&ticket.sequence).map(|record| &record.state) {
            Some(RecordState::Running(_)) => TicketStatus::Running,
            Some(RecordState::Final { answer, .. }) => TicketStatus::Answered(answer.replay()),
            None => TicketStatus::Unused,
        }
    }

    /// Decides, right before the first byte of an attempt, whether it may be written. Seals a call whose
    /// ticket has expired or whose waiters' deadlines have all passed.
    pub fn may_write(&mut self, sequence: TicketSequence, boot: Duration) -> WriteDecision {
        let frozen = self.frozen;
        let Some(record) = self.records.get_mut(&sequence) else {
            return WriteDecision::Withhold(None);
        };
        let expired =
            boot.saturating_sub(Duration::from_millis(record.issued_ms)) >= TICKET_VALIDITY;
        let Some(call) = record.running_mut() else {
            return WriteDecision::Withhold(None);
        };
        if call.written || frozen {
            return WriteDecision::Withhold(None);
        }
        let in_time = call.waiters.iter().any(|waiter| waiter.deadline > boot);
        if !expired && in_time {
            let detail = || format!("ticket {sequence} was to be written by a frozen process");
            if !check_invariant(Invariant::FrozenStartsNothing, !frozen, detail) {
                return WriteDecision::Withhold(None);
            }
            call.written = true;
            call.attempts += 1;
            return WriteDecision::Write(call.attempts);
        }
        let answer = if expired {
            not_run(RefusalCode::TicketExpired, sequence, "it expired before it was dispatched")
        } else {
            not_run(RefusalCode::DeadlineExceeded, sequence, "its deadline passed in the queue")
        };
        WriteDecision::Withhold(self.finish(sequence, answer, boot))
    }

    /// Records that the open attempt did not run: the connection was refused before the first byte, or
    /// the receiver answered that it did not dispatch the call. Another attempt may then be written.
    /// `attempt` is the number that [`TicketTable::may_write`] returned, so that a late report on an
    /// earlier attempt does not clear the open one.
    pub fn attempt_not_run(&mut self, sequence: TicketSequence, attempt: AttemptNumber) {
        let call = self.records.get_mut(&sequence).and_then(TicketRecord::running_mut);
        if let Some(call) = call.or(self.outstanding.get_mut(&sequence))
            && call.attempts == attempt
        {
            call.written = false;
        }
    }

    /// Records the final answer. Returns the waiters with the answer that they get, unless the ticket had
    /// a final answer before. "Not run" while an attempt is open is recorded as "unknown".
    pub fn finish(
        &mut self,
        sequence: TicketSequence,
        answer: TicketAnswer,
        boot: Duration,
    ) -> Option<TicketEnd> {
        if let Some(call) = self.outstanding.swap_remove(&sequence) {
            let answer = corrected_answer(sequence, call.written, answer);
            return Some(TicketEnd { sequence, waiters: call.requests(), answer });
        }
        let record = self.records.get(&sequence)?;
        let Some(call) = record.running() else {
            self.check_repeated_finish(sequence, &answer);
            return None;
        };
        let (written, waiters) = (call.written, call.requests());
        let answer = corrected_answer(sequence, written, answer);
        self.record_final(boot, sequence, &answer);
        Some(TicketEnd { sequence, waiters, answer })
    }

    /// Checks a repeated end of a call. One is expected after the check before the write has sealed the
    /// call, but a result after "not run" shows that a sealed call was dispatched.
    fn check_repeated_finish(&self, sequence: TicketSequence, answer: &TicketAnswer) {
        let Some(record) = self.records.get(&sequence) else { return };
        let sealed =
            matches!(&record.state, RecordState::Final { answer: KeptAnswer::NotRun(_), .. });
        let ran = !matches!(answer, TicketAnswer::Refused(refusal) if refusal.outcome == CallOutcome::NotRun);
        check_invariant(Invariant::SealedTicketStaysUnused, !(sealed && ran), || {
            format!("ticket {sequence} was sealed as not run and now ended as {answer:?}")
        });
    }

    fn record_final(&mut self, boot: Duration, sequence: TicketSequence, answer: &TicketAnswer) {
        let room = self.limits.answer_bytes.saturating_sub(self.answer_bytes);
        let Some(record) = self.records.get_mut(&sequence) else { return };
        let keep_until = record.keep_until(boot);
        let limit = record.running().map(|call| call.answer_limit);
        let unchanged = check_invariant(Invariant::FinalRecordStays, limit.is_some(), || {
            format!("ticket {sequence} has a final answer and was to get another one")
        });
        if let (true, Some(limit)) = (unchanged, limit) {
            let answer = KeptAnswer::keep(answer, limit, room);
            self.answer_bytes += answer.bytes();
            record.state = RecordState::Final { answer, keep_until };
        }
    }

    /// Records that a caller has disconnected.
    pub fn abandon(
        &mut self,
        sequence: TicketSequence,
        waiter: RequestId,
        boot: Duration,
    ) -> AbandonDecision {
        if let Some(call) = self.outstanding.get_mut(&sequence) {
            call.waiters.retain(|other| other.request != waiter);
        }
        let Some(call) = self.records.get_mut(&sequence).and_then(TicketRecord::running_mut) else {
            return AbandonDecision::NotRunning;
        };
        call.waiters.retain(|other| other.request != waiter);
        if call.written || !call.waiters.is_empty() {
            return AbandonDecision::Continues;
        }
        let cause = "its caller disconnected before it was dispatched";
        let answer = not_run(RefusalCode::TicketSealed, sequence, cause);
        self.record_final(boot, sequence, &answer);
        AbandonDecision::Sealed
    }

    /// Requests that wait for a ticket's answer.
    pub fn waiters(&self, sequence: TicketSequence) -> Vec<RequestId> {
        let call = self.records.get(&sequence).and_then(TicketRecord::running);
        call.or(self.outstanding.get(&sequence)).map_or_else(Vec::new, RunningCall::requests)
    }

    /// Number of calls without a final answer.
    pub fn running(&self) -> usize {
        self.records.values().filter(|record| record.running().is_some()).count()
    }

    /// Seals all tickets that were issued and not used, by raising the watermark, which takes no memory.
    pub fn seal_unused(&mut self) {
        self.watermark = self.issued;
    }

    /// Stops the start of new calls. Running calls continue.
    pub fn start_drain(&mut self) {
        self.draining = true;
        self.seal_unused();
    }

    /// Permanently ends all dispatching and returns the records for the successor. A queued call is
    /// sealed. A dispatched call without an answer is recorded as "unknown" for repeats, while its own
    /// waiters still get the answer if it arrives. May be repeated, since the records no longer change.
    pub fn freeze(&mut self, boot: Duration) -> HandoverMessage {
        self.start_drain();
        self.frozen = true;
        let running: Vec<TicketSequence> = self
            .records
            .iter()
            .filter(|(_, record)| record.running().is_some())
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in running {
            self.freeze_call(sequence, boot);
        }
        self.purge(boot);
        HandoverMessage {
            owner: self.identity.clone(),
            records: self.handover_records(),
            keep_ms: RECORD_RETENTION.as_millis() as u64,
            owner_boot_ms: boot.as_millis() as u64,
        }
    }

    fn freeze_call(&mut self, sequence: TicketSequence, boot: Duration) {
        let Some(call) = self.records.get(&sequence).and_then(TicketRecord::running).cloned()
        else {
            return;
        };
        let code = RefusalCode::ShuttingDown;
        if call.written {
            let cause = "its owner shut down while the call ran";
            self.record_final(boot, sequence, &unknown(code, sequence, cause));
            self.outstanding.insert(sequence, call);
        } else {
            let cause = "its owner shut down before the call was dispatched";
            let answer = not_run(code, sequence, cause);
            self.record_final(boot, sequence, &answer);
            self.ended.push(TicketEnd { sequence, waiters: call.requests(), answer });
        }
    }

    fn handover_records(&self) -> Vec<HandoverRecord> {
        let finished = self.records.iter().filter_map(|(sequence, record)| match &record.state {
            RecordState::Running(_) => None,
            RecordState::Final { answer, .. } => Some(HandoverRecord {
                sequence: *sequence,
                binding: record.binding.to_text(),
                answer: answer.replay(),
            }),
        });
        finished.collect()
    }

    /// Records of other processes that are held here, for the successor of this one.
    pub fn adopted_messages(&self, boot: Duration) -> Vec<HandoverMessage> {
        self.adopted
            .iter()
            .filter(|(_, records)| !records.may_drop(boot))
            .map(|(owner, records)| records.message(owner, boot))
            .collect()
    }

    /// Adopts the records of a process that has ended, all or none of them. A repeated message changes
    /// nothing.
    pub fn adopt(&mut self, message: &HandoverMessage, boot: Duration) -> Result<(), AdoptFault> {
        if message.owner == self.identity {
            return Err(AdoptFault::OwnRecords);
        }
        if self.adopted.contains_key(&message.owner) {
            return Ok(());
        }
        if self.frozen {
            return Err(AdoptFault::Frozen);
        }
        self.purge(boot);
        if self.record_count() + message.records.len() > self.limits.records {
            return Err(AdoptFault::Full);
        }
        let room = self.limits.answer_bytes.saturating_sub(self.answer_bytes);
        let records = AdoptedRecords::read(message, boot, room)?;
        self.answer_bytes += records.bytes();
        self.adopted.insert(message.owner.clone(), records);
        Ok(())
    }

    /// Takes the ends of calls that [`TicketTable::finish`] has not returned because the table was frozen
    /// before they were dispatched.
    pub fn take_ended(&mut self) -> Vec<TicketEnd> {
        std::mem::take(&mut self.ended)
    }

    fn record_count(&self) -> usize {
        self.records.len() + self.adopted.values().map(AdoptedRecords::len).sum::<usize>()
    }

    fn make_room(&mut self, boot: Duration) -> bool {
        if self.record_count() >= self.limits.records {
            self.purge(boot);
        }
        self.record_count() < self.limits.records
    }

    /// Drops the records whose retention has ended. To be called every few seconds.
    pub fn purge(&mut self, boot: Duration) {
        let mut dropped = 0;
        self.records.retain(|_, record| {
            let drop = record.may_drop(boot);
            if let (true, RecordState::Final { answer, .. }) = (drop, &record.state) {
                dropped += answer.bytes();
            }
            !drop
        });
        self.adopted.retain(|_, records| {
            let drop = records.may_drop(boot);
            dropped += if drop { records.bytes() } else { 0 };
            !drop
        });
        self.answer_bytes -= dropped;
    }

    /// Whether the records are frozen.
    pub fn is_frozen(&self) -> bool {
        self.frozen
    }

    /// Whether this process holds the ticket records of `owner`.
    pub fn answers_for(&self, owner: &PeerIdentity) -> bool {
        *owner == self.identity || self.adopted.contains_key(owner)
    }

    /// State of the ticket table in the admin dump.
    pub fn dump(&self) -> TicketDump {
        let adopted = self
            .adopted
            .iter()
            .map(|(owner, records)| (format!("{}/{}", owner.vm, owner.incarnation), records.len()));
        TicketDump {
            issued: self.issued,
            watermark: self.watermark,
            records: self.records.len(),
            running: self.running(),
            answer_bytes: self.answer_bytes,
            adopted: adopted.collect(),
            draining: self.draining,
            frozen: self.frozen,
        }
    }
}

fn join(
    record: &mut TicketRecord,
    sequence: TicketSequence,
    ticket_use: &TicketUse<'_>,
    limit: usize,
) -> TicketDecision {
    let call = match &mut record.state {
        RecordState::Final { answer, .. } => return TicketDecision::Answer(answer.replay()),
        RecordState::Running(call) => call,
    };
    let waiter = TicketWaiter { request: ticket_use.waiter, deadline: ticket_use.deadline };
    if call.waiters.iter().any(|other| other.request == waiter.request) {
        return TicketDecision::Join(sequence);
    }
    if call.waiters.len() >= limit {
        let cause = "too many requests wait for its answer";
        return TicketDecision::Answer(unknown(RefusalCode::LimitReached, sequence, cause));
    }
    call.waiters.push(waiter);
    TicketDecision::Join(sequence)
}

/// Changes the outcome of a refusal to "unknown" if it says "not run" while an attempt is open, or
/// "done".
fn corrected_answer(sequence: TicketSequence, written: bool, answer: TicketAnswer) -> TicketAnswer {
    let TicketAnswer::Refused(refusal) = answer else { return answer };
    let outcome = match refusal.outcome {
        CallOutcome::NotRun => {
            let true_refusal = check_invariant(Invariant::WrittenAtMostOnce, !written, || {
                format!("ticket {sequence} has an open attempt and was to end as not run")
            });
            if true_refusal { CallOutcome::NotRun } else { CallOutcome::Unknown }
        }
        CallOutcome::Done | CallOutcome::Unknown => CallOutcome::Unknown,
    };
    TicketAnswer::Refused(Refusal { outcome, ..refusal })
}
