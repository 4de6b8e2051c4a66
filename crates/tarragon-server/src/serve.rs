//! Starts a process: binds its addresses, starts its tasks and returns a handle.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{Context, ensure};
use tarragon_cluster::{
    cluster::ClusterSettings, key::PeerKeys, signing::MessageSigner, slot::SETTLING_TIME,
};
use tarragon_node::prelude::*;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tower::{ServiceBuilder, service_fn};

use crate::{
    admin,
    caller::{
        layer::ContextLayer,
        listener::{
            ConnectionBounds, ListenerGauges, ListenerLimits, ListenerSignals, bind_bounded,
            connections_by_memory, listen,
        },
        router,
    },
    clock::{ProcessClock, SystemClock, now},
    guarded::Guarded,
    memory::{AccountBounds, MemoryAccount},
    metrics::ServerMetrics,
    node_task::{NodeTask, NodeTaskParts},
    peer::{client::PeerClient, entry::PeerEntry, server::PeerServer},
    platform::{PlatformClient, files::OwnAddresses},
    process::{ProcessContext, ProcessView, RequestIds},
    settings::ServeSettings,
    shutdown::{self, EndSignals, ShutdownReport},
    target::{body::AnswerRoom, pool::ConnectionPool, timeouts::TargetTimeouts},
};

/// Connections of operators at once.
const ADMIN_CONNECTIONS: usize = 64;
/// Connections of other entry VMs at once, above the fleet of the design scale.
const PEER_CONNECTIONS: usize = 2_048;

/// What tests replace.
#[derive(Debug, Clone)]
pub struct ServeOptions {
    /// Clocks.
    pub clock: ProcessClock,
    /// Time-outs of calls to targets.
    pub timeouts: TargetTimeouts,
    /// Seed of all random choices; drawn at random if absent.
    pub seed: Option<u64>,
    /// Time before slots that a new view gives are used.
    pub settling: Duration,
}

impl Default for ServeOptions {
    fn default() -> ServeOptions {
        ServeOptions {
            clock: ProcessClock::System(SystemClock),
            timeouts: TargetTimeouts::default(),
            seed: None,
            settling: SETTLING_TIME,
        }
    }
}

/// A running process.
pub struct ServerHandle {
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other entry VMs.
    pub peer_address: SocketAddr,
    /// Address for operators.
    pub admin_address: SocketAddr,
    /// The process among its peers.
    pub identity: PeerIdentity,
    process: Arc<ProcessContext>,
    ended: JoinHandle<ShutdownReport>,
}

impl ServerHandle {
    /// State of the process.
    pub async fn dump(&self) -> Option<serde_json::Value> {
        let node = self.process.link.dump().await?;
        Some(admin::process_dump(&self.process, node))
    }

    /// Whether the load balancer shall send work here.
    pub fn is_ready(&self) -> bool {
        let view = self.process.view.borrow();
        view.ready && !view.draining
    }

    /// Waits until the process is ready.
    pub async fn ready(&self) {
        let mut view = self.process.view.clone();
        // The sender lives as long as the node's task; a process that has ended never becomes ready.
        let _ = view.wait_for(|view| view.ready && !view.draining).await;
    }

    /// Metrics in the prometheus format.
    pub fn metrics(&self) -> anyhow::Result<String> {
        self.process.metrics.observe_memory(&self.process.memory);
        Ok(String::from_utf8(self.process.metrics.encode()?)?)
    }

    /// Asks for a graceful shutdown.
    pub fn start_drain(&self) {
        self.process.drain.cancel();
    }

    /// Ends all work at once, as a crash would.
    pub fn start_abort(&self) {
        self.process.abort.cancel();
    }

    /// Shuts down gracefully and waits for the end.
    pub async fn shutdown(self) -> anyhow::Result<ShutdownReport> {
        self.start_drain();
        self.wait().await
    }

    /// Ends all work at once and waits for the end.
    pub async fn abort(self) -> anyhow::Result<ShutdownReport> {
        self.start_abort();
        self.wait().await
    }

    /// Waits for the end of the process.
    pub async fn wait(self) -> anyhow::Result<ShutdownReport> {
        self.ended.await.context("the shutdown task failed")
    }
}

