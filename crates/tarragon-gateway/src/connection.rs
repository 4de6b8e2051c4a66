//! What becomes of the requests on one connection of a caller: whether each one got its whole answer, and if
//! not, why.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tarragon_server::{
    caller::{
        answer::{AnswerBody, BodyCutShort},
        listener::UNREAD_BYTES,
        observed_stream::StreamObserver,
    },
    guarded::Guarded,
    memory::{MemoryAccount, MemoryCharge, MemoryShare, MemoryTransfer},
};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::metrics::GatewayMetrics;

/// Largest error of the size that is computed for a request from its parsed head.
const REQUEST_SIZE_ERROR: i64 = 256;

/// How far the current request of a connection has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerState {
    /// Its body is being read.
    Reading,
    /// It has been read whole, and no answer has begun.
    Waiting,
    /// Its answer has begun and isn't complete.
    Answering,
}

impl AnswerState {
    fn name(self) -> &'static str {
        match self {
            AnswerState::Reading => "reading",
            AnswerState::Waiting => "waiting",
            AnswerState::Answering => "answering",
        }
    }
}

#[derive(Debug)]
struct OpenRequest {
    /// The caller's id of the request, once its head has been read.
    tag: String,
    state: AnswerState,
    received: Instant,
}

/// Since when a connection has had no request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleState {
    /// When the last answer was complete, or the connection was accepted.
    pub since: Instant,
    /// Whether a request has come on it.
    pub was_used: bool,
}

#[derive(Debug)]
struct WatchState {
    open: Option<OpenRequest>,
    idle: IdleState,
    /// Bytes that were read and belong to no request that is known. Negative while a known one is being read.
    unclaimed: i64,
    /// The large answer that is being written.
    answer: Option<MemoryTransfer>,
}

/// Follows the current request of a connection. Clones follow the same one.
#[derive(Debug, Clone)]
pub struct ConnectionWatch {
    state: Arc<Guarded<WatchState>>,
    /// Cancelled when others need the memory that the connection holds.
    pub give_up: CancellationToken,
}

impl Default for ConnectionWatch {
    /// Watches a connection that has just been accepted.
    fn default() -> ConnectionWatch {
        let idle = IdleState { since: Instant::now(), was_used: false };
        let state = WatchState { open: None, idle, unclaimed: 0, answer: None };
        let give_up = CancellationToken::new();
        ConnectionWatch { state: Arc::new(Guarded::new(state)), give_up }
    }
}

impl ConnectionWatch {
    /// The head of a request has arrived.
    pub fn open_request(&self) {
        let received = Instant::now();
        let opened = OpenRequest { tag: String::new(), state: AnswerState::Reading, received };
        self.state.with(|state| {
            state.open = Some(opened);
            state.idle.was_used = true;
        });
    }

    /// Since when there has been no request; `None` if there is one.
    pub fn idle_state(&self) -> Option<IdleState> {
        self.state.with(|state| state.open.is_none().then_some(state.idle))
    }

    /// The id of the request is known.
    pub fn set_tag(&self, tag: &str) {
        self.state.with(|state| state.open.iter_mut().for_each(|open| open.tag = tag.to_owned()));
    }

    /// The request has come so far.
    pub fn set_state(&self, state: AnswerState) {
        self.state.with(|watched| watched.open.iter_mut().for_each(|open| open.state = state));
    }

    /// Bytes have arrived. Returns whether they come behind a request that has been read whole.
    fn count_read(&self, bytes: usize) -> bool {
        self.state.with(|state| {
            state.unclaimed = state.unclaimed.saturating_add_unsigned(bytes as u64);
            state.open.as_ref().is_some_and(|open| open.state != AnswerState::Reading)
        })
    }

    /// A request of about so many bytes is being read.
    pub fn claim(&self, bytes: usize) {
        self.state.with(|state| {
            state.unclaimed = state.unclaimed.saturating_sub_unsigned(bytes as u64);
        });
    }

    /// Whether bytes have come behind a request that has been read whole.
    pub fn has_unclaimed(&self) -> bool {
        self.state.with(|state| state.unclaimed > REQUEST_SIZE_ERROR)
    }

    /// The answer is large and holds memory until the caller has taken it.
    pub fn begin_answer(&self, answer: MemoryTransfer) {
        self.state.with(|state| state.answer = Some(answer));
    }

    fn count_written(&self, bytes: usize) {
        self.state.with(|state| state.answer.iter().for_each(|answer| answer.add(bytes)));
    }

    /// Nothing is left to be written.
    fn flushed(&self) {
        self.state.with(|state| {
            if state.open.is_none() {
                state.answer = None;
            }
        });
    }

    /// The answer is complete.
    fn complete(&self) {
        self.state.with(|state| {
            state.open = None;
            state.idle.since = Instant::now();
            if state.unclaimed <= REQUEST_SIZE_ERROR {
                state.unclaimed = 0;
            }
        });
    }
}

/// Memory of the bytes that a caller sends behind a request that still runs. The connection is given up if others wait
/// for that memory.
#[derive(Debug)]
pub struct BytesBehind {
    _charge: MemoryCharge,
    _transfer: MemoryTransfer,
}

impl BytesBehind {
    /// Charges what the socket of a connection may hold.
    pub fn charge(memory: &MemoryAccount, watch: &ConnectionWatch) -> Option<BytesBehind> {
        let charge = memory.charge_now(MemoryShare::Unread, UNREAD_BYTES)?;
        let transfer =
            memory.open_transfer(MemoryShare::Unread, UNREAD_BYTES, watch.give_up.clone());
        Some(BytesBehind { _charge: charge, _transfer: transfer })
    }
}

