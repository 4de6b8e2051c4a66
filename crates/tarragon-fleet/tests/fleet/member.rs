//! Peers: found by seeds and rumours, counted while silent.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexSet;
use tarragon_fleet::member::{MemberTable, SILENCE_LIMIT};

use crate::support::*;

/// Largest datagram that a process reads.
const DATAGRAM_BYTES: usize = 16 << 10;

fn digest(index: u16, sequence: u64, members: &[u16]) -> PeerDigest {
    PeerDigest {
        vm: format!("vm-{index}").into(),
        data_centre: tarragon_fleet::digest::name_key("north"),
        incarnation: 1,
        sequence,
        operator_position: tarragon_fleet::published::StorePosition::default(),
        operator_version: 0,
        operator_age_ms: None,
        listing_age_ms: None,
        listing_hash: 0,
        target_uses: Vec::new(),
        quota_usage: Vec::new(),
        centre_sum: None,
        unknown_usage_ms: 0,
        suspects: Vec::new(),
        leaving_restart_ids: Vec::new(),
        fleet_time_ms: 0,
        rates: Vec::new(),
        rejection_limits: Vec::new(),
        former_usage: Vec::new(),
        is_answer: false,
        requests_sums: false,
        met: 1,
        members: members.iter().map(|index| address(*index)).collect(),
        relay: tarragon_fleet::node::RelayOffer::default(),
    }
}

/// Guards against processes that never meet because the seeds that they know are down.
#[test]
fn peers_are_found_by_rumour() {
    let now = Instant::now();
    let mut members = MemberTable::new(address(1), "north", &[address(2)]);
    assert_eq!(members.recipients(false, now).full, [address(2)]);
    members.apply_digest(address(3), digest(3, 1, &[1, 4, 5]), now);
    let mut recipients = members.recipients(false, now).full;
    recipients.sort();
    assert_eq!(recipients, [2, 3, 4, 5].map(address));
}

/// Guards against an old digest that overtakes a new one, and against a restarted peer that is not believed.
#[test]
fn older_digests_are_dropped() {
    let now = Instant::now();
    let mut members = MemberTable::new(address(1), "north", &[]);
    assert!(members.apply_digest(address(2), digest(2, 5, &[]), now));
    assert!(!members.apply_digest(address(2), digest(2, 4, &[]), now));
    let restarted = PeerDigest { incarnation: 2, ..digest(2, 1, &[]) };
    assert!(members.apply_digest(address(2), restarted, now));
}

/// Guards against limits that grow on each side of a partition.
#[test]
fn silent_peers_still_share_limits() {
    let now = Instant::now();
    let mut members = MemberTable::new(address(1), "north", &[]);
    members.apply_digest(address(2), digest(2, 1, &[]), now);
    let later = now + SILENCE_LIMIT;
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
    members.apply_digest(address(2), teller, now);
    assert!(!members.is_alone());
    assert_eq!((members.met(), members.sharing()), (2, 40));
    let silent = now + SILENCE_LIMIT;
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
                members.apply_digest(address(peer), digest(peer, 1, &[]), now);
            }
            members.rank(42)
        })
        .collect();
    ranks.sort_unstable();
    assert_eq!(ranks, Vec::from_iter(0..8));
}

/// Guards against digests that nobody can read after many processes of a data centre have been restarted at
/// once.
#[test]
fn a_digest_fits_into_a_datagram_after_many_restarts() {
    let now = Instant::now() + Duration::from_secs(100);
    let mut survivor = node(1, true, now);
    for incarnation in [1, 2] {
        for index in 2..=36 {
            let used = |key| UsageSum {
                units: 100_000,
                recent: [30_000; 3],
                latest: 5_000,
                ..UsageSum::none(u32::MAX - key)
            };
            let quota_usage = (0..40).map(used).collect();
            let digest = PeerDigest { incarnation, quota_usage, ..digest(index, 1, &[]) };
            survivor.receive_digest(now, address(index), digest, &mut Vec::new());
        }
    }
    let answer = survivor.answer_digest(address(36), now);
    let told: Vec<SocketAddr> = answer.former_usage.iter().map(|(address, _)| *address).collect();
    assert_eq!(told, [address(36)], "the answer to a first digest tells the receiver's own use");
    let mut told = IndexSet::new();
    for digest in std::iter::once(answer).chain((0..9).map(|_| survivor.next_digest(now))) {
        let bytes = digest.to_bytes().unwrap().len();
        assert!(bytes <= DATAGRAM_BYTES, "{bytes} bytes");
        told.extend(digest.former_usage.iter().map(|(address, _)| *address));
    }
    assert_eq!(told.len(), 35, "all are told in turns");
}

/// Guards against targets that no digest ever names as leaving, since others that leave at once fill it.
#[test]
fn all_leaving_targets_are_told_in_turns() {
    let mut fleet = Fleet::start(2, 100);
    let now = fleet.now;
    for index in 1..=100 {
        let target = listed(index);
        let node = &mut fleet.nodes[0];
        node.mark_target_leaving(now, &target.address, &target.instance, &mut Vec::new());
    }
    for _ in 0..4 {
        fleet.gossip();
    }
    let leaving = fleet.nodes[1].directory().iter().filter(|(_, entry)| entry.is_leaving());
    assert_eq!(leaving.count(), 100);
}

/// Guards against sums of a data centre that still count a process whose address has passed to a process of
/// another one.
#[test]
fn an_address_that_passes_to_another_data_centre_counts_there_alone() {
    let now = Instant::now() + Duration::from_secs(100);
    let mut node = node_in("north", 1, true, now);
    for (incarnation, centre) in [(1, "north"), (2, "south"), (3, "north"), (4, "south")] {
        let mut sender = node_in(centre, 2, true, now);
        let digest = PeerDigest { incarnation, ..sender.next_digest(now) };
        node.receive_digest(now, address(2), digest, &mut Vec::new());
        let counts: Vec<(usize, usize)> =
            node.members().centres().map(|one| (one.known, one.present)).collect();
        let sums = counts.iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        assert_eq!((sums, node.members().met()), ((1, 1), 2), "{centre}: {counts:?}");
    }
    node.tick(now + Duration::from_secs(40), &mut Vec::new());
    node.tick(now + Duration::from_secs(80), &mut Vec::new());
    assert!(node.members().centres().all(|one| (one.known, one.present) == (0, 0)));
}
