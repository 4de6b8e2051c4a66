//! Builds of the targets' software. What two builds write for one request doesn't fit together, so a stream may
//! only go on at targets of the build that began it.

pub mod history;

use crate::{hash::hash_texts, prelude::*};

/// Computes the key of a build of a service's targets.
pub fn build_key(service: &str, build: &str) -> BuildKey {
    hash_texts(&[service, build])
}
