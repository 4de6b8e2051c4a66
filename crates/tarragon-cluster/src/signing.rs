//! Signatures of messages between entry VMs, with protection against replay.
//!
//! Each receiver has its own counter, and the receiver's peer address is part of the hash. With one
//! counter for all receivers, a message that is a second late would be outside the replay window; without
//! the address, a message for one VM could be replayed to another.

use std::fmt;

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    key::{PeerKeys, TagPurpose},
    prelude::*,
};

/// Number of counters below the highest one for which it is known whether they have been seen.
pub const REPLAY_WINDOW: u64 = 64;

/// Greatest number of processes whose replay windows are kept; the one without a message for longest is
/// evicted first. Four times the number of daemons in the largest fleet, so that a day's 950 restarts fit
/// as well.
const MAX_WINDOWS: usize = 4096;

/// A message as it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedMessage {
    /// Sender.
    #[serde(rename = "s")]
    pub sender: VmName,
    /// Incarnation of the sending process.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Number of the message among those to the same receiver.
    #[serde(rename = "c")]
    pub counter: u64,
    /// Content.
    #[serde(rename = "p")]
    pub payload: String,
    /// HMAC-SHA256 in base64.
    #[serde(rename = "t")]
    pub tag: String,
}

/// An answer to a signed message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedAnswer {
    /// VM that answers.
    #[serde(rename = "s")]
    pub sender: VmName,
    /// Incarnation of the answering process.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Content.
    #[serde(rename = "p")]
    pub payload: String,
    /// HMAC-SHA256 in base64; the hash includes the tag of the question.
    #[serde(rename = "t")]
    pub tag: String,
}

/// Why a message is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignatureFault {
    /// The tag is not valid for any accepted key.
    WrongTag,
    /// The counter has been seen.
    Replayed,
    /// The counter is too old to tell whether it has been seen.
    TooOld,
}

impl fmt::Display for SignatureFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            SignatureFault::WrongTag => "the message is not sealed with a valid key",
            SignatureFault::Replayed => "the message has been received before",
            SignatureFault::TooOld => "the message is older than the replay window",
        })
    }
}

impl std::error::Error for SignatureFault {}

/// Signs outgoing messages and verifies incoming ones.
#[derive(Debug)]
pub struct MessageSigner {
    identity: PeerIdentity,
    peer_address: String,
    keys: PeerKeys,
    counters: IndexMap<String, u64>,
    windows: IndexMap<PeerIdentity, ReplayWindow>,
    verified_count: u64,
}

impl MessageSigner {
    /// Creates the signer of one process, which peers reach at this address.
    pub fn new(identity: PeerIdentity, peer_address: String, keys: PeerKeys) -> MessageSigner {
        MessageSigner {
            identity,
            peer_address,
            keys,
            counters: IndexMap::new(),
            windows: IndexMap::new(),
            verified_count: 0,
        }
    }

    /// Signs a message for the process at this peer address.
    pub fn sign(&mut self, receiver: &str, payload: String) -> SignedMessage {
        let counter = self.next_counter(receiver);
        let PeerIdentity { vm, incarnation } = self.identity.clone();
        let fixed = fixed_fields(incarnation, counter);
        let tag = self.keys.tag(
            TagPurpose::PeerMessage,
            &[&fixed, vm.as_bytes(), receiver.as_bytes(), payload.as_bytes()],
        );
        let tag = STANDARD_NO_PAD.encode(tag);
        SignedMessage { sender: vm, incarnation, counter, payload, tag }
    }

    /// Verifies a message and returns its sender. Each counter is accepted once.
    pub fn verify(&mut self, message: &SignedMessage) -> Result<PeerIdentity, SignatureFault> {
        let SignedMessage { sender, incarnation, counter, payload, tag } = message;
        let fixed = fixed_fields(*incarnation, *counter);
        let receiver = self.peer_address.as_bytes();
        let fields = [&fixed[..], sender.as_bytes(), receiver, payload.as_bytes()];
        self.verify_tag(TagPurpose::PeerMessage, &fields, tag)?;
        let peer = PeerIdentity { vm: sender.clone(), incarnation: *incarnation };
        self.make_room(&peer);
        self.verified_count += 1;
        let window = self.windows.entry(peer.clone()).or_default();
        window.used = self.verified_count;
        window.accept(*counter)?;
        Ok(peer)
    }

