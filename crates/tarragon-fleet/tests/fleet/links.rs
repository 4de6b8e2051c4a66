//! Lost links: a process that has none to a target knows nothing of the target.

use std::time::{Duration, Instant};

use tarragon_fleet::{
    health::TargetHealth,
    link::{ConnectFault, LinkTable, LossCause, MAX_PROBES, PeerFinding},
    node::RelayOffer,
};

use crate::support::*;

/// Guards against a target that is backed off from for longer and longer because this process has no link to it.
#[test]
fn a_lost_link_is_no_failure_of_its_target() {
    let mut now = Instant::now();
    let mut health = TargetHealth::default();
    for _ in 0..20 {
        assert!(!health.record(AttemptEnd::Severed, 0.0, now));
        health.record(AttemptEnd::Unreached, 0.0, now);
        now += Duration::from_millis(500);
        assert!(health.end_backoff(now), "it is avoided for a short time only");
    }
    assert_eq!(health.failure_rate, 0.0);
    assert!(!health.record(AttemptEnd::Failed, 0.0, now), "one failure is not the last of several");
}

fn targets(count: usize) -> Vec<TargetName> {
    (0..count).map(|index| format!("10.0.0.{index}:80").into()).collect()
}

/// Guards against connections that hang at each target in turn after several links were lost at once, and against
/// targets that are avoided although they answer.
#[test]
fn links_that_bring_nothing_after_several_were_lost_count_as_doubtful() {
    let (mut now, mut links) = (Instant::now(), LinkTable::default());
    let targets = targets(6);
    targets.iter().for_each(|target| links.record_contact(target, now));
    for target in &targets[..3] {
        now += Duration::from_millis(100);
        assert!(!links.is_doubtful(&targets[4]));
        assert!(links.record_loss(target, now));
        assert!(!links.record_loss(target, now), "it is known");
    }
    assert!(links.is_lost(&targets[0]) && links.is_doubtful(&targets[4]));
    links.record_contact(&targets[4], now);
    assert!(!links.is_doubtful(&targets[4]), "it has answered since");
    for target in &targets[..3] {
        now += Duration::from_secs(1);
        assert!(links.record_connection(target, now).is_some());
    }
    assert!(!links.is_doubtful(&targets[5]), "all links are back");
    assert_eq!(links.lost_count(), 0);
}

/// Guards against a rush of connections when links are back, and against links that are never probed again.
#[test]
fn lost_links_are_probed_a_few_at_a_time() {
    let (mut now, mut links) = (Instant::now(), LinkTable::default());
    let targets = targets(10);
    assert!(targets.iter().all(|target| links.record_loss(target, now)));
    let mut probed = indexmap::IndexMap::<TargetName, u32>::new();
    for _ in 0..100 {
        now += Duration::from_millis(100);
        let due = links.take_due_probes(now);
        assert!(due.len() <= MAX_PROBES);
        due.into_iter().for_each(|target| *probed.entry(target).or_default() += 1);
    }
    assert_eq!(probed.len(), targets.len());
    assert!(probed.values().all(|count| (4..=12).contains(count)), "{probed:?}");
    links.record_connection(&targets[0], now);
    assert_eq!(links.take_due_probes(now).len(), MAX_PROBES, "the others may be back, too");
}

/// Guards against a process that is cut off and tells its peers that targets are out of reach.
#[test]
fn a_process_that_reaches_no_target_may_be_cut_off() {
    let (now, mut links) = (Instant::now(), LinkTable::default());
    let targets = targets(4);
    for target in &targets[..3] {
        assert!(!links.may_be_cut(now));
        links.record_failure(target, now);
    }
    assert!(links.may_be_cut(now));
    assert!(!links.may_be_cut(now + Duration::from_secs(3)), "the failures are old");
    links.record_contact(&targets[3], now + Duration::from_millis(1));
    assert!(!links.may_be_cut(now + Duration::from_millis(2)), "another target answers");
    links.record_loss(&targets[0], now);
    assert!(links.may_be_cut(now), "a peer reaches what this process doesn't");
}

