//! Communication between the processes of the fleet: digests by UDP, and pulls of newer published values from
//! peers by JSON-RPC.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
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
    sync::Semaphore,
    time::{Instant, MissedTickBehavior, interval, sleep},
};

use crate::{
    context::GatewayContext,
    origins::{report_ledger, send_ledger, send_messages},
    reader::{apply_listing, apply_operator_state},
};

/// Interval at which the node's periodic work runs.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of ticks between two digests.
const TICKS_PER_DIGEST: u32 = 2;
/// Delay before an urgent digest, which is also the shortest time between two of them. Also the delay after a
/// failed read.
const URGENT_DIGEST_DELAY: Duration = Duration::from_millis(10);
/// Largest datagram that can be received.
pub const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// If the boot clock advances further than the runtime's clock by more than this, the machine was
/// suspended.
const SUSPEND_THRESHOLD: Duration = Duration::from_millis(500);
/// If a tick is later than this, the process had no turn: its processor was busy or taken away.
const STALL_THRESHOLD: Duration = Duration::from_millis(300);
/// How long a pull waits for this process's own watch to deliver the change that a peer already has.
const PULL_DELAY: Duration = Duration::from_millis(150);
/// Longest time for one pull.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Age of this process's target listing above which a peer is asked for its listing.
const MAX_LISTING_AGE: Duration = Duration::from_millis(1_600);
/// Interval at which the age of this process's listing is checked.
const LISTING_CHECK_INTERVAL: Duration = Duration::from_millis(700);
/// Largest answer to a pull.
const MAX_PULL_BYTES: u32 = 16 << 20;
/// Most concurrent connections of peers that pull.
const MAX_PULL_CONNECTIONS: u32 = 32;

const OPERATOR_METHOD: &str = "operator_state";
const TARGETS_METHOD: &str = "target_listing";

/// A target listing with its age when it was sent.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct AgedListing {
    listing: TargetListing,
    age_ms: u64,
}

/// Runs the node's periodic work and sends digests, until the process ends.
pub async fn run_ticks<D>(context: Arc<GatewayContext<D>>, socket: Arc<UdpSocket>)
where
    D: Send + Sync + 'static,
{
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // Starts so that the first tick sends a digest.
    let mut count = TICKS_PER_DIGEST - 1;
    let mut clocks = ClockReading::read(&context);
    loop {
        let urgent = tokio::select! {
            due = ticks.tick() => {
                report_stall(&context, due.elapsed());
                false
            }
            () = context.node.urgent_digest.notified() => true,
        };
        if urgent {
            sleep(URGENT_DIGEST_DELAY).await;
        } else {
            count += 1;
            let new = ClockReading::read(&context);
            let suspended = new.suspended_since(&clocks);
            clocks = new;
            context.node.run(|node, now, actions| {
                if suspended > SUSPEND_THRESHOLD {
                    let suspended_ms = suspended.as_millis() as u64;
                    tracing::warn!(
                        suspended_ms,
                        "the machine was suspended; discarding the peers' figures"
                    );
                    node.resume(now, suspended);
                }
                node.tick(now, actions);
            });
        }
        if urgent || count.is_multiple_of(TICKS_PER_DIGEST) {
            send_digests(&context, &socket, urgent).await;
        }
    }
}

/// Counts and logs a tick that is late because the event loop stalled.
fn report_stall<D>(context: &GatewayContext<D>, late: Duration) {
    if late > STALL_THRESHOLD {
        context.metrics.stalls.inc();
        tracing::warn!(late_ms = late.as_millis() as u64, "event loop stalled");
    }
}

/// Both clocks, read at the same time. The runtime's clock stops while the machine is suspended, the boot
/// clock does not.
struct ClockReading {
    runtime: Instant,
    boot: Duration,
}

impl ClockReading {
    fn read<D>(context: &GatewayContext<D>) -> ClockReading {
        ClockReading { runtime: Instant::now(), boot: context.clock.boot() }
    }