    /// Signs the answer to a message. The answer is bound to the message's tag, so it needs no counter.
    pub fn sign_answer(&self, question: &SignedMessage, payload: String) -> SignedAnswer {
        let PeerIdentity { vm, incarnation } = &self.identity;
        let fields = [
            &incarnation.to_le_bytes()[..],
            vm.as_bytes(),
            question.tag.as_bytes(),
            payload.as_bytes(),
        ];
        let tag = STANDARD_NO_PAD.encode(self.keys.tag(TagPurpose::PeerAnswer, &fields));
        SignedAnswer { sender: vm.clone(), incarnation: *incarnation, payload, tag }
    }

    /// Verifies an answer and returns the process that gave it.
    pub fn verify_answer(
        &self,
        question: &SignedMessage,
        answer: &SignedAnswer,
    ) -> Result<PeerIdentity, SignatureFault> {
        let fields = [
            &answer.incarnation.to_le_bytes()[..],
            answer.sender.as_bytes(),
            question.tag.as_bytes(),
            answer.payload.as_bytes(),
        ];
        self.verify_tag(TagPurpose::PeerAnswer, &fields, &answer.tag)?;
        Ok(PeerIdentity { vm: answer.sender.clone(), incarnation: answer.incarnation })
    }

    fn next_counter(&mut self, receiver: &str) -> u64 {
        if let Some(counter) = self.counters.get_mut(receiver) {
            *counter += 1;
            return *counter;
        }
        self.counters.insert(receiver.to_owned(), 1);
        1
    }

    fn verify_tag(
        &self,
        purpose: TagPurpose,
        fields: &[&[u8]],
        tag: &str,
    ) -> Result<(), SignatureFault> {
        let tag = STANDARD_NO_PAD.decode(tag).map_err(|_| SignatureFault::WrongTag)?;
        if self.keys.verify(purpose, fields, &tag) { Ok(()) } else { Err(SignatureFault::WrongTag) }
    }

    fn make_room(&mut self, peer: &PeerIdentity) {
        if self.windows.len() < MAX_WINDOWS || self.windows.contains_key(peer) {
            return;
        }
        let oldest = self.windows.values().enumerate().min_by_key(|(_, window)| window.used);
        if let Some((index, _)) = oldest {
            self.windows.swap_remove_index(index);
        }
    }
}

/// Highest counter of one sender and a bitmap of those below it.
#[derive(Debug, Default)]
struct ReplayWindow {
    highest: u64,
    /// Bit `n` stands for counter `highest - 1 - n`.
    below: u64,
    used: u64,
}

impl ReplayWindow {
    fn accept(&mut self, counter: u64) -> Result<(), SignatureFault> {
        if counter > self.highest {
            self.advance(counter);
            return Ok(());
        }
        if counter == self.highest {
            return Err(SignatureFault::Replayed);
        }
        let distance = self.highest - counter - 1;
        if distance >= REPLAY_WINDOW {
            return Err(SignatureFault::TooOld);
        }
        let bit = 1 << distance;
        if self.below & bit != 0 {
            return Err(SignatureFault::Replayed);
        }
        self.below |= bit;
        Ok(())
    }

    fn advance(&mut self, counter: u64) {
        let step = counter - self.highest;
        let old_highest = if self.highest == 0 { 0 } else { 1 };
        self.below = match step {
            1..REPLAY_WINDOW => (self.below << step) | (old_highest << (step - 1)),
            REPLAY_WINDOW => old_highest << (REPLAY_WINDOW - 1),
            _ => 0,
        };
        self.highest = counter;
    }
}

fn fixed_fields(incarnation: Incarnation, counter: u64) -> [u8; 16] {
    let mut fields = [0; 16];
    fields[..8].copy_from_slice(&incarnation.to_le_bytes());
    fields[8..].copy_from_slice(&counter.to_le_bytes());
    fields
}
