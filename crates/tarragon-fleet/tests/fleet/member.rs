//! Peers: found by seeds and rumours, counted while silent.

use std::time::{Duration, Instant};

use tarragon_fleet::member::{MemberTable, SILENT};

use crate::support::*;

fn digest(index: u8, sequence: u64, members: &[u8]) -> PeerDigest {
    PeerDigest {
        vm: format!("vm-{index}").into(),
        data_centre: tarragon_fleet::digest::name_key("north"),
        incarnation: 1,
        sequence,
        operator_revision: 0,
        operator_age_ms: None,
        listing_age_ms: None,
        listing_hash: 0,
        uses: Vec::new(),
        usage: Vec::new(),
        centre: None,
        unknown_ms: 0,
        suspects: Vec::new(),
        leaving: Vec::new(),
        former: Vec::new(),
        answers: false,
        wants_sums: false,
        met: 1,
        members: members.iter().map(|index| address(*index)).collect(),
    }
}

/// Guards against processes that never meet because the seeds that they know are down.
#[test]
fn peers_are_found_by_rumour() {
    let now = Instant::now();
    let mut members = MemberTable::new(address(1), "north", &[address(2)]);
    assert_eq!(members.recipients(false, now).full, [address(2)]);
    members.take(address(3), digest(3, 1, &[1, 4, 5]), now);
    let mut recipients = members.recipients(false, now).full;
    recipients.sort();
    assert_eq!(recipients, [2, 3, 4, 5].map(address));
}

/// Guards against an old digest that overtakes a new one, and against a restarted peer that is not believed.
#[test]
fn older_digests_are_dropped() {
    let now = Instant::now();
    let mut members = MemberTable::new(address(1), "north", &[]);
    assert!(members.take(address(2), digest(2, 5, &[]), now));
    assert!(!members.take(address(2), digest(2, 4, &[]), now));
    let restarted = PeerDigest { incarnation: 2, ..digest(2, 1, &[]) };
    assert!(members.take(address(2), restarted, now));
}

/// Guards against limits that grow on each side of a partition.
#[test]
fn silent_peers_still_share_limits() {
    let now = Instant::now();
    let mut members = MemberTable::new(address(1), "north", &[]);
    members.take(address(2), digest(2, 1, &[]), now);
    let later = now + SILENT;
    members.expire(later);
    assert_eq!(members.present().count(), 0);
    assert_eq!(members.sharing(), 2);
    let long = now + Duration::from_secs(31);
    members.expire(long);
    assert_eq!(members.sharing(), 1);
}

/// Guards against a process that has just started, knows one of many peers, and takes half of each limit.
#[test]
fn peers_that_others_have_met_share_limits() {
    let now = Instant::now();
    let mut members = MemberTable::new(address(1), "north", &[address(2)]);
    assert!(members.is_alone());
    let teller = PeerDigest { met: 40, ..digest(2, 1, &[]) };
    members.take(address(2), teller, now);
    assert!(!members.is_alone());
    assert_eq!((members.met(), members.sharing()), (2, 40));
    let silent = now + SILENT;
    members.expire(silent);
    assert_eq!(members.sharing(), 40, "the others are still there when the peer is silent");
    members.expire(now + Duration::from_secs(31));
    assert_eq!(members.sharing(), 1);
}

/// Guards against processes of a large fleet that know few peers for seconds after they have started together
/// (trouble-1 of oswa-drainline-grown: all 72 met after 5 s).
#[test]
fn processes_that_start_together_meet_within_a_second() {
    let mut fleet = Fleet::start(0, 0);
    fleet.nodes = (1..=73).map(|index| node(index, false, fleet.now)).collect();
    for _ in 0..5 {
        fleet.gossip_in_turns();
        fleet.now += tarragon_fleet::member::DIGEST_INTERVAL;
    }
    let met: Vec<usize> = fleet.nodes.iter().map(|node| node.members().met()).collect();
    assert_eq!(met, vec![73; 73]);
}

/// Guards against a divided limit of which two processes take the same part.
#[test]
fn ranks_differ_between_processes() {
    let now = Instant::now();
    let mut ranks: Vec<usize> = (1..=8)
        .map(|own| {
            let mut members = MemberTable::new(address(own), "north", &[]);
            for peer in (1..=8).filter(|peer| *peer != own) {
                members.take(address(peer), digest(peer, 1, &[]), now);
            }
            members.rank(42)
        })
        .collect();
    ranks.sort_unstable();
    assert_eq!(ranks, Vec::from_iter(0..8));
}
