//! Digests between the processes of the fleet, by datagram, and pulls of published values by JSON-RPC from
//! peers that have newer ones.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use jsonrpsee::{
    RpcModule,
    core::client::ClientT,
    http_client::HttpClientBuilder,
    rpc_params,
    server::{Server, ServerConfig, ServerHandle},
};
use serde::{Deserialize, Serialize};
use tarragon_fleet::prelude::*;
use tarragon_server::clock::BootClock;
use tokio::{
    net::UdpSocket,
    time::{Instant, MissedTickBehavior, interval, sleep},
};

use crate::{
    context::GatewayContext,
    reader::{take_listing, take_state},
};

/// Interval of the node's clock.
const TICK: Duration = Duration::from_millis(100);
/// Ticks between two digests.
const DIGEST_TICKS: u32 = 2;
/// Shortest time between two digests for urgent news.
const URGENT_PAUSE: Duration = Duration::from_millis(10);
/// Largest datagram that is read.
const DATAGRAM_BYTES: usize = 16 << 10;
/// The boot clock runs ahead of the runtime's clock by more than this only if the machine was suspended.
const SUSPENDED: Duration = Duration::from_millis(500);
/// Time that the own watch gets to bring a change of which a peer knows already.
const PULL_DELAY: Duration = Duration::from_millis(150);
/// Longest time for a pull.
const PULL_TIME: Duration = Duration::from_millis(1_500);
/// Age of the own listing above which a peer is asked for its listing.
const OLD_LISTING: Duration = Duration::from_millis(1_600);
/// Interval at which the age of the own listing is looked at.
const LISTING_CHECK: Duration = Duration::from_millis(700);
/// Largest answer to a pull, in bytes.
const MAX_PULL_BYTES: u32 = 16 << 20;
/// Calls of peers at once.
const MAX_PULLS: u32 = 32;

const PULL_OPERATOR: &str = "operator_state";
const PULL_TARGETS: &str = "target_listing";

/// A listing with its age at the sender.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct AgedListing {
    listing: TargetListing,
    age_ms: u64,
}

/// Keeps the node's time and sends digests, until the process ends.
pub async fn keep_time<D>(context: Arc<GatewayContext<D>>, socket: Arc<UdpSocket>)
where
    D: Send + Sync + 'static,
{
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // The first tick sends the first digest.
    let mut count = DIGEST_TICKS - 1;
    let mut clocks = ClockPair::read(&context);
    loop {
        let urgent = tokio::select! {
            _ = ticks.tick() => false,
            () = context.desk.urgent.notified() => true,
        };
        if urgent {
            sleep(URGENT_PAUSE).await;
        } else {
            count += 1;
            let new = ClockPair::read(&context);
            let suspended = new.ahead_of(&clocks);
            clocks = new;
            context.desk.run(|node, now, actions| {
                if suspended > SUSPENDED {
                    let suspended_ms = suspended.as_millis() as u64;
                    tracing::warn!(
                        suspended_ms,
                        "the machine was suspended; peers' figures are dropped"
                    );
                    node.mark_peers_silent(now);
                }
                node.tick(now, actions);
            });
        }
        if urgent || count.is_multiple_of(DIGEST_TICKS) {
            send_digests(&context, &socket, urgent).await;
        }
    }
}

/// Both clocks at one moment. The runtime's clock stands still while the machine is suspended.
struct ClockPair {
    runtime: Instant,
    boot: Duration,
}

impl ClockPair {
    fn read<D>(context: &GatewayContext<D>) -> ClockPair {
        ClockPair { runtime: Instant::now(), boot: context.clock.boot() }
    }

    /// Time that passed on the boot clock alone since an earlier moment.
    fn ahead_of(&self, earlier: &ClockPair) -> Duration {
        let boot = self.boot.saturating_sub(earlier.boot);
        boot.saturating_sub(self.runtime - earlier.runtime)
    }
}

async fn send_digests<D>(context: &GatewayContext<D>, socket: &UdpSocket, urgent: bool) {
    let (digest, recipients, present, suspects) = context.desk.run(|node, now, _| {
        let digest = node.next_digest(now);
        let present = node.members().present().count();
        (digest, node.recipients(urgent, now), present, node.scheduler().suspect_count())
    });
    let gauged = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    context.metrics.peers.set(gauged(present));
    context.metrics.suspects.set(gauged(suspects));
    context.metrics.untold_suspects.set(gauged(suspects.saturating_sub(digest.suspects.len())));
    send_digest(context, socket, &digest, &recipients.full).await;
    if !recipients.relays.is_empty() {
        let asking = PeerDigest { requests_sums: true, ..digest.clone() };
        send_digest(context, socket, &asking, &recipients.relays).await;
    }
    if recipients.subscribers.is_empty() && recipients.sums.is_empty() {
        return;
    }
    let mut sums = context.desk.run(|node, now, _| node.sum_digest(&digest, now));
    send_digest(context, socket, &sums, &recipients.subscribers).await;
    // Bytes between data centres are dear, and no receiver there is included.
    if let Some(sum) = &mut sums.centre_sum {
        sum.included.clear();
    }
    send_digest(context, socket, &sums, &recipients.sums).await;
}

async fn send_digest<D>(
    context: &GatewayContext<D>,
    socket: &UdpSocket,
    digest: &PeerDigest,
    recipients: &[SocketAddr],
) {
    if recipients.is_empty() {
        return;
    }
    let bytes = match digest.to_bytes() {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::error!(%error, "a digest can't be written");
            return;
        }
    };
    for address in recipients {
        context.metrics.peer_bytes.with_label_values(&["sent"]).inc_by(bytes.len() as u64);
        if let Err(error) = socket.send_to(&bytes, address).await {
            tracing::debug!(peer = %address, %error, "a digest was not sent");
        }
    }
}

