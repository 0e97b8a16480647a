//! Socket options shared by all connections.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

use crate::liveness::UNACKNOWLEDGED_MAX;

/// How long a connection may be idle before it is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// The interval between probes of an idle connection.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// The number of unanswered probes after which an idle connection counts as broken.
const PROBES_MAX: u32 = 2;
/// The length of the accept queue. If it is full, the SYN packet is dropped and the
/// caller loses seconds.
const BACKLOG: i32 = 1024;

/// Makes a connection detect an unresponsive peer within two to three seconds, and
/// disables Nagle's algorithm, which delays small writes.
///
/// # Errors
///
/// Returns the error of the socket option that could not be set.
pub fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))?;
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES_MAX);
    socket.set_tcp_keepalive(&keepalive)
}

/// Opens a tuned connection to `peer` within `timeout`. Closing it resets the connection,
/// which discards written data that has not arrived yet. A suspended host would
/// otherwise read requests whose callers disconnected long ago, and carry out orders
/// that were cancelled.
///
/// # Errors
///
/// Returns the error of the connection, or a timeout.
pub async fn connect(peer: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(peer)).await??;
    tune(&stream)?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

/// Listens on `address`, even if a former process has just released it.
///
/// # Errors
///
/// Returns the error of the step that failed.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = match address.ip() {
        IpAddr::V4(_) => Domain::IPV4,
        IpAddr::V6(_) => Domain::IPV6,
    };
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}
