//! Which build began a stream: the builds that were registered, records of streams, and the peers that keep them.

use std::time::{Duration, Instant};

use tarragon_fleet::{
    build::build_key,
    digest::name_key,
    ledger::{BuildLedger, LedgerNotice, SightingNotice},
    node::stream_span,
    origin::{OriginMessage, OriginPoll, OriginQuery, OriginTable, stream_key},
};

use crate::support::*;

const OLD: &str = "1.0";
const NEW: &str = "1.1";
const SPAN: Duration = Duration::from_secs(15);

fn of_build(index: u8, build: &str) -> ListedTarget {
    ListedTarget { build: build.into(), ..listed(index) }
}

/// A listing at a number of seconds, with one target for each build.
type ListingAt = (u64, &'static [&'static str]);

struct LedgerCase {
    name: &'static str,
    /// Seconds for which a peer's sightings of the old build are complete, told before the first listing.
    told_s: Option<u32>,
    listings: &'static [ListingAt],
    /// Time of the question, in seconds.
    asked_s: u64,
    sole: Option<&'static str>,
}

const LEDGERS: &[LedgerCase] = &[
    LedgerCase {
        name: "one build for long enough",
        told_s: None,
        listings: &[(0, &[OLD]), (15, &[OLD])],
        asked_s: 15,
        sole: Some(OLD),
    },
    LedgerCase {
        name: "one build, not known for long",
        told_s: None,
        listings: &[(0, &[OLD]), (14, &[OLD])],
        asked_s: 14,
        sole: None,
    },
    LedgerCase {
        name: "a second build",
        told_s: None,
        listings: &[(0, &[OLD]), (20, &[OLD, NEW])],
        asked_s: 20,
        sole: None,
    },
    LedgerCase {
        name: "the first build has just gone",
        told_s: None,
        listings: &[(0, &[OLD]), (20, &[OLD, NEW]), (21, &[NEW]), (34, &[NEW])],
        asked_s: 34,
        sole: None,
    },
    LedgerCase {
        name: "the first build has been gone for long",
        told_s: None,
        listings: &[(0, &[OLD]), (20, &[OLD, NEW]), (21, &[NEW]), (37, &[NEW])],
        asked_s: 37,
        sole: Some(NEW),
    },
    LedgerCase {
        name: "a peer tells of a long time",
        told_s: Some(60),
        listings: &[(1, &[OLD])],
        asked_s: 1,
        sole: Some(OLD),
    },
    LedgerCase {
        name: "a peer tells of the other build",
        told_s: Some(60),
        listings: &[(1, &[NEW])],
        asked_s: 2,
        sole: None,
    },
    LedgerCase {
        name: "a peer tells of a short time",
        told_s: Some(3),
        listings: &[(1, &[OLD])],
        asked_s: 2,
        sole: None,
    },
    LedgerCase {
        name: "the first build went while there was no listing for a time",
        told_s: None,
        listings: &[(0, &[OLD]), (20, &[OLD]), (38, &[NEW])],
        asked_s: 39,
        sole: None,
    },
    LedgerCase {
        name: "no listing for so long that a build may have come and gone",
        told_s: None,
        listings: &[(0, &[OLD]), (40, &[OLD])],
        asked_s: 41,
        sole: None,
    },
];

/// Guards against taking the only build that is registered now for the one that began a stream.
#[test]
fn a_sole_build_is_named_only_if_no_other_can_have_begun_the_stream() {
    for case in LEDGERS {
        let start = Instant::now() + Duration::from_secs(1_000);
        let mut ledger = BuildLedger::default();
        if let Some(told_s) = case.told_s {
            let sighting = SightingNotice {
                service: name_key(SERVICE),
                build: build_key(SERVICE, OLD),
                age_ms: 500,
            };
            let notice = LedgerNotice {
                span_ms: told_s * 1_000,
                listing_age_ms: 500,
                sightings: vec![sighting],
            };
            ledger.merge(&notice, start);
        }
        for (at, builds) in case.listings {
            let targets: Vec<ListedTarget> =
                (1..).zip(*builds).map(|(index, build)| of_build(index, build)).collect();
            ledger.record_listing(targets.iter(), start + Duration::from_secs(*at));
        }
        let now = start + Duration::from_secs(case.asked_s);
        let sole = ledger.sole_build(name_key(SERVICE), SPAN, now);
        assert_eq!(sole, case.sole.map(|build| build_key(SERVICE, build)), "{}", case.name);
    }
}

/// Guards against a process that takes the sightings of a peer for complete which has not read a listing for long, and
/// against one that no longer knows the only build since its listing doesn't change.
#[test]
fn a_ledger_relies_on_fresh_listings_only() {
    let start = Instant::now() + Duration::from_secs(1_000);
    let (service, second) = (name_key(SERVICE), Duration::from_secs(1));
    let mut teller = BuildLedger::default();
    teller.record_listing([of_build(1, OLD)].iter(), start);
    for minute in 1..20 {
        teller.confirm(start + second * 10 * minute);
    }
    let mut now = start + second * 190;
    assert_eq!(teller.sole_build(service, SPAN, now), Some(build_key(SERVICE, OLD)));
    assert!(teller.notice(now).is_some_and(|notice| notice.listing_age_ms == 0));
    now += second * 20;
    let stale = teller.notice(now).unwrap();
    let mut ledger = BuildLedger::default();
    ledger.merge(&stale, now);
    ledger.record_listing([of_build(1, NEW)].iter(), now);
    assert_eq!(ledger.sole_build(service, SPAN, now + second), None);
}