/// Takes digests of peers, until the process ends.
pub async fn take_digests<D>(context: Arc<GatewayContext<D>>, socket: Arc<UdpSocket>)
where
    D: Send + Sync + 'static,
{
    let mut buffer = vec![0; DATAGRAM_BYTES];
    let pulling = Arc::new(AtomicBool::new(false));
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "no datagram could be read");
                sleep(URGENT_PAUSE).await;
                continue;
            }
        };
        context.metrics.peer_bytes.with_label_values(&["received"]).inc_by(length as u64);
        let digest = match PeerDigest::from_bytes(&buffer[..length]) {
            Ok(digest) => digest,
            Err(error) => {
                tracing::warn!(peer = %from, %error, "a digest can't be read");
                continue;
            }
        };
        let news =
            context.desk.run(|node, now, actions| node.receive_digest(now, from, digest, actions));
        if news.newcomer {
            let answer = context.desk.run(|node, now, _| node.answer_digest(from, now));
            send_digest(&context, &socket, &answer, &[from]).await;
        }
        if news.answered {
            let introduction = context.desk.run(|node, now, _| {
                let named = node.take_uncontacted();
                (!named.is_empty()).then(|| (node.next_digest(now), named))
            });
            if let Some((digest, named)) = introduction {
                send_digest(&context, &socket, &digest, &named).await;
            }
        }
        if (news.newer_operator_state || news.newer_listing)
            && !pulling.swap(true, Ordering::Relaxed)
        {
            let (context, pulling) = (context.clone(), pulling.clone());
            tokio::spawn(async move {
                if news.newer_operator_state {
                    pull_operator(&context, from).await;
                }
                if news.newer_listing {
                    pull_listing(&context, from).await;
                }
                pulling.store(false, Ordering::Relaxed);
            });
        }
    }
}

/// Asks a peer for what operators publish, unless the own watch brings it meanwhile.
async fn pull_operator<D>(context: &GatewayContext<D>, peer: SocketAddr) {
    if context.desk.run(|node, now, _| node.reads_operator(now)) {
        sleep(PULL_DELAY).await;
    }
    let (own, theirs) = context.desk.view(|node| {
        let member = node.members().iter().find(|(address, _)| **address == peer);
        let theirs = member.map_or(0, |(_, member)| member.digest.operator_revision);
        (node.operator_revision(), theirs)
    });
    if theirs <= own {
        return;
    }
    match pull::<D, OperatorState>(context, peer, PULL_OPERATOR).await {
        Ok(state) => take_state(context, state, "peer"),
        Err(error) => tracing::info!(%peer, %error, "a peer did not give the operator state"),
    }
}

/// Asks peers for their listing while the own one is old, until the process ends.
pub async fn follow_peer_listings<D>(context: Arc<GatewayContext<D>>)
where
    D: Send + Sync + 'static,
{
    loop {
        sleep(LISTING_CHECK).await;
        if let Some(peer) = freshest_peer(&context) {
            pull_listing(&context, peer).await;
        }
    }
}

/// Asks a peer for its listing of targets.
async fn pull_listing<D>(context: &GatewayContext<D>, peer: SocketAddr) {
    match pull::<D, AgedListing>(context, peer, PULL_TARGETS).await {
        Ok(AgedListing { listing, age_ms }) => {
            take_listing(context, &listing, Duration::from_millis(age_ms));
        }
        Err(error) => tracing::info!(%peer, %error, "a peer did not give its listing"),
    }
}

/// The peer whose listing is the newest, if the own one is old.
fn freshest_peer<D>(context: &GatewayContext<D>) -> Option<SocketAddr> {
    context.desk.run(|node, now, _| {
        let own = node.directory().age(now).unwrap_or(Duration::MAX);
        if own < OLD_LISTING {
            return None;
        }
        let ages = node.members().present().filter_map(|(address, member)| {
            let age = Duration::from_millis(u64::from(member.digest.listing_age_ms?));
            let age = age + now.saturating_duration_since(member.heard);
            (age < own).then_some((age, *address))
        });
        ages.min().map(|(_, address)| address)
    })
}

async fn pull<D, R>(
    context: &GatewayContext<D>,
    peer: SocketAddr,
    method: &str,
) -> anyhow::Result<R>
where
    R: serde::de::DeserializeOwned,
{
    let port = context.settings.pull_address().port();
    let client = HttpClientBuilder::default()
        .request_timeout(PULL_TIME)
        .max_response_size(MAX_PULL_BYTES)
        .build(format!("http://{}/", SocketAddr::new(peer.ip(), port)))?;
    let answer: Option<R> = client.request(method, rpc_params![]).await?;
    answer.ok_or_else(|| anyhow::anyhow!("the peer has none"))
}

/// Serves the pulls of peers.
pub async fn serve_pulls<D>(context: Arc<GatewayContext<D>>) -> anyhow::Result<ServerHandle>
where
    D: Send + Sync + 'static,
{
    let address = context.settings.pull_address();
    let mut module = RpcModule::new(context);
    module.register_method(PULL_OPERATOR, |_, context, _| {
        context.desk.view(|node| {
            let state = node.operator_state();
            state.configuration.is_some().then(|| state.clone())
        })
    })?;
    module.register_method(PULL_TARGETS, |_, context, _| {
        context.desk.run(|node, now, _| {
            let age = node.directory().age(now)?;
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            Some(AgedListing { listing: node.directory().listing(), age_ms })
        })
    })?;
    let config = ServerConfig::builder()
        .http_only()
        .max_connections(MAX_PULLS)
        .max_response_body_size(MAX_PULL_BYTES)
        .build();
    let server = Server::builder().set_config(config).build(address).await?;
    Ok(server.start(module))
}
