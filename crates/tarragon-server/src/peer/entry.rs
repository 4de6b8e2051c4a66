//! The service on the peer address: JSON-RPC calls and relayed requests.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use jsonrpsee::server::HttpBody;
use tarragon_cluster::signing::MessageSigner;
use tower::{Service, ServiceBuilder, service_fn};

use super::{relay::RELAY_PREFIX, server::PeerService};
use crate::{
    caller::{
        answer::{AnswerBody, CallerAnswer},
        layer::ContextLayer,
        router::handle_relay,
    },
    guarded::Guarded,
    process::ProcessContext,
};

/// Body of an answer on the peer address.
#[derive(Debug)]
pub enum PeerBody {
    /// Answer to a relayed request.
    Relay(AnswerBody),
    /// Answer to a JSON-RPC call.
    Call(HttpBody),
}

impl Body for PeerBody {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            PeerBody::Relay(body) => Pin::new(body).poll_frame(context).map_err(Into::into),
            PeerBody::Call(body) => Pin::new(body).poll_frame(context).map_err(Into::into),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            PeerBody::Relay(body) => body.is_end_stream(),
            PeerBody::Call(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            PeerBody::Relay(body) => body.size_hint(),
            PeerBody::Call(body) => body.size_hint(),
        }
    }
}

/// Serves the peer address.
#[derive(Clone)]
pub struct PeerEntry {
    process: Arc<ProcessContext>,
    seal: Arc<Guarded<MessageSigner>>,
    calls: PeerService,
}

impl PeerEntry {
    /// An entry that passes calls on to `calls`.
    pub fn new(
        process: Arc<ProcessContext>,
        seal: Arc<Guarded<MessageSigner>>,
        calls: PeerService,
    ) -> PeerEntry {
        PeerEntry { process, seal, calls }
    }

    /// The entry as a tower service.
    pub fn into_service(
        self,
    ) -> impl Service<
        Request<Incoming>,
        Response = Response<PeerBody>,
        Error = Infallible,
        Future: Send + 'static,
    > + Clone
    + Send
    + 'static {
        service_fn(move |message: Request<Incoming>| {
            let entry = self.clone();
            async move { Ok(entry.serve(message).await) }
        })
    }

    async fn serve(mut self, message: Request<Incoming>) -> Response<PeerBody> {
        if message.uri().path().starts_with(RELAY_PREFIX) {
            return self.relay(message).await.map(PeerBody::Relay);
        }
        match self.calls.call(message).await {
            Ok(answer) => answer.map(PeerBody::Call),
            Err(error) => {
                tracing::warn!(%error, "a call could not be served");
                let mut answer = Response::new(PeerBody::Relay(AnswerBody::Whole(None)));
                *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                answer
            }
        }
    }

    async fn relay(self, message: Request<Incoming>) -> CallerAnswer {
        let (process, seal) = (self.process.clone(), self.seal);
        let mut service = ServiceBuilder::new()
            .layer(ContextLayer { process: self.process })
            .service(service_fn(move |message: Request<Incoming>| {
                let (process, seal) = (process.clone(), seal.clone());
                async move { Ok::<_, Infallible>(handle_relay(process, seal, message).await) }
            }));
        match service.call(message).await {
            Ok(answer) => answer,
            Err(never) => match never {},
        }
    }
}