    /// Time for which the machine was suspended since an earlier reading.
    fn suspended_since(&self, earlier: &ClockReading) -> Duration {
        let boot = self.boot.saturating_sub(earlier.boot);
        boot.saturating_sub(self.runtime - earlier.runtime)
    }
}

async fn send_digests<D>(context: &GatewayContext<D>, socket: &UdpSocket, urgent: bool) {
    let (digest, recipients, present, suspects, limited) = context.node.run(|node, now, _| {
        node.set_carried(context.relays.carried.load(Ordering::Relaxed));
        let digest = node.next_digest(now);
        let present = node.members().present().count();
        let suspects = node.scheduler().suspect_count();
        context.metrics.take_counts(node.scheduler().statistics());
        context.metrics.take_loan_counts(&node.lending_statistics());
        let directory = node.directory();
        let limited = [directory.limited().count(), directory.rejection_limited().count()];
        (digest, node.recipients(urgent, now), present, suspects, limited)
    });
    let gauge_value = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    context.metrics.peers.set(gauge_value(present));
    context.metrics.limited_targets.set(gauge_value(limited[0]));
    context.metrics.rejection_limited_targets.set(gauge_value(limited[1]));
    context.metrics.suspects.set(gauge_value(suspects));
    context
        .metrics
        .unannounced_suspects
        .set(gauge_value(suspects.saturating_sub(digest.suspects.len())));
    send_digest(context, socket, &digest, &recipients.full).await;
    if !urgent {
        report_ledger(context, recipients.full.iter().chain(&recipients.subscribers)).await;
        send_messages(context).await;
    }
    if !recipients.relays.is_empty() {
        let sums_request = PeerDigest { requests_sums: true, ..digest.clone() };
        send_digest(context, socket, &sums_request, &recipients.relays).await;
    }
    if recipients.subscribers.is_empty() && recipients.sums.is_empty() {
        return;
    }
    let mut sums = context.node.run(|node, now, _| node.sum_digest(&digest, now));
    send_digest(context, socket, &sums, &recipients.subscribers).await;
    // Traffic between data centres is expensive, and receivers in other data centres are not among the
    // included processes.
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
            tracing::error!(%error, "failed to encode a digest");
            return;
        }
    };
    for address in recipients {
        context.metrics.peer_bytes.with_label_values(&["sent"]).inc_by(bytes.len() as u64);
        if let Err(error) = socket.send_to(&bytes, address).await {
            tracing::debug!(peer = %address, %error, "failed to send a digest");
        }
    }
}

/// Receives digests of peers and pulls newer published values from them, until the process ends.
pub async fn receive_digests<D>(context: Arc<GatewayContext<D>>, socket: Arc<UdpSocket>)
where
    D: Send + Sync + 'static,
{
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let pulls = Arc::new(Semaphore::new(1));
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "failed to read a datagram");
                sleep(URGENT_DIGEST_DELAY).await;
                continue;
            }
        };
        context.metrics.peer_bytes.with_label_values(&["received"]).inc_by(length as u64);
        let digest = match PeerDigest::from_bytes(&buffer[..length]) {
            Ok(digest) => digest,
            Err(error) => {
                tracing::warn!(peer = %from, %error, "failed to decode a peer's digest");
                continue;
            }
        };
        let news =
            context.node.run(|node, now, actions| node.receive_digest(now, from, digest, actions));
        if news.newcomer {
            let answer = context.node.run(|node, now, _| node.answer_digest(from, now));
            send_digest(&context, &socket, &answer, &[from]).await;
            send_ledger(&context, from).await;
        }
        if news.answered {
            let introduction = context.node.run(|node, now, _| {
                let peers = node.take_uncontacted();
                (!peers.is_empty()).then(|| (node.next_digest(now), peers))
            });
            if let Some((digest, peers)) = introduction {
                send_digest(&context, &socket, &digest, &peers).await;
            }
        }
        if (news.newer_operator_state || news.newer_listing)
            && let Ok(permit) = pulls.clone().try_acquire_owned()
        {
            let context = context.clone();
            tokio::spawn(async move {
                let _permit = permit;
                if news.newer_operator_state {
                    pull_operator(&context, from).await;
                }
                if news.newer_listing {
                    pull_listing(&context, from).await;
                }
            });
        }
    }
}

