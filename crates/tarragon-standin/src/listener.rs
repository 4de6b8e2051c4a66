//! HTTP/1 listener of a stand-in, with the faults that a process or its network can show.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    time::sleep,
};
use tokio_util::sync::CancellationToken;

/// Body of an answer.
pub(crate) type StandinBody = UnsyncBoxBody<Bytes, Infallible>;

/// The connection is to be closed without an answer.
#[derive(Debug)]
pub(crate) struct CloseConnection;

impl std::fmt::Display for CloseConnection {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("closed without an answer")
    }
}

impl std::error::Error for CloseConnection {}

/// Answers the requests of one stand-in.
pub(crate) trait StandinService: Send + Sync + 'static {
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<StandinBody>, CloseConnection>> + Send;
}

/// Controls a listener. Dropping it stops the listener and resets its connections.
#[derive(Debug)]
pub(crate) struct ListenerControl {
    address: SocketAddr,
    refusing: watch::Sender<bool>,
    resets: watch::Sender<u64>,
    stop: CancellationToken,
}

impl ListenerControl {
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listening socket, so that new connections are refused, or opens it again.
    pub(crate) fn refuse(&self, refusing: bool) {
        self.refusing.send_replace(refusing);
    }

    /// Resets all open connections, as the kernel does for a process that has died.
    pub(crate) fn reset_connections(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Ends when the stand-in is stopped.
    pub(crate) fn stopped(&self) -> CancellationToken {
        self.stop.clone()
    }
}

impl Drop for ListenerControl {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Binds the address and serves it until the control is dropped.
pub(crate) async fn start_listener(
    bind: SocketAddr,
) -> anyhow::Result<(ListenerControl, BoundListener)> {
    let listener = TcpListener::bind(bind).await.with_context(|| format!("can't bind {bind}"))?;
    let address = listener.local_addr()?;
    let control = ListenerControl {
        address,
        refusing: watch::Sender::new(false),
        resets: watch::Sender::new(0),
        stop: CancellationToken::new(),
    };
    let bound = BoundListener {
        listener: Some(listener),
        address,
        refusing: control.refusing.subscribe(),
        resets: control.resets.subscribe(),
        stop: control.stop.clone(),
    };
    Ok((control, bound))
}

/// A listener that is bound but not served yet.
#[derive(Debug)]
pub(crate) struct BoundListener {
    listener: Option<TcpListener>,
    address: SocketAddr,
    refusing: watch::Receiver<bool>,
    resets: watch::Receiver<u64>,
    stop: CancellationToken,
}

impl BoundListener {
    pub(crate) fn serve<S>(self, service: Arc<S>)
    where
        S: StandinService,
    {
        let stop = self.stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = self.accept_all(service) => {}
            }
        });
    }

    async fn accept_all<S>(mut self, service: Arc<S>)
    where
        S: StandinService,
    {
        loop {
            if *self.refusing.borrow_and_update() {
                self.listener = None;
                if self.refusing.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let Some(listener) = &self.listener else {
                self.listener = bind_again(self.address).await;
                continue;
            };
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.spawn_connection(stream, service.clone()),
                    // Out of file descriptors, for example: pause instead of spinning.
                    Err(_) => sleep(Duration::from_millis(20)).await,
                },
                changed = self.refusing.changed() => if changed.is_err() { return },
            }
        }
    }

    fn spawn_connection<S>(&self, stream: TcpStream, service: Arc<S>)
    where
        S: StandinService,
    {
        // Small chunks of a stream must not wait for the acknowledgement of earlier ones.
        let _ = stream.set_nodelay(true);
        let mut resets = self.resets.clone();
        resets.borrow_and_update();
        let stop = self.stop.clone();
        tokio::spawn(async move {
            let answer = service_fn(move |request| service.clone().answer(request));
            let mut connection =
                http1::Builder::new().serve_connection(TokioIo::new(stream), answer);
            tokio::select! {
                _ = &mut connection => return,
                _ = resets.changed() => {}
                () = stop.cancelled() => {}
            }
            let _ = connection.into_parts().io.into_inner().set_zero_linger();
        });
    }
}

/// Binds a port that was in use before. Another socket may hold it for a moment.
async fn bind_again(address: SocketAddr) -> Option<TcpListener> {
    const PAUSE: Duration = Duration::from_millis(10);
    let bind = || -> io::Result<TcpListener> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(1024)
    };
    match bind() {
        Ok(listener) => Some(listener),
        Err(error) => {
            tracing::debug!(%address, %error, "the port can't be bound again yet");
            sleep(PAUSE).await;
            None
        }
    }
}
