//! One account of the memory that a process holds for others: bodies, answers and connections. Memory is charged
//! before bytes are read, so that clients together can't take more than the machine has. Slow transfers are given up
//! when others wait for their memory.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use bytes::Bytes;
use indexmap::IndexMap;
use tokio::{
    sync::Notify,
    time::{Instant, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::guarded::Guarded;

const MEGABYTE: usize = 1 << 20;
/// Memory of the process without load, with the tables of a large fleet. Not more than a quarter of the whole.
const BASE_BYTES: usize = 24 * MEGABYTE;
/// Part of the memory that is left to the allocator, which returns freed blocks late.
const ALLOCATOR_PART: usize = 16;
/// Most bytes of answers that are read whole at once.
const MAX_ANSWER_BYTES: usize = 32 * MEGABYTE;

/// Time in which a body or an answer has to be transferred when others wait for the memory that it holds.
const TRANSFER_TIME: Duration = Duration::from_secs(10);
/// Shortest time over which the rate of a transfer is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Interval at which those who wait for memory look for slow transfers.
const GIVE_UP_INTERVAL: Duration = Duration::from_millis(100);

/// What memory is charged for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MemoryShare {
    /// Bodies of callers.
    CallerBodies,
    /// Bodies of callers that are small, as those of most requests.
    SmallBodies,
    /// Bytes in receive buffers that are read later: those of a body of unknown length, or behind a request.
    Unread,
    /// Attempts that are carried for peers, with their bodies.
    PeerBodies,
    /// Answers of targets that are read whole, until their callers have taken them.
    Answers,
    /// Such answers that are small, as most are.
    SmallAnswers,
    /// Events of streams that wait for their callers.
    Streams,
    /// Requests that have not ended, beside their bodies: heads, tasks and channels.
    Requests,
    /// Open connections.
    Connections,
}

/// Number of shares.
const SHARES: usize = MemoryShare::ALL.len();

impl MemoryShare {
    /// All shares.
    pub const ALL: [MemoryShare; 9] = [
        MemoryShare::CallerBodies,
        MemoryShare::SmallBodies,
        MemoryShare::Unread,
        MemoryShare::PeerBodies,
        MemoryShare::Answers,
        MemoryShare::SmallAnswers,
        MemoryShare::Streams,
        MemoryShare::Requests,
        MemoryShare::Connections,
    ];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            MemoryShare::CallerBodies => "caller_bodies",
            MemoryShare::SmallBodies => "small_bodies",
            MemoryShare::Unread => "unread",
            MemoryShare::PeerBodies => "peer_bodies",
            MemoryShare::Answers => "answers",
            MemoryShare::SmallAnswers => "small_answers",
            MemoryShare::Streams => "streams",
            MemoryShare::Requests => "requests",
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
    pub shares: [ShareBounds; SHARES],
}

impl AccountBounds {
    /// Bounds for a machine with so much memory.
    pub fn for_memory(bytes: usize) -> AccountBounds {
        let base = BASE_BYTES.min(bytes / 4);
        let total = bytes - base - bytes / ALLOCATOR_PART;
        let part = |reserved: usize, most: usize| ShareBounds {
            reserved: total / reserved,
            most: total / most,
        };
        let shares = MemoryShare::ALL.map(|share| match share {
            MemoryShare::CallerBodies => ShareBounds { reserved: 0, most: total },
            MemoryShare::SmallBodies => part(16, 1),
            MemoryShare::Unread => part(32, 2),
            MemoryShare::PeerBodies => part(32, 4),
            MemoryShare::Answers => ShareBounds {
                reserved: (total / 16).min(MAX_ANSWER_BYTES),
                most: (total / 2).min(MAX_ANSWER_BYTES),
            },
            MemoryShare::SmallAnswers => part(32, 2),
            MemoryShare::Streams => part(32, 4),
            MemoryShare::Requests => part(8, 2),
            // Whole: a connection that can't be accepted could not be refused either.
            MemoryShare::Connections => part(4, 4),
        });
        AccountBounds { total, shares }
    }

    /// The bounds with room for an answer of this size, if half of the account bears it.
    pub fn with_answer(mut self, bytes: usize) -> AccountBounds {
        let answers = &mut self.shares[MemoryShare::Answers as usize];
        answers.most = answers.most.max(bytes.min(self.total / 2));
        self
    }
}

/// The bytes that are charged to each share.
#[derive(Debug, Clone)]
pub struct MemoryLedger {
    bounds: AccountBounds,
    used: [usize; SHARES],
}

impl MemoryLedger {
    /// A ledger without charges.
    pub fn new(bounds: AccountBounds) -> MemoryLedger {
        MemoryLedger { bounds, used: [0; SHARES] }
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

    /// Whether bytes don't fit into a share, whatever the others use.
    fn is_full_for(&self, share: MemoryShare, bytes: usize) -> bool {
        let bounds = self.bounds.shares[share as usize];
        self.used[share as usize].saturating_add(bytes) > bounds.most
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
    fn claimed(&self, used: &[usize; SHARES]) -> usize {
        let shares = used.iter().zip(&self.bounds.shares);
        shares.fold(0, |sum, (used, share)| sum.saturating_add((*used).max(share.reserved)))
    }
}

/// A body or an answer that is on its way and holds memory.
#[derive(Debug)]
struct OpenTransfer {
    share: MemoryShare,
    /// Bytes that are charged for it.
    charged: usize,
    /// Bytes that moved since the window began.
    moved: usize,
    window: Instant,
    /// Whether it was slow in the window before.
    was_slow: bool,
    give_up: CancellationToken,
}

impl OpenTransfer {
    /// Whether so many bytes in this time are too few.
    fn is_slow(&self, elapsed: Duration) -> bool {
        let least = self.charged as f64 * elapsed.as_secs_f64() / TRANSFER_TIME.as_secs_f64();
        (self.moved as f64) < least
    }

    fn add(&mut self, bytes: usize, now: Instant) {
        self.moved = self.moved.saturating_add(bytes);
        let elapsed = now.saturating_duration_since(self.window);
        if elapsed >= RATE_WINDOW {
            self.was_slow = self.is_slow(elapsed);
            (self.moved, self.window) = (0, now);
        }
    }

    fn may_be_given_up(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.window);
        !self.give_up.is_cancelled()
            && (self.was_slow || (elapsed >= RATE_WINDOW && self.is_slow(elapsed)))
    }
}

/// The open transfers of an account.
#[derive(Debug, Default)]
struct TransferTable {
    next: u64,
    open: IndexMap<u64, OpenTransfer>,
    /// Transfers that were given up.
    given_up: u64,
}

impl TransferTable {
    /// Gives up slow transfers that hold so many bytes together, largest first. With `only`, those of one share.
    fn give_up_slow(&mut self, bytes: usize, only: Option<MemoryShare>, now: Instant) {
        let fits = |transfer: &&mut OpenTransfer| {
            only.is_none_or(|share| share == transfer.share) && transfer.may_be_given_up(now)
        };
        let mut slow = Vec::from_iter(self.open.values_mut().filter(fits));
        slow.sort_by_key(|transfer| Reverse(transfer.charged));
        let mut freed = 0;
        for transfer in slow {
            if freed >= bytes {
                return;
            }
            freed += transfer.charged;
            self.given_up += 1;
            transfer.give_up.cancel();
        }
    }
}

/// A transfer that is listed until this is dropped.
#[derive(Debug)]
pub struct MemoryTransfer {
    account: MemoryAccount,
    id: u64,
}

impl MemoryTransfer {
    /// Bytes were received from, or taken by, the other side.
    pub fn add(&self, bytes: usize) {
        self.update(|transfer| transfer.add(bytes, Instant::now()));
    }

    /// Bytes have moved, and the transfer holds so much memory now.
    pub fn record(&self, bytes: usize, charged: usize) {
        self.update(|transfer| {
            transfer.charged = charged;
            transfer.add(bytes, Instant::now());
        });
    }

    fn update<W>(&self, work: W)
    where
        W: FnOnce(&mut OpenTransfer),
    {
        self.account.state.transfers.with(|table| table.open.get_mut(&self.id).map(work));
    }
}

impl Drop for MemoryTransfer {
    fn drop(&mut self) {
        self.account.state.transfers.with(|table| table.open.swap_remove(&self.id));
    }
}

#[derive(Debug)]
struct AccountState {
    ledger: Guarded<MemoryLedger>,
    transfers: Guarded<TransferTable>,
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
        let (transfers, released) = (Guarded::default(), Notify::new());
        MemoryAccount { state: Arc::new(AccountState { ledger, transfers, released }) }
    }

    /// Lists a transfer that holds so much memory. If it is slow and others wait for memory, `give_up` is cancelled.
    pub fn open_transfer(
        &self,
        share: MemoryShare,
        charged: usize,
        give_up: CancellationToken,
    ) -> MemoryTransfer {
        let window = Instant::now();
        let transfer = OpenTransfer { share, charged, moved: 0, window, was_slow: false, give_up };
        let id = self.state.transfers.with(|table| {
            let id = table.next;
            table.next += 1;
            table.open.insert(id, transfer);
            id
        });
        MemoryTransfer { account: self.clone(), id }
    }

    /// Slow transfers that were given up for others.
    pub fn given_up_transfers(&self) -> u64 {
        self.state.transfers.with(|table| table.given_up)
    }

    /// Charges bytes if they fit now.
    pub fn try_charge(&self, share: MemoryShare, bytes: usize) -> Option<MemoryCharge> {
        let fits = self.state.ledger.with(|ledger| ledger.charge(share, bytes));
        fits.then(|| MemoryCharge { account: self.clone(), share, bytes })
    }

    /// Charges bytes if they fit now. If they don't, slow transfers are given up, so that a later try may succeed: what
    /// waits here would itself hold memory.
    pub fn charge_now(&self, share: MemoryShare, bytes: usize) -> Option<MemoryCharge> {
        let charge = self.try_charge(share, bytes);
        if charge.is_none() {
            self.give_up_slow(share, bytes);
        }
        charge
    }

    /// Gives up slow transfers for a charge. If its share is full, the memory of other shares is of no use to it.
    fn give_up_slow(&self, share: MemoryShare, bytes: usize) {
        let is_full = self.state.ledger.with(|ledger| ledger.is_full_for(share, bytes));
        let (only, now) = (is_full.then_some(share), Instant::now());
        self.state.transfers.with(|table| table.give_up_slow(bytes, only, now));
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
            None => timeout(wait, self.charge_after_slow(share, bytes)).await.ok(),
        }
    }

    /// Charges bytes as soon as they fit, and gives up slow transfers meanwhile.
    async fn charge_after_slow(&self, share: MemoryShare, bytes: usize) -> MemoryCharge {
        loop {
            self.give_up_slow(share, bytes);
            if let Ok(charge) = timeout(GIVE_UP_INTERVAL, self.charge(share, bytes)).await {
                return charge;
            }
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

    /// Ties the charge to bytes: it is released when the last copy of them is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(AttachedBytes { bytes, _charge: self })
    }
}

struct AttachedBytes {
    bytes: Bytes,
    _charge: MemoryCharge,
}

impl AsRef<[u8]> for AttachedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
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
