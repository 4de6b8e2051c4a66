//! Extreme and invalid values in listings, operator states and digests: no process ends, and sound targets go
//! on being used.

use std::time::Duration;

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed},
};
use tarragon_fleet::{
    digest::{ReportedLoad, UsageSum},
    published::StorePosition,
    rate::{RateNotice, RateStatement, RequestRate},
    sums::CentreSum,
};
use tarragon_protocol::peer::{CrashSighting, SuspectCause, SuspectEntry};

use crate::support::*;

/// Plays of each property, unless the environment sets `ODD_CASES`.
const CASES: u32 = 256;
/// Time after which nothing that a peer has told counts any more.
const FORGET_TIME: Duration = Duration::from_secs(45);
/// Fingerprint of a request that no peer names.
const OWN_REQUEST: Fingerprint = 0x5eed_0f0e_0d0c_0b0a;

fn config(seed: u64) -> Config {
    let cases = std::env::var("ODD_CASES").ok().and_then(|text| text.parse().ok());
    Config {
        rng_seed: RngSeed::Fixed(seed),
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Numbers at the ends of their ranges, and some from between.
fn numbers() -> impl Strategy<Value = Vec<u64>> {
    let number = prop_oneof![
        Just(0),
        Just(1),
        Just(u64::MAX),
        Just(u64::MAX - 1),
        Just(1 << 63),
        Just(u64::from(u32::MAX)),
        0..100_000_u64,
        any::<u64>(),
    ];
    vec(number, 40..200)
}

/// Draws values from a list of numbers, again and again.
struct NumberDraw {
    numbers: Vec<u64>,
    next: usize,
}

impl NumberDraw {
    fn wide(&mut self) -> u64 {
        self.next += 1;
        self.numbers[self.next % self.numbers.len()]
    }

    fn below(&mut self, most: usize) -> usize {
        (self.wide() % most as u64) as usize
    }

    fn medium(&mut self) -> u32 {
        u32::try_from(self.wide()).unwrap_or(u32::MAX)
    }

    fn short(&mut self) -> u16 {
        u16::try_from(self.wide()).unwrap_or(u16::MAX)
    }

    fn coin(&mut self) -> bool {
        self.wide().is_multiple_of(2)
    }

    fn usage(&mut self) -> UsageSum {
        let workspace = tarragon_fleet::digest::name_key(WORKSPACE);
        UsageSum {
            workspace: if self.coin() { workspace } else { self.medium() },
            units: self.wide(),
            recent: [self.wide(), self.wide(), self.wide()],
            latest: self.wide(),
        }
    }

    fn target_use(&mut self) -> TargetUse {
        let target = tarragon_fleet::digest::name_key(&listed(1).address);
        let load =
            ReportedLoad { running: self.short(), waiting: self.short(), age_ms: self.medium() };
        TargetUse {
            target: if self.coin() { target } else { self.medium() },
            in_flight: self.short(),
            load: self.coin().then_some(load),
        }
    }

    fn suspect(&mut self) -> SuspectEntry {
        let cause = self.wide();
        let sighting = |draw: &mut NumberDraw| CrashSighting {
            target: listed(1).address,
            restart: draw.wide(),
            before_ms: draw.wide(),
            confirmed: draw.coin(),
        };
        SuspectEntry {
            cause: if self.coin() {
                SuspectCause::Request(cause)
            } else {
                SuspectCause::Part(cause)
            },
            depth: self.short(),
            crashes: (0..self.below(6)).map(|_| sighting(self)).collect(),
            finished_after_ms: self.coin().then(|| self.wide() as i64),
            convicted: self.coin(),
            age_ms: self.wide(),
        }
    }

    fn digest(&mut self, sound: &PeerDigest) -> PeerDigest {
        let statement = RateStatement::Limited(
            RequestRate::from_per_second(self.wide() as f64).expect("a whole number"),
        );
        let age_ms = self.medium();
        let sum = CentreSum {
            processes: self.medium(),
            in_flight: (0..self.below(4)).map(|_| (self.medium(), self.medium())).collect(),
            quota_usage: (0..self.below(4)).map(|_| self.usage()).collect(),
            unknown_usage_ms: (0..self.below(4)).map(|_| self.medium()).collect(),
            included: vec![(address(1), self.wide())],
        };
        PeerDigest {
            incarnation: self.wide(),
            sequence: self.wide(),
            data_centre: if self.coin() { sound.data_centre } else { self.medium() },
            operator_position: StorePosition { era: self.wide(), revision: self.wide() },
            operator_version: self.wide(),
            operator_age_ms: self.coin().then(|| self.medium()),
            listing_age_ms: self.coin().then(|| self.medium()),
            listing_hash: self.wide(),
            target_uses: (0..self.below(4)).map(|_| self.target_use()).collect(),
            quota_usage: (0..self.below(4)).map(|_| self.usage()).collect(),
            centre_sum: self.coin().then_some(sum),
            unknown_usage_ms: self.medium(),
            suspects: (0..self.below(4)).map(|_| self.suspect()).collect(),
            leaving_restart_ids: vec![self.wide()],
            fleet_time_ms: self.wide(),
            rates: vec![RateNotice { restart_id: self.wide(), statement, age_ms }],
            former_usage: vec![(address(1), vec![self.usage()])],
            is_answer: self.coin(),
            requests_sums: self.coin(),
            met: self.medium(),
            members: vec![address(self.short()), ([0, 0, 0, 0], 0).into()],
            relay: tarragon_fleet::node::RelayOffer {
                is_open: self.coin(),
                carried: self.short(),
                lost_links: self.short(),
            },
            rejection_limits: vec![RejectionNotice {
                restart_id: self.wide(),
                statement: RejectionStatement::Limited(RejectionLimit(self.medium())),
                age_ms: self.medium(),
            }],
            ..sound.clone()
        }
    }

    fn listed(&mut self) -> ListedTarget {
        const ADDRESSES: [&str; 8] = [
            "10.9.9.1:80",
            "10.9.9.2:0",
            "10.9.9.3:65536",
            "0.0.0.0:80",
            "224.0.0.1:80",
            "[::]:80",
            "nowhere",
            "",
        ];
        const NAMES: [&str; 4] = ["i-odd", "", "i odd", "i-\u{fc}\n"];
        let service = if self.coin() { SERVICE } else { ["", "unknown"][self.below(2)] };
        ListedTarget {
            instance: NAMES[self.below(4)].into(),
            service: service.into(),
            address: ADDRESSES[self.below(8)].into(),
            data_centre: ["north", ""][self.below(2)].into(),
            slots: self.medium(),
            leaving: self.coin(),
            cold_left: Duration::from_secs(self.wide()),
            started_ms: self.wide(),
            revision: self.wide(),
            sequence: self.wide(),
            ..listed(9)
        }
    }
}

/// Lets time pass, and finishes the attempts that begin meanwhile.
fn finish_all(fleet: &mut Fleet, time: Duration) {
    for (node, action) in fleet.advance(time) {
        fleet.finish(node, &action, AttemptEnd::Finished);
    }
}

fn is_dispatched(actions: &[SchedulerAction]) -> bool {
    actions.iter().any(|action| matches!(action, SchedulerAction::Dispatch { .. }))
}

proptest! {
    #![proptest_config(config(17))]

    /// Guards against a process that ends because of what a peer tells, and against figures of peers that are
    /// gone and still cost callers.
    #[test]
    fn no_digest_of_a_peer_ends_a_process(numbers in numbers()) {
        let mut draw = NumberDraw { numbers, next: 0 };
        let mut fleet = Fleet::start(2, 2);
        let now = fleet.now;
        for _ in 0..8 {
            let sound = fleet.nodes[1].next_digest(now);
            let from = address(3 + draw.short() % 5);
            let bytes = draw.digest(&sound).to_bytes().unwrap();
            let digest = PeerDigest::from_bytes(&bytes).unwrap();
            let mut actions = Vec::new();
            fleet.nodes[0].receive_digest(now, from, digest, &mut actions);
            fleet.nodes[0].answer_digest(from, now).to_bytes().unwrap();
            let own = fleet.nodes[0].next_digest(now);
            fleet.nodes[0].sum_digest(&own, now).to_bytes().unwrap();
            for action in fleet.ask(0, 100) {
                fleet.finish(0, &action, AttemptEnd::Finished);
            }
            finish_all(&mut fleet, Duration::from_millis(300));
        }
        finish_all(&mut fleet, FORGET_TIME);
        prop_assert!(is_dispatched(&fleet.ask_again(0, 100, OWN_REQUEST)));
    }

    /// Guards against a process that ends because of a datagram that isn't a digest.
    #[test]
    fn no_datagram_ends_a_process(bytes in vec(any::<u8>(), 0..600), place in any::<u16>()) {
        let mut fleet = Fleet::start(2, 1);
        let now = fleet.now;
        let mut datagram = fleet.nodes[1].next_digest(now).to_bytes().unwrap();
        let place = usize::from(place) % datagram.len();
        datagram.truncate(place);
        datagram.extend(&bytes);
        for bytes in [&datagram, &bytes] {
            if let Ok(digest) = PeerDigest::from_bytes(bytes) {
                fleet.nodes[0].receive_digest(now, address(9), digest, &mut Vec::new());
            }
        }
        fleet.advance(Duration::from_millis(200));
    }

    /// Guards against a process that ends because of an entry in a listing of a peer, and against a sound target
    /// that gets no requests beside it.
    #[test]
    fn no_odd_entry_costs_a_sound_target(numbers in numbers()) {
        let mut draw = NumberDraw { numbers, next: 0 };
        let mut fleet = Fleet::start(1, 1);
        for revision in 2..8 {
            let odd = (0..4).map(|_| draw.listed());
            let targets = Vec::from_iter(odd.chain([listed(1)]));
            fleet.publish(revision, 1, targets);
            fleet.advance(Duration::from_millis(300));
            prop_assert!(fleet.nodes[0].may_send(&listed(1).address, SERVICE).is_some());
            for (_, entry) in fleet.nodes[0].directory().iter() {
                prop_assert_eq!(entry.listed.fault(), None);
            }
        }
        fleet.publish(8, 1, vec![listed(1)]);
        prop_assert!(is_dispatched(&fleet.ask(0, 100)));
    }
}

/// Guards against a sound target without requests since another writer's entry of a service that is not named
/// has its address and seems newer.
#[test]
fn an_entry_of_an_unknown_service_does_not_displace_a_sound_target() {
    let mut fleet = Fleet::start(1, 1);
    let odd = ListedTarget {
        instance: "i-odd".into(),
        service: "unknown".into(),
        started_ms: u64::MAX,
        revision: 90,
        ..listed(1)
    };
    fleet.publish(2, 1, vec![odd.clone(), listed(1)]);
    fleet.advance(Duration::from_secs(1));
    fleet.publish(3, 1, vec![listed(1), odd]);
    fleet.advance(Duration::from_secs(1));
    let grant = fleet.nodes[0].may_send(&listed(1).address, SERVICE);
    assert_eq!(grant.map(|grant| grant.instance), Some(listed(1).instance));
    assert!(is_dispatched(&fleet.ask(0, 100)));
}

/// Guards against evacuations that are ignored, and a process that stays without a configuration, since the
/// newest one in the store can't be read.
#[test]
fn a_state_without_a_readable_configuration_still_counts() {
    let fleet = Fleet::start(1, 1);
    let now = fleet.now;
    let apply = |node: &mut FleetNode, state: OperatorState, source: &str| {
        node.apply_operator_state(now, state, source, &mut Vec::new())
    };
    let unreadable = || OperatorState {
        revision: 9,
        evacuated: ["north".into()].into_iter().collect(),
        ..OperatorState::default()
    };
    let mut known = node(1, true, now);
    assert!(apply(&mut known, operator(5, 3), "store"));
    assert!(apply(&mut known, unreadable(), "store"));
    assert_eq!((known.operator_state().version(), known.operator_state().revision), (3, 9));
    assert!(known.operator_state().evacuated.contains("north"));
    assert!(!apply(&mut known, operator(8, 2), "peer"), "an older version");

    let mut started = node(2, false, now);
    assert!(apply(&mut started, unreadable(), "store"));
    let digest = known.next_digest(now);
    assert!(started.has_older_operator_state(&digest));
    assert!(apply(&mut started, known.operator_state().clone(), "peer"));
    assert_eq!(started.operator_state().version(), 3);
    assert!(!started.has_older_operator_state(&digest));
}
