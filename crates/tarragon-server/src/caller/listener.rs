//! Accepts connections and serves HTTP/1 and HTTP/2 on them, with bounds against slow or greedy peers.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use super::write_limit::WriteLimit;
use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
    service::TowerToHyperService,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
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
/// Wait after a failed accept, as when the process has no free file descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time beyond the limit for headers in which a new connection must bring its first request.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);
/// Interval of HTTP/2 pings, which find connections whose other side has gone silently.
const PING_INTERVAL: Duration = Duration::from_secs(20);
/// Wait for the answer to an HTTP/2 ping.
const PING_LIMIT: Duration = Duration::from_secs(10);

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
    open: prometheus::IntGauge,
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
        let permit = tokio::select! {
            () = signals.close.cancelled() => return,
            () = signals.abort.cancelled() => return,
            permit = permits.clone().acquire_owned() => permit,
        };
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
        let connection = serve_connection(stream, service.clone(), limits, signals.clone());
        let open = open.clone();
        signals.connections.spawn(async move {
            open.inc();
            connection.await;
            open.dec();
            drop(permit);
        });
    }
}

async fn serve_connection<S, B>(
    stream: TcpStream,
    service: S,
    limits: ListenerLimits,
    signals: ListenerSignals,
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
    let stream = WriteLimit::new(stream, limits.write);
    let called = Arc::new(AtomicBool::new(false));
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
                if !called.load(Ordering::Relaxed) {
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

/// Notes that a connection has brought a request.
#[derive(Clone)]
struct FirstCall<S> {
    inner: S,
    called: Arc<AtomicBool>,
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
        self.called.store(true, Ordering::Relaxed);
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
        .max_header_list_size(MAX_HEADER_BYTES as u32)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_LIMIT);
    builder
}
