//! Accepts connections of callers and serves HTTP/1.1 on them. Also serves the readiness page for the load
//! balancer and the metrics page.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tarragon_server::{
    caller::{
        listener::CONNECTION_BYTES, observed_stream::ObservedStream, write_limit::WriteLimit,
    },
    memory::MemoryShare,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    task::yield_now,
    time::{Instant, sleep, timeout},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    caller,
    connection::{
        ConnectionEnd, ConnectionObserver, ConnectionReport, ConnectionWatch, WatchedBody,
    },
    connections::{IdleBounds, OpenConnection},
    context::GatewayContext,
    platform::CallProtocol,
};

/// Interval at which idle connections are closed while connections run low.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Most concurrent connections to one page.
const MAX_PAGE_CONNECTIONS: usize = 32;
/// Most headers of one request.
const MAX_HEADERS: usize = 128;
/// Smallest header buffer that the HTTP library accepts.
const MIN_HEADER_BUFFER_BYTES: usize = 8 << 10;
/// How long a new connection may take to send its first request during a shutdown before it is closed.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed accept, for example when the process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest time to receive the head of a request for a page.
const PAGE_HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Signals by which a shutdown ends the listener of callers.
#[derive(Debug, Clone, Default)]
pub struct ListenerSignals {
    /// Closes idle connections, and busy ones after their answers. New connections are still accepted.
    pub drain: CancellationToken,
    /// Stops accepting connections.
    pub close: CancellationToken,
    /// The tasks that serve connections.
    pub connections: TaskTracker,
}

/// Accepts connections of callers until `signals.close` is cancelled.
pub async fn listen<D>(
    listener: TcpListener,
    context: Arc<GatewayContext<D>>,
    signals: ListenerSignals,
) where
    D: CallProtocol,
{
    tokio::select! {
        () = accept_callers(&listener, &context, &signals) => {}
        () = close_idle_connections(&context) => {}
    }
}

async fn accept_callers<D>(
    listener: &TcpListener,
    context: &Arc<GatewayContext<D>>,
    signals: &ListenerSignals,
) where
    D: CallProtocol,
{
    let permits = Arc::new(Semaphore::new(context.connections.bounds().most));
    loop {
        let Some((stream, permit)) = accept(listener, &permits, &signals.close).await else {
            return;
        };
        let charge = context.memory.try_charge(MemoryShare::Connections, CONNECTION_BYTES);
        // A connection that is not accepted would hold what its caller sends.
        let (Some(permit), Some(charge)) = (permit, charge) else {
            context.metrics.refused_connections.inc();
            tracing::debug!("connection is refused: too many are open");
            continue;
        };
        let watch = ConnectionWatch::default();
        let open = context.connections.open(watch.clone());
        let (context, signals) = (context.clone(), signals.clone());
        let tracker = signals.connections.clone();
        tracker.spawn(async move {
            context.metrics.connections.inc();
            serve_connection(stream, &context, &signals, watch, &open).await;
            context.metrics.connections.dec();
            drop((open, charge, permit));
        });
        // A burst of connections must not keep those that are open from being served.
        yield_now().await;
    }
}

/// Closes idle connections while connections run low.
async fn close_idle_connections<D>(context: &GatewayContext<D>) {
    loop {
        sleep(IDLE_CHECK_INTERVAL).await;
        let bounds = IdleBounds::of(&context.caller_limits());
        let closed = context.connections.close_idle(bounds, Instant::now());
        if closed > 0 {
            context.metrics.idle_closed.inc_by(closed as u64);
            tracing::info!(closed, "idle connections are closed, since connections run low");
        }
    }
}

/// Accepts a connection, with a permit if there is one; `None` after `close` was cancelled.
pub async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
    close: &CancellationToken,
) -> Option<(TcpStream, Option<OwnedSemaphorePermit>)> {
    loop {
        let accepted = tokio::select! {
            biased;
            () = close.cancelled() => return None,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => return Some((stream, permits.clone().try_acquire_owned().ok())),
            Err(error) => {
                tracing::warn!(%error, "a connection could not be accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<D>(
    stream: TcpStream,
    context: &Arc<GatewayContext<D>>,
    signals: &ListenerSignals,
    watch: ConnectionWatch,
    open: &OpenConnection,
) where
    D: CallProtocol,
{
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "connection closed right after it was accepted");
        return;
    }
    let limits = context.caller_limits();
    let mut builder = http1::Builder::new();
    // The header timeout also runs while a connection is idle, so it is set to the idle timeout.
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time)
        .max_headers(MAX_HEADERS)
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BUFFER_BYTES));
    let request_received = CancellationToken::new();
    let mut report = ConnectionReport::new(watch.clone(), context.metrics.clone());
    let service = service_fn(|message: Request<Incoming>| {
        request_received.cancel();
        watch.open_request();
        let (context, watch) = (context.clone(), watch.clone());
        let has_body = message.method() != Method::HEAD;
        // The HTTP library keeps the memory of this future with each connection, also while that is idle.
        Box::pin(async move {
            let answer = caller::handle(context, message, &watch).await;
            Ok::<_, Infallible>(answer.map(|body| WatchedBody::new(body, has_body, watch)))
        })
    });
    let stream = WriteLimit::new(stream, context.limits.caller_stall);
    let observer = ConnectionObserver::new(report.watch().clone(), context.memory.clone());
    let stream = TokioIo::new(ObservedStream::new(stream, observer));
    let connection = builder.serve_connection(stream, service);
    tokio::pin!(connection);
    // A new connection is probably about to send a request, which would be lost if it were closed now.
    let drain = async {
        signals.drain.cancelled().await;
        let _ = timeout(FIRST_REQUEST_TIMEOUT, request_received.cancelled()).await;
    };
    tokio::pin!(drain);
    let mut draining = false;
    let mut closing = false;
    let ended = loop {
        tokio::select! {
            ended = connection.as_mut() => break ended,
            () = context.abort.cancelled() => {
                report.end = ConnectionEnd::Aborted;
                return;
            }
            () = report.watch().give_up.cancelled() => {
                report.end = ConnectionEnd::GivenUp;
                context.metrics.given_up_connections.inc();
                tracing::info!("connection is given up: others wait for the memory that it holds");
                return;
            }
            () = open.close.cancelled(), if !closing => {
                // The HTTP library doesn't end a connection on which no request has come.
                if watch.idle_state().is_some_and(|idle| !idle.was_used) {
                    report.end = ConnectionEnd::TimedOut;
                    return;
                }
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = &mut drain, if !draining => {
                draining = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    };
    report.end = ConnectionEnd::of(&ended);
    if let Err(error) = ended {
        tracing::debug!(%error, "a connection ended early");
    }
}

/// Answer to a request for a page.
pub type PageAnswer = Response<Full<Bytes>>;

/// Answers every request on a listener with the same page, until `abort` is cancelled.
pub async fn serve_page<P, F>(listener: TcpListener, page: P, abort: CancellationToken)
where
    P: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = PageAnswer> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(MAX_PAGE_CONNECTIONS));
    while let Some((stream, permit)) = accept(&listener, &permits, &abort).await {
        let Some(permit) = permit else { continue };
        let (page, abort) = (page.clone(), abort.clone());
        tokio::spawn(async move {
            let service = service_fn(move |message| {
                let answer = page(message);
                async move { Ok::<PageAnswer, Infallible>(answer.await) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(PAGE_HEADER_TIMEOUT);
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                ended = connection => {
                    if let Err(error) = ended {
                        tracing::debug!(%error, "a page connection ended early");
                    }
                }
                () = abort.cancelled() => {}
            }
            drop(permit);
        });
    }
}
