//! One account of the memory that a process holds for others: bodies, answers and connections. Memory is charged
//! before bytes are read, so that clients together can't take more than the machine has.

use std::{sync::Arc, time::Duration};

use tokio::{sync::Notify, time::timeout};

use crate::guarded::Guarded;

const MEGABYTE: usize = 1 << 20;
/// Memory of the process without load, with the tables of a large fleet. Not more than a quarter of the whole.
const BASE_BYTES: usize = 24 * MEGABYTE;
/// Part of the memory that is left to the allocator, which returns freed blocks late.
const ALLOCATOR_PART: usize = 16;
/// Most bytes of answers that are read whole at once.
const MAX_ANSWER_BYTES: usize = 32 * MEGABYTE;

/// What memory is charged for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MemoryShare {
    /// Bodies of callers.
    CallerBodies,
    /// Bodies of callers that are small, as those of most requests.
    SmallBodies,
    /// Bodies of attempts that are carried for peers.
    PeerBodies,
    /// Answers of targets that are read whole.
    Answers,
    /// Open connections, with the part of their socket buffers that no body covers.
    Connections,
}

impl MemoryShare {
    /// All shares.
    pub const ALL: [MemoryShare; 5] = [
        MemoryShare::CallerBodies,
        MemoryShare::SmallBodies,
        MemoryShare::PeerBodies,
        MemoryShare::Answers,
        MemoryShare::Connections,
    ];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            MemoryShare::CallerBodies => "caller_bodies",
            MemoryShare::SmallBodies => "small_bodies",
            MemoryShare::PeerBodies => "peer_bodies",
            MemoryShare::Answers => "answers",
            MemoryShare::Connections => "connections",
        }
    }
}

/// Bounds of one share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareBounds {
    /// Bytes that no other share can take.
    pub reserved: usize,
    /// Most bytes, `reserved` included.
    pub most: usize,
}

/// Bounds of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountBounds {
    /// Most bytes of all shares together, including what is reserved and not used.
    pub total: usize,
    /// Bounds of the shares, in the order of [`MemoryShare::ALL`].
    pub shares: [ShareBounds; 5],
}

impl AccountBounds {
    /// Bounds for a machine with so much memory.
    pub fn for_memory(bytes: usize) -> AccountBounds {
        let base = BASE_BYTES.min(bytes / 4);
        let total = bytes - base - bytes / ALLOCATOR_PART;
        let shares = MemoryShare::ALL.map(|share| match share {
            MemoryShare::CallerBodies => ShareBounds { reserved: 0, most: total },
            MemoryShare::SmallBodies => ShareBounds { reserved: total / 16, most: total },
            MemoryShare::PeerBodies => ShareBounds { reserved: total / 32, most: total / 4 },
            MemoryShare::Answers => ShareBounds {
                reserved: (total / 16).min(MAX_ANSWER_BYTES),
                most: (total / 2).min(MAX_ANSWER_BYTES),
            },
            MemoryShare::Connections => ShareBounds { reserved: total / 16, most: total / 3 },
        });
        AccountBounds { total, shares }
    }
}

/// The bytes that are charged to each share.
#[derive(Debug, Clone)]
pub struct MemoryLedger {
    bounds: AccountBounds,
    used: [usize; 5],
}

impl MemoryLedger {
    /// A ledger without charges.
    pub fn new(bounds: AccountBounds) -> MemoryLedger {
        MemoryLedger { bounds, used: [0; 5] }
    }

    /// Charges bytes to a share, unless they don't fit.
    pub fn charge(&mut self, share: MemoryShare, bytes: usize) -> bool {
        let mut used = self.used;
        let own = &mut used[share as usize];
        *own = own.saturating_add(bytes);
        let fits = *own <= self.bounds.shares[share as usize].most
            && self.claimed(&used) <= self.bounds.total;
        if fits {
            self.used = used;
        }
        fits
    }

    /// Releases bytes that have been charged.
    pub fn release(&mut self, share: MemoryShare, bytes: usize) {
        let own = &mut self.used[share as usize];
        debug_assert!(bytes <= *own, "released more than was charged");
        *own = own.saturating_sub(bytes);
    }

    /// Bytes that are charged to a share.
    pub fn used(&self, share: MemoryShare) -> usize {
        self.used[share as usize]
    }

    /// What shares use, or have reserved if that is more.
    fn claimed(&self, used: &[usize; 5]) -> usize {
        let shares = used.iter().zip(&self.bounds.shares);
        shares.fold(0, |sum, (used, share)| sum.saturating_add((*used).max(share.reserved)))
    }
}

#[derive(Debug)]
struct AccountState {
    ledger: Guarded<MemoryLedger>,
    released: Notify,
}

/// A ledger that the tasks of a process share.
#[derive(Debug, Clone)]
pub struct MemoryAccount {
    state: Arc<AccountState>,
}

impl MemoryAccount {
    /// An account without charges.
    pub fn new(bounds: AccountBounds) -> MemoryAccount {
        let ledger = Guarded::new(MemoryLedger::new(bounds));
        MemoryAccount { state: Arc::new(AccountState { ledger, released: Notify::new() }) }
    }

    /// Charges bytes if they fit now.
    pub fn try_charge(&self, share: MemoryShare, bytes: usize) -> Option<MemoryCharge> {
        let fits = self.state.ledger.with(|ledger| ledger.charge(share, bytes));
        fits.then(|| MemoryCharge { account: self.clone(), share, bytes })
    }

    /// Charges bytes as soon as they fit.
    pub async fn charge(&self, share: MemoryShare, bytes: usize) -> MemoryCharge {
        loop {
            let released = self.state.released.notified();
            tokio::pin!(released);
            // A release between the attempt and the wait must not be missed.
            released.as_mut().enable();
            if let Some(charge) = self.try_charge(share, bytes) {
                return charge;
            }
            released.await;
        }
    }

    /// Charges bytes if they fit within this time.
    pub async fn charge_within(
        &self,
        share: MemoryShare,
        bytes: usize,
        wait: Duration,
    ) -> Option<MemoryCharge> {
        match self.try_charge(share, bytes) {
            Some(charge) => Some(charge),
            None if wait.is_zero() => None,
            None => timeout(wait, self.charge(share, bytes)).await.ok(),
        }
    }

    /// Bytes that are charged to a share.
    pub fn used(&self, share: MemoryShare) -> usize {
        self.state.ledger.with(|ledger| ledger.used(share))
    }
}

/// Memory that is charged until this is dropped.
#[derive(Debug)]
pub struct MemoryCharge {
    account: MemoryAccount,
    share: MemoryShare,
    bytes: usize,
}

impl MemoryCharge {
    /// Adds another charge to the same share.
    pub fn merge(&mut self, mut other: MemoryCharge) {
        debug_assert_eq!(self.share, other.share, "charges to different shares can't be merged");
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Charges more bytes to the same share if they fit now.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let fits = self.account.state.ledger.with(|ledger| ledger.charge(self.share, bytes));
        if fits {
            self.bytes += bytes;
        }
        fits
    }

    /// Bytes that are charged.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.account.state.ledger.with(|ledger| ledger.release(self.share, self.bytes));
            self.account.state.released.notify_waiters();
        }
    }
}
