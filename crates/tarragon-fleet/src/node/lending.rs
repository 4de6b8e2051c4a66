//! Slots of targets that are divided among the processes of a data centre, and their loans between processes.
//!
//! Where a data centre has more processes than a target has slots, and so many that their digests go to peers in
//! rotation, digests are too old to show which slots are free: several processes would use the same one, and urgent
//! work would wait inside the target behind other work. Each slot then belongs to one process. A process without an open slot asks peers for one.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    digest::{NameKey, name_key},
    lending::{AskTable, BorrowerReport, LendingMessage, SlotAsk, SlotLedger, WaitUrgency},
    node::FleetNode,
    prelude::*,
};

/// Time between the first two rounds of requests for slots of one service. It doubles with each further round up to
/// [`MAX_ASK_INTERVAL`], since each message costs processor time at both ends.
const ASK_INTERVAL: Duration = Duration::from_millis(25);
/// Longest time between two rounds.
const MAX_ASK_INTERVAL: Duration = Duration::from_millis(300);
/// Rounds that follow each other within this time belong to one wait.
const WAIT_GAP: Duration = Duration::from_millis(600);
/// Peers of the own data centre that one round asks: the least loaded of a sample of twice as many.
const NEAR_FANOUT: usize = 3;
/// Peers of other data centres that one round asks as well, once near ones have been asked in vain. Traffic between
/// data centres is expensive.
const FAR_FANOUT: usize = 2;
/// Rounds that ask near peers only.
const NEAR_ROUNDS: u32 = 1;
/// Most slots that one message asks for.
const MAX_ASKED_SLOTS: u32 = 4;

/// Rounds of requests for slots of one service.
#[derive(Debug, Clone, Copy)]
struct AskRounds {
    last: Instant,
    count: u32,
}

impl AskRounds {
    /// Time until the next round.
    fn interval(&self) -> Duration {
        let doubled = ASK_INTERVAL * 2_u32.saturating_pow(self.count.saturating_sub(1).min(8));
        doubled.min(MAX_ASK_INTERVAL)
    }
}

/// Loans of slots, apart from the ledgers of the targets.
#[derive(Debug, Default)]
pub(super) struct LendingState {
    /// Whether peers can be reached, so that slots may be divided.
    is_open: bool,
    asks: AskTable,
    rounds: IndexMap<ServiceName, AskRounds>,
    /// Rotation position of the next peers to ask.
    position: usize,
    outbox: Vec<(SocketAddr, LendingMessage)>,
    statistics: LendingStatistics,
}

/// Counts of loans since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LendingStatistics {
    /// Requests for slots that were sent.
    pub asked: u64,
    /// Slots that were lent.
    pub lent: u64,
    /// Borrowed slots that were used.
    pub borrowed: u64,
    /// Offered slots that were returned unused.
    pub declined: u64,
    /// Loans that ended without a return.
    pub expired: u64,
}

impl FleetNode {
    /// Lets this process divide slots with its peers and exchange loans with them.
    pub fn open_lending(&mut self) {
        self.lending.is_open = true;
    }

    /// Messages about loans to send now.
    pub fn take_lending_messages(&mut self) -> Vec<(SocketAddr, LendingMessage)> {
        std::mem::take(&mut self.lending.outbox)
    }

    /// Counts of loans.
    pub fn lending_statistics(&self) -> LendingStatistics {
        self.lending.statistics
    }

    /// The slots of a target that this process may use, if they are divided: its own ones, less those that are lent,
    /// and those that it has borrowed.
    pub(super) fn divided_slots(
        &mut self,
        target: &TargetName,
        data_centre: NameKey,
        capacity: u32,
    ) -> Option<u32> {
        let processes = self.members.present_in(data_centre);
        let is_crowded = processes > capacity as usize && self.members.rotates_near_peers();
        if !self.lending.is_open || !is_crowded {
            return None;
        }
        let presence = self.members.presence();
        let cached = self.targets.get(target)?.owned.filter(|(known, _)| *known == presence);
        let owned = match cached {
            Some((_, owned)) => owned,
            None => {
                let is_near = name_key(&self.settings.data_centre) == data_centre;
                let rank = is_near.then(|| self.members.rank_within(xxh3_64(target.as_bytes())));
                u32::from(rank.is_some_and(|rank| rank < capacity as usize))
            }
        };
        // A process that has yet to meet its peers would take slots that are theirs.
        let is_known = self.members.has_met_all();
        let target_state = self.targets.get_mut(target)?;
        target_state.owned = is_known.then_some((presence, owned));
        let ledger = target_state.loans.get_or_insert_default();
        ledger.set_owned(if is_known { owned } else { 0 });
        Some(ledger.usable())
    }

    /// Forgets the loans of a target whose slots are not divided any more.
    pub(super) fn end_division(&mut self, target: &TargetName) {
        if let Some(target_state) = self.targets.get_mut(target) {
            (target_state.loans, target_state.owned) = (None, None);
        }
    }

