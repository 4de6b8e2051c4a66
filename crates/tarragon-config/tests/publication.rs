//! Splitting rules into parts and assembling the parts to a configuration.

use std::sync::Arc;

use indexmap::IndexMap;
use tarragon_config::publication::{Configuration, MAX_PART_BYTES, build_manifest, split_rules};

fn workspace_rules(count: usize) -> String {
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
fn parts_contain_all_rules_and_stay_within_the_size_limit() {
    let text = workspace_rules(10_000);
    assert!(split_rules(&text).iter().all(|(_, text)| text.len() <= MAX_PART_BYTES));
    assert_eq!(assemble(1, &text).rules.workspaces.len(), 10_000);
    assert_eq!(split_rules("# nothing\n\n"), []);
    assert_eq!(split_rules(&workspace_rules(3)).len(), 1);
}

/// Guards against a change of one line that changes many parts: every reader would have to fetch each of them
/// from the configuration service.
#[test]
fn a_changed_line_changes_one_part() {
    let text = workspace_rules(10_000);
    let before = split_rules(&text);
    let after = split_rules(&text.replace("w-777 tier=normal", "w-777 tier=urgent"));
    assert_eq!(before.len(), after.len());
    let changed = before.iter().zip(&after).filter(|(before, after)| before != after).count();
    assert_eq!(changed, 1);
}

/// Guards against applying a part that does not belong to the manifest.
#[test]
fn a_part_of_another_version_is_refused() {
    let old = split_rules(&workspace_rules(3));
    let manifest = build_manifest(2, &split_rules(&workspace_rules(4)));
    let parts = old.into_iter().map(|(name, text)| (name, Arc::from(text))).collect();
    let findings = Configuration::assemble(&manifest, parts).unwrap_err();
    assert!(findings.findings[0].message.contains("hash"), "{findings}");
}
