//! Connections to targets. A pooled connection is used only for calls that may be repeated; a call that
//! must not be repeated gets a connection of its own, so that a connection that the target has just
//! closed can't make its outcome uncertain.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use tokio::{
    net::{TcpSocket, TcpStream},
    time::{Instant, timeout},
};

use crate::{
    guarded::Guarded,
    target::metered::{MeteredStream, ReadAllowance, TargetBody, WriteMark},
};

/// Body of a call to a target. It is whole, so that its length is known.
pub type CallBody = Full<Bytes>;

/// Idle connections that are kept for each target.
const MAX_IDLE: usize = 32;
/// Time after which an idle connection is not used again, below the common keep-alive limits of servers.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

/// Largest head of an answer, and largest trailers, in bytes. Heads of the users' sheets have some hundred.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Largest read buffer of a connection, in bytes. There are hundreds of connections on the smallest VMs.
const MAX_BUFFER_BYTES: usize = 32 << 10;

/// Wait for a pooled connection whose last answer was read a moment ago and whose task has yet to run.
const READY_WAIT: Duration = Duration::from_millis(10);

/// Number of a connection, unique in its process.
pub type ConnectionId = u64;

/// Why a call got no answer.
#[derive(Debug)]
pub enum CallFault {
    /// The connection could not be made: no byte was written.
    NotSent(io::Error),
    /// Bytes may have been written.
    Broken(hyper::Error),
    /// No answer in time; bytes were written.
    TimedOut,
}

impl std::fmt::Display for CallFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallFault::NotSent(error) => write!(formatter, "no connection: {error}"),
            CallFault::Broken(error) => write!(formatter, "connection broken: {error}"),
            CallFault::TimedOut => formatter.write_str("no answer in time"),
        }
    }
}

/// Opens connections to targets. Tests set detours, which stand for a link of this process that fails while the
/// target lives.
#[derive(Debug, Clone, Default)]
pub struct TargetDialer {
    source: Option<IpAddr>,
    detours: Arc<Guarded<IndexMap<String, SocketAddr>>>,
}

impl TargetDialer {
    /// A dialer whose connections come from this address of the machine.
    pub fn from_source(source: IpAddr) -> TargetDialer {
        TargetDialer { source: Some(source), ..TargetDialer::default() }
    }

    /// Sets where connections to a target go instead; `None` for the target's own address.
    pub fn set_detour(&self, target: &str, detour: Option<SocketAddr>) {
        self.detours.with(|detours| match detour {
            Some(detour) => detours.insert(target.to_owned(), detour),
            None => detours.swap_remove(target),
        });
    }

    async fn connect(&self, address: &str) -> io::Result<TcpStream> {
        if let Some(detour) = self.detours.with(|detours| detours.get(address).copied()) {
            return TcpStream::connect(detour).await;
        }
        let Some(source) = self.source else { return TcpStream::connect(address).await };
        let socket = if source.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.bind(SocketAddr::new(source, 0))?;
        socket.connect(address.parse().map_err(io::Error::other)?).await
    }
}

/// A connection that is ready to take one call.
pub struct TargetConnection {
    id: ConnectionId,
    dialer: TargetDialer,
    sender: http1::SendRequest<CallBody>,
    allowance: ReadAllowance,
    mark: WriteMark,
    reused: bool,
    retired: bool,
    /// When it must not be used again without another answer.
    idle_until: Instant,
}

impl TargetConnection {
    /// Opens a connection.
    pub async fn open(address: &str, limit: Duration) -> io::Result<TargetConnection> {
        TargetConnection::dial(TargetDialer::default(), address, limit).await
    }

