//! Loans of target slots between processes: which slots of a target this process owns, has lent and has borrowed,
//! and which peers ask for one. Decisions take the time as an argument and do no I/O.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tarragon_scheduler::scheduler::WaitingHead;

use crate::digest::NameKey;

/// Time for which a request for a slot stays open at a peer. The asker asks other peers meanwhile.
pub const ASK_LIFETIME: Duration = Duration::from_millis(500);
/// Time after a grant from which the borrower's digests must show the loan in use.
const LOAN_CONFIRM_TIME: Duration = Duration::from_millis(500);
/// Longest loan. A returned slot whose notice was lost is usable again after this time even if no digest of the
/// borrower arrives.
const MAX_LOAN: Duration = Duration::from_secs(15);
/// Most open requests for slots. More come only from more peers than one process can serve within their lifetime.
const MAX_ASKS: usize = 256;
/// A waiting request of a peer goes before an own one of the same class only if it is due earlier by more than this.
/// Small differences are not worth a loan.
const MIN_SLACK_LEAD_MS: i32 = 50;
/// First byte of each message: the version of the encoding.
const MESSAGE_VERSION: u8 = 1;

/// Urgency of a waiting request, comparable between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WaitUrgency {
    /// Position of its tier, lateness and rank in the dispatch order: lower goes first.
    pub class: u8,
    /// Milliseconds until the first output is due; negative once it is overdue.
    pub slack_ms: i32,
}

impl WaitUrgency {
    /// Whether a request of a peer goes before a request of this process.
    fn precedes(self, own: WaitUrgency) -> bool {
        let ahead = own.slack_ms.saturating_sub(self.slack_ms);
        self.class < own.class || self.class == own.class && ahead > MIN_SLACK_LEAD_MS
    }
}

impl From<&WaitingHead> for WaitUrgency {
    fn from(head: &WaitingHead) -> WaitUrgency {
        WaitUrgency { class: head.class, slack_ms: head.slack_ms }
    }
}

/// Message between processes about loans of slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LendingMessage {
    /// Asks for slots.
    Ask(SlotAsk),
    /// Lends one slot of a target. The borrower returns it unused if it no longer needs it.
    Offer(NameKey),
    /// Returns a borrowed slot of a target.
    Return(NameKey),
    /// Returns an offered slot that the borrower has no use for.
    Decline(NameKey),
}

/// A request for slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotAsk {
    /// Key of the service's name.
    pub service: NameKey,
    /// Urgency of the most urgent request that waits for a slot.
    pub urgency: WaitUrgency,
    /// Number of slots that the sender could use now.
    pub count: u8,
}

impl LendingMessage {
    /// Encodes the message as a datagram.
    pub fn to_bytes(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, vec![MESSAGE_VERSION])
    }

    /// Decodes a datagram; `None` if its encoding is of another version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Option<LendingMessage>, postcard::Error> {
        match bytes.split_first() {
            Some((&MESSAGE_VERSION, message)) => postcard::from_bytes(message).map(Some),
            _ => Ok(None),
        }
    }
}

/// A slot that this process has lent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SlotLoan {
    peer: SocketAddr,
    granted: Instant,
}

/// Slots of one target that this process owns, has lent or has borrowed.
#[derive(Debug, Default)]
pub struct SlotLedger {
    owned: u32,
    lent: Vec<SlotLoan>,
    /// Owners of the borrowed slots.
    borrowed: Vec<SocketAddr>,
}

impl SlotLedger {
    /// Sets the number of slots that this process owns.
    pub fn set_owned(&mut self, owned: u32) {
        self.owned = owned;
    }

    /// Slots that this process may use.
    pub fn usable(&self) -> u32 {
        let borrowed = u32::try_from(self.borrowed.len()).unwrap_or(u32::MAX);
        let lent = u32::try_from(self.lent.len()).unwrap_or(u32::MAX);
        self.owned.saturating_sub(lent).saturating_add(borrowed)
    }

    /// Records that a slot is lent to a peer.
    pub fn lend(&mut self, peer: SocketAddr, now: Instant) {
        self.lent.push(SlotLoan { peer, granted: now });
    }