    /// Passes on a slot whose request is about to end: a borrowed one to its owner, another one to a peer with a more
    /// urgent request. The scheduler would give it to the next request of this process otherwise.
    pub(super) fn pass_on_slot(
        &mut self,
        (request, attempt): (RequestId, AttemptNumber),
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if !self.scheduler.is_contended() {
            return;
        }
        let Some(target) = self.scheduler.attempt_target(request, attempt).cloned() else { return };
        let Some(ledger) =
            self.targets.get_mut(&target).and_then(|target_state| target_state.loans.as_mut())
        else {
            return;
        };
        if let Some(owner) = ledger.release_borrowed() {
            self.queue_message(owner, LendingMessage::Return(name_key(&target)));
            self.apply_loans(&target, now, actions);
        } else if !self.lending.asks.is_empty() && self.is_lendable(&target, now) {
            let own = self.own_urgency(&target, now);
            self.lend(&target, own, now, actions);
        }
    }

    /// Handles a message of a peer about loans.
    pub fn receive_lending(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: LendingMessage,
        actions: &mut Vec<SchedulerAction>,
    ) {
        match message {
            LendingMessage::Ask(ask) => {
                self.lending.asks.record(from, ask, now);
                self.lend_open_slots(ask.service, now, actions);
            }
            LendingMessage::Offer(key) => self.receive_offer(from, key, now, actions),
            LendingMessage::Return(key) | LendingMessage::Decline(key) => {
                if matches!(message, LendingMessage::Decline(_)) {
                    self.lending.asks.cancel(from);
                }
                let Some(target) = self.target_names.get(&key).cloned() else { return };
                let ledger = self.targets.get_mut(&target).and_then(|state| state.loans.as_mut());
                if !ledger.is_some_and(|ledger| ledger.end_loan(from)) {
                    return;
                }
                let own = self.own_urgency(&target, now);
                if self.lending.asks.is_empty() || !self.lend(&target, own, now, actions) {
                    self.apply_loans(&target, now, actions);
                }
            }
        }
        self.ask_for_slots(now);
    }

    /// Uses an offered slot, or returns it if no request needs it any more.
    fn receive_offer(
        &mut self,
        lender: SocketAddr,
        key: NameKey,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let target = self.target_names.get(&key).cloned();
        if let Some(target) = target.filter(|target| self.own_urgency(target, now).is_some())
            && let Some(ledger) =
                self.targets.get_mut(&target).and_then(|state| state.loans.as_mut())
        {
            ledger.borrow(lender);
            let before = self.in_flight_at(&target);
            self.apply_loans(&target, now, actions);
            if self.in_flight_at(&target) > before {
                self.lending.statistics.borrowed += 1;
                return;
            }
            let ledger = self.targets.get_mut(&target).and_then(|state| state.loans.as_mut());
            ledger.and_then(SlotLedger::release_borrowed);
            self.apply_loans(&target, now, actions);
        }
        self.lending.statistics.declined += 1;
        self.queue_message(lender, LendingMessage::Decline(key));
    }

    /// Lends the open slots of a service's targets to peers that ask for them.
    fn lend_open_slots(
        &mut self,
        service: NameKey,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(name) = self.service_name(service) else { return };
        loop {
            let open = self.scheduler.open_targets(&name);
            let lendable = open.filter(|(target, _)| self.is_lendable(target, now));
            let best = lendable.min_by(|left, right| left.1.total_cmp(&right.1));
            let Some((target, _)) = best else { return };
            let target = target.clone();
            let own = self.own_urgency(&target, now);
            if !self.lend(&target, own, now, actions) {
                return;
            }
        }
    }

    /// Lends a slot of a target to the peer with the most urgent request, if that goes before the own one.
    fn lend(
        &mut self,
        target: &TargetName,
        own: Option<WaitUrgency>,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) -> bool {
        let Some(entry) = self.directory.get(target) else { return false };
        let service = name_key(&entry.listed.service);
        let Some((peer, urgency)) = self.lending.asks.grant(service, own, now) else {
            return false;
        };
        let Some(ledger) =
            self.targets.get_mut(target).and_then(|target_state| target_state.loans.as_mut())
        else {
            return false;
        };
        ledger.lend(peer, now);
        self.lending.statistics.lent += 1;
        tracing::debug!(
            target_address = &**target,
            %peer,
            class = urgency.class,
            slack_ms = urgency.slack_ms,
            own_class = own.map(|own| own.class),
            own_slack_ms = own.map(|own| own.slack_ms),
            "slot lent to a peer"
        );
        self.queue_message(peer, LendingMessage::Offer(name_key(target)));
        self.apply_loans(target, now, actions);
        true
    }

