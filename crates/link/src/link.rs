//! Establishment of links.

use std::sync::Arc;

use cactusnotch_telemetry::metric;
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpStream, ToSocketAddrs};
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

use crate::budget::Budget;
use crate::counted::Counted;
use crate::error::{Cause, Error, Step};
use crate::preface::Preface;
use crate::proof::Side;
use crate::reader::Reader;
use crate::shared::Shared;
use crate::writer::Writer;
use crate::{Identity, Options, Receiver, Sender, Stats, handshake};

/// The URL of the upgrade request; the peer ignores its value.
const UPGRADE_URL: &str = "ws://cactusnotch/link";

/// A message type that a link can carry.
pub trait Payload: Serialize + DeserializeOwned + Send + 'static {}

impl<M: Serialize + DeserializeOwned + Send + 'static> Payload for M {}

/// An open link between two authenticated sides.
#[derive(Debug)]
pub struct Link<M> {
    sender: Sender<M>,
    receiver: Receiver<M>,
}

impl<M> Link<M> {
    /// Returns the peer's identity.
    #[must_use]
    pub fn peer(&self) -> &Identity {
        self.sender.peer()
    }

    /// Splits the link into its halves.
    #[must_use]
    pub fn split(self) -> (Sender<M>, Receiver<M>) {
        (self.sender, self.receiver)
    }
}

/// Connects to `address` and opens a link.
///
/// # Errors
///
/// Returns the step that failed and why; see [`Cause`].
pub async fn dial<M: Payload>(
    address: impl ToSocketAddrs + std::fmt::Display,
    options: &Options,
) -> Result<Link<M>, Error> {
    let peer: Arc<str> = address.to_string().into();
    let deadline = deadline(options);
    let connected = timeout_at(deadline, TcpStream::connect(address)).await;
    let stream = connected
        .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
        .and_then(set_nodelay)
        .map_err(|error| failed(Step::Connect, &peer, Cause::Io(error)))?;
    open(stream, peer, options, Side::Dialer, deadline).await
}

/// Opens a link on an accepted connection.
///
/// # Errors
///
/// Returns the step that failed and why; see [`Cause`].
pub async fn accept<M: Payload>(stream: TcpStream, options: &Options) -> Result<Link<M>, Error> {
    let address = stream.peer_addr().map(|address| address.to_string());
    let peer: Arc<str> = address.unwrap_or_else(|_| "unknown".to_owned()).into();
    let stream =
        set_nodelay(stream).map_err(|error| failed(Step::Connect, &peer, Cause::Io(error)))?;
    let deadline = deadline(options);
    open(stream, peer, options, Side::Acceptor, deadline).await
}

/// Opens a link as the dialer on any byte stream; `peer` names the other side
/// in errors.
///
/// # Errors
///
/// Returns the step that failed and why; see [`Cause`].
pub async fn dial_on<M, S>(stream: S, peer: &str, options: &Options) -> Result<Link<M>, Error>
where
    M: Payload,
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let deadline = deadline(options);
    open(stream, peer.into(), options, Side::Dialer, deadline).await
}

/// Opens a link as the acceptor on any byte stream; `peer` names the other
/// side in errors.
///
/// # Errors
///
/// Returns the step that failed and why; see [`Cause`].
pub async fn accept_on<M, S>(stream: S, peer: &str, options: &Options) -> Result<Link<M>, Error>
where
    M: Payload,
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let deadline = deadline(options);
    open(stream, peer.into(), options, Side::Acceptor, deadline).await
}

/// Returns the deadline of a handshake that starts now.
#[expect(
    clippy::disallowed_methods,
    reason = "a timeout on the runtime's timers, which tests pause; no age is computed from it"
)]
fn deadline(options: &Options) -> Instant {
    Instant::now() + options.handshake_timeout
}

async fn open<M, S>(
    stream: S,
    peer: Arc<str>,
    options: &Options,
    side: Side,
    deadline: Instant,
) -> Result<Link<M>, Error>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let stats = Arc::new(Stats::new());
    let mut stream = Counted::new(stream, Arc::clone(&stats));
    let identity = authenticate(&mut stream, &peer, options, side, deadline)
        .await
        .inspect_err(count_failure)?;
    let socket = timeout_at(deadline, upgrade(stream, options, side))
        .await
        .unwrap_or(Err(Cause::Timeout(options.handshake_timeout)))
        .map_err(|cause| failed(Step::Upgrade, &peer, cause))?;
    metrics::counter!(metric::LINK_OPENED).increment(1);
    let shared = Arc::new(Shared::new(&peer, identity, stats, options));
    Ok(start(socket, &shared, options))
}

async fn authenticate<S>(
    stream: &mut S,
    peer: &Arc<str>,
    options: &Options,
    side: Side,
    deadline: Instant,
) -> Result<Identity, Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let preface = Preface {
        stream,
        options,
        peer: Arc::clone(peer),
        deadline,
    };
    match side {
        Side::Dialer => handshake::dial(preface).await,
        Side::Acceptor => handshake::accept(preface).await,
    }
}

async fn upgrade<S>(stream: S, options: &Options, side: Side) -> Result<WebSocketStream<S>, Cause>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let config = WebSocketConfig::default()
        .max_message_size(Some(options.frame_limit))
        .max_frame_size(Some(options.frame_limit));
    let upgraded = match side {
        Side::Dialer => client_async_with_config(UPGRADE_URL, stream, Some(config))
            .await
            .map(|(socket, _)| socket),
        Side::Acceptor => accept_async_with_config(stream, Some(config)).await,
    };
    upgraded.map_err(Cause::from)
}

fn start<M, S>(socket: WebSocketStream<S>, shared: &Arc<Shared>, options: &Options) -> Link<M>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let (sink, stream) = socket.split();
    let (outgoing, to_write) = mpsc::channel(options.queue_messages);
    let (received, incoming) = mpsc::channel(options.queue_messages);
    let mut pings = interval(options.ping_interval);
    pings.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let writer = Writer {
        sink,
        queue: to_write,
        pings,
        shared: Arc::clone(shared),
    };
    let reader = Reader {
        stream,
        queue: received,
        budget: Budget::new(shared.queue_bytes),
        idle_timeout: options.idle_timeout,
        shared: Arc::clone(shared),
    };
    tokio::spawn(writer.run());
    tokio::spawn(reader.run());
    Link {
        sender: Sender::new(outgoing, Arc::clone(shared)),
        receiver: Receiver::new(incoming, Arc::clone(shared)),
    }
}

fn set_nodelay(stream: TcpStream) -> std::io::Result<TcpStream> {
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn failed(step: Step, peer: &Arc<str>, cause: Cause) -> Error {
    let error = Error {
        step,
        peer: Arc::clone(peer),
        cause,
    };
    count_failure(&error);
    error
}

fn count_failure(error: &Error) {
    metrics::counter!(
        metric::LINK_HANDSHAKE_FAILURES,
        "step" => error.step.to_string(),
        "cause" => error.cause.label()
    )
    .increment(1);
}
