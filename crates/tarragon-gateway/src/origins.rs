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

use indexmap::IndexMap;
use tarragon_fleet::{
    digest::name_key,
    origin::{OriginAnswer, OriginMessage, OriginPoll, OriginQuery, OriginSource, StreamKey},
    prelude::*,
};
use tarragon_server::guarded::Guarded;
use tokio::{
    net::UdpSocket,
    sync::mpsc,
    time::{Instant, sleep, timeout},
};

use crate::{context::GatewayContext, peers::MAX_DATAGRAM_BYTES};

/// Longest wait for the answers of peers. They are milliseconds away.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest wait for the next listing of the store, which is read about once a second, and how often it is checked.
const LISTING_WAIT: Duration = Duration::from_millis(1_200);
const LISTING_CHECK_INTERVAL: Duration = Duration::from_millis(30);
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
    let asked = Instant::now().into_std();
    let find = || context.node.run(|node, now, _| node.find_origin(now, service, stream, span));
    let known = find();
    if let Some((build, OriginSource::Record)) = known {
        return Some((build, OriginSource::Record.name()));
    }
    let peers = context.node.view(|node| node.origin_peers(stream.unwrap_or_default()));
    let mut poll = OriginPoll::new(known, peers.len());
    let span_ms = u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
    let query = OriginQuery { id: 0, stream, service, span_ms };
    ask_peers(context, &peers, query, &mut poll).await;
    if let Some(build) = poll.recorded() {
        if let Some(stream) = stream {
            context.node.run(|node, now, _| node.learn_origin(now, stream, build));
        }
        return Some((build, PEER_SOURCE));
    }
    if let Some(build) = poll.sole_build() {
        let is_own = matches!(known, Some((_, OriginSource::SoleBuild)));
        return Some((build, if is_own { OriginSource::SoleBuild.name() } else { PEER_SOURCE }));
    }
    // Without peers that confirm it, only a listing read from now on shows that no other build has joined.
    poll.claimed_build()?;
    let is_listed = async {
        while !context.node.run(|node, _, _| node.has_listed_since(asked)) {
            sleep(LISTING_CHECK_INTERVAL).await;
        }
    };
    timeout(LISTING_WAIT, is_listed).await.ok()?;
    let (build, source) = find()?;
    (source != OriginSource::SeveralBuilds).then(|| (build, source.name()))
}

/// Asks peers which build began a stream, until one has a record of it or all have answered.
async fn ask_peers<D>(
    context: &GatewayContext<D>,
    peers: &[SocketAddr],
    query: OriginQuery,
    poll: &mut OriginPoll,
) {
    let link = &context.origins;
    let id = link.next_query.fetch_add(1, Ordering::Relaxed);
    let (sender, mut answers) = mpsc::unbounded_channel();
    link.queries.with(|queries| queries.insert(id, sender));
    let _guard = QueryGuard { link, id };
    let message = OriginMessage::Query(OriginQuery { id, ..query });
    for peer in peers {
        link.send(origin_address(context, *peer), &message).await;
    }
    let answered = async {
        while poll.is_open() {
            let Some(answer) = answers.recv().await else { return };
            if answer.stream == query.stream {
                poll.add(answer.found);
            }
        }
    };
    if timeout(QUERY_TIMEOUT, answered).await.is_err() {
        tracing::info!(asked = peers.len(), "not all peers told which build began a stream");
    }
}
