//! Starts a process that forwards calls.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use jsonrpsee::server::ServerHandle;
use tarragon_config::settings::GatewaySettings;
use tarragon_fleet::prelude::*;
use tarragon_server::{
    caller::listener::{bind_bounded, connections_by_memory},
    clock::{ProcessClock, SystemClock, now},
    guarded::Guarded,
    memory::{AccountBounds, MemoryAccount, MemoryShare},
    process::RequestIds,
    serve::bind,
    target::{
        body::AnswerRoom,
        pool::{ConnectionPool, TargetDialer},
    },
};
use tokio::net::UdpSocket;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    connections::{ConnectionBounds, ConnectionTable},
    context::{ForwardLimits, GatewayContext},
    evidence::CacheEvidence,
    explain::{EXPLAIN_PATH, explain_page},
    lending::{self, LendingSender},
    listener::{ListenerSignals, PageAnswer, listen, serve_page},
    metrics::GatewayMetrics,
    origins::{self, OriginLink},
    peers,
    platform::{CallProtocol, PublishedStore},
    reader,
    relay::{RelayLink, probe_links, server::serve_relays},
    shared_node::SharedNode,
};

/// Limits of the queue. Requests that targets can't serve within some seconds are refused long before these.
const QUEUE_LIMITS: SchedulerLimits =
    SchedulerLimits { waiting: 2_048, waiting_tokens: 32_000_000 };

/// Media type of the metrics page.
pub(crate) const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Options that tests override.
#[derive(Debug, Clone)]
pub struct GatewayOptions {
    /// Clocks.
    pub clock: ProcessClock,
    /// Time limits of calls.
    pub limits: ForwardLimits,
    /// Seed of all random choices; random if absent.
    pub seed: Option<u64>,
    /// Opens connections to targets.
    pub dialer: TargetDialer,
}

impl Default for GatewayOptions {
    fn default() -> GatewayOptions {
        GatewayOptions {
            clock: ProcessClock::System(SystemClock),
            limits: ForwardLimits::default(),
            seed: None,
            dialer: TargetDialer::default(),
        }
    }
}

/// A running process.
pub struct GatewayHandle<D> {
    /// Address for callers.
    pub caller_address: SocketAddr,
    context: Arc<GatewayContext<D>>,
    pub(crate) signals: ListenerSignals,
    pull_server: ServerHandle,
    /// Time from the shutdown signal until the process is killed.
    grace: Guarded<Duration>,
}

