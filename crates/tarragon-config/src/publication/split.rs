//! Splits a rules file into the parts that are published in the configuration service.

use tarragon_protocol::platform::{ConfigurationManifest, ManifestPart, RULES_PREFIX, TargetList};
use xxhash_rust::xxh3::xxh3_64;

use super::content_hash;

/// Maximum size of a part in bytes. Parts are small so that little has to be read after a change.
pub const MAX_PART_BYTES: usize = 16 * 1024;
/// Maximum number of hash bits by which parts are split. Rules beyond 256 full parts use further bits.
const MAX_DEPTH: u32 = 16;
/// Name, after the prefix, of the only part of a rules file that fits into one part.
const SINGLE_PART_SUFFIX: &str = "all";

/// Splits rules into named parts of at most [`MAX_PART_BYTES`]. A hash of a rule's kind and name determines
/// its part, so that a changed line changes only one part. A part that would exceed the limit is split in two.
/// Blank lines and lines with only a comment are omitted.
pub fn split_rules(text: &str) -> Vec<(String, String)> {
    let lines: Vec<HashedLine<'_>> = text.lines().filter_map(HashedLine::new).collect();
    let mut parts = Vec::new();
    split_part(lines, String::new(), &mut parts);
    parts
}

/// Builds the manifest of a configuration that consists of these parts.
pub fn build_manifest(version: u64, parts: &[(String, String)]) -> ConfigurationManifest {
    let part = |(name, text): &(String, String)| ManifestPart {
        name: name.clone(),
        hash: content_hash(text),
    };
    ConfigurationManifest { version, parts: parts.iter().map(part).collect() }
}

/// Name and text of the part that holds a data centre's targets.
pub fn targets_part(list: &TargetList) -> (String, String) {
    let name = format!("{}{}", tarragon_protocol::platform::TARGETS_PREFIX, list.data_centre);
    // Serialization can't fail: the list contains only strings and booleans.
    (name, serde_json::to_string(list).unwrap_or_default())
}

struct HashedLine<'a> {
    text: &'a str,
    hash: u64,
}

impl<'a> HashedLine<'a> {
    fn new(line: &'a str) -> Option<HashedLine<'a>> {
        let text = line.trim_end();
        let mut words = text.split('#').next()?.split_whitespace();
        let kind = words.next()?;
        let name = words.next().unwrap_or_default();
        Some(HashedLine { text, hash: xxh3_64(format!("{kind} {name}").as_bytes()) })
    }
}

/// Splits lines by one hash bit after another until each part is small enough. `bits` holds the bits used so
/// far.
fn split_part(lines: Vec<HashedLine<'_>>, bits: String, parts: &mut Vec<(String, String)>) {
    let size: usize = lines.iter().map(|line| line.text.len() + 1).sum();
    let depth = u32::try_from(bits.len()).unwrap_or(MAX_DEPTH);
    if size <= MAX_PART_BYTES || depth >= MAX_DEPTH || lines.len() == 1 {
        if !lines.is_empty() {
            let suffix = if bits.is_empty() { SINGLE_PART_SUFFIX } else { &bits };
            let text = lines.iter().flat_map(|line| [line.text, "\n"]).collect();
            parts.push((format!("{RULES_PREFIX}{suffix}"), text));
        }
        return;
    }
    let (ones, zeros): (Vec<_>, Vec<_>) =
        lines.into_iter().partition(|line| line.hash >> depth & 1 == 1);
    split_part(zeros, format!("{bits}0"), parts);
    split_part(ones, format!("{bits}1"), parts);
}
