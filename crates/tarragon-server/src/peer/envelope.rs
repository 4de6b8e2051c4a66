//! The envelope of a call between entry VMs. It names the method inside the sealed text, so that a
//! message can't be delivered to another method.

use std::fmt;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// The calls between entry VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMethod {
    /// Periodic digest.
    Gossip,
    /// News that is sent at once.
    Announce,
    /// Request of a newer configuration.
    PullConfiguration,
    /// Request of the changes of the VM list.
    PullVmList,
    /// Request of a slot at a target.
    BorrowSlot,
    /// Return of a borrowed slot.
    ReturnSlot,
    /// A non-idempotent call for the owner of its ticket.
    RunTicket,
    /// Question for what is known of a ticket.
    QueryTicket,
    /// Records of a process that is shutting down.
    Handover,
    /// A whole request, passed on over HTTP.
    Relay,
}

impl PeerMethod {
    /// All methods of JSON-RPC.
    pub const ALL: [PeerMethod; 9] = [
        PeerMethod::Gossip,
        PeerMethod::Announce,
        PeerMethod::PullConfiguration,
        PeerMethod::PullVmList,
        PeerMethod::BorrowSlot,
        PeerMethod::ReturnSlot,
        PeerMethod::RunTicket,
        PeerMethod::QueryTicket,
        PeerMethod::Handover,
    ];

    /// Name in JSON-RPC.
    pub fn name(self) -> &'static str {
        match self {
            PeerMethod::Gossip => "gossip",
            PeerMethod::Announce => "announce",
            PeerMethod::PullConfiguration => "pull_configuration",
            PeerMethod::PullVmList => "pull_vm_list",
            PeerMethod::BorrowSlot => "borrow_slot",
            PeerMethod::ReturnSlot => "return_slot",
            PeerMethod::RunTicket => "run_ticket",
            PeerMethod::QueryTicket => "query_ticket",
            PeerMethod::Handover => "handover",
            PeerMethod::Relay => "relay",
        }
    }
}

/// Sealed text of a call.
#[derive(Debug, Serialize, Deserialize)]
struct CallEnvelope<T> {
    method: PeerMethod,
    content: T,
}

/// A message that is not what its method takes.
#[derive(Debug)]
pub enum EnvelopeFault {
    /// The text has another shape.
    Shape(serde_json::Error),
    /// The message was sealed for another method.
    Method,
}

impl fmt::Display for EnvelopeFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EnvelopeFault::Shape(error) => write!(formatter, "the message can't be read: {error}"),
            EnvelopeFault::Method => formatter.write_str("the message is for another method"),
        }
    }
}

impl std::error::Error for EnvelopeFault {}

/// The text to seal for a call.
pub fn write_call<T>(method: PeerMethod, content: &T) -> Result<String, serde_json::Error>
where
    T: Serialize,
{
    serde_json::to_string(&CallEnvelope { method, content })
}

/// The content of a sealed text.
pub fn read_call<T>(method: PeerMethod, text: &str) -> Result<T, EnvelopeFault>
where
    T: DeserializeOwned,
{
    let envelope: CallEnvelope<T> = serde_json::from_str(text).map_err(EnvelopeFault::Shape)?;
    if envelope.method == method { Ok(envelope.content) } else { Err(EnvelopeFault::Method) }
}
