//! Keys of the deployment and the HMAC made with them.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Length of an HMAC tag in bytes.
pub const TAG_BYTES: usize = 32;

/// Use of an HMAC tag. It is part of the hashed bytes, so that a tag made for one use is not valid for
/// another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TagPurpose {
    /// A ticket.
    Ticket,
    /// A message between entry VMs.
    PeerMessage,
    /// The answer to a message between entry VMs.
    PeerAnswer,
}

impl TagPurpose {
    fn prefix(self) -> &'static [u8] {
        match self {
            TagPurpose::Ticket => b"tarragon ticket 1\0",
            TagPurpose::PeerMessage => b"tarragon peer message 1\0",
            TagPurpose::PeerAnswer => b"tarragon peer answer 1\0",
        }
    }
}

/// The signing key, and a second key that is also accepted while keys are rotated.
#[derive(Clone)]
pub struct PeerKeys {
    current: Vec<u8>,
    other: Option<Vec<u8>>,
}

impl PeerKeys {
    /// Keys that sign with `current` and accept both.
    pub fn new(current: impl Into<Vec<u8>>, other: Option<Vec<u8>>) -> PeerKeys {
        PeerKeys { current: current.into(), other }
    }

    /// HMAC-SHA256 of the purpose and the parts with the current key. Each part is preceded by its
    /// length, so that no two different lists of parts hash the same bytes.
    pub fn tag(&self, purpose: TagPurpose, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        started(&self.current, purpose, parts).finalize().into_bytes().into()
    }

    /// Whether the tag is valid for one of the keys. Compares in constant time.
    pub fn verify(&self, purpose: TagPurpose, parts: &[&[u8]], tag: &[u8]) -> bool {
        std::iter::once(&self.current)
            .chain(&self.other)
            .any(|key| started(key, purpose, parts).verify_slice(tag).is_ok())
    }
}

impl fmt::Debug for PeerKeys {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("PeerKeys").field("two", &self.other.is_some()).finish()
    }
}

fn started(key: &[u8], purpose: TagPurpose, parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(purpose.prefix());
    for part in parts {
        mac.update(&(part.len() as u64).to_le_bytes());
        mac.update(part);
    }
    mac
}
