//! Random and damaged input for everything that reads text from outside: rules, settings, headers, bodies,
//! tickets, peer messages and engine streams. A panic or an accepted forgery in one of them would let a
//! caller, a peer or an engine stop a process or run a call twice. The seeds are fixed.

use http::{HeaderMap, HeaderName, HeaderValue};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use tarragon_cluster::{
    codec::{decode_digest, encode_digest},
    key::PeerKeys,
    signing::{MessageSigner, SignedMessage},
    ticket::Ticket,
};
use tarragon_config::{rules::parse_rules, settings::parse_settings};
use tarragon_protocol::{
    engine::{ChatChunk, ChunkChoice, ChunkDelta, ChunkExtension},
    header,
    peer::{GossipDigest, LoadEntry, MemberEntry, PeerIdentity},
    prelude::*,
};
use tarragon_server::{
    caller::{header::CallerHeaders, prompt::ChatBody},
    target::{
        event_stream::EventDecoder,
        position::{ChunkVerdict, StreamPosition},
    },
};

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Lines that look like rules, so that the parser gets past the first word.
fn rule_line() -> impl Strategy<Value = String> {
    let word = prop_oneof![
        Just("service".to_owned()),
        Just("workspace".to_owned()),
        Just("model".to_owned()),
        Just("data-centre".to_owned()),
        Just("policy".to_owned()),
        Just("kind=plain".to_owned()),
        Just("idempotent=no".to_owned()),
        Just("state=out".to_owned()),
        Just("rate=5/s".to_owned()),
        Just("tier=urgent".to_owned()),
        Just("# asked by: lab".to_owned()),
        "[a-z]{1,6}=[-0-9a-z/.é]{0,8}",
        "\\PC{0,12}",
    ];
    vec(word, 0..9).prop_map(|words| words.join(" "))
}

