//! The account of memory, and bodies that are charged to it: the sum never exceeds the bounds, and nothing stays
//! charged.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use proptest::prelude::*;
use tarragon_server::{
    caller::body::{BodyFault, BodyLimits, BodyRoom, SMALL_BODY_BYTES, read_charged_body},
    memory::{AccountBounds, MemoryAccount, MemoryCharge, MemoryLedger, MemoryShare},
};

use tokio_util::sync::CancellationToken;

const MEGABYTE: usize = 1 << 20;
const MAX_BODY_BYTES: usize = 4 * MEGABYTE;

fn share() -> impl Strategy<Value = MemoryShare> {
    prop::sample::select(MemoryShare::ALL.to_vec())
}

#[derive(Debug, Clone)]
enum AccountStep {
    Charge(MemoryShare, usize),
    /// Adds to the charge at this position.
    Grow(usize, usize),
    /// Drops the charge at this position.
    Drop(usize),
}

fn account_step() -> impl Strategy<Value = AccountStep> {
    let bytes = || prop_oneof![0_usize..70_000, 0_usize..6 * MEGABYTE];
    prop_oneof![
        4 => (share(), bytes()).prop_map(|(share, bytes)| AccountStep::Charge(share, bytes)),
        1 => (any::<usize>(), bytes()).prop_map(|(place, bytes)| AccountStep::Grow(place, bytes)),
        3 => any::<usize>().prop_map(AccountStep::Drop),
    ]
}

fn used_bytes(account: &MemoryAccount) -> usize {
    MemoryShare::ALL.iter().map(|share| account.used(*share)).sum()
}

proptest! {
    /// Guards against charges that go over the bounds, and against memory that is lost to the account.
    #[test]
    fn charges_stay_within_the_bounds_and_are_released(
        memory_mb in 32_usize..512,
        steps in prop::collection::vec(account_step(), 0..200),
    ) {
        let bounds = AccountBounds::for_memory(memory_mb * MEGABYTE);
        let account = MemoryAccount::new(bounds);
        let mut charges: Vec<MemoryCharge> = Vec::new();
        for step in steps {
            match step {
                AccountStep::Charge(share, bytes) => charges.extend(account.try_charge(share, bytes)),
                AccountStep::Grow(place, bytes) if !charges.is_empty() => {
                    let place = place % charges.len();
                    charges[place].try_grow(bytes);
                }
                AccountStep::Drop(place) if !charges.is_empty() => {
                    charges.swap_remove(place % charges.len());
                }
                AccountStep::Grow(..) | AccountStep::Drop(_) => {}
            }
            let claimed: usize = MemoryShare::ALL
                .iter()
                .zip(bounds.shares)
                .map(|(share, bounds)| account.used(*share).max(bounds.reserved))
                .sum();
            prop_assert!(claimed <= bounds.total, "{claimed} of {}", bounds.total);
            prop_assert_eq!(used_bytes(&account), charges.iter().map(MemoryCharge::bytes).sum::<usize>());
        }
        charges.clear();
        prop_assert_eq!(used_bytes(&account), 0);
    }
}

/// Guards against large bodies that take what is reserved for others, on machines of all sizes.
#[test]
fn reserved_parts_are_left_when_large_bodies_take_all_they_can() {
    for memory_mb in [32, 96, 160, 256, 400, 512, 4_096] {
        let bounds = AccountBounds::for_memory(memory_mb * MEGABYTE);
        let mut ledger = MemoryLedger::new(bounds);
        let step = SMALL_BODY_BYTES;
        while ledger.charge(MemoryShare::CallerBodies, step) {}
        assert!(ledger.used(MemoryShare::CallerBodies) > MAX_BODY_BYTES, "{memory_mb} MB");
        for (share, bounds) in MemoryShare::ALL.into_iter().zip(bounds.shares).skip(1) {
            assert!(ledger.charge(share, bounds.reserved), "{memory_mb} MB: {share:?}");
            assert!(bounds.reserved >= step, "{memory_mb} MB: {share:?}");
        }
    }
}

