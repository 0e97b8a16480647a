//! The sockets of an agent.

use std::net::SocketAddr;

use tokio::net::UdpSocket;

use cactusnotch_gateway::datagram;

use crate::message::Datagram;

/// The sockets of an agent.
#[derive(Debug)]
pub(crate) struct Sockets {
    /// Exchanges datagrams with entries.
    pub(crate) entries: UdpSocket,
    /// Exchanges datagrams with other agents.
    pub(crate) agents: UdpSocket,
}

pub(crate) fn send(socket: &UdpSocket, message: &Datagram, to: SocketAddr) {
    send_bytes(socket, &datagram::encode(message), to);
}

/// Sends a datagram. One that cannot be sent counts as lost: all messages are
/// repeated.
pub(crate) fn send_bytes(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    if let Err(error) = socket.try_send_to(bytes, to) {
        tracing::debug!(%to, %error, "sending a datagram failed");
    }
}
