//! Splitting rules into parts and putting them together again.

use std::sync::Arc;

use indexmap::IndexMap;
use tarragon_config::publication::{Configuration, MAX_PART_BYTES, build_manifest, split_rules};

fn many_rules(count: usize) -> String {
    let line = |index| {
        format!(
            "workspace w-{index} tier=normal rate=100/s weight=10 # asked by: someone, with a reason\n"
        )
    };
    (0..count).map(line).collect()
}

fn assemble(version: u64, text: &str) -> Configuration {
    let parts = split_rules(text);
    let manifest = build_manifest(version, &parts);
    let parts: IndexMap<String, Arc<str>> =
        parts.into_iter().map(|(name, text)| (name, Arc::from(text))).collect();
    Configuration::assemble(&manifest, parts).unwrap()
}

#[test]
fn parts_hold_all_rules_and_stay_small() {
    let text = many_rules(10_000);
    assert!(split_rules(&text).iter().all(|(_, text)| text.len() <= MAX_PART_BYTES));
    assert_eq!(assemble(1, &text).rules.workspaces.len(), 10_000);
    assert_eq!(split_rules("# nothing\n\n"), []);
    assert_eq!(split_rules(&many_rules(3)).len(), 1);
}

/// A change that touched many parts would cost every reader that many calls of the configuration service.
#[test]
fn a_changed_line_changes_one_part() {
    let text = many_rules(10_000);
    let before = split_rules(&text);
    let after = split_rules(&text.replace("w-777 tier=normal", "w-777 tier=urgent"));
    assert_eq!(before.len(), after.len());
    let changed = before.iter().zip(&after).filter(|(before, after)| before != after).count();
    assert_eq!(changed, 1);
}

/// A part that does not belong to the manifest must not come into force.
#[test]
fn a_part_of_another_version_is_refused() {
    let old = split_rules(&many_rules(3));
    let manifest = build_manifest(2, &split_rules(&many_rules(4)));
    let parts = old.into_iter().map(|(name, text)| (name, Arc::from(text))).collect();
    let findings = Configuration::assemble(&manifest, parts).unwrap_err();
    assert!(findings.findings[0].message.contains("hash"), "{findings}");
}