/// Runs a process until it is told to end by a signal or an operator.
pub async fn run(settings: ServeSettings) -> anyhow::Result<()> {
    let signals = EndSignals::install()?;
    let handle = start(settings).await?;
    tracing::info!(
        callers = %handle.caller_address,
        peers = %handle.peer_address,
        administration = %handle.admin_address,
        "the process serves"
    );
    let signals =
        tokio::spawn(signals.watch(handle.process.drain.clone(), handle.process.abort.clone()));
    let report = handle.wait().await;
    signals.abort();
    report?.into_result()
}

/// Starts a process.
pub async fn start(settings: ServeSettings) -> anyhow::Result<ServerHandle> {
    start_with(settings, ServeOptions::default()).await
}

/// Starts a process with other clocks or time-outs.
pub async fn start_with(
    settings: ServeSettings,
    options: ServeOptions,
) -> anyhow::Result<ServerHandle> {
    admin::check_address(&settings)?;
    // Peers seal their messages for the address that they call.
    ensure!(
        !settings.peer_address.ip().is_unspecified(),
        "peer_address {} is not one that peers can call; write the VM's own IP number",
        settings.peer_address
    );
    let listeners = Listeners::bind(&settings).await?;
    let settings = Arc::new(settings);
    let identity =
        PeerIdentity { vm: settings.vm.clone(), incarnation: rand::random::<Incarnation>() };
    let metrics = ServerMetrics::new()?;
    let keys = peer_keys(&settings)?;
    let own = listeners.own_addresses();
    let seal = MessageSigner::new(identity.clone(), own.peer.clone(), keys.clone());
    let seal = Arc::new(Guarded::new(seal));
    let (view_sender, view) = watch::channel(ProcessView::default());
    let seed = options.seed.unwrap_or_else(rand::random);
    let bounds = AccountBounds::for_memory(settings.limits.memory_bytes)
        .with_answer(options.timeouts.answer_bytes);
    let node_settings = listeners.node_settings(&settings, &identity, keys, options.settling);
    let node = Node::new(node_settings, seed, now());
    let parts = NodeTaskParts {
        node,
        clock: options.clock.clone(),
        view: view_sender,
        metrics: metrics.clone(),
    };
    let (task, link) = NodeTask::new(parts);
    let limits = &settings.limits;
    // Callers keep connections open between requests.
    let connection_bounds = ConnectionBounds::for_descriptors(limits.max_descriptors)
        .at_most(2 * limits.streams as usize)
        .at_most(connections_by_memory(&bounds));
    let memory = MemoryAccount::new(bounds);
    let process = Arc::new(ProcessContext {
        settings: settings.clone(),
        answers: AnswerRoom::new(memory.clone()),
        memory,
        connection_bounds,
        link,
        pool: ConnectionPool::default(),
        peers: PeerClient::new(seal.clone(), metrics.clone()),
        metrics,
        timeouts: options.timeouts,
        clock: options.clock,
        view,
        ids: RequestIds::new(rand::random()),
        tasks: TaskTracker::new(),
        abort: CancellationToken::new(),
        drain: CancellationToken::new(),
    });
    let platform = PlatformClient::new(settings, own);
    let end_node = CancellationToken::new();
    let running = tokio::spawn(task.run(process.clone(), platform, end_node.clone()));
    tokio::spawn(watch_node(running, process.clone(), end_node.clone()));
    listeners.start(process, seal, identity, end_node)
}

/// A process without its node can decide nothing: it ends, so that the load balancer sees it.
async fn watch_node(
    running: JoinHandle<()>,
    process: Arc<ProcessContext>,
    end_node: CancellationToken,
) {
    let ended = running.await;
    if !end_node.is_cancelled() {
        tracing::error!(failed = ended.is_err(), "the node's task has ended; the process ends");
        process.abort.cancel();
    }
}

fn peer_keys(settings: &ServeSettings) -> anyhow::Result<PeerKeys> {
    let mut keys = settings.peer_keys.iter().map(|key| key.expose().as_bytes().to_vec());
    let current = keys.next().context("peer_keys is empty; give at least one key")?;
    Ok(PeerKeys::new(current, keys.next()))
}

struct Listeners {
    caller: TcpListener,
    peer: TcpListener,
    admin: TcpListener,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    admin_address: SocketAddr,
}

