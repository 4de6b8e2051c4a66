//! Messages between processes about which build began a stream, by UDP, and queries for streams that callers take
//! up.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use indexmap::{IndexMap, IndexSet};
use tarragon_fleet::{
    digest::name_key,
    origin::{OriginAnswer, OriginMessage, OriginQuery, OriginSource, StreamKey},
    prelude::*,
};
use tarragon_server::guarded::Guarded;
use tokio::{
    net::UdpSocket,
    sync::mpsc,
    time::{sleep, timeout},
};

use crate::{context::GatewayContext, peers::MAX_DATAGRAM_BYTES};

/// Longest wait for the answers of peers. They are milliseconds away.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Source of the knowledge that a peer's answer brought, in logs and metrics.
const PEER_SOURCE: &str = "peer";

/// The socket for messages about streams, and the queries that wait for answers.
pub struct OriginLink {
    socket: UdpSocket,
    next_query: AtomicU64,
    queries: Guarded<IndexMap<u64, mpsc::UnboundedSender<OriginAnswer>>>,
}

/// A stream that a caller takes up.
#[derive(Debug, Clone, Copy)]
pub struct StreamLookup<'a> {
    /// Stream, if the caller names the transmission that brought its first event.
    pub stream: Option<StreamKey>,
    /// Service.
    pub service: &'a str,
    /// Period for which a single build must have been registered to prove that it began a stream without a
    /// record.
    pub span: Duration,
}

/// What peers have answered to one query.
#[derive(Debug, Default)]
struct OriginPoll {
    sole_builds: IndexSet<BuildKey>,
}

impl OriginPoll {
    /// Adds an answer. Returns the build if the peer has a record of the stream.
    fn add(&mut self, found: Option<(BuildKey, OriginSource)>) -> Option<BuildKey> {
        match found? {
            (build, OriginSource::Record) => Some(build),
            (build, OriginSource::SoleBuild) => {
                self.sole_builds.insert(build);
                None
            }
        }
    }

    /// The build that was the only one, unless peers disagree.
    fn sole_build(&self) -> Option<BuildKey> {
        let build = self.sole_builds.first().copied();
        build.filter(|_| self.sole_builds.len() == 1)
    }
}

/// Removes a query when its wait ends, also if the caller disconnects.
struct QueryGuard<'a> {
    link: &'a OriginLink,
    id: u64,
}

impl Drop for QueryGuard<'_> {
    fn drop(&mut self) {
        self.link.queries.with(|queries| queries.swap_remove(&self.id));
    }
}

impl OriginLink {
    /// Uses a socket that is bound to the process's address for these messages.
    pub fn new(socket: UdpSocket) -> OriginLink {
        OriginLink {
            socket,
            next_query: AtomicU64::new(rand::random()),
            queries: Guarded::default(),
        }
    }

    async fn send(&self, to: SocketAddr, message: &OriginMessage) {
        let bytes = match message.to_bytes() {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(%error, "failed to encode a message about streams");
                return;
            }
        };
        if let Err(error) = self.socket.send_to(&bytes, to).await {
            tracing::debug!(peer = %to, %error, "failed to send a message about streams");
        }
    }

    /// Passes an answer to the query that waits for it.
    fn complete_query(&self, answer: &OriginAnswer) {
        self.queries.with(|queries| {
            if let Some(sender) = queries.get(&answer.id) {
                // This fails only if the wait has just ended.
                let _ = sender.send(*answer);
            }
        });
    }
}

/// Address at which a peer receives these messages.
fn origin_address<D>(context: &GatewayContext<D>, peer: SocketAddr) -> SocketAddr {
    SocketAddr::new(peer.ip(), context.settings.origin_address().port())
}

/// Records which build began a stream, and tells the peers that keep the record. The first event is passed on
/// after that.
pub async fn record_origin<D>(
    context: &GatewayContext<D>,
    call: &RoutedCall,
    stream: StreamKey,
    build: BuildKey,
) {
    let queued = context.node.run(|node, now, _| node.record_origin(now, call, stream, build));
    if queued {
        send_messages(context).await;
    }
}

/// Sends the messages that the node has queued.
pub async fn send_messages<D>(context: &GatewayContext<D>) {
    for (peer, message) in context.node.run(|node, _, _| node.take_origin_messages()) {
        context.origins.send(origin_address(context, peer), &message).await;
    }
}

/// Tells a peer that has just started which builds were registered.
pub async fn send_ledger<D>(context: &GatewayContext<D>, peer: SocketAddr) {
    if let Some(message) = context.node.run(|node, now, _| node.ledger_message(now)) {
        context.origins.send(origin_address(context, peer), &message).await;
    }
}

/// Tells the given peers which builds were registered before this process started, if that is due.
pub async fn report_ledger<'a, D, P>(context: &GatewayContext<D>, peers: P)
where
    P: Iterator<Item = &'a SocketAddr>,
{
    if let Some(message) = context.node.run(|node, now, _| node.next_ledger_report(now)) {
        for peer in peers {
            context.origins.send(origin_address(context, *peer), &message).await;
        }
    }
}

/// Receives messages from peers, until the process ends.
pub async fn receive_messages<D>(context: Arc<GatewayContext<D>>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match context.origins.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "failed to read a datagram");
                sleep(READ_RETRY_DELAY).await;
                continue;
            }
        };
        let message = match OriginMessage::from_bytes(&buffer[..length]) {
            Ok(message) => message,
            Err(error) => {
                tracing::warn!(peer = %from, %error, "failed to decode a message about streams");
                continue;
            }
        };
        if let OriginMessage::Answer(answer) = &message {
            context.origins.complete_query(answer);
            continue;
        }
        let answer = context.node.run(|node, now, _| node.receive_origin(now, message));
        if let Some(answer) = answer {
            context.origins.send(from, &answer).await;
        }
    }
}

/// Finds the build that began a stream: by the knowledge of this process, then by that of its peers. Returns it
/// with the source of the knowledge.
pub async fn find_build<D>(
    context: &GatewayContext<D>,
    lookup: StreamLookup<'_>,
) -> Option<(BuildKey, &'static str)> {
    let StreamLookup { stream, service, span } = lookup;
    let service = name_key(service);
    let known = context.node.run(|node, now, _| node.find_origin(now, service, stream, span));
    if let Some((build, source)) = known {
        return Some((build, source.name()));
    }
    let link = &context.origins;
    let peers = context.node.view(|node| node.origin_peers(stream.unwrap_or_default()));
    let id = link.next_query.fetch_add(1, Ordering::Relaxed);
    let (sender, mut answers) = mpsc::unbounded_channel();
    link.queries.with(|queries| queries.insert(id, sender));
    let _guard = QueryGuard { link, id };
    let span_ms = u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
    let query = OriginMessage::Query(OriginQuery { id, stream, service, span_ms });
    for peer in &peers {
        link.send(origin_address(context, *peer), &query).await;
    }
    let mut poll = OriginPoll::default();
    let recorded = async {
        let mut left = peers.len();
        while left > 0 {
            let answer = answers.recv().await?;
            if answer.stream != stream {
                continue;
            }
            left -= 1;
            if let Some(build) = poll.add(answer.found) {
                return Some(build);
            }
        }
        None
    };
    let recorded = timeout(QUERY_TIMEOUT, recorded).await.ok().flatten();
    if let (Some(build), Some(stream)) = (recorded, stream) {
        context.node.run(|node, now, _| node.learn_origin(now, stream, build));
    }
    recorded.or_else(|| poll.sole_build()).map(|build| (build, PEER_SOURCE))
}
