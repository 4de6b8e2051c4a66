//! Accepts connections and serves HTTP/1 and HTTP/2 on them, with bounds against slow or greedy peers.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use super::{
    observed_stream::{ObservedStream, StreamObserver},
    write_limit::WriteLimit,
};
use crate::memory::{AccountBounds, MemoryAccount, MemoryCharge, MemoryShare};
use anyhow::Context as _;
use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
    service::TowerToHyperService,
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::Semaphore,
    task::yield_now,
    time::sleep,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tower::Service;

/// Headers that a request may have.
const MAX_HEADERS: usize = 100;
/// Bytes of all headers of a request.
const MAX_HEADER_BYTES: usize = 64 << 10;
/// Requests at once on one HTTP/2 connection.
const MAX_STREAMS: u32 = 256;
/// Descriptors that are kept for connections to targets, those of peers, pages and files, up to a part of the limit.
const RESERVED_DESCRIPTORS: usize = 1_100;
/// Memory of an open connection: its tasks and a small read buffer.
pub const CONNECTION_BYTES: usize = 16 << 10;
/// Receive buffer of a socket. Without a bound, the kernel keeps megabytes of a body that isn't read.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Bytes that a socket may hold unread. The kernel doubles the size of the buffer.
pub const UNREAD_BYTES: usize = 2 * RECEIVE_BUFFER_BYTES;
/// Bytes of a head that the charge for the connection covers.
const COVERED_BYTES: usize = 8 << 10;
/// Memory of the read buffers of a connection that receives more.
const READ_BYTES: usize = 96 << 10;
/// Connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;
/// Bytes that one HTTP/2 stream may send ahead of its reader.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;
/// Bytes that all streams of an HTTP/2 connection may send ahead.
const CONNECTION_WINDOW_BYTES: u32 = 64 << 10;
/// Wait after a failed accept, as when the process has no free file descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time beyond the limit for headers in which a new connection must bring its first request.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);
/// Interval of HTTP/2 pings, which find connections whose other side has gone silently.
const PING_INTERVAL: Duration = Duration::from_secs(20);
/// Wait for the answer to an HTTP/2 ping.
const PING_LIMIT: Duration = Duration::from_secs(10);

/// What a listener counts, and where it charges memory.
#[derive(Clone)]
pub struct ListenerGauges {
    /// Open connections.
    pub open: prometheus::IntGauge,
    /// Connections that were closed at once because too many were open.
    pub refused: prometheus::IntCounter,
    /// Account for the memory of connections. Those of peers and operators are not charged.
    pub memory: Option<MemoryAccount>,
}

/// How many connections of callers a process may have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionBounds {
    /// Most connections.
    pub most: usize,
    /// From so many on, the process is not ready and closes idle connections. The load balancer notices this after
    /// some seconds, in which connections still arrive.
    pub high: usize,
    /// Below so many the process is ready again.
    pub low: usize,
    /// Most connections of peers.
    pub peers: usize,
}

impl ConnectionBounds {
    /// Bounds for a process that may have so many descriptors.
    pub fn for_descriptors(descriptors: usize) -> ConnectionBounds {
        let reserved = RESERVED_DESCRIPTORS.min(descriptors * 3 / 10);
        ConnectionBounds::with_most(descriptors - reserved, (reserved / 2).clamp(1, 512))
    }

    /// The bounds with at most so many connections.
    pub fn at_most(self, most: usize) -> ConnectionBounds {
        ConnectionBounds::with_most(self.most.min(most), self.peers)
    }

    fn with_most(most: usize, peers: usize) -> ConnectionBounds {
        let most = most.max(1);
        ConnectionBounds { most, high: (most * 3 / 4).max(1), low: (most * 5 / 8).max(1), peers }
    }
}

/// Connections that fit into their share of an account.
pub fn connections_by_memory(bounds: &AccountBounds) -> usize {
    bounds.shares[MemoryShare::Connections as usize].most / CONNECTION_BYTES
}

/// Binds an address at which untrusted clients connect, with bounded receive buffers.
pub fn bind_bounded(address: SocketAddr, name: &str) -> anyhow::Result<TcpListener> {
    let bind = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as u32)?;
        socket.bind(address)?;
        socket.listen(ACCEPT_BACKLOG)
    };
    bind().with_context(|| format!("{name} {address} can't be bound"))
}

/// Bounds of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenerLimits {
    /// Connections at once.
    pub connections: usize,
    /// Time for a request's headers to arrive. hyper also ends an idle HTTP/1 connection after this time, so
    /// it is to be longer than the load balancer keeps its idle connections.
    pub headers: Duration,
    /// Longest wait for the other side to read.
    pub write: Duration,
}

/// Signals that end a listener.
#[derive(Debug, Clone)]
pub struct ListenerSignals {
    /// Accepts no more; open connections end after their running requests.
    pub close: CancellationToken,
    /// Ends all connections at once.
    pub abort: CancellationToken,
    /// The connections' tasks.
    pub connections: TaskTracker,
}

