//! The entry's server: its ports and its tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cactusnotch_base::Clock;
use cactusnotch_link::Listener;
use cactusnotch_member::{Record, Role, State};
use cactusnotch_node::Node;
use cactusnotch_telemetry::metric;
use derive_more::{Display, Error};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::shared::Shared;
use crate::{Options, admission, caller, claims, operator, peers, roster, stopping};

/// The largest head of a caller's request, in bytes.
const HEAD_LIMIT: usize = 32 << 10;

/// The number of threads that serve operators.
const OPERATOR_THREADS: usize = 4;

/// The pause after a connection could not be accepted, for example for lack of
/// file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The interval at which the operators' port checks for a stop.
const OPERATOR_POLL: Duration = Duration::from_millis(50);

/// A failure to start an entry.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// A port could not be opened.
    #[display("start of the entry: {port} port {address}: {detail}")]
    Listen {
        /// The port's users: callers, operators or peers.
        port: &'static str,
        /// The requested address.
        address: SocketAddr,
        /// The failure.
        detail: String,
    },
}

/// A running entry.
#[derive(Debug)]
pub struct Server<C: Clock> {
    shared: Arc<Shared<C>>,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
}

impl<C: Clock> Server<C> {
    /// Starts an entry on the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if one of the ports cannot be opened.
    pub async fn start(options: Options, clock: C) -> Result<Self, Error> {
        let listener = TcpListener::bind(options.listen)
            .await
            .map_err(|error| listen_error("callers'", options.listen, error))?;
        let callers = listener
            .local_addr()
            .map_err(|error| listen_error("callers'", options.listen, error))?;
        let peers = Listener::bind(options.peer_listen, options.node.link.clone())
            .await
            .map_err(|error| listen_error("peers'", options.peer_listen, error))?;
        let peer_address = peers.address();
        let record = record(&options, peer_address, callers);
        let node = Node::start(options.node.clone(), record, clock.clone());
        let shared = Arc::new(Shared::new(options, node, clock));
        let stop = Arc::new(AtomicBool::new(false));
        let operators = serve_operators(&shared, &stop)?;
        let tasks = vec![
            tokio::spawn(serve_callers(listener, Arc::clone(&shared))),
            tokio::spawn(peers::accept(peers, Arc::clone(&shared))),
            tokio::spawn(roster::follow(Arc::clone(&shared))),
            tokio::spawn(claims::tick(Arc::clone(&shared))),
            tokio::spawn(admission::tick(Arc::clone(&shared))),
        ];
        Ok(Self {
            shared,
            callers,
            operators,
            peers: peer_address,
            tasks,
            stop,
        })
    }

    /// Returns the address on which the entry listens for callers.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address on which the entry listens for operators.
    #[must_use]
    pub const fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Returns the address on which the entry listens for links of peers.
    #[must_use]
    pub const fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Stops the entry without interrupting requests. Takes at least the
    /// lifetime of the addresses that callers cache.
    pub async fn stop(&self) {
        stopping::stop(Arc::clone(&self.shared)).await;
    }
}

impl<C: Clock> Drop for Server<C> {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn record(options: &Options, peers: SocketAddr, callers: SocketAddr) -> Record {
    let identity = &options.node.link.identity;
    Record {
        process: identity.process.clone(),
        role: Role::Entry,
        host: identity.host.clone(),
        data_centre: identity.data_centre.clone(),
        region: options.region.clone(),
        peers: options.peer_advertise.unwrap_or(peers),
        callers: Some(options.advertise.unwrap_or(callers)),
        endpoint: None,
        incarnation: identity.incarnation,
        state: State::Joining,
    }
}

fn listen_error(port: &'static str, address: SocketAddr, error: impl std::fmt::Display) -> Error {
    Error::Listen {
        port,
        address,
        detail: error.to_string(),
    }
}

fn serve_operators<C: Clock>(
    shared: &Arc<Shared<C>>,
    stop: &Arc<AtomicBool>,
) -> Result<SocketAddr, Error> {
    let address = shared.options.operator_listen;
    let shared = Arc::clone(shared);
    let stop = Arc::clone(stop);
    let server = rouille::Server::new(address, move |request| operator::answer(&shared, request))
        .map_err(|error| listen_error("operators'", address, error))?
        .pool_size(OPERATOR_THREADS);
    let address = server.server_addr();
    std::thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            server.poll_timeout(OPERATOR_POLL);
        }
    });
    Ok(address)
}

async fn serve_callers<C: Clock>(listener: TcpListener, shared: Arc<Shared<C>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_caller(stream, Arc::clone(&shared)));
            }
            Err(error) => {
                tracing::warn!(%error, "callers' port: connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_caller<C: Clock>(stream: TcpStream, shared: Arc<Shared<C>>) {
    let peer = stream.peer_addr().ok();
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let state = Arc::clone(&shared);
    let head_timeout = shared.options.head_timeout;
    let service = service_fn(move |request| caller::answer(Arc::clone(&shared), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(HEAD_LIMIT)
        .serve_connection(TokioIo::new(stream), service);
    let _counted = state.stopping.count_connection();
    let mut connection = std::pin::pin!(connection);
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = state.stopping.closing() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        metrics::counter!(metric::ENTRY_CONNECTIONS_BROKEN).increment(1);
        tracing::debug!(%error, ?peer, "caller's connection broke");
    }
}
