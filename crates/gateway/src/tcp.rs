//! Socket options that all connections share.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// How long sent bytes may stay unacknowledged before a connection counts as
/// broken. Hosts behind a partition don't answer at all; one second is far
/// above any round trip within a region and below callers' patience.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(1);
/// How long a quiet connection goes unprobed.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// The time between probes of a quiet connection.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// The unanswered probes after which a quiet connection counts as broken.
const PROBES_MAX: u32 = 2;
/// Connections that wait to be accepted. A full queue costs a caller seconds,
/// since its opening packet is dropped.
const BACKLOG: i32 = 1024;

/// Makes a connection notice a silent peer within two to three seconds, and
/// send small writes at once.
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

/// Opens a tuned connection to `peer` within `limit`. It is reset when it is closed:
/// what a call has written is then dropped if it hasn't arrived yet. A host that stood
/// still would otherwise read requests whose callers have long left, and carry out
/// orders that were given up.
///
/// # Errors
///
/// Returns the error of the connection, or that it took too long.
pub async fn connect(peer: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(limit, TcpStream::connect(peer)).await??;
    tune(&stream)?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

/// Listens on `address`, also if a former process has just left it.
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