struct PeerCase {
    name: &'static str,
    /// Data centre and offer of each peer.
    peers: &'static [(&'static str, RelayOffer)],
    /// The peers that fit best.
    chosen: &'static [u16],
}

const fn offer(is_open: bool, lost_links: u16) -> RelayOffer {
    RelayOffer { is_open, carried: 0, lost_links }
}

/// Guards against attempts that go to peers which can't carry them, or to other data centres without need.
#[test]
fn attempts_go_over_near_peers_with_all_links() {
    const CASES: &[PeerCase] = &[
        PeerCase { name: "no peer", peers: &[], chosen: &[] },
        PeerCase {
            name: "near before far",
            peers: &[("north", offer(true, 0)), ("south", offer(true, 0))],
            chosen: &[2],
        },
        PeerCase {
            name: "all links before near",
            peers: &[("north", offer(true, 2)), ("south", offer(true, 0))],
            chosen: &[3],
        },
        PeerCase {
            name: "closed",
            peers: &[("north", offer(false, 0)), ("north", offer(true, 0))],
            chosen: &[3],
        },
        PeerCase {
            name: "all have lost links",
            peers: &[("north", offer(true, 1)), ("south", offer(true, 1))],
            chosen: &[2],
        },
        PeerCase { name: "none is open", peers: &[("north", offer(false, 0))], chosen: &[] },
    ];
    for case in CASES {
        let now = Instant::now();
        let mut own = FleetNode::new(fleet_settings("north", 1, true), 1, now);
        for (index, (data_centre, relay)) in (2..).zip(case.peers) {
            let settings = fleet_settings(data_centre, index, true);
            let digest = FleetNode::new(settings, 2, now).next_digest(now);
            let digest = PeerDigest { relay: *relay, ..digest };
            own.receive_digest(now, address(index), digest, &mut Vec::new());
        }
        let chosen = own.relay_candidates(false, |_| false);
        let chosen: Vec<_> = chosen.into_iter().map(|candidate| candidate.peer).collect();
        let expected: Vec<_> = case.chosen.iter().map(|index| address(*index)).collect();
        assert_eq!(chosen, expected, "{}", case.name);
        assert!(own.relay_candidates(false, |_| true).is_empty(), "{}: all are skipped", case.name);
    }
}

/// Guards against a peer that is asked to carry attempts although it has just started or is about to stop.
#[test]
fn a_process_takes_attempts_only_while_it_serves() {
    let now = Instant::now();
    let mut node = FleetNode::new(fleet_settings("north", 1, true), 1, now);
    let settled = now + Duration::from_secs(3);
    assert!(!node.takes_relays(settled), "it has no port for them");
    node.open_relay();
    assert!(!node.takes_relays(now), "it has just started");
    assert!(node.takes_relays(settled));
    let published = listing(1, vec![listed(1)]);
    node.apply_listing(settled, &published, Duration::ZERO, &mut Vec::new());
    node.record_link_loss(&listed(1).address, LossCause::ConnectFailed, settled);
    node.set_carried(7);
    let expected = RelayOffer { is_open: true, carried: 7, lost_links: 1 };
    assert_eq!(node.next_digest(settled).relay, expected);
    node.start_drain();
    assert!(!node.takes_relays(settled), "it is about to stop");
}

/// Guards against digests that outgrow their datagrams.
#[test]
fn offers_to_carry_attempts_are_small() {
    let now = Instant::now();
    let digest = FleetNode::new(fleet_settings("north", 1, true), 1, now).next_digest(now);
    let length = |carried, lost_links| {
        let relay = RelayOffer { is_open: true, carried, lost_links };
        PeerDigest { relay, ..digest.clone() }.to_bytes().unwrap().len()
    };
    let (least, most) = (length(0, 0), length(u16::MAX, u16::MAX));
    eprintln!("a digest: {least} bytes, {most} with the longest offer");
    assert_eq!(most - least, 4);
}

