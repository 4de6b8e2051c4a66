//! The published configuration, which is assembled from a manifest and its parts and validated as a whole.

use std::sync::Arc;

use indexmap::IndexMap;
use sha2::{Digest, Sha256};
use tarragon_protocol::{
    platform::{ConfigurationManifest, RULES_PREFIX, TARGETS_PREFIX, TargetList},
    prelude::*,
};

use crate::rules::{self, RuleSet};

mod split;

pub use split::{MAX_PART_BYTES, build_manifest, split_rules, targets_part};

/// A complete and valid configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Version, as in the manifest.
    pub version: ConfigurationVersion,
    /// Text of each part, in the order of the manifest.
    pub parts: IndexMap<String, Arc<str>>,
    /// Rules from all `rules-…` parts.
    pub rules: Arc<RuleSet>,
    /// Targets of each data centre.
    pub targets: Vec<TargetList>,
}

impl Configuration {
    /// Checks every part against the manifest and parses it. The result depends only on the arguments, so that
    /// all processes accept and reject the same configurations.
    pub fn assemble(
        manifest: &ConfigurationManifest,
        parts: IndexMap<String, Arc<str>>,
    ) -> Result<Configuration, FindingList> {
        let mut findings = FindingList::default();
        let mut rule_sources = Vec::new();
        let mut targets = Vec::new();
        let mut ordered = IndexMap::new();
        for part in &manifest.parts {
            let Some(text) = parts.get(&part.name) else {
                findings.push(part_finding(&part.name, "the part is missing", "publish it"));
                continue;
            };
            if content_hash(text) != part.hash {
                let help = "publish the part again together with the manifest";
                findings.push(part_finding(
                    &part.name,
                    "the content does not match the hash",
                    help,
                ));
            }
            if part.name.starts_with(RULES_PREFIX) {
                rule_sources.push((part.name.as_str(), &**text));
            } else if part.name.starts_with(TARGETS_PREFIX) {
                match serde_json::from_str::<TargetList>(text) {
                    Ok(list) => targets.push(list),
                    Err(error) => findings.push(part_finding(
                        &part.name,
                        &error.to_string(),
                        "write {\"data_centre\": …, \"targets\": […]}",
                    )),
                }
            }
            ordered.insert(part.name.clone(), text.clone());
        }
        let (rules, rule_findings) = rules::parse_rules(&rule_sources);
        findings.findings.extend(rule_findings.findings);
        if !findings.is_empty() {
            return Err(findings);
        }
        let version = manifest.version;
        Ok(Configuration { version, parts: ordered, rules: Arc::new(rules), targets })
    }
}

/// SHA-256 of a part's content, in hexadecimal.
pub fn content_hash(text: &str) -> String {
    Sha256::digest(text.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn part_finding(name: &str, message: &str, help: &str) -> Finding {
    let location = SourceLocation { source: name.to_owned(), line: 1, column: 1, span: (0, 0) };
    Finding { location, message: message.to_owned(), help: help.to_owned() }
}
