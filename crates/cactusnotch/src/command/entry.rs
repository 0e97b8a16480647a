//! `cactusnotch entry`: the process that callers connect to.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use cactusnotch_base::clock::System;
use cactusnotch_base::name::{DataCentre, Process};
use cactusnotch_base::{Clock, Table};
use cactusnotch_entry::{self as server, Server};
use cactusnotch_link::Role;
use cactusnotch_node as node;
use cactusnotch_objects::http;
use cactusnotch_options::{Common, checked, common};
use cactusnotch_telemetry::service;
use tokio::signal::unix::{SignalKind, signal};

use crate::error::Error;

/// The interval at which the node's due work runs.
const TICK: Duration = Duration::from_millis(100);

/// The timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);

/// The retry budget that a first attempt deposits, in thousandths of a retry.
const RETRY_FRACTION: u32 = 100;

/// The largest retry budget, in retries.
const RETRY_STORE: u32 = 20;

/// How long a run continues after its caller disconnected, if the caller can
/// resume the answer.
const LINGER: Duration = Duration::from_secs(30);

/// Settings of an entry.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(entry_options))]
pub(crate) struct Options {
    #[bpaf(external)]
    common: Common,
    /// Name of the process, unique and the same after a restart; made from
    /// the host's name if not given
    #[bpaf(long, env("CACTUSNOTCH_PROCESS"), argument("NAME"), optional)]
    process: Option<String>,
    /// Address on which callers connect
    #[bpaf(long, env("CACTUSNOTCH_LISTEN"), argument::<String>("IP:PORT"), parse(checked("listen")))]
    listen: SocketAddr,
    /// Address on which operators connect
    #[bpaf(
        long("operator-listen"),
        env("CACTUSNOTCH_OPERATOR_LISTEN"),
        argument::<String>("IP:PORT"),
        parse(checked("operator-listen"))
    )]
    operator_listen: SocketAddr,
    /// Address on which the system's other processes connect
    #[bpaf(
        long("peer-listen"),
        env("CACTUSNOTCH_PEER_LISTEN"),
        argument::<String>("IP:PORT"),
        parse(checked("peer-listen"))
    )]
    peer_listen: SocketAddr,
    /// Address that the system's other processes are told, if they reach this
    /// one by another than it listens on
    #[bpaf(
        long("peer-advertise"),
        env("CACTUSNOTCH_PEER_ADVERTISE"),
        argument::<String>("IP:PORT"),
        parse(checked("peer-advertise")),
        optional
    )]
    peer_advertise: Option<SocketAddr>,
    /// Address that callers are told, if they reach the entry by another than
    /// it listens on
    #[bpaf(
        long,
        env("CACTUSNOTCH_ADVERTISE"),
        argument::<String>("IP:PORT"),
        parse(checked("advertise")),
        optional
    )]
    advertise: Option<SocketAddr>,
    /// Other data centres, the nearest first, separated by commas
    #[bpaf(
        long("data-centres-nearest"),
        env("CACTUSNOTCH_DATA_CENTRES_NEAREST"),
        argument::<String>("NAMES"),
        optional
    )]
    nearest: Option<String>,
    /// Largest body of a caller's request, in bytes
    #[bpaf(
        long("body-limit"),
        env("CACTUSNOTCH_BODY_LIMIT"),
        argument("BYTES"),
        fallback(1 << 20),
        display_fallback
    )]
    body_limit: usize,
    /// How long a caller may take to send the head of a request
    #[bpaf(
        long("head-timeout"),
        env("CACTUSNOTCH_HEAD_TIMEOUT"),
        argument::<String>("TIME"),
        parse(checked("head-timeout")),
        fallback(Duration::from_secs(10)),
        debug_fallback
    )]
    head_timeout: Duration,
    /// How long a caller may take to send the body of a request
    #[bpaf(
        long("receive-timeout"),
        env("CACTUSNOTCH_RECEIVE_TIMEOUT"),
        argument::<String>("TIME"),
        parse(checked("receive-timeout")),
        fallback(Duration::from_secs(10)),
        debug_fallback
    )]
    receive_timeout: Duration,
    /// Fraction of requests without a trace of their own whose spans are logged
    #[bpaf(
        long("trace-fraction"),
        env("CACTUSNOTCH_TRACE_FRACTION"),
        argument("0..1"),
        guard(
            is_fraction,
            "--trace-fraction (CACTUSNOTCH_TRACE_FRACTION): allowed: 0 to 1"
        ),
        fallback(0.01),
        display_fallback
    )]
    trace_fraction: f64,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "bpaf passes a reference to guards"
)]
fn is_fraction(value: &f64) -> bool {
    (0.0..=1.0).contains(value)
}

/// Runs an entry until it receives a termination signal.
pub(crate) fn run(options: Options) -> Result<(), Error> {
    service::start(&options.common.logs.service()).map_err(Error::at("start of the process"))?;
    let runtime = tokio::runtime::Runtime::new().map_err(Error::at("start of the runtime"))?;
    let served = runtime.block_on(serve(options));
    // Pending watches at the platform are not awaited.
    runtime.shutdown_background();
    served
}

async fn serve(options: Options) -> Result<(), Error> {
    let server = Server::start(server_options(options), System)
        .await
        .map_err(Error::at("start of the entry"))?;
    tracing::info!(
        callers = %server.callers(),
        operators = %server.operators(),
        peers = %server.peers(),
        "entry started"
    );
    let mut terminate =
        signal(SignalKind::terminate()).map_err(Error::at("start of the signals"))?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    tracing::info!("entry told to stop");
    server.stop().await;
    tracing::info!("entry stopped");
    Ok(())
}

fn server_options(options: Options) -> server::Options {
    let common = &options.common;
    let process = options
        .process
        .unwrap_or_else(|| format!("entry-{}", common.host));
    let identity = common.identity(Process::new(process), Role::Entry, System.wall());
    let others = options.nearest.unwrap_or_default();
    let nearest = std::iter::once(common.data_centre.clone())
        .chain(
            others
                .split(',')
                .filter(|name| !name.is_empty())
                .map(DataCentre::new),
        )
        .collect();
    server::Options {
        listen: options.listen,
        operator_listen: options.operator_listen,
        peer_listen: options.peer_listen,
        advertise: options.advertise,
        peer_advertise: options.peer_advertise,
        region: common.region.clone(),
        node: node::Options {
            link: common.link(identity),
            platform: http::Options {
                base: common.platform.as_str().to_owned(),
                timeout: PLATFORM_TIMEOUT,
            },
            spread: cactusnotch_spread::Options::default(),
            seeds: Table::new(),
            tick: TICK,
        },
        route: cactusnotch_route::Options {
            nearest,
            ..cactusnotch_route::Options::default()
        },
        claim: cactusnotch_claim::Options::default(),
        attempt: cactusnotch_attempt::Options::default(),
        retry_fraction: RETRY_FRACTION,
        retry_store: RETRY_STORE,
        body_limit: options.body_limit,
        head_timeout: options.head_timeout,
        receive_timeout: options.receive_timeout,
        trace_fraction: options.trace_fraction,
        linger: LINGER,
    }
}