/// Pulls the operator state from a peer, unless this process's own watch delivers it in the meantime.
async fn pull_operator<D>(context: &GatewayContext<D>, peer: SocketAddr) {
    if context.node.run(|node, now, _| node.reads_operator(now)) {
        sleep(PULL_DELAY).await;
    }
    let is_behind = context.node.view(|node| {
        let member = node.members().iter().find(|(address, _)| **address == peer);
        member.is_some_and(|(_, member)| node.has_older_operator_state(&member.digest))
    });
    if !is_behind {
        return;
    }
    match pull::<D, OperatorState>(context, peer, OPERATOR_METHOD).await {
        Ok(state) => apply_operator_state(context, state, "peer"),
        Err(error) => tracing::info!(%peer, %error, "failed to get the operator state from a peer"),
    }
}

/// Pulls the target listing from a peer whenever this process's own one is too old, until the process ends.
pub async fn refresh_listing_from_peers<D>(context: Arc<GatewayContext<D>>)
where
    D: Send + Sync + 'static,
{
    loop {
        sleep(LISTING_CHECK_INTERVAL).await;
        if let Some(peer) = freshest_peer(&context) {
            pull_listing(&context, peer).await;
        }
    }
}

/// Pulls the target listing from a peer.
async fn pull_listing<D>(context: &GatewayContext<D>, peer: SocketAddr) {
    match pull::<D, AgedListing>(context, peer, TARGETS_METHOD).await {
        Ok(AgedListing { listing, age_ms }) => {
            apply_listing(context, &listing, Duration::from_millis(age_ms));
            send_messages(context).await;
        }
        Err(error) => tracing::info!(%peer, %error, "failed to get the target listing from a peer"),
    }
}

/// The peer with the newest listing, if this process's own one is too old and the peer's is newer.
fn freshest_peer<D>(context: &GatewayContext<D>) -> Option<SocketAddr> {
    context.node.run(|node, now, _| {
        let own = node.directory().age(now).unwrap_or(Duration::MAX);
        if own < MAX_LISTING_AGE {
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
        .request_timeout(PULL_TIMEOUT)
        .max_response_size(MAX_PULL_BYTES)
        .build(format!("http://{}/", SocketAddr::new(peer.ip(), port)))?;
    let answer: Option<R> = client.request(method, rpc_params![]).await?;
    answer.ok_or_else(|| anyhow::anyhow!("the peer has no such value"))
}

/// Starts the JSON-RPC server that answers the pulls of peers.
pub async fn serve_pulls<D>(context: Arc<GatewayContext<D>>) -> anyhow::Result<ServerHandle>
where
    D: Send + Sync + 'static,
{
    let address = context.settings.pull_address();
    let mut module = RpcModule::new(context);
    module.register_method(OPERATOR_METHOD, |_, context, _| {
        context.node.view(|node| {
            let state = node.operator_state();
            state.configuration.is_some().then(|| state.clone())
        })
    })?;
    module.register_method(TARGETS_METHOD, |_, context, _| {
        context.node.run(|node, now, _| {
            let age = node.directory().age(now)?;
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            Some(AgedListing { listing: node.directory().listing(), age_ms })
        })
    })?;
    let config = ServerConfig::builder()
        .http_only()
        .max_connections(MAX_PULL_CONNECTIONS)
        .max_response_body_size(MAX_PULL_BYTES)
        .build();
    let server = Server::builder().set_config(config).build(address).await?;
    Ok(server.start(module))
}
