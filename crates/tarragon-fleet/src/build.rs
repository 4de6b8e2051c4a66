//! Builds of the targets' software. What two builds write for one request doesn't fit together, so a stream may
//! only go on at targets of the build that began it.

pub mod history;

use xxhash_rust::xxh3::Xxh3;

use crate::prelude::*;

/// Computes the key of a build of a service's targets.
pub fn build_key(service: &str, build: &str) -> BuildKey {
    let mut hasher = Xxh3::new();
    for field in [service, build] {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field.as_bytes());
    }
    hasher.digest()
}