/// A body that brings these parts, and then ends, fails, or stops.
#[derive(Debug)]
struct PartedBody {
    parts: std::vec::IntoIter<usize>,
    announced: Option<u64>,
    end: BodyEnd,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyEnd {
    Whole,
    Disconnected,
    Stopped,
}

impl Body for PartedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match (self.parts.next(), self.end) {
            (Some(bytes), _) => Poll::Ready(Some(Ok(Frame::data(vec![b'x'; bytes].into())))),
            (None, BodyEnd::Whole) => Poll::Ready(None),
            (None, BodyEnd::Disconnected) => {
                Poll::Ready(Some(Err(std::io::ErrorKind::ConnectionReset.into())))
            }
            (None, BodyEnd::Stopped) => Poll::Pending,
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.announced.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

#[derive(Debug, Clone)]
struct BodyCase {
    parts: Vec<usize>,
    is_announced: bool,
    end: BodyEnd,
}

fn body_case() -> impl Strategy<Value = BodyCase> {
    let part = prop_oneof![Just(1_usize), 1_usize..5_000, 1_usize..MEGABYTE];
    let end = prop::sample::select(vec![BodyEnd::Whole, BodyEnd::Disconnected, BodyEnd::Stopped]);
    (prop::collection::vec(part, 0..12), any::<bool>(), end)
        .prop_map(|(parts, is_announced, end)| BodyCase { parts, is_announced, end })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against bodies that are read without a charge for all their bytes, and against charges that outlive
    /// bodies which are given up.
    #[test]
    fn bodies_are_charged_while_they_are_held(
        cases in prop::collection::vec(body_case(), 1..24),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(async {
            let bounds = AccountBounds::for_memory(48 * MEGABYTE);
            let account = MemoryAccount::new(bounds);
            let room = BodyRoom {
                account: &account,
                share: MemoryShare::CallerBodies,
                small_share: MemoryShare::SmallBodies,
                wait: Duration::from_millis(20),
            };
            let limits = BodyLimits {
                bytes: MAX_BODY_BYTES,
                part: Duration::from_millis(100),
                whole: Duration::from_secs(2),
            };
            let mut reads = Vec::new();
            for case in &cases {
                let sum: usize = case.parts.iter().sum();
                let mut body = PartedBody {
                    parts: case.parts.clone().into_iter(),
                    announced: case.is_announced.then_some(sum as u64),
                    end: case.end,
                };
                reads.push(async move { (read_charged_body(&mut body, limits, room).await, sum) });
            }
            let results = futures::future::join_all(reads).await;
            let mut charged = 0;
            for ((result, sum), case) in results.iter().zip(&cases) {
                match result {
                    Ok(body) => {
                        assert_eq!((case.end, body.bytes.len()), (BodyEnd::Whole, *sum));
                        assert!(body.charge.bytes() >= *sum, "{} of {sum}", body.charge.bytes());
                        charged += body.charge.bytes();
                    }
                    Err(BodyFault::TooLarge) => assert!(*sum > MAX_BODY_BYTES),
                    Err(BodyFault::NoRoom) => assert!(used_bytes(&account) > 0 || charged == 0),
                    Err(_) => assert_ne!(case.end, BodyEnd::Whole),
                }
            }
            assert_eq!(used_bytes(&account), charged);
            assert!(charged <= bounds.total);
            drop(results);
            assert_eq!(used_bytes(&account), 0);
        });
    }
}

/// Guards against a wait for memory that misses its release, and against one without an end.
#[tokio::test(start_paused = true)]
async fn a_charge_waits_for_memory_for_a_bounded_time() {
    let bounds = AccountBounds::for_memory(64 * MEGABYTE);
    let account = MemoryAccount::new(bounds);
    let share = MemoryShare::PeerBodies;
    let most = bounds.shares[share as usize].most;
    let held = account.try_charge(share, most).unwrap();
    let wait = Duration::from_millis(500);
    assert!(account.charge_within(share, 1, wait).await.is_none());
    let release = async {
        tokio::time::sleep(wait / 2).await;
        drop(held);
    };
    let (charge, ()) = tokio::join!(account.charge_within(share, most, wait), release);
    assert_eq!(charge.unwrap().bytes(), most);
    assert_eq!(used_bytes(&account), 0);
}

/// Who is given up when memory of a share is wanted.
struct GiveUpCase {
    name: &'static str,
    wanted: MemoryShare,
    /// Bytes that move in two seconds.
    moved: usize,
    is_given_up: bool,
}

const TRANSFER_BYTES: usize = 2 * MEGABYTE;

const GIVE_UP_CASES: &[GiveUpCase] = &[
    GiveUpCase {
        name: "a slow body, for a small body",
        wanted: MemoryShare::SmallBodies,
        moved: 1,
        is_given_up: true,
    },
    GiveUpCase {
        name: "a body that comes within the time, for a small body",
        wanted: MemoryShare::SmallBodies,
        moved: TRANSFER_BYTES / 4,
        is_given_up: false,
    },
    GiveUpCase {
        name: "a slow body, for an answer whose own share is full",
        wanted: MemoryShare::Answers,
        moved: 1,
        is_given_up: false,
    },
];

/// Guards against transfers that are given up although they are fast enough, or although that frees nothing for those
/// who wait, and against slow ones that keep memory from others.
#[tokio::test(start_paused = true)]
async fn slow_transfers_are_given_up_for_those_whom_it_helps() {
    for GiveUpCase { name, wanted, moved, is_given_up } in GIVE_UP_CASES {
        let account = MemoryAccount::new(AccountBounds::for_memory(512 * MEGABYTE));
        let share = MemoryShare::CallerBodies;
        let give_up = CancellationToken::new();
        let body = account.try_charge(share, TRANSFER_BYTES);
        assert!(body.is_some(), "{name}");
        let transfer = account.open_transfer(share, TRANSFER_BYTES, give_up.clone());
        let fill =
            |share| Vec::from_iter(std::iter::from_fn(|| account.try_charge(share, 4 << 10)));
        let filled = fill(*wanted);
        tokio::time::advance(Duration::from_secs(2)).await;
        transfer.add(*moved);
        assert!(account.charge_now(*wanted, 4 << 10).is_none(), "{name}");
        assert_eq!(give_up.is_cancelled(), *is_given_up, "{name}");
        assert_eq!(account.given_up_transfers(), u64::from(*is_given_up), "{name}");
        drop(filled);
    }
}