/// Guards against a stream that callers of another workspace, or of another service, can name.
#[test]
fn keys_of_streams_differ_by_workspace_and_service() {
    let key = stream_key(Some("depot"), "pool", "tag");
    assert_ne!(key, stream_key(Some("other"), "pool", "tag"));
    assert_ne!(key, stream_key(Some("depot"), "ledger", "tag"));
    assert_ne!(key, stream_key(None, "pool", "tag"));
    assert_ne!(build_key("pool", "1.0"), build_key("ledger", "1.0"));
}

/// Guards against records that are lost to queries for ids that callers make up, and against records without bound.
#[test]
fn records_are_bounded_in_number_and_time() {
    let mut now = Instant::now();
    let mut table = OriginTable::default();
    table.record(0, 7, true, now);
    for made_up in 1..200_000 {
        assert_eq!(table.get(made_up), None);
    }
    assert_eq!(table.get(0), Some(7));
    for stream in 1..100_000 {
        now += Duration::from_micros(500);
        table.record(stream, 7, false, now);
    }
    assert!(table.len() <= 1 << 16, "{}", table.len());
    now += Duration::from_secs(61);
    table.record(1, 8, true, now);
    assert_eq!((table.len(), table.get(1)), (1, Some(8)));
}

/// Guards against a second answer for the build of a stream: only one build can have brought its first event.
#[test]
fn the_build_of_a_recorded_stream_stays() {
    let now = Instant::now();
    let mut table = OriginTable::default();
    table.record(1, 7, true, now);
    table.record(1, 8, false, now);
    assert_eq!(table.get(1), Some(7));
}

fn record_origin(fleet: &mut Fleet, node: usize, stream: u64, build: BuildKey) -> bool {
    let (node, now) = (&mut fleet.nodes[node], fleet.now);
    let head = CallHead { key: Some("key".to_owned()), ..CallHead::default() };
    let routed = node.route("calls.example", "/a/1", &head).unwrap();
    node.record_origin(now, &routed, stream, build)
}

fn deliver(fleet: &mut Fleet, node: usize, living: &[usize]) {
    let now = fleet.now;
    for (to, message) in fleet.nodes[node].take_origin_messages() {
        let to = (0..fleet.nodes.len()).find(|index| address(*index as u16 + 1) == to).unwrap();
        if living.contains(&to) {
            let bytes = message.to_bytes().unwrap();
            assert!(bytes.len() < 16 << 10, "a datagram of {} bytes", bytes.len());
            fleet.nodes[to].receive_origin(now, OriginMessage::from_bytes(&bytes).unwrap());
        }
    }
}

/// What a process learns about a stream from itself and from the peers that it asks.
fn ask(fleet: &mut Fleet, node: usize, stream: u64, living: &[usize]) -> Option<BuildKey> {
    let now = fleet.now;
    let service = name_key(SERVICE);
    let known = fleet.nodes[node].find_origin(now, service, Some(stream), SPAN);
    let peers = fleet.nodes[node].origin_peers(stream);
    let mut poll = OriginPoll::new(known, peers.len());
    if let Some(build) = poll.recorded() {
        return Some(build);
    }
    let query =
        OriginQuery { id: 1, stream: Some(stream), service, span_ms: SPAN.as_millis() as u32 };
    for peer in peers {
        let peer = (0..fleet.nodes.len()).find(|index| address(*index as u16 + 1) == peer).unwrap();
        if !living.contains(&peer) {
            continue;
        }
        let answer = fleet.nodes[peer].receive_origin(now, OriginMessage::Query(query));
        let Some(OriginMessage::Answer(answer)) = answer else { panic!("no answer") };
        poll.add(answer.found);
    }
    poll.recorded().or_else(|| poll.sole_build())
}

struct OwnerCase {
    processes: u16,
    /// Processes that end, in percent, the one that passed the stream on among them.
    ended: usize,
    /// Least share of streams whose build is still known, in percent.
    known: usize,
}

