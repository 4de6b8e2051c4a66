//! Signing and encoding of messages between entry VMs.

use proptest::prelude::*;
use tarragon_cluster::{
    codec::{decode_digest, encode_digest},
    key::PeerKeys,
    prelude::*,
    signing::{MessageSigner, SignatureFault, SignedMessage},
};
use tarragon_protocol::peer::{LoadEntry, LoadUpdate, MemberEntry};

fn signer(vm: &str, keys: PeerKeys) -> MessageSigner {
    let identity = PeerIdentity { vm: vm.into(), incarnation: 1 };
    MessageSigner::new(identity, format!("at-{vm}"), keys)
}

struct ReplayCase {
    /// The failure that the case guards against.
    failure: &'static str,
    /// Counters in the order of arrival, with the expected result.
    arrivals: &'static [(usize, Result<(), SignatureFault>)],
}

const REPLAYS: &[ReplayCase] = &[
    ReplayCase {
        failure: "a message is accepted twice",
        arrivals: &[
            (1, Ok(())),
            (1, Err(SignatureFault::Replayed)),
            (2, Ok(())),
            (1, Err(SignatureFault::Replayed)),
        ],
    },
    ReplayCase {
        failure: "a message that was overtaken is refused, or accepted twice",
        arrivals: &[
            (70, Ok(())),
            (6, Ok(())),
            (6, Err(SignatureFault::Replayed)),
            (69, Ok(())),
            (69, Err(SignatureFault::Replayed)),
            (70, Err(SignatureFault::Replayed)),
        ],
    },
    ReplayCase {
        failure: "a message older than the window is accepted",
        arrivals: &[(3, Ok(())), (100, Ok(())), (35, Err(SignatureFault::TooOld)), (36, Ok(()))],
    },
    ReplayCase {
        failure: "the window forgets what it has seen when it moves by its own size",
        arrivals: &[
            (1, Ok(())),
            (65, Ok(())),
            (1, Err(SignatureFault::Replayed)),
            (66, Ok(())),
            (1, Err(SignatureFault::TooOld)),
            (65, Err(SignatureFault::Replayed)),
        ],
    },
];

#[test]
fn each_counter_is_accepted_once() {
    for case in REPLAYS {
        let mut sender = signer("a", PeerKeys::new("key", None));
        let mut receiver = signer("b", PeerKeys::new("key", None));
        let messages: Vec<SignedMessage> =
            (0..120).map(|_| sender.sign("at-b", "text".to_owned())).collect();
        for (counter, expected) in case.arrivals {
            let opened = receiver.verify(&messages[counter - 1]).map(|_| ());
            assert_eq!(opened, *expected, "{}: counter {counter}", case.failure);
        }
    }
}

/// Guards against messages that are changed, redirected to another VM, or refused while keys are rotated,
/// and against an answer to another question.
#[test]
fn only_unchanged_messages_for_this_vm_are_accepted() {
    let mut sender = signer("a", PeerKeys::new("old", None));
    let mut receiver = signer("b", PeerKeys::new("new", Some(b"old".to_vec())));
    let mut other = signer("c", PeerKeys::new("old", None));
    let question = sender.sign("at-b", "text".to_owned());
    assert_eq!(other.verify(&question), Err(SignatureFault::WrongTag));
    let changes: [fn(&mut SignedMessage); 4] = [
        |message| message.sender = "d".into(),
        |message| message.incarnation += 1,
        |message| message.counter += 1,
        |message| message.payload.push('x'),
    ];
    for change in changes {
        let mut changed = question.clone();
        change(&mut changed);
        assert_eq!(receiver.verify(&changed), Err(SignatureFault::WrongTag));
    }
    assert!(receiver.verify(&question).is_ok());
    let answerer = signer("b", PeerKeys::new("old", None));
    let answer = answerer.sign_answer(&question, "answer".to_owned());
    assert!(sender.verify_answer(&question, &answer).is_ok());
    let second = sender.sign("at-b", "text".to_owned());
    assert_eq!(sender.verify_answer(&second, &answer), Err(SignatureFault::WrongTag));
}

fn codec_cases() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(codec_cases())]

    /// Guards against names that are mixed up by prefix compression, and against ages that are rounded
    /// down.
    #[test]
    fn a_digest_round_trips_through_its_text_form(
        names in proptest::collection::btree_set("[abé中]{1,5}", 1..20),
        age in 0..20_000u64,
    ) {
        let digest = digest_with(&names.into_iter().collect::<Vec<_>>(), age);
        let decoded = decode_digest(&encode_digest(&digest)).expect("its own text");
        let round_up = |age: u64| age.div_ceil(100) * 100;
        let mut rounded = digest.clone();
        rounded.loads.iter_mut().for_each(|load| load.age_ms = round_up(load.age_ms));
        rounded.load_updates.iter_mut().for_each(|load| load.age_ms = round_up(load.age_ms));
        prop_assert_eq!(decoded, rounded);
    }

    /// Guards against a panic on a malformed text from another process.
    #[test]
    fn decoding_arbitrary_text_does_not_panic(text in "[A-Za-z0-9+/]{0,200}") {
        let _ = decode_digest(&text);
    }
}

fn digest_with(names: &[String], age_ms: u64) -> GossipDigest {
    let member = |(index, name): (usize, &String)| MemberEntry {
        peer: PeerIdentity { vm: name.as_str().into(), incarnation: u64::MAX - index as u64 },
        heartbeat: index as u64,
        address: (index % 2 == 0).then(|| format!("at-{name}")),
    };
    let load = |name: &String| LoadEntry {
        target: name.as_str().into(),
        restart_id: 7,
        state: TargetState::Warm,
        capacity: 4,
        occupied: 2,
        age_ms,
    };
    let update = |name: &String| LoadUpdate {
        target: name.as_str().into(),
        restart_id_hash: [1, 2],
        state: TargetState::Cold,
        capacity: 4,
        occupied: 2,
        age_ms,
    };
    GossipDigest {
        sender: PeerIdentity { vm: "sender".into(), incarnation: 3 },
        data_centre: "dc".into(),
        peer_address: "127.0.0.1:1".to_owned(),
        heartbeat: 9,
        vm_list_version: 1,
        configuration: 2,
        shed_floor: Tier::High,
        draining: true,
        waiting: [1, 2, 3, 4],
        members: names.iter().enumerate().map(member).collect(),
        loads: names.iter().map(load).collect(),
        load_updates: names.iter().map(update).collect(),
        borrowed: vec![5],
        suspects: vec![SuspectEntry {
            age_ms: 3,
            ..SuspectEntry::of_request(1, [("t".into(), 2)])
        }],
        successors: Vec::new(),
    }
}