    /// Asks peers for slots for the requests that wait without an open one.
    pub(super) fn ask_for_slots(&mut self, now: Instant) {
        if !self.scheduler.is_contended() {
            return;
        }
        for head in self.scheduler.waiting_heads(now) {
            let is_divided = |(target, _): (&TargetName, _)| self.has_divided_slots(target);
            if !self.scheduler.service_targets(&head.service).any(is_divided) {
                continue;
            }
            let rounds = self.lending.rounds.get(&head.service).copied();
            let elapsed =
                rounds.map_or(WAIT_GAP, |rounds| now.saturating_duration_since(rounds.last));
            if rounds.is_some_and(|rounds| elapsed < rounds.interval()) {
                continue;
            }
            let before = rounds.filter(|_| elapsed < WAIT_GAP).map_or(0, |rounds| rounds.count);
            let count = before.saturating_add(1);
            self.lending.rounds.insert(head.service.clone(), AskRounds { last: now, count });
            let ask = SlotAsk {
                service: name_key(&head.service),
                urgency: WaitUrgency::from(&head),
                count: head.count.min(MAX_ASKED_SLOTS) as u8,
            };
            let mut peers = self.least_loaded_peers(true, NEAR_FANOUT);
            if count > NEAR_ROUNDS || peers.is_empty() {
                peers.extend(self.least_loaded_peers(false, FAR_FANOUT));
            }
            self.lending.statistics.asked += peers.len() as u64;
            for peer in peers {
                self.queue_message(peer, LendingMessage::Ask(ask));
            }
        }
    }

    /// The least loaded of the next peers in rotation.
    fn least_loaded_peers(&mut self, near: bool, count: usize) -> Vec<SocketAddr> {
        let position = self.lending.position;
        self.lending.position = position.wrapping_add(2 * count);
        let sample = self.members.present_from(near, position).into_iter().take(2 * count);
        let load = |address: &SocketAddr| {
            let member = self.members.present_member(address)?;
            Some(member.digest.target_uses.iter().map(|one| u32::from(one.in_flight)).sum::<u32>())
        };
        let mut peers = Vec::from_iter(sample.map(|address| (load(address), *address)));
        peers.sort_unstable();
        peers.into_iter().take(count).map(|(_, address)| address).collect()
    }

    /// Ends loans that were not returned, and open requests that were not repeated.
    pub(super) fn expire_loans(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        if !self.lending.is_open {
            return;
        }
        self.lending.asks.expire(now);
        let members = &self.members;
        let mut changed = Vec::new();
        for (target, target_state) in &mut self.targets {
            let Some(ledger) = &mut target_state.loans else { continue };
            let key = name_key(target);
            let report = |peer: SocketAddr| {
                let member = members.present_member(&peer)?;
                let digest = &member.digest;
                let used = digest.target_uses.iter().find(|one| one.target == key);
                let in_flight = used.map_or(0, |one| u32::from(one.in_flight));
                let in_flight = digest.centre_sum.is_none().then_some((member.heard, in_flight));
                Some(BorrowerReport { in_flight })
            };
            let expired = ledger.expire_loans(report, now);
            if expired > 0 {
                self.lending.statistics.expired += expired as u64;
                changed.push((target.clone(), expired));
            }
        }
        for (target, expired) in changed {
            tracing::info!(
                target_address = &*target,
                expired,
                "loans of slots were not returned; the slots are used again"
            );
            self.apply_loans(&target, now, actions);
        }
    }

    /// Passes the slots of a target to the scheduler after a change of its loans.
    fn apply_loans(
        &mut self,
        target: &TargetName,
        now: Instant,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(target_state) = self.targets.get_mut(target) else { return };
        let (Some(ledger), Some(known)) = (&target_state.loans, &mut target_state.slots) else {
            return;
        };
        known.slots = ledger.usable();
        let slots = known.clone();
        self.schedule(now, SchedulerEvent::SlotsChanged(slots), actions);
    }

    /// Whether slots of a target may be lent. Those of a cold one are covered by its start limit, which borrowers
    /// have no part of.
    fn is_lendable(&self, target: &str, now: Instant) -> bool {
        let entry = self.directory.get(target);
        self.has_divided_slots(target)
            && entry.is_some_and(|entry| entry.in_service() && !entry.is_cold(now))
    }

    fn has_divided_slots(&self, target: &str) -> bool {
        self.targets.get(target).is_some_and(|target_state| target_state.loans.is_some())
    }

    /// Urgency of the most urgent request that waits for a target's service.
    fn own_urgency(&self, target: &str, now: Instant) -> Option<WaitUrgency> {
        let service = &self.directory.get(target)?.listed.service;
        let heads = self.scheduler.waiting_heads(now);
        heads.iter().find(|head| head.service == *service).map(WaitUrgency::from)
    }

    fn in_flight_at(&self, target: &str) -> u32 {
        self.scheduler.slot_usage(target).map_or(0, |used| used.in_flight)
    }

    fn service_name(&self, key: NameKey) -> Option<ServiceName> {
        let configuration = self.operator_state.configuration.as_ref()?;
        configuration.services.keys().find(|service| name_key(service) == key).cloned()
    }

    fn queue_message(&mut self, to: SocketAddr, message: LendingMessage) {
        self.lending.outbox.push((to, message));
    }
}
