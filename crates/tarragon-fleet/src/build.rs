//! Builds of the targets' software. What two builds write for one request doesn't fit together, so a stream may
//! only go on at targets of the build that began it.

use xxhash_rust::xxh3::xxh3_64;

use crate::prelude::*;

/// Computes the key of a build.
pub fn build_key(name: &str) -> BuildKey {
    xxh3_64(name.as_bytes())
}
