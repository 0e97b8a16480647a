//! The sockets of an agent.

use std::net::SocketAddr;

use tokio::net::UdpSocket;

use cactusnotch_gateway::datagram;

use crate::message::Datagram;

/// The sockets of an agent.
#[derive(Debug)]
pub(crate) struct Sockets {
    /// For datagrams of entries.
    pub(crate) entries: UdpSocket,
    /// For datagrams of other agents.
    pub(crate) agents: UdpSocket,
}

pub(crate) fn send(socket: &UdpSocket, message: &Datagram, to: SocketAddr) {
    send_bytes(socket, &datagram::encode(message), to);
}

/// Sends a datagram; one that can't be sent is as good as lost on its way,
/// and everything is said again.
pub(crate) fn send_bytes(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    if let Err(error) = socket.try_send_to(bytes, to) {
        tracing::debug!(%to, %error, "datagram not sent");
    }
}