/// Binds all addresses and starts the tasks of the process.
pub async fn start<D, S>(
    settings: GatewaySettings,
    protocol: D,
    store: S,
    options: GatewayOptions,
) -> anyhow::Result<GatewayHandle<D>>
where
    D: CallProtocol,
    S: PublishedStore,
{
    let caller_listener = bind_bounded(settings.caller_address, "caller_address")?;
    let ready_listener = bind(settings.ready_address, "ready_address").await?;
    let metrics_listener = bind(settings.metrics_address(), "peer_ports").await?;
    let peer_address = settings.peer_address();
    let socket = UdpSocket::bind(peer_address)
        .await
        .with_context(|| format!("peer_ports: {peer_address} can't be bound"))?;
    let origin_address = settings.origin_address();
    let origin_socket = UdpSocket::bind(origin_address)
        .await
        .with_context(|| format!("peer_ports: {origin_address} can't be bound"))?;
    let relay_listener = match settings.relay_address() {
        Some(address) => Some(bind_bounded(address, "peer_ports")?),
        None => {
            tracing::warn!("peer_ports has no port for attempts of peers; none are taken or sent");
            None
        }
    };
    let lending_socket = match settings.lending_address() {
        Some(address) => Some(bind_lending(address).await?),
        None => {
            tracing::warn!("peer_ports has no port for loans of slots; slots are not divided");
            None
        }
    };
    let (lending_sender, lending_socket) = lending_socket.unzip();
    let caller_address = caller_listener.local_addr()?;
    let seed = options.seed.unwrap_or_else(rand::random);
    let mut node = FleetNode::new(node_settings(&settings), seed, now());
    if lending_sender.is_some() {
        node.open_lending();
    }
    let bounds = AccountBounds::for_memory(settings.memory_bytes);
    let connection_bounds = ConnectionBounds::for_descriptors(settings.max_descriptors)
        .at_most(connections_by_memory(&bounds));
    let memory = MemoryAccount::new(bounds);
    let context = Arc::new(GatewayContext {
        protocol,
        node: Arc::new(SharedNode::new(node, lending_sender)),
        origins: OriginLink::new(origin_socket),
        evidence: CacheEvidence::default(),
        pool: ConnectionPool::with_dialer(options.dialer),
        relays: RelayLink::new(settings.peer_address().ip()),
        metrics: GatewayMetrics::new()?,
        clock: options.clock,
        limits: options.limits,
        answers: AnswerRoom::new(memory.clone()),
        memory,
        connections: ConnectionTable::new(connection_bounds),
        ids: RequestIds::new(rand::random()),
        tasks: TaskTracker::new(),
        ending: CancellationToken::new(),
        abort: CancellationToken::new(),
        settings,
    });
    let pull_server = peers::serve_pulls(context.clone())
        .await
        .context("the server for pulls can't be started")?;
    let signals = ListenerSignals::default();
    spawn_followers(&context, &Arc::new(socket), &Arc::new(store));
    if let Some(socket) = lending_socket {
        let (shared, socket) = (context.clone(), Arc::new(socket));
        context.spawn_background("loans", move || {
            lending::receive_messages(shared.clone(), socket.clone())
        });
    }
    tokio::spawn(listen(caller_listener, context.clone(), signals.clone()));
    if let Some(listener) = relay_listener {
        context.node.run(|node, _, _| node.open_relay());
        tokio::spawn(serve_relays(listener, context.clone(), signals.clone()));
    }
    let (pages, abort) = (context.clone(), context.abort.clone());
    tokio::spawn(serve_page(ready_listener, move |_| readiness_page(pages.clone()), abort.clone()));
    let pages = context.clone();
    tokio::spawn(serve_page(
        metrics_listener,
        move |message| observer_page(pages.clone(), message),
        abort,
    ));
    tracing::info!(
        vm = &*context.settings.vm, data_centre = &*context.settings.data_centre,
        callers = %caller_address, store = %context.settings.store_address,
        seeds = context.settings.seeds.len(), first_start = context.settings.first_start,
        "process has started"
    );
    let grace = Guarded::new(context.settings.grace);
    Ok(GatewayHandle { caller_address, context, signals, pull_server, grace })
}

/// Binds the socket for messages about loans of slots. The sender has a handle of its own, which doesn't block.
async fn bind_lending(address: SocketAddr) -> anyhow::Result<(LendingSender, UdpSocket)> {
    let socket = UdpSocket::bind(address)
        .await
        .with_context(|| format!("peer_ports: {address} can't be bound"))?;
    let socket = socket.into_std()?;
    let sender = LendingSender::new(socket.try_clone()?, address.port());
    Ok((sender, UdpSocket::from_std(socket)?))
}

/// Starts the tasks that exchange digests and read published values.
fn spawn_followers<D, S>(context: &Arc<GatewayContext<D>>, socket: &Arc<UdpSocket>, store: &Arc<S>)
where
    D: CallProtocol,
    S: PublishedStore,
{
    let (shared, udp) = (context.clone(), socket.clone());
    context.spawn_background("ticks", move || peers::run_ticks(shared.clone(), udp.clone()));
    let (shared, udp) = (context.clone(), socket.clone());
    context
        .spawn_background("digests", move || peers::receive_digests(shared.clone(), udp.clone()));
    let shared = context.clone();
    context.spawn_background("peer_listings", move || {
        peers::refresh_listing_from_peers(shared.clone())
    });
    let shared = context.clone();
    context.spawn_background("links", move || probe_links(shared.clone()));
    let shared = context.clone();
    context.spawn_background("streams", move || origins::receive_messages(shared.clone()));
    let (shared, reader) = (context.clone(), store.clone());
    context.spawn_background("build_history", move || {
        reader::read_build_history(shared.clone(), reader.clone())
    });
    let (shared, reader) = (context.clone(), store.clone());
    context.spawn_background("operator", move || {
        reader::follow_operator(shared.clone(), reader.clone())
    });
    let (shared, reader) = (context.clone(), store.clone());
    context.spawn_background("targets", move || {
        reader::follow_targets(shared.clone(), reader.clone())
    });
}

