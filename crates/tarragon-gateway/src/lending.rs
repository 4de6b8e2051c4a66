//! Messages between processes about loans of slots, by UDP.

use std::{
    net::{SocketAddr, UdpSocket as StdUdpSocket},
    sync::Arc,
    time::Duration,
};

use tarragon_fleet::lending::LendingMessage;
use tokio::{net::UdpSocket, time::sleep};

use crate::context::GatewayContext;

/// Largest datagram that can be received. All messages are far smaller.
const MAX_MESSAGE_BYTES: usize = 256;
/// Delay after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Sends messages about loans without waiting. It is used inside the calls on the node, right after each decision.
#[derive(Debug)]
pub struct LendingSender {
    socket: StdUdpSocket,
    /// Port at which all processes receive these messages.
    port: u16,
}

impl LendingSender {
    /// Sends over a non-blocking socket that is bound to the process's address for these messages.
    pub fn new(socket: StdUdpSocket, port: u16) -> LendingSender {
        LendingSender { socket, port }
    }

    /// Sends a message to a peer. A message that can't be sent is dropped: the asker repeats it, and loans expire.
    pub fn send(&self, peer: SocketAddr, message: &LendingMessage) {
        let bytes = match message.to_bytes() {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(%error, "failed to encode a message about loans of slots");
                return;
            }
        };
        let address = SocketAddr::new(peer.ip(), self.port);
        if let Err(error) = self.socket.send_to(&bytes, address) {
            tracing::debug!(%peer, %error, "failed to send a message about loans of slots");
        }
    }
}

/// Receives messages about loans from peers, until the process ends.
pub async fn receive_messages<D>(context: Arc<GatewayContext<D>>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; MAX_MESSAGE_BYTES];
    let peer_port = context.settings.peer_address().port();
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "failed to read a datagram");
                sleep(READ_RETRY_DELAY).await;
                continue;
            }
        };
        let message = match LendingMessage::from_bytes(&buffer[..length]) {
            Ok(Some(message)) => message,
            Ok(None) => {
                tracing::debug!(peer = %from, "message about loans of slots has another version");
                continue;
            }
            Err(error) => {
                tracing::warn!(peer = %from, %error, "failed to decode a message about loans of slots");
                continue;
            }
        };
        let peer = SocketAddr::new(from.ip(), peer_port);
        context.node.run(|node, now, actions| node.receive_lending(now, peer, message, actions));
    }
}