impl Listeners {
    async fn bind(settings: &ServeSettings) -> anyhow::Result<Listeners> {
        let caller = bind_bounded(settings.caller_address, "caller_address")?;
        let peer = bind(settings.peer_address, "peer_address").await?;
        let admin = bind(settings.admin_address, "admin_address").await?;
        Ok(Listeners {
            caller_address: caller.local_addr()?,
            peer_address: peer.local_addr()?,
            admin_address: admin.local_addr()?,
            caller,
            peer,
            admin,
        })
    }

    fn own_addresses(&self) -> OwnAddresses {
        OwnAddresses {
            caller: self.caller_address.to_string(),
            peer: self.peer_address.to_string(),
        }
    }

    fn node_settings(
        &self,
        settings: &ServeSettings,
        identity: &PeerIdentity,
        keys: PeerKeys,
        settling: Duration,
    ) -> NodeSettings {
        let mut cluster = ClusterSettings::new(
            identity.clone(),
            settings.data_centre.clone(),
            self.caller_address.to_string(),
            self.peer_address.to_string(),
        );
        cluster.seeds = settings.seed_peers.iter().map(|peer| peer.address.to_string()).collect();
        cluster.settling = settling;
        cluster.concurrent_loads = settings.limits.concurrent_loads as usize;
        NodeSettings {
            cluster,
            limits: SchedulerLimits {
                waiting: settings.limits.queue_entries as usize,
                waiting_tokens: settings.limits.queue_tokens,
            },
            peer_keys: keys,
        }
    }

    fn start(
        self,
        process: Arc<ProcessContext>,
        seal: Arc<Guarded<MessageSigner>>,
        identity: PeerIdentity,
        end_node: CancellationToken,
    ) -> anyhow::Result<ServerHandle> {
        let (caller_address, peer_address, admin_address) =
            (self.caller_address, self.peer_address, self.admin_address);
        let callers = signals(&process);
        let others = signals(&process);
        let limits = &process.settings.limits;
        let headers = limits.header_timeout;
        let write = process.timeouts.caller_stall;
        let connections = process.connection_bounds.most;
        tokio::spawn(listen(
            self.caller,
            caller_service(&process),
            ListenerLimits { connections, headers, write },
            callers.clone(),
            ListenerGauges {
                open: process.metrics.connections.clone(),
                refused: process.metrics.refused_connections.clone(),
                memory: Some(process.memory.clone()),
            },
        ));
        let (stop, rpc_end) = jsonrpsee::server::stop_channel();
        let server = PeerServer { process: process.clone(), seal: seal.clone() };
        let entry = PeerEntry::new(process.clone(), seal, server.into_service(stop)?);
        tokio::spawn(listen(
            self.peer,
            entry.into_service(),
            ListenerLimits { connections: PEER_CONNECTIONS, headers, write },
            others.clone(),
            ListenerGauges {
                open: process.metrics.peer_connections.clone(),
                refused: process.metrics.refused_connections.clone(),
                memory: None,
            },
        ));
        let admin = process.clone();
        tokio::spawn(listen(
            self.admin,
            service_fn(move |message| admin::handle(admin.clone(), message)),
            ListenerLimits { connections: ADMIN_CONNECTIONS, headers, write },
            others.clone(),
            ListenerGauges {
                open: process.metrics.admin_connections.clone(),
                refused: process.metrics.refused_connections.clone(),
                memory: None,
            },
        ));
        let parts = shutdown::ShutdownParts {
            process: process.clone(),
            callers,
            others,
            end_node,
            rpc_end,
        };
        let ended = tokio::spawn(shutdown::run(parts));
        Ok(ServerHandle { caller_address, peer_address, admin_address, identity, process, ended })
    }
}

/// Listens on the address of a setting.
pub async fn bind(address: SocketAddr, name: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("{name} {address} can't be bound"))
}

fn signals(process: &ProcessContext) -> ListenerSignals {
    ListenerSignals {
        close: CancellationToken::new(),
        abort: process.abort.clone(),
        connections: TaskTracker::new(),
    }
}

fn caller_service(
    process: &Arc<ProcessContext>,
) -> impl tower::Service<
    http::Request<hyper::body::Incoming>,
    Response = crate::caller::answer::CallerAnswer,
    Error = std::convert::Infallible,
    Future: Send + 'static,
> + Clone
+ Send
+ 'static {
    let handler = process.clone();
    ServiceBuilder::new()
        .layer(ContextLayer { process: process.clone() })
        .service(service_fn(move |message| router::handle(handler.clone(), message)))
}