fn node_settings(settings: &GatewaySettings) -> FleetSettings {
    FleetSettings {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: rand::random(),
        peer_address: settings.peer_address(),
        seeds: settings.seed_addresses(),
        first_start: settings.first_start,
        bounds: FleetBounds {
            retry_ratio: settings.bounds.retry_ratio,
            retry_slack: settings.bounds.retry_slack,
            quota: QuotaBounds {
                window: settings.bounds.quota_window,
                overage: settings.bounds.quota_overage,
                slack: settings.bounds.quota_slack,
            },
            freshness: FreshnessBounds {
                change: settings.bounds.change_time.min(settings.bounds.evacuation_time),
                contact: settings.bounds.contact_time,
                leave: settings.bounds.leave_time,
            },
        },
        limits: QUEUE_LIMITS,
    }
}

async fn readiness_page<D>(context: Arc<GatewayContext<D>>) -> PageAnswer {
    let ready = context.node.view(FleetNode::is_ready) && !context.connections.is_low();
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    page(status, METRICS_TYPE, Bytes::new())
}

/// The explanation of a request on its path, the metrics on any other.
async fn observer_page<D>(context: Arc<GatewayContext<D>>, message: Request<Incoming>) -> PageAnswer
where
    D: CallProtocol,
{
    if message.uri().path() == EXPLAIN_PATH {
        return explain_page(context, message).await;
    }
    for share in MemoryShare::ALL {
        let used = i64::try_from(context.memory.used(share)).unwrap_or(i64::MAX);
        context.metrics.memory_bytes.with_label_values(&[share.name()]).set(used);
    }
    let given_up = context.memory.given_up_transfers();
    context.metrics.given_up_transfers.set(i64::try_from(given_up).unwrap_or(i64::MAX));
    match context.metrics.encode() {
        Ok(text) => page(StatusCode::OK, METRICS_TYPE, text.into()),
        Err(error) => {
            tracing::error!(%error, "failed to encode metrics");
            page(StatusCode::INTERNAL_SERVER_ERROR, METRICS_TYPE, Bytes::new())
        }
    }
}

/// A page of a media type.
pub(crate) fn page(status: StatusCode, media_type: &'static str, body: Bytes) -> PageAnswer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    let media_type = header::HeaderValue::from_static(media_type);
    answer.headers_mut().insert(header::CONTENT_TYPE, media_type);
    answer
}

impl<D> GatewayHandle<D>
where
    D: CallProtocol,
{
    /// The state that the process's tasks share.
    pub fn context(&self) -> &Arc<GatewayContext<D>> {
        &self.context
    }

    /// Time from the shutdown signal until the process is killed.
    pub fn grace(&self) -> Duration {
        self.grace.with(|grace| *grace)
    }

    /// Takes those settings that can change while the process runs: the addresses of the seeds, and the grace
    /// period.
    pub fn apply_settings(&self, settings: &GatewaySettings) {
        self.context.node.run(|node, _, _| node.set_seeds(&settings.seed_addresses()));
        self.grace.with(|grace| *grace = settings.grace);
    }

    /// Cancels all tasks at once, as a crash would.
    pub fn abort(self) {
        self.context.abort.cancel();
        // This fails only if the server has already stopped.
        let _ = self.pull_server.stop();
    }
}
