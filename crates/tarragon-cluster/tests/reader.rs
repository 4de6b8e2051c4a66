//! Rate limits of the calls to the platform.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tarragon_cluster::{
    prelude::*,
    reader::{PlatformReader, ReadKind, ReaderInput},
};

struct PaceCase {
    /// The failure that the case guards against.
    failure: &'static str,
    view: ReaderInput,
    fault: Option<PlatformFault>,
    /// Least and most calls of each kind (manifest, VM list) in five minutes, each answered at once.
    manifests: (usize, usize),
    lists: (usize, usize),
}

const VIEW: ReaderInput =
    ReaderInput { is_reader: false, reads_without_peers: false, configuration: 1, vm_list: 1 };

const CASES: &[PaceCase] = &[
    PaceCase {
        failure: "a process with peers and a configuration goes on to call a service that is down",
        view: VIEW,
        fault: Some(PlatformFault::Unreachable),
        manifests: (1, 1),
        lists: (1, 1),
    },
    PaceCase {
        failure: "one kind of call takes the whole budget of a process that reads alone",
        view: ReaderInput { reads_without_peers: true, ..VIEW },
        fault: None,
        manifests: (20, 31),
        lists: (20, 31),
    },
    PaceCase {
        failure: "a reader floods a service that fails at once",
        view: ReaderInput { is_reader: true, ..VIEW },
        fault: Some(PlatformFault::Throttled),
        manifests: (30, 90),
        lists: (30, 90),
    },
];

#[test]
fn calls_stay_within_their_rate() {
    for case in CASES {
        let mut random = ChaCha8Rng::seed_from_u64(3);
        let mut reader = PlatformReader::default();
        let start = Instant::now();
        let (mut manifests, mut lists) = (0, 0);
        for tick in 0..3000 {
            let now = start + Duration::from_millis(100 * tick);
            for read in reader.due_calls(now, &case.view, &mut random) {
                match ReadKind::of(&read) {
                    ReadKind::Manifest => manifests += 1,
                    ReadKind::VmList => lists += 1,
                    ReadKind::Parts => panic!("{}: parts were not asked for", case.failure),
                }
                reader.record_end(&read, case.fault, now, &mut random);
                if case.fault.is_none() {
                    reader.reset_failures(ReadKind::of(&read));
                }
            }
        }
        let within = |(least, most): (usize, usize), calls| (least..=most).contains(&calls);
        assert!(within(case.manifests, manifests), "{}: {manifests} manifests", case.failure);
        assert!(within(case.lists, lists), "{}: {lists} lists", case.failure);
    }
}

/// Guards against two calls of one kind at a time, and against a lost call that blocks its kind forever.
#[test]
fn at_most_one_call_of_a_kind_is_outstanding() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut reader = PlatformReader::default();
    let view = ReaderInput { is_reader: true, ..VIEW };
    let start = Instant::now();
    let mut calls = Vec::new();
    for second in 0..60 {
        let now = start + Duration::from_secs(second);
        let reads = reader.due_calls(now, &view, &mut random).len();
        calls.extend((reads > 0).then_some((second, reads)));
    }
    assert_eq!(calls, [(0, 2), (45, 2)]);
}
