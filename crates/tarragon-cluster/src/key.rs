//! Keys of the deployment and the keyed hash made with them.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Bytes of a keyed hash.
pub const TAG_BYTES: usize = 32;

/// What a keyed hash is for. It is part of the hashed bytes, so that the tag of one use is not valid for
/// another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TagPurpose {
    /// A ticket.
    Ticket,
    /// A message between entry VMs.
    PeerMessage,
    /// The answer to such a message.
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

/// The key that signs, and a second one that is also accepted while keys are rotated.
#[derive(Clone)]
pub struct PeerKeys {
    current: Vec<u8>,
    other: Option<Vec<u8>>,
}

impl PeerKeys {
    /// Signs with `current`; accepts both.
    pub fn new(current: impl Into<Vec<u8>>, other: Option<Vec<u8>>) -> PeerKeys {
        PeerKeys { current: current.into(), other }
    }

    /// HMAC-SHA256 over the purpose and the parts under the current key. Each part is preceded by its
    /// length, so that two different lists of parts never hash the same bytes.
    pub fn tag(&self, purpose: TagPurpose, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        started(&self.current, purpose, parts).finalize().into_bytes().into()
    }

    /// Whether the tag is right under one of the keys. Compares in constant time.
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
