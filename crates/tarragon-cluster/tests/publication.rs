//! Offers of configurations: which ones are refused, read again, or applied on top of a common version.

use std::sync::Arc;

use tarragon_cluster::publication::{OfferOutcome, PublicationState};
use tarragon_config::publication::content_hash;
use tarragon_protocol::platform::{ConfigurationManifest, ManifestPart};

const RULES: &str = "workspace depot weight=2 # asked by: Ada\n";
const MORE: &str = "workspace crew weight=1 # asked by: Ben\n";

fn manifest(version: u64, parts: &[(&str, &str)]) -> ConfigurationManifest {
    let part = |(name, text): &(&str, &str)| ManifestPart {
        name: (*name).to_owned(),
        hash: content_hash(text),
    };
    ConfigurationManifest { version, parts: parts.iter().map(part).collect() }
}

fn texts(parts: &[(&str, &str)]) -> Vec<(String, Arc<str>)> {
    parts.iter().map(|(name, text)| ((*name).to_owned(), Arc::from(*text))).collect()
}

fn state_at(version: u64) -> PublicationState {
    let parts = [("rules-00", RULES)];
    let mut state = PublicationState::default();
    state.offer_manifest(manifest(version, &parts));
    assert!(matches!(state.offer_parts(texts(&parts)), OfferOutcome::Applied(_)));
    state
}

struct PartsCase {
    failure: &'static str,
    parts: &'static [(&'static str, &'static str)],
}

/// Guards against the permanent refusal of a valid version whose parts were read from a lagging replica.
#[test]
fn incomplete_parts_are_read_again_and_not_refused() {
    let cases = [
        PartsCase { failure: "no part at all", parts: &[] },
        PartsCase { failure: "the new part is missing", parts: &[("rules-00", RULES)] },
        PartsCase { failure: "the new part has old content", parts: &[("rules-01", RULES)] },
    ];
    let wanted = [("rules-00", RULES), ("rules-01", MORE)];
    for case in cases {
        let mut state = state_at(4);
        state.offer_manifest(manifest(5, &wanted));
        assert_eq!(
            state.offer_parts(texts(case.parts)),
            OfferOutcome::Mismatch,
            "{}",
            case.failure
        );
        assert_eq!(state.version(), 4, "{}", case.failure);
        state.offer_manifest(manifest(5, &wanted));
        let outcome = state.offer_parts(texts(&wanted[1..]));
        assert!(matches!(outcome, OfferOutcome::Applied(_)), "{}: {outcome:?}", case.failure);
    }
}

/// Guards against a return to an older configuration when the service comes back with an old value.
#[test]
fn older_manifest_is_refused_and_counted() {
    let mut state = state_at(7);
    let outcome = state.offer_manifest(manifest(6, &[("rules-00", MORE)]));
    assert_eq!(outcome, OfferOutcome::Older);
    assert_eq!((state.version(), state.older_refused()), (7, 1));
}

struct HistoryCase {
    failure: &'static str,
    /// Versions that were active at the sender and at the receiver.
    sender: &'static [u64],
    receiver: &'static [u64],
    /// Versions named in the pulls until the sender's version is active at the receiver.
    pulls: &'static [u64],
    /// Base of the transfer that is applied; 0 for a whole configuration.
    base: u64,
}

/// Guards against a transfer of the whole configuration, a megabyte, to a peer that has skipped other
/// versions than the sender.
#[test]
fn transfers_build_on_a_version_that_both_know() {
    let cases = [
        HistoryCase {
            failure: "the receiver's version is not known to the sender",
            sender: &[1, 3],
            receiver: &[1, 2],
            pulls: &[2],
            base: 1,
        },
        HistoryCase {
            failure: "the sender's base is not known to the receiver",
            sender: &[1, 2, 4],
            receiver: &[1, 3],
            pulls: &[3, 1],
            base: 1,
        },
        HistoryCase {
            failure: "there is no common version",
            sender: &[2, 4],
            receiver: &[1, 3],
            pulls: &[3, 1],
            base: 0,
        },
    ];
    for case in &cases {
        let (sender, mut receiver) = (with_history(case.sender), with_history(case.receiver));
        let mut have = receiver.version();
        for (index, expected) in case.pulls.iter().enumerate() {
            assert_eq!(have, *expected, "{}: pull {index}", case.failure);
            let transfer = sender.transfer_for(have).expect("the receiver is behind");
            let base = transfer.base;
            match receiver.offer_transfer(transfer) {
                OfferOutcome::WrongBase(base) => have = receiver.version_below(base),
                outcome => {
                    assert!(matches!(outcome, OfferOutcome::Applied(_)), "{}", case.failure);
                    assert_eq!(base, case.base, "{}", case.failure);
                }
            }
        }
        let parts = |state: &PublicationState| state.current().expect("in force").parts.clone();
        assert_eq!(parts(&receiver), parts(&sender), "{}", case.failure);
    }
}

/// A state in which these versions were active one after the other. Each version changes one of two
/// parts.
fn with_history(versions: &[u64]) -> PublicationState {
    let mut state = PublicationState::default();
    for version in versions {
        let text = |part: u64| format!("# part {part}, changed at {}\n", (version + part) / 2);
        let parts: Vec<(String, String)> =
            (0..2).map(|part| (format!("rules-0{part}"), text(part))).collect();
        let hashed = parts
            .iter()
            .map(|(name, text)| ManifestPart { name: name.clone(), hash: content_hash(text) });
        state.offer_manifest(ConfigurationManifest { version: *version, parts: hashed.collect() });
        let shared = parts.iter().map(|(name, text)| (name.clone(), text.as_str().into()));
        state.offer_parts(shared.collect());
        assert_eq!(state.version(), *version);
    }
    state
}