/// Accepts connections until the listener is closed.
pub async fn listen<S, B>(
    listener: TcpListener,
    service: S,
    limits: ListenerLimits,
    signals: ListenerSignals,
    gauges: ListenerGauges,
) where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    S: Clone + Send + 'static,
    S::Future: Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let permits = Arc::new(Semaphore::new(limits.connections));
    loop {
        let stream = tokio::select! {
            () = signals.close.cancelled() => return,
            () = signals.abort.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let stream = match stream {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "a connection could not be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let memory = gauges.memory.clone();
        let charge = match &memory {
            Some(memory) => memory.try_charge(MemoryShare::Connections, CONNECTION_BYTES).map(Some),
            None => Some(None),
        };
        // A connection that is not accepted would hold what the other side sends.
        let (Ok(permit), Some(charge)) = (permits.clone().try_acquire_owned(), charge) else {
            gauges.refused.inc();
            tracing::debug!("connection is refused: too many are open");
            continue;
        };
        let connection = serve_connection(stream, service.clone(), limits, signals.clone(), memory);
        let open = gauges.open.clone();
        signals.connections.spawn(async move {
            open.inc();
            connection.await;
            open.dec();
            drop((permit, charge));
        });
        // A burst of connections must not keep those that are open from being served.
        yield_now().await;
    }
}

async fn serve_connection<S, B>(
    stream: TcpStream,
    service: S,
    limits: ListenerLimits,
    signals: ListenerSignals,
    memory: Option<MemoryAccount>,
) where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    S: Clone + Send + 'static,
    S::Future: Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "a connection closed at once");
        return;
    }
    let builder = connection_builder(limits);
    let called = CallMark::default();
    let stream = WriteLimit::new(stream, limits.write);
    let observer = ReadCharge { memory, mark: called.clone(), charge: None };
    let stream = ObservedStream::new(stream, observer);
    let service = TowerToHyperService::new(FirstCall { inner: service, called: called.clone() });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // The builder waits without a limit for the bytes that tell HTTP/1 from HTTP/2.
    let first_request = sleep(limits.headers + FIRST_REQUEST_GRACE);
    tokio::pin!(first_request);
    let mut watching = true;
    let mut closing = false;
    let ended = loop {
        tokio::select! {
            ended = &mut connection => break ended,
            () = signals.abort.cancelled() => return,
            () = &mut first_request, if watching => {
                if !called.was_called() {
                    return;
                }
                watching = false;
            }
            () = signals.close.cancelled(), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "a connection ended early");
    }
}

/// What a connection has brought.
#[derive(Debug, Clone, Default)]
struct CallMark {
    called: Arc<AtomicBool>,
    /// Bytes since the head of the last request.
    unclaimed: Arc<AtomicUsize>,
}

impl CallMark {
    fn was_called(&self) -> bool {
        self.called.load(Ordering::Relaxed)
    }

    fn begin_call(&self) {
        self.called.store(true, Ordering::Relaxed);
        self.unclaimed.store(0, Ordering::Relaxed);
    }

    /// Counts bytes. Returns how many came since the head of the last request.
    fn add(&self, bytes: usize) -> usize {
        self.unclaimed.fetch_add(bytes, Ordering::Relaxed).saturating_add(bytes)
    }
}

/// Charges the read buffers of a connection while it receives more than a small head.
struct ReadCharge {
    memory: Option<MemoryAccount>,
    mark: CallMark,
    charge: Option<MemoryCharge>,
}

impl StreamObserver for ReadCharge {
    fn observe_read(&mut self, bytes: usize) -> io::Result<()> {
        let Some(memory) = &self.memory else { return Ok(()) };
        if self.mark.add(bytes) <= COVERED_BYTES {
            self.charge = None;
            return Ok(());
        }
        if self.charge.is_none() {
            self.charge = memory.charge_now(MemoryShare::Unread, READ_BYTES);
        }
        match &self.charge {
            Some(_) => Ok(()),
            None => {
                let message = "no memory for what the caller sends";
                Err(io::Error::new(io::ErrorKind::OutOfMemory, message))
            }
        }
    }
}

/// Notes that a connection has brought a request.
#[derive(Clone)]
struct FirstCall<S> {
    inner: S,
    called: CallMark,
}

impl<S, T> Service<T> for FirstCall<S>
where
    S: Service<T>,
{
    type Response = S::Response;
    type Error = S::Error;
    type Future = S::Future;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: T) -> S::Future {
        self.called.begin_call();
        self.inner.call(request)
    }
}

fn connection_builder(limits: ListenerLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.headers)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEADER_BYTES)
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_header_list_size(MAX_HEADER_BYTES as u32)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_LIMIT);
    builder
}
