//! Offers of configurations that must not change what is in force, or must be read again.

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

/// Guards against a lasting refusal of a valid version whose parts were read from a lagging replica.
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
