//! Splits a rules file into the parts that the configuration service holds.

use tarragon_protocol::platform::{ConfigurationManifest, ManifestPart, RULES_PREFIX, TargetList};
use xxhash_rust::xxh3::xxh3_64;

use super::content_hash;

/// Largest part in bytes. Small parts keep a change cheap to read.
pub const MAX_PART_BYTES: usize = 16 * 1024;
/// Most hash bits that tell parts apart. Rules beyond 256 full parts use further bits.
const MAX_DEPTH: u32 = 16;
/// Name of the only part of a small rules file, after the prefix.
const WHOLE_NAME: &str = "all";

/// Splits rules into named parts below [`MAX_PART_BYTES`]. A line's part follows from a hash of its kind
/// and name, so that changing a line changes one part. A part that grows beyond the limit is replaced by
/// two. Blank lines and lines that hold only a comment are left out.
pub fn split_rules(text: &str) -> Vec<(String, String)> {
    let lines: Vec<HashedLine<'_>> = text.lines().filter_map(HashedLine::new).collect();
    let mut parts = Vec::new();
    split_part(lines, String::new(), &mut parts);
    parts
}

/// The manifest of a configuration that consists of these parts.
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
    // A list of plain texts and flags always has a JSON form.
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

/// Splits by one hash bit after another until each part is small enough. `bits` are those used so far.
fn split_part(lines: Vec<HashedLine<'_>>, bits: String, parts: &mut Vec<(String, String)>) {
    let size: usize = lines.iter().map(|line| line.text.len() + 1).sum();
    let depth = u32::try_from(bits.len()).unwrap_or(MAX_DEPTH);
    if size <= MAX_PART_BYTES || depth >= MAX_DEPTH || lines.len() == 1 {
        if !lines.is_empty() {
            let suffix = if bits.is_empty() { WHOLE_NAME } else { &bits };
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
