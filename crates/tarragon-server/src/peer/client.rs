//! Client for calls to other entry VMs.

use std::{fmt, sync::Arc, time::Duration};

use indexmap::IndexMap;
use jsonrpsee::{
    core::client::{ClientT, Error as RpcError},
    http_client::{HttpClient, HttpClientBuilder},
    rpc_params,
};
use serde::{Serialize, de::DeserializeOwned};
use tarragon_cluster::{
    event::PeerAddress,
    signing::{MessageSigner, SignedAnswer, SignedMessage},
};
use tarragon_protocol::peer::PeerIdentity;
use tokio::time::{Instant, timeout_at};

use super::envelope::{PeerMethod, write_call};
use crate::{
    guarded::Guarded,
    metrics::{PeerDirection, ServerMetrics},
};

/// Longest time for a connection to a peer.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Longest time for any call: the longest deadline of a caller and some time for the answer's way.
const CALL_LIMIT: Duration = Duration::from_secs(605);
/// Longest time for a message that needs no work at its receiver.
pub const NEWS_LIMIT: Duration = Duration::from_secs(2);
/// Longest time for a configuration or a handover to be sent.
pub const TRANSFER_LIMIT: Duration = Duration::from_secs(10);
/// Largest message, in bytes: a handover of 8 MiB of answers, written as base64 inside JSON.
pub const MAX_MESSAGE_BYTES: u32 = 48 << 20;
/// Times that a message is sealed. Many messages at once can overtake each other by more than the
/// receiver's replay window holds; a new seal has a newer counter.
const SEAL_TRIES: usize = 3;
/// JSON-RPC error code for a message that was overtaken and not read.
pub const OVERTAKEN_CODE: i32 = -32_001;
/// Clients that are kept, above the fleet of the design scale.
const MAX_CLIENTS: usize = 1_024;

/// Why a peer gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerFault {
    /// The connection could not be made: the peer got nothing.
    Refused,
    /// The peer may have got the message.
    Lost(String),
    /// No answer in time.
    TimedOut,
    /// The peer got the message and refused it, or its answer is not authentic.
    Invalid(String),
}

impl fmt::Display for PeerFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerFault::Refused => formatter.write_str("the connection was refused"),
            PeerFault::Lost(cause) => write!(formatter, "the connection was lost: {cause}"),
            PeerFault::TimedOut => formatter.write_str("no answer in time"),
            PeerFault::Invalid(cause) => write!(formatter, "the call was refused: {cause}"),
        }
    }
}

/// An answer and the process that gave it.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerReply<T> {
    /// The process.
    pub sender: PeerIdentity,
    /// Its answer.
    pub content: T,
}

/// Calls other entry VMs.
#[derive(Clone)]
pub struct PeerClient {
    seal: Arc<Guarded<MessageSigner>>,
    clients: Arc<Guarded<IndexMap<String, HttpClient>>>,
    metrics: ServerMetrics,
}

impl PeerClient {
    /// A client that seals its messages with `seal`.
    pub fn new(seal: Arc<Guarded<MessageSigner>>, metrics: ServerMetrics) -> PeerClient {
        PeerClient { seal, clients: Arc::default(), metrics }
    }

    /// Calls a method of a peer and waits for the answer, but no longer than `limit`.
    pub async fn call<T, R>(
        &self,
        peer: &PeerAddress,
        method: PeerMethod,
        content: &T,
        limit: Duration,
    ) -> Result<PeerReply<R>, PeerFault>
    where
        T: Serialize,
        R: DeserializeOwned,
    {
        let invalid = |error: serde_json::Error| PeerFault::Invalid(error.to_string());
        let payload = write_call(method, content).map_err(invalid)?;
        let client = self.client(&peer.address)?;
        let end = Instant::now() + limit;
        for _ in 0..SEAL_TRIES {
            let message = self.seal.with(|seal| seal.sign(&peer.address, payload.clone()));
            self.metrics.peer_bytes(PeerDirection::Sent, message.payload.len());
            let call = client.request::<SignedAnswer, _>(method.name(), rpc_params![&message]);
            match timeout_at(end, call).await.map_err(|_| PeerFault::TimedOut)? {
                Ok(answer) => return self.open_answer(&message, &answer),
                Err(RpcError::Call(error)) if error.code() == OVERTAKEN_CODE => {}
                Err(error) => return Err(read_fault(&error)),
            }
        }
        Err(PeerFault::Invalid("the message was overtaken by others each time".to_owned()))
    }

    fn open_answer<R>(
        &self,
        message: &SignedMessage,
        answer: &SignedAnswer,
    ) -> Result<PeerReply<R>, PeerFault>
    where
        R: DeserializeOwned,
    {
        self.metrics.peer_bytes(PeerDirection::Received, answer.payload.len());
        let opened = self.seal.with(|seal| seal.verify_answer(message, answer));
        let sender = opened.map_err(|fault| PeerFault::Invalid(fault.to_string()))?;
        let content = serde_json::from_str(&answer.payload)
            .map_err(|error| PeerFault::Invalid(error.to_string()))?;
        Ok(PeerReply { sender, content })
    }

    /// Seals a text for a peer, for messages outside JSON-RPC.
    pub fn seal_text(&self, peer: &PeerAddress, text: String) -> SignedMessage {
        self.seal.with(|seal| seal.sign(&peer.address, text))
    }

    fn client(&self, address: &str) -> Result<HttpClient, PeerFault> {
        if let Some(client) = self.clients.with(|clients| clients.get(address).cloned()) {
            return Ok(client);
        }
        let client = HttpClientBuilder::default()
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .request_timeout(CALL_LIMIT)
            .connect_timeout(CONNECT_LIMIT)
            .set_tcp_no_delay(true)
            .build(format!("http://{address}/"))
            .map_err(|error| PeerFault::Invalid(error.to_string()))?;
        self.clients.with(|clients| {
            if clients.len() >= MAX_CLIENTS {
                clients.shift_remove_index(0);
            }
            clients.insert(address.to_owned(), client.clone());
        });
        Ok(client)
    }
}

fn read_fault(error: &RpcError) -> PeerFault {
    match error {
        RpcError::Call(error) => PeerFault::Invalid(error.message().to_owned()),
        RpcError::ParseError(error) => PeerFault::Invalid(error.to_string()),
        RpcError::RequestTimeout => PeerFault::TimedOut,
        RpcError::Transport(cause) if is_connect_fault(&**cause) => PeerFault::Refused,
        other => PeerFault::Lost(other.to_string()),
    }
}

/// Whether the chain of causes shows that no connection was made.
fn is_connect_fault(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<hyper_util::client::legacy::Error>() {
            return error.is_connect();
        }
        cause = error.source();
    }
    false
}
