//! Tickets: proof that one process, and no other, may dispatch one non-idempotent call.

pub mod adopted;
pub mod binding;
pub mod decision;
pub mod record;
pub mod table;
#[cfg(test)]
mod tests;

use std::{fmt, time::Duration};

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use serde::{Deserialize, Serialize};
use tarragon_protocol::identity::TicketSequence;

use crate::{
    key::{PeerKeys, TAG_BYTES, TagPurpose},
    prelude::*,
};

pub use adopted::AdoptFault;
pub use binding::CallBinding;
pub use decision::{
    AbandonDecision, TicketDecision, TicketEnd, TicketLimits, TicketStatus, TicketUse,
    WriteDecision,
};
pub use table::TicketTable;

/// Time after its issue for which a ticket may be used.
pub const TICKET_VALIDITY: Duration = Duration::from_secs(10 * 60);

/// Time after a ticket's issue for which its record is kept: the validity plus the longest deadline (600
/// s). Until then, a ticket without a record is known never to have had one.
pub const RECORD_RETENTION: Duration = Duration::from_secs(20 * 60);

/// Least time after its arrival for which an answer is kept, also if it arrived late.
pub const LATE_ANSWER_RETENTION: Duration = Duration::from_secs(5 * 60);

/// Greatest accepted length of the text form in bytes.
const MAX_TEXT_BYTES: usize = 1024;

/// One permission to run one call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The only process that may dispatch the call.
    pub owner: PeerIdentity,
    /// Peer address of the owner.
    pub peer_address: String,
    /// Number of the ticket at its owner.
    pub sequence: TicketSequence,
    /// Owner's boot clock at the time of issue, in milliseconds.
    pub issued_ms: u64,
}

/// Why a text is not a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketFault {
    /// Not base64url, too long or too short, or not the expected fields.
    Malformed,
    /// Not signed with either valid key, or changed after signing.
    WrongSignature,
}

impl fmt::Display for TicketFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            TicketFault::Malformed => "the text is not a ticket",
            TicketFault::WrongSignature => "the ticket was not issued by this deployment",
        })
    }
}

impl std::error::Error for TicketFault {}

impl Ticket {
    /// Text for the ticket header: base64url of the fields and their HMAC.
    pub fn to_text(&self, keys: &PeerKeys) -> String {
        let mut bytes = postcard::to_stdvec(self).expect("a ticket has only plain fields");
        let tag = keys.tag(TagPurpose::Ticket, &[&bytes]);
        bytes.extend_from_slice(&tag);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Reads and verifies the text form under either of the two keys.
    pub fn from_text(text: &str, keys: &PeerKeys) -> Result<Ticket, TicketFault> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(TicketFault::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| TicketFault::Malformed)?;
        let Some(length) = bytes.len().checked_sub(TAG_BYTES) else {
            return Err(TicketFault::Malformed);
        };
        let (fields, tag) = bytes.split_at(length);
        if !keys.verify(TagPurpose::Ticket, &[fields], tag) {
            return Err(TicketFault::WrongSignature);
        }
        postcard::from_bytes(fields).map_err(|_| TicketFault::Malformed)
    }

    /// Age at this time of the owner's boot clock.
    pub fn age(&self, owner_boot: Duration) -> Duration {
        owner_boot.saturating_sub(Duration::from_millis(self.issued_ms))
    }
}