    async fn dial(
        dialer: TargetDialer,
        address: &str,
        limit: Duration,
    ) -> io::Result<TargetConnection> {
        let timed_out = || io::Error::new(io::ErrorKind::TimedOut, "connect timed out");
        let stream = timeout(limit, dialer.connect(address)).await.map_err(|_| timed_out())??;
        stream.set_nodelay(true)?;
        let (allowance, mark) = (ReadAllowance::default(), WriteMark::default());
        let stream = MeteredStream::new(stream, allowance.clone(), mark.clone());
        let handshake = http1::Builder::new()
            .max_header_size(MAX_HEAD_BYTES)
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection to a target ended");
            }
        });
        static NEXT_ID: AtomicU64 = AtomicU64::new(0);
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        Ok(TargetConnection {
            id,
            dialer,
            sender,
            allowance,
            mark,
            reused: false,
            retired: false,
            idle_until: Instant::now(),
        })
    }

    /// Its number.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Whether it has carried a call before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Keeps it out of the pool: the target has sent something on it that belongs to no call.
    pub fn retire(&mut self) {
        self.retired = true;
    }

    /// Sends a call that may be repeated. A pooled connection that proves closed before a byte was written
    /// is replaced once; a call that may have been written is not sent again here.
    pub async fn send_repeatable(
        &mut self,
        address: &str,
        connect: Duration,
        request: Request<CallBody>,
        limit: Duration,
    ) -> Result<Response<TargetBody>, CallFault> {
        let spare = self.reused.then(|| request.clone());
        let fault = match self.send(request, limit).await {
            Ok(response) => return Ok(response),
            Err(fault) => fault,
        };
        let (CallFault::NotSent(_), Some(request)) = (&fault, spare) else { return Err(fault) };
        tracing::debug!(target_address = address, %fault, "replacing a connection to a target");
        let dialer = self.dialer.clone();
        *self =
            TargetConnection::dial(dialer, address, connect).await.map_err(CallFault::NotSent)?;
        self.send(request, limit).await
    }

    /// Sends a call and waits for the head of its answer. A call of which no byte was written, because the
    /// connection was closed or something had arrived on it, counts as not sent.
    pub async fn send(
        &mut self,
        request: Request<CallBody>,
        limit: Duration,
    ) -> Result<Response<TargetBody>, CallFault> {
        self.allowance.renew();
        self.mark.begin_call();
        let answer = timeout(limit, self.sender.try_send_request(request)).await;
        match answer {
            Err(_) => Err(CallFault::TimedOut),
            Ok(Ok(response)) => {
                self.allowance.renew();
                Ok(response.map(|body| TargetBody::new(body, self.allowance.clone())))
            }
            Ok(Err(mut error)) => {
                let unwritten = error.take_message().is_some() || !self.mark.is_written();
                let error = error.into_error();
                Err(if unwritten {
                    CallFault::NotSent(io::Error::other(error))
                } else {
                    CallFault::Broken(error)
                })
            }
        }
    }
}

/// Idle connections of all targets.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    dialer: TargetDialer,
    idle: Arc<Guarded<IndexMap<String, Vec<TargetConnection>>>>,
}

impl ConnectionPool {
    /// A pool whose connections are opened by a dialer.
    pub fn with_dialer(dialer: TargetDialer) -> ConnectionPool {
        ConnectionPool { dialer, ..ConnectionPool::default() }
    }

    /// A new connection, for a call that must not be repeated.
    pub async fn open(&self, address: &str, limit: Duration) -> io::Result<TargetConnection> {
        TargetConnection::dial(self.dialer.clone(), address, limit).await
    }

    /// An idle connection that is still open, or a new one.
    pub async fn checkout(&self, address: &str, limit: Duration) -> io::Result<TargetConnection> {
        self.checkout_other(address, limit, &[]).await
    }

    /// Like [`checkout`](Self::checkout), but none of the connections in `carriers`.
    pub async fn checkout_other(
        &self,
        address: &str,
        limit: Duration,
        carriers: &[ConnectionId],
    ) -> io::Result<TargetConnection> {
        while let Some(mut connection) = self.pop(address, carriers) {
            if Instant::now() >= connection.idle_until {
                continue;
            }
            let ready = timeout(READY_WAIT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                connection.reused = true;
                return Ok(connection);
            }
        }
        self.open(address, limit).await
    }

    /// Keeps a connection whose answer has been read to its end.
    pub fn give_back(&self, address: &str, connection: TargetConnection) {
        self.give_back_for(address, connection, MAX_IDLE_TIME);
    }

    /// Keeps a connection for a time that its target allows.
    pub fn give_back_for(&self, address: &str, mut connection: TargetConnection, idle: Duration) {
        if connection.retired || connection.sender.is_closed() {
            return;
        }
        connection.idle_until = Instant::now() + idle;
        self.idle.with(|idle| {
            let connections = match idle.get_mut(address) {
                Some(connections) => connections,
                None => idle.entry(address.to_owned()).or_default(),
            };
            if connections.len() < MAX_IDLE {
                connections.push(connection);
            }
        });
    }

    /// Closes the idle connections of targets that are no longer published.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.idle.with(|idle| idle.retain(|address, _| keep(address)));
    }

    /// Takes the connection that was used last, except `carriers`.
    fn pop(&self, address: &str, carriers: &[ConnectionId]) -> Option<TargetConnection> {
        self.idle.with(|idle| {
            let connections = idle.get_mut(address)?;
            let is_other = |connection: &TargetConnection| !carriers.contains(&connection.id);
            connections.iter().rposition(is_other).map(|place| connections.remove(place))
        })
    }
}