#[test]
fn rules_are_read_or_found_faulty_with_a_valid_place() {
    let lines = vec(rule_line(), 0..12).prop_map(|lines| lines.join("\n"));
    let outcome = runner(2_000).run(&lines, |text| {
        let (_, findings) = parse_rules(&[("rules-00", &text)]);
        for finding in &findings.findings {
            let (offset, length) = finding.location.span;
            prop_assert!(offset + length <= text.len(), "{finding} is outside of {text:?}");
            prop_assert!(text.is_char_boundary(offset) && text.is_char_boundary(offset + length));
            prop_assert!(finding.location.line >= 1 && finding.location.column >= 1);
        }
        let (again, same) = parse_rules(&[("rules-00", &text)]);
        prop_assert_eq!(&findings, &same);
        drop(again);
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn settings_are_read_or_found_faulty() {
    let start = r#"{"vm": "a", "data_centre": "b", "caller_address": "127.0.0.1:1", // x
        "peer_address": "127.0.0.1:2", "peer_keys": ["0123456789abcdef0123456789abcdef"]}"#;
    let change = (0..start.len(), "[\\PC]{0,3}", 0_usize..6);
    let outcome = runner(2_000).run(&change, |(at, inserted, removed)| {
        let end = (at + removed).min(start.len());
        let text = format!("{}{inserted}{}", &start[..at], &start[end..]);
        let (settings, findings) = parse_settings("settings", &text);
        prop_assert!(settings.is_some() || !findings.is_empty(), "no finding for {text}");
        for finding in &findings.findings {
            let (offset, length) = finding.location.span;
            prop_assert!(offset + length <= text.len(), "{finding} is outside of {text:?}");
        }
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn headers_are_read_or_each_fault_names_its_header() {
    let names = [
        header::WORKSPACE,
        header::TIER,
        header::DEADLINE,
        header::IDEMPOTENT,
        header::TICKET,
        header::ATTEMPT,
    ];
    let value = prop_oneof![
        "urgent|routine|true|false|[0-9]{1,20}|[a-z-]{1,40}".prop_map(String::into_bytes),
        vec(any::<u8>(), 0..40),
    ];
    let pairs = vec((0..names.len(), value), 0..9);
    let outcome = runner(3_000).run(&pairs, |pairs| {
        let mut headers = HeaderMap::new();
        for (index, value) in pairs {
            if let Ok(value) = HeaderValue::from_bytes(&value) {
                headers.append(HeaderName::from_static(names[index]), value);
            }
        }
        match CallerHeaders::parse(&headers) {
            Ok(parsed) => {
                let limit = std::time::Duration::from_millis(header::MAX_DEADLINE_MS);
                prop_assert!(parsed.deadline <= limit);
                prop_assert!(!parsed.deadline.is_zero());
                prop_assert!(!parsed.workspace.is_empty());
            }
            Err(faults) => {
                prop_assert!(!faults.is_empty());
                prop_assert!(faults.iter().all(|fault| names.contains(&fault.header)));
            }
        }
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn bodies_are_read_or_refused() {
    let body = prop_oneof![
        vec(any::<u8>(), 0..300),
        ("[a-z]{0,5}", -5_i64..1 << 40, "\\PC{0,200}").prop_map(|(model, tokens, text)| {
            let message = serde_json::json!({"role": "user", "content": text});
            let body =
                serde_json::json!({"model": model, "max_tokens": tokens, "messages": [message]});
            body.to_string().into_bytes()
        }),
    ];
    let outcome = runner(2_000).run(&body, |bytes| {
        if let Ok(body) = ChatBody::parse(&bytes) {
            let full = body.prompt_tokens as usize / tarragon_protocol::identity::TOKENS_PER_BLOCK;
            prop_assert!(body.blocks.len() <= full);
            prop_assert!(!body.model.is_empty());
        }
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn a_changed_ticket_is_refused() {
    let keys = PeerKeys::new("key-one-0123456789abcdef", None);
    let other = PeerKeys::new("key-two-0123456789abcdef", None);
    let ticket = Ticket {
        owner: PeerIdentity { vm: "vm-1".into(), incarnation: 7 },
        peer_address: "127.0.0.1:7000".into(),
        sequence: 3,
        issued_ms: 99,
    };
    let text = ticket.to_text(&keys);
    assert_eq!(Ticket::from_text(&text, &keys).unwrap(), ticket);
    assert!(Ticket::from_text(&text, &other).is_err());
    let change = (0..text.len(), any::<char>());
    let outcome = runner(3_000).run(&change, |(at, letter)| {
        let mut letters: Vec<char> = text.chars().collect();
        letters[at] = letter;
        let changed: String = letters.into_iter().collect();
        if let Ok(read) = Ticket::from_text(&changed, &keys) {
            prop_assert_eq!(read, ticket.clone(), "{} was accepted", changed);
        }
        Ok(())
    });
    outcome.unwrap();
}

fn digest() -> impl Strategy<Value = GossipDigest> {
    let name = || "[a-zé-]{1,10}[0-9]{0,4}";
    let member = (name(), any::<u64>(), any::<u64>()).prop_map(|(vm, incarnation, heartbeat)| {
        let peer = PeerIdentity { vm: vm.into(), incarnation };
        MemberEntry { peer, heartbeat, address: None }
    });
    let load = (name(), any::<u64>(), any::<u32>(), 0_u64..1 << 40).prop_map(
        |(target, restart, bears, age)| LoadEntry {
            target: target.into(),
            restart_id: restart,
            state: TargetState::Warm,
            capacity: bears,
            occupied: bears / 2,
            age_ms: age * 100,
        },
    );
    (name(), any::<u64>(), vec(member, 0..20), vec(load, 0..40)).prop_map(
        |(vm, heartbeat, mut members, mut loads)| {
            members.sort_by(|one, other| one.peer.vm.cmp(&other.peer.vm));
            members.dedup_by(|one, other| one.peer.vm == other.peer.vm);
            loads.sort_by(|one, other| one.target.cmp(&other.target));
            loads.dedup_by(|one, other| one.target == other.target);
            GossipDigest {
                sender: PeerIdentity { vm: vm.into(), incarnation: heartbeat },
                data_centre: "home".into(),
                peer_address: "127.0.0.1:1".into(),
                heartbeat,
                vm_list_version: 1,
                configuration: 2,
                shed_floor: Tier::Normal,
                draining: false,
                waiting: [0, 1, 2, 3],
                members,
                loads,
                load_updates: Vec::new(),
                borrowed: Vec::new(),
                suspects: Vec::new(),
                successors: Vec::new(),
            }
        },
    )
}

#[test]
fn damaged_digests_are_refused_without_a_panic() {
    let input = (digest(), any::<prop::sample::Index>(), any::<char>());
    let outcome = runner(1_500).run(&input, |(digest, at, letter)| {
        let text = encode_digest(&digest);
        let read = decode_digest(&text).map_err(|fault| TestCaseError::fail(fault.to_string()))?;
        prop_assert_eq!(&read.sender, &digest.sender);
        prop_assert_eq!(read.members.len(), digest.members.len());
        let mut letters: Vec<char> = text.chars().collect();
        let index = at.index(letters.len());
        letters[index] = letter;
        // Whether the damage is noticed here or by the seal, it must not stop the process.
        let _ = decode_digest(&letters.into_iter().collect::<String>());
        let _ = decode_digest(&text[..index]);
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn sealed_messages_are_opened_once_and_only_unchanged() {
    let keys = PeerKeys::new("key-one-0123456789abcdef", None);
    let identity = |name: &str| PeerIdentity { vm: name.into(), incarnation: 5 };
    let outcome =
        runner(300).run(&("\\PC{0,60}", 0_usize..4, any::<u64>()), |(text, field, value)| {
            let mut sender = MessageSigner::new(identity("a"), "127.0.0.1:1".into(), keys.clone());
            let mut receiver =
                MessageSigner::new(identity("b"), "127.0.0.1:2".into(), keys.clone());
            let message = sender.sign("127.0.0.1:2", text);
            let mut forged: SignedMessage = message.clone();
            match field {
                0 => forged.counter = forged.counter.wrapping_add(value | 1),
                1 => forged.incarnation = forged.incarnation.wrapping_add(value | 1),
                2 => forged.payload.push('x'),
                _ => forged.sender = format!("a{value}").into(),
            }
            prop_assert!(receiver.verify(&forged).is_err());
            prop_assert!(receiver.verify(&message).is_ok());
            prop_assert!(receiver.verify(&message).is_err(), "a repeated message was accepted");
            Ok(())
        });
    outcome.unwrap();
}

#[test]
fn streams_give_each_token_once_whatever_the_engine_repeats() {
    // Chunks of one answer with repeated, foreign and skipped ones among them. The text of token n is the
    // word n, so that a lost, doubled or foreign token shows.
    let chunk = (0_u32..12, 1_u32..5, any::<bool>());
    let outcome = runner(2_000).run(&vec(chunk, 1..40), |chunks| {
        let mut position = StreamPosition::default();
        let mut delivered = String::new();
        for (index, tokens, foreign) in chunks {
            let text: String =
                (index..index + tokens).map(|number| format!("w{number} ")).collect();
            let id = if foreign { "other" } else { "mine" };
            let chunk = ChatChunk {
                id: id.into(),
                object: "chat.completion.chunk".into(),
                model: "m".into(),
                choices: vec![ChunkChoice {
                    index: 0,
                    delta: ChunkDelta { content: Some(text) },
                    finish_reason: None,
                }],
                tarragon: Some(ChunkExtension {
                    request_id: id.into(),
                    index,
                    tokens,
                    prefill_tokens: None,
                    cached_tokens: None,
                }),
            };
            let before = position.tokens;
            match position.take("mine", &chunk) {
                ChunkVerdict::New { text, .. } => delivered.push_str(&text),
                ChunkVerdict::Unusable => prop_assert!(index > before),
                ChunkVerdict::Foreign => prop_assert!(foreign),
                ChunkVerdict::Repeated => prop_assert!(index + tokens <= before),
            }
        }
        let wanted: String = (0..position.tokens).map(|number| format!("w{number} ")).collect();
        prop_assert_eq!(delivered, wanted);
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn event_streams_do_not_depend_on_how_bytes_arrive() {
    let event = "[a-z0-9 {}\":]{1,30}";
    let input = (vec(event, 1..10), vec(1_usize..20, 1..60));
    let outcome = runner(1_500).run(&input, |(events, cuts)| {
        let body: String = events.iter().map(|data| format!("data: {data}\r\n\r\n")).collect();
        let mut decoder = EventDecoder::default();
        let mut seen = Vec::new();
        let mut rest = body.as_bytes();
        let mut cuts = cuts.into_iter().cycle();
        while !rest.is_empty() {
            let cut = cuts.next().unwrap_or(1).min(rest.len());
            prop_assert!(decoder.push(&rest[..cut]).is_ok());
            rest = &rest[cut..];
            seen.extend(std::iter::from_fn(|| decoder.next_event()));
        }
        prop_assert_eq!(seen, events);
        Ok(())
    });
    outcome.unwrap();
}