    /// Ends a loan to a peer that has returned the slot. Returns whether there was one.
    pub fn end_loan(&mut self, peer: SocketAddr) -> bool {
        let loan = self.lent.iter().position(|loan| loan.peer == peer);
        loan.map(|position| self.lent.swap_remove(position)).is_some()
    }

    /// Records a slot borrowed from a peer.
    pub fn borrow(&mut self, lender: SocketAddr) {
        self.borrowed.push(lender);
    }

    /// Gives up the slot that was borrowed first, and returns its owner.
    pub fn release_borrowed(&mut self) -> Option<SocketAddr> {
        (!self.borrowed.is_empty()).then(|| self.borrowed.remove(0))
    }

    /// Ends loans whose return was lost: the borrower is silent (`None`), or its last digest, which arrived at the
    /// given time, shows fewer requests at the target than it has borrowed slots. Returns how many have ended.
    pub fn expire_loans<D>(&mut self, digest: D, now: Instant) -> usize
    where
        D: Fn(SocketAddr) -> Option<BorrowerReport>,
    {
        let before = self.lent.len();
        let mut used = IndexMap::<SocketAddr, u32>::new();
        self.lent.retain(|loan| {
            let Some(report) = digest(loan.peer) else { return false };
            if now.saturating_duration_since(loan.granted) > MAX_LOAN {
                return false;
            }
            let Some((heard, in_flight)) = report.in_flight else { return true };
            if heard < loan.granted + LOAN_CONFIRM_TIME {
                return true;
            }
            let used = used.entry(loan.peer).or_default();
            *used += 1;
            *used <= in_flight
        });
        before - self.lent.len()
    }
}

/// What the digests of a present peer show about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BorrowerReport {
    /// When its last digest arrived and how many requests it had at the target; `None` if its digests don't reach
    /// this process or contain no use of targets.
    pub in_flight: Option<(Instant, u32)>,
}

/// Open requests of peers for slots.
#[derive(Debug, Default)]
pub struct AskTable {
    asks: IndexMap<(SocketAddr, NameKey), (SlotAsk, Instant)>,
}

impl AskTable {
    /// Records a request, in place of an earlier one of the same peer for the same service.
    pub fn record(&mut self, peer: SocketAddr, ask: SlotAsk, now: Instant) {
        let key = (peer, ask.service);
        if self.asks.len() >= MAX_ASKS && !self.asks.contains_key(&key) {
            self.expire(now);
            if self.asks.len() >= MAX_ASKS {
                return;
            }
        }
        self.asks.insert(key, (ask, now));
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.asks.is_empty()
    }

    /// Removes the requests of a peer that has returned a slot unused: it has no use for slots now.
    pub fn cancel(&mut self, peer: SocketAddr) {
        self.asks.retain(|(asker, _), _| *asker != peer);
    }

    /// Removes requests that have not been repeated.
    pub fn expire(&mut self, now: Instant) {
        self.asks
            .retain(|_, (_, received)| now.saturating_duration_since(*received) < ASK_LIFETIME);
    }

    /// Takes one slot off the most urgent open request for a service, if it goes before the own waiting request.
    /// Returns the peer that gets the slot.
    pub fn grant(
        &mut self,
        service: NameKey,
        own: Option<WaitUrgency>,
        now: Instant,
    ) -> Option<(SocketAddr, WaitUrgency)> {
        let open = self.asks.iter().enumerate().filter(|(_, ((_, asked), (_, received)))| {
            *asked == service && now.saturating_duration_since(*received) < ASK_LIFETIME
        });
        let aged = open.map(|(position, ((peer, _), (ask, received)))| {
            let elapsed = now.saturating_duration_since(*received).as_millis();
            let elapsed_ms = i32::try_from(elapsed).unwrap_or(i32::MAX);
            let slack_ms = ask.urgency.slack_ms.saturating_sub(elapsed_ms);
            (position, *peer, WaitUrgency { slack_ms, ..ask.urgency })
        });
        let (position, peer, urgency) = aged.min_by_key(|(_, _, urgency)| *urgency)?;
        if own.is_some_and(|own| !urgency.precedes(own)) {
            return None;
        }
        let (_, (ask, _)) = self.asks.get_index_mut(position)?;
        ask.count = ask.count.saturating_sub(1);
        if ask.count == 0 {
            self.asks.swap_remove_index(position);
        }
        Some((peer, urgency))
    }
}