/// Guards against a process that counts as cut off for ever since a peer told of a target that had just been removed.
#[test]
fn a_link_to_a_removed_target_is_not_lost() {
    let now = Instant::now();
    let mut node = FleetNode::new(fleet_settings("north", 1, true), 1, now);
    let publish = |node: &mut FleetNode, revision, targets| {
        let published = listing(revision, targets);
        node.apply_listing(now, &published, Duration::ZERO, &mut Vec::new());
    };
    publish(&mut node, 1, vec![listed(1)]);
    let gone = "10.9.0.9:80".into();
    assert!(!node.record_link_loss(&gone, LossCause::Broken, now));
    node.record_link_failure(&gone, now);
    node.avoids_link(&gone, now);
    assert_eq!(node.links().lost_count(), 0);
    assert!(node.record_link_loss(&listed(1).address, LossCause::Broken, now));
}

#[derive(Clone, Copy)]
struct FindingCase {
    name: &'static str,
    finding: PeerFinding,
    fault: ConnectFault,
    /// Time since the finding.
    age: Duration,
    /// What happened at links to other targets since.
    others: fn(&mut LinkTable, &[TargetName], Instant),
    /// Start of the target's process now.
    restart: RestartId,
    /// Whether it is used.
    is_known: bool,
}

const FINDING_CASE: FindingCase = FindingCase {
    name: "just told",
    finding: PeerFinding::Unreached,
    fault: ConnectFault::Other,
    age: Duration::from_millis(99),
    others: |_, _, _| {},
    restart: 1,
    is_known: true,
};

/// Guards against peers that are asked about a crashed target over and over, and against lost links that are not
/// found because what peers told once is used for too long.
#[test]
fn findings_of_peers_are_used_while_they_hold() {
    let refused = FindingCase {
        name: "still refused, others answer",
        fault: ConnectFault::Refused,
        age: Duration::from_millis(700),
        others: |links, targets, now| links.record_contact(&targets[1], now),
        ..FINDING_CASE
    };
    let doubted = FindingCase { is_known: false, ..refused };
    let cases = [
        FINDING_CASE,
        refused,
        FindingCase {
            name: "old",
            age: Duration::from_millis(100),
            is_known: false,
            ..FINDING_CASE
        },
        FindingCase { name: "new process", restart: 2, is_known: false, ..FINDING_CASE },
        FindingCase { name: "nobody told", finding: PeerFinding::Unknown, ..FINDING_CASE },
        FindingCase {
            name: "another has crashed, too",
            others: |links, targets, now| {
                links.record_contact(&targets[1], now);
                links.record_failure(&targets[2], now);
                links.record_finding(&targets[2], 1, PeerFinding::Unreached, now);
            },
            ..refused
        },
        FindingCase { name: "still silent", fault: ConnectFault::Other, ..doubted },
        FindingCase { name: "nobody told of it", finding: PeerFinding::Unknown, ..doubted },
        FindingCase { name: "no other has answered", others: |_, _, _| {}, ..doubted },
        FindingCase {
            name: "another fails, too",
            others: |links, targets, now| {
                links.record_contact(&targets[1], now);
                links.record_failure(&targets[2], now);
            },
            ..doubted
        },
        FindingCase {
            name: "another link is lost",
            others: |links, targets, now| {
                links.record_contact(&targets[1], now);
                links.record_loss(&targets[2], now);
            },
            ..doubted
        },
        FindingCase {
            name: "a connection was made since",
            others: |links, targets, now| {
                links.record_contact(&targets[1], now);
                links.record_connection(&targets[0], now);
            },
            ..doubted
        },
    ];
    for case in cases {
        let (start, mut links) = (Instant::now(), LinkTable::default());
        let targets = targets(4);
        links.record_failure(&targets[0], start);
        links.record_finding(&targets[0], 1, case.finding, start);
        let now = start + case.age;
        (case.others)(&mut links, &targets, now - Duration::from_millis(1));
        let finding = links.known_finding(&targets[0], case.restart, case.fault, now);
        let expected = case.is_known.then_some((case.finding, case.age));
        assert_eq!(finding, expected, "{}", case.name);
    }
}
