//! Sums of data centres: whole, kept up to date, and not believed when they are old or partial.

use std::time::{Duration, Instant};

use tarragon_fleet::{
    digest::{NameKey, name_key},
    member::MemberTable,
    sums::CentreSum,
};

use crate::support::*;

const TARGET: NameKey = 7;
const OWN: u8 = 1;

fn digest(index: u8, sequence: u64, data_centre: &str, in_flight: u16) -> PeerDigest {
    let mut node = node_in(data_centre, index, true, Instant::now());
    let uses = vec![TargetUse { target: TARGET, in_flight, told: None }];
    PeerDigest { sequence, uses, ..node.digest(Instant::now()) }
}

fn sum_digest(index: u8, sequence: u64, processes: u32, in_flight: u32) -> PeerDigest {
    let centre = CentreSum { processes, uses: vec![(TARGET, in_flight)], ..CentreSum::default() };
    PeerDigest { uses: Vec::new(), centre: Some(centre), ..digest(index, sequence, "south", 0) }
}

/// Guards against sums that grow with each digest of a peer, or keep what a silent one had told.
#[test]
fn sums_follow_the_last_digest_of_each_peer() {
    let now = Instant::now();
    let mut members = MemberTable::new(address(OWN), "north", &[]);
    for (sequence, in_flight) in [(1, 3), (2, 5), (3, 2)] {
        members.take(address(2), digest(2, sequence, "north", in_flight), now);
        members.take(address(3), digest(3, sequence, "south", 1), now);
        assert_eq!(members.in_flight(TARGET, now), u32::from(in_flight) + 1);
    }
    let later = now + Duration::from_secs(2);
    members.take(address(3), digest(3, 4, "south", 4), later);
    members.expire(later);
    assert_eq!(members.in_flight(TARGET, later), 4);
    members.take(address(2), digest(2, 4, "north", 6), later);
    assert_eq!(members.in_flight(TARGET, later), 10);
}

struct SumCase {
    name: &'static str,
    /// Age of the last whole sum, of 10 processes with 9 requests, when the next one comes.
    age: Duration,
    /// Processes that the next sum includes; each has one request.
    processes: u32,
    in_flight: u32,
}

const CASES: &[SumCase] = &[
    SumCase { name: "a whole one", age: Duration::from_millis(200), processes: 10, in_flight: 10 },
    SumCase {
        name: "one of a process that knows few peers",
        age: Duration::from_millis(200),
        processes: 2,
        in_flight: 9,
    },
    SumCase {
        name: "one of a data centre that has lost most processes",
        age: Duration::from_millis(900),
        processes: 2,
        in_flight: 2,
    },
];

/// Guards against targets that look free, and quotas that look unused, because a process that has just started
/// tells the sum of the few peers that it knows.
#[test]
fn a_partial_sum_does_not_replace_a_whole_one_at_once() {
    for case in CASES {
        let now = Instant::now();
        let mut members = MemberTable::new(address(OWN), "north", &[]);
        members.take(address(2), sum_digest(2, 1, 10, 9), now);
        let later = now + case.age;
        let next = sum_digest(3, 1, case.processes, case.processes);
        members.take(address(3), next, later);
        assert_eq!(members.in_flight(TARGET, later), case.in_flight, "{}", case.name);
    }
}

/// Guards against a data centre that is cut off and still counts with what it told before.
#[test]
fn an_old_sum_counts_no_more() {
    let now = Instant::now();
    let mut members = MemberTable::new(address(OWN), "north", &[]);
    members.take(address(2), sum_digest(2, 1, 10, 9), now);
    let counted = |members: &MemberTable, now| -> usize {
        members.centres().map(|centre| centre.counted(now)).sum()
    };
    assert_eq!(counted(&members, now), 10);
    let later = now + Duration::from_millis(2_100);
    assert_eq!(members.in_flight(TARGET, later), 0);
    members.expire(later);
    assert_eq!(counted(&members, later), 0);
    assert_eq!(members.sharing(), 2, "its process still shares limits");
}

/// Guards against the sum of a data centre without the process that tells it.
#[test]
fn a_process_adds_its_own_use_to_the_sum_that_it_tells() {
    let mut fleet = Fleet::start_in(&["north", "south"], 24, 3);
    let sent = dispatched(&fleet.ask(0, 100));
    assert_eq!(sent.len(), 1);
    let now = fleet.now;
    let full = fleet.nodes[0].digest(now);
    let sum = fleet.nodes[0].sum_digest(&full).centre.unwrap();
    assert_eq!(sum.processes, 12);
    assert!(sum.uses.contains(&(name_key(&sent[0]), 1)), "{:?}", sum.uses);
    assert_eq!(sum.usage.len(), 1);
}