/// Guards against records that are lost with a third of the processes, at every size of the fleet.
#[test]
fn records_of_streams_survive_the_end_of_many_processes() {
    let cases = [
        OwnerCase { processes: 6, ended: 35, known: 95 },
        OwnerCase { processes: 60, ended: 35, known: 90 },
        OwnerCase { processes: 300, ended: 35, known: 90 },
    ];
    for case in cases {
        let mut fleet = Fleet::start(case.processes, 2);
        fleet.publish(2, 1, vec![of_build(1, OLD), of_build(2, NEW)]);
        fleet.gossip();
        let all: Vec<usize> = (0..usize::from(case.processes)).collect();
        let (mut known, mut streams) = (0, 0);
        for stream in 1..=200 {
            let origin = stream as usize % all.len();
            let build = build_key(SERVICE, if stream % 2 == 0 { OLD } else { NEW });
            assert!(record_origin(&mut fleet, origin, stream, build));
            deliver(&mut fleet, origin, &all);
            // The process that passed the stream on ends with those behind it.
            let ended = (all.len() * case.ended).div_ceil(100);
            let living: Vec<usize> =
                all.iter().map(|step| (origin + step) % all.len()).skip(ended).collect();
            let found = ask(&mut fleet, living[0], stream, &living);
            assert!(found.is_none_or(|found| found == build), "{} processes", case.processes);
            (known, streams) = (known + usize::from(found.is_some()), streams + 1);
        }
        assert!(known * 100 >= streams * case.known, "{} processes: {known}", case.processes);
    }
}

/// Guards against messages for each stream while there is only one build, and against streams of the first build
/// that nobody knows of once there is a second one.
#[test]
fn streams_are_told_to_peers_once_there_is_a_second_build() {
    let mut fleet = Fleet::start(6, 2);
    for revision in 2..12 {
        fleet.advance(Duration::from_secs(2));
        fleet.publish(revision, 1, vec![of_build(1, OLD), of_build(2, OLD)]);
    }
    let build = build_key(SERVICE, OLD);
    assert!(!record_origin(&mut fleet, 0, 5, build));
    assert!(fleet.nodes[0].take_origin_messages().is_empty());
    fleet.publish(12, 1, vec![of_build(1, OLD), of_build(2, NEW)]);
    let living: Vec<usize> = (0..6).collect();
    deliver(&mut fleet, 0, &living);
    assert_eq!(ask(&mut fleet, 3, 5, &living[1..]), Some(build));
    assert_eq!(ask(&mut fleet, 3, 6, &living[1..]), None);
}

/// Guards against a span that a shortened timeout of a route makes too short for streams that began before.
#[test]
fn the_span_of_a_stream_has_a_lower_bound() {
    let short = CallRoute { timeout: Duration::from_secs(1), ..route("/a/", SERVICE) };
    assert!(stream_span(&short) >= Duration::from_secs(12));
    let long = CallRoute { timeout: Duration::from_secs(60), ..route("/a/", SERVICE) };
    assert!(stream_span(&long) > Duration::from_secs(60));
}

struct StaleCase {
    name: &'static str,
    /// Processes that are cut off from the store and all others while targets of the new build join.
    stale: &'static [usize],
    /// Time since the new targets have joined, in milliseconds.
    stale_ms: u64,
    /// Processes that the one out of step reaches when it asks.
    reached: &'static [usize],
    /// Whether it learns the build.
    known: bool,
}

const STALE: &[StaleCase] = &[
    StaleCase { name: "cut off", stale: &[0], stale_ms: 500, reached: &[], known: false },
    StaleCase {
        name: "cut off for long",
        stale: &[0],
        stale_ms: 9_000,
        reached: &[],
        known: false,
    },
    StaleCase {
        name: "cut off with another",
        stale: &[0, 1],
        stale_ms: 500,
        reached: &[1],
        known: false,
    },
    StaleCase {
        name: "in touch again, its listing as before",
        stale: &[0],
        stale_ms: 500,
        reached: &[1, 2, 3, 4, 5],
        known: true,
    },
    StaleCase {
        name: "in touch again with those that have no record",
        stale: &[0],
        stale_ms: 500,
        reached: &[],
        known: false,
    },
    StaleCase {
        name: "in touch after standing still for long",
        stale: &[0],
        stale_ms: 4_000,
        reached: &[1, 2, 3, 4, 5],
        known: true,
    },
];

/// Guards against a process out of step that takes the only build it knows for the one that began a stream.
#[test]
fn a_process_that_has_missed_a_new_build_does_not_guess_which_build_began_a_stream() {
    for case in STALE {
        let mut fleet = Fleet::start(6, 2);
        for revision in 2..14 {
            fleet.advance(Duration::from_secs(2));
            fleet.publish(revision, 1, vec![of_build(1, OLD), of_build(2, OLD)]);
            fleet.gossip();
        }
        let apart: Vec<FleetNode> = Vec::from_iter(fleet.nodes.drain(..case.stale.len()));
        // The nodes behind keep their addresses, which records are sent to.
        let new = listing(40, vec![of_build(1, OLD), of_build(2, NEW)]);
        let now = fleet.now;
        for node in &mut fleet.nodes {
            node.apply_listing(now, &new, Duration::ZERO, &mut Vec::new());
        }
        fleet.nodes.splice(0..0, apart);
        let (stream, build) = (5, build_key(SERVICE, NEW));
        assert!(record_origin(&mut fleet, 2, stream, build), "{}", case.name);
        let living: Vec<usize> = (0..6).filter(|node| !case.stale.contains(node)).collect();
        deliver(&mut fleet, 2, &living);
        fleet.now += Duration::from_millis(case.stale_ms);
        let found = ask(&mut fleet, 0, stream, case.reached);
        assert_eq!(found, case.known.then_some(build), "{}", case.name);
    }
}