/// Tells a connection's watch what is read and written, and charges what comes behind a request that still runs.
pub struct ConnectionObserver {
    watch: ConnectionWatch,
    memory: MemoryAccount,
    /// What came behind the request.
    behind: Option<BytesBehind>,
}

impl ConnectionObserver {
    /// Observes a connection.
    pub fn new(watch: ConnectionWatch, memory: MemoryAccount) -> ConnectionObserver {
        ConnectionObserver { watch, memory, behind: None }
    }
}

impl StreamObserver for ConnectionObserver {
    fn observe_read(&mut self, bytes: usize) -> io::Result<()> {
        if !self.watch.count_read(bytes) || bytes == 0 {
            self.behind = None;
            return Ok(());
        }
        if self.behind.is_none() {
            self.behind = BytesBehind::charge(&self.memory, &self.watch);
        }
        match &self.behind {
            Some(_) => Ok(()),
            None => {
                let message = "no memory for what the caller sends behind its request";
                Err(io::Error::new(io::ErrorKind::OutOfMemory, message))
            }
        }
    }

    fn observe_write(&mut self, bytes: usize) {
        self.watch.count_written(bytes);
    }

    fn observe_flush(&mut self) {
        self.watch.flushed();
    }
}

/// The body of an answer that tells the watch when it is complete.
#[derive(Debug)]
pub struct WatchedBody {
    body: AnswerBody,
    watch: ConnectionWatch,
}

impl WatchedBody {
    /// Watches a body whose head is about to be written. Without `has_body` only the head is written.
    pub fn new(body: AnswerBody, has_body: bool, watch: ConnectionWatch) -> WatchedBody {
        // The HTTP library never polls an empty body.
        match !has_body || body.size_hint().exact() == Some(0) {
            true => watch.complete(),
            false => watch.set_state(AnswerState::Answering),
        }
        WatchedBody { body, watch }
    }
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = BodyCutShort;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyCutShort>>> {
        let watched = self.get_mut();
        let frame = Pin::new(&mut watched.body).poll_frame(context);
        if matches!(frame, Poll::Ready(None)) || watched.body.is_end_stream() {
            watched.watch.complete();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The caller closed it.
    CallerClosed,
    /// A streamed answer ended before it was complete.
    AnswerCutShort,
    /// The caller was idle, or read nothing, for too long.
    TimedOut,
    /// The caller read slowly, or sent more than its request, while others waited for memory.
    GivenUp,
    /// The caller's bytes are no HTTP.
    InvalidBytes,
    /// Reading or writing failed.
    Failed,
    /// The process ends.
    Aborted,
    /// Its task panicked or was dropped.
    TaskEnded,
}

impl ConnectionEnd {
    /// The end that the result of serving the connection shows.
    pub fn of(ended: &Result<(), hyper::Error>) -> ConnectionEnd {
        match ended {
            Ok(()) => ConnectionEnd::CallerClosed,
            Err(error) if error.is_user() => ConnectionEnd::AnswerCutShort,
            Err(error) if error.is_timeout() => ConnectionEnd::TimedOut,
            Err(error) if error.is_parse() => ConnectionEnd::InvalidBytes,
            Err(error) if error.is_incomplete_message() || error.is_canceled() => {
                ConnectionEnd::CallerClosed
            }
            Err(_) => ConnectionEnd::Failed,
        }
    }

    fn name(self) -> &'static str {
        match self {
            ConnectionEnd::CallerClosed => "caller_closed",
            ConnectionEnd::AnswerCutShort => "answer_cut_short",
            ConnectionEnd::TimedOut => "timed_out",
            ConnectionEnd::GivenUp => "given_up",
            ConnectionEnd::InvalidBytes => "invalid_bytes",
            ConnectionEnd::Failed => "failed",
            ConnectionEnd::Aborted => "aborted",
            ConnectionEnd::TaskEnded => "task_ended",
        }
    }
}

/// Counts and logs, when it is dropped, a request that the end of its connection leaves without a whole answer.
pub struct ConnectionReport {
    watch: ConnectionWatch,
    metrics: GatewayMetrics,
    /// Why the connection ends.
    pub end: ConnectionEnd,
}

impl ConnectionReport {
    /// A report on a connection that has just been accepted.
    pub fn new(watch: ConnectionWatch, metrics: GatewayMetrics) -> ConnectionReport {
        ConnectionReport { watch, metrics, end: ConnectionEnd::TaskEnded }
    }

    /// What follows the requests of the connection.
    pub fn watch(&self) -> &ConnectionWatch {
        &self.watch
    }
}

impl Drop for ConnectionReport {
    fn drop(&mut self) {
        let Some(open) = self.watch.state.with(|state| state.open.take()) else { return };
        let (state, cause) = (open.state.name(), self.end.name());
        self.metrics.cut_requests.with_label_values(&[state, cause]).inc();
        let open_ms = open.received.elapsed().as_millis() as u64;
        match self.end {
            ConnectionEnd::CallerClosed => tracing::info!(
                request = open.tag,
                state,
                cause,
                open_ms,
                "connection ended before the answer was complete"
            ),
            _ => tracing::warn!(
                request = open.tag,
                state,
                cause,
                open_ms,
                "connection ended before the answer was complete"
            ),
        }
    }
}
