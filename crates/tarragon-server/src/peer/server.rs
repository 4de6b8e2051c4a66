//! Serves the calls of other entry VMs.

use std::{sync::Arc, time::Duration};

use jsonrpsee::{
    RpcModule,
    server::{
        BatchRequestConfig, Methods, ServerConfig, StopHandle, TowerService, TowerServiceBuilder,
    },
    types::{ErrorObjectOwned, error::ErrorCode},
};
use serde::{Serialize, de::DeserializeOwned};
use tarragon_cluster::{
    codec::decode_digest,
    event::ClusterEvent,
    signing::{MessageSigner, SignatureFault, SignedAnswer, SignedMessage},
};
use tarragon_protocol::peer::{ForwardedCall, HandoverMessage, PeerAnnouncement, PeerIdentity};
use tower::layer::util::Identity;

use super::{
    client::{MAX_MESSAGE_BYTES, OVERTAKEN_CODE},
    envelope::{PeerMethod, read_call},
};
use crate::{
    guarded::Guarded, metrics::PeerDirection, process::ProcessContext, ticket::run_forwarded,
};

/// Calls that are served at once.
const MAX_CALLS: u32 = 8_192;
/// Longest time for a caller's deadline, as a forwarded call states it.
const MAX_REMAINING: Duration = Duration::from_millis(tarragon_protocol::header::MAX_DEADLINE_MS);

/// What the calls' handlers share.
pub struct PeerServer {
    /// The process.
    pub process: Arc<ProcessContext>,
    /// Opens messages and seals answers.
    pub seal: Arc<Guarded<MessageSigner>>,
}

/// The service for the JSON-RPC calls.
pub type PeerService = TowerService<Identity, Identity>;

impl PeerServer {
    /// A service for all calls.
    pub fn into_service(self, stop: StopHandle) -> anyhow::Result<PeerService> {
        let mut module = RpcModule::new(self);
        for method in PeerMethod::ALL {
            module.register_async_method(method.name(), move |params, server, _| async move {
                let message: SignedMessage = params.one()?;
                server.serve(method, message).await
            })?;
        }
        let config = ServerConfig::builder()
            .http_only()
            .max_connections(MAX_CALLS)
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .set_batch_request_config(BatchRequestConfig::Disabled)
            .build();
        let builder: TowerServiceBuilder<Identity, Identity> =
            jsonrpsee::server::Server::builder().set_config(config).to_service_builder();
        Ok(builder.build(Methods::from(module), stop))
    }

    async fn serve(
        &self,
        method: PeerMethod,
        message: SignedMessage,
    ) -> Result<SignedAnswer, ErrorObjectOwned> {
        self.process.metrics.peer_bytes(PeerDirection::Received, message.payload.len());
        let sender = self.seal.with(|seal| seal.verify(&message)).map_err(|fault| {
            tracing::warn!(method = method.name(), sender = &*message.sender, %fault, "refused a message");
            let invalid = ErrorCode::InvalidParams.code();
            let code = if fault == SignatureFault::TooOld { OVERTAKEN_CODE } else { invalid };
            ErrorObjectOwned::owned(code, fault.to_string(), None::<()>)
        })?;
        let payload = self.answer(method, sender, &message.payload).await?;
        self.process.metrics.peer_bytes(PeerDirection::Sent, payload.len());
        Ok(self.seal.with(|seal| seal.sign_answer(&message, payload)))
    }

    async fn answer(
        &self,
        method: PeerMethod,
        sender: PeerIdentity,
        text: &str,
    ) -> Result<String, ErrorObjectOwned> {
        let link = &self.process.link;
        match method {
            PeerMethod::Gossip => {
                let text: String = read(method, text)?;
                let digest = decode_digest(&text).map_err(|fault| refuse(&fault.to_string()))?;
                if digest.sender != sender {
                    return Err(refuse("the digest names another sender"));
                }
                link.cluster_event(ClusterEvent::GossipReceived(digest)).await;
                write(&())
            }
            PeerMethod::Announce => {
                let news: PeerAnnouncement = read(method, text)?;
                link.cluster_event(ClusterEvent::AnnouncementReceived(sender, news)).await;
                write(&())
            }
            PeerMethod::PullConfiguration => {
                let version = read(method, text)?;
                write(&link.configuration_transfer(version).await)
            }
            PeerMethod::PullVmList => {
                let version = read(method, text)?;
                write(&link.vm_list_transfer(version).await)
            }
            PeerMethod::BorrowSlot => write(&link.lend_slot(sender, read(method, text)?).await),
            PeerMethod::ReturnSlot => {
                link.take_back_slot(read(method, text)?).await;
                write(&())
            }
            PeerMethod::RunTicket => {
                let mut call: ForwardedCall = read(method, text)?;
                call.remaining_ms = call.remaining_ms.min(MAX_REMAINING.as_millis() as u64);
                write(&run_forwarded(&self.process, call).await)
            }
            PeerMethod::QueryTicket => {
                let ticket: String = read(method, text)?;
                write(&link.query_ticket(ticket).await)
            }
            PeerMethod::Handover => {
                let records: HandoverMessage = read(method, text)?;
                tracing::info!(
                    sender = &*sender.vm,
                    owner = &*records.owner.vm,
                    records = records.records.len(),
                    "records of an ended process arrived"
                );
                write(&link.adopt_records(records).await)
            }
            PeerMethod::Relay => Err(refuse("requests are relayed over HTTP")),
        }
    }
}

fn read<T>(method: PeerMethod, text: &str) -> Result<T, ErrorObjectOwned>
where
    T: DeserializeOwned,
{
    read_call(method, text).map_err(|fault| refuse(&fault.to_string()))
}

fn write<T>(answer: &T) -> Result<String, ErrorObjectOwned>
where
    T: Serialize,
{
    serde_json::to_string(answer).map_err(|error| refuse(&error.to_string()))
}

fn refuse(message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(ErrorCode::InvalidParams.code(), message, None::<()>)
}
