//! The agent of cactusnotch: the process beside an endpoint.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

use std::fmt::Display;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use cactusnotch_agent::{Options, Profile, Server};
use cactusnotch_base::clock::System;
use cactusnotch_base::name::{Endpoint, Process};
use cactusnotch_base::{Clock, Table};
use cactusnotch_link::Role;
use cactusnotch_objects::http;
use cactusnotch_options::{Common, Url, checked, common};
use cactusnotch_telemetry::service;
use derive_more::{Display as DeriveDisplay, Error as DeriveError};
use tokio::signal::unix::{SignalKind, signal};

/// The interval at which the node's due work runs.
const TICK: Duration = Duration::from_millis(100);

/// How long a call to the platform may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);

/// The interval at which the endpoint's state is announced to entries.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);

/// The time between plans of a group's expert map.
const PLAN_INTERVAL: Duration = Duration::from_secs(10);

/// The interval at which a rank's reports are read and forwarded.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Agent of cactusnotch: stands beside one endpoint and decides what runs there
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Settings {
    #[bpaf(external)]
    common: Common,
    /// Name of the process, unique and the same after a restart; made from
    /// the endpoint's name if not given
    #[bpaf(long, env("CACTUSNOTCH_PROCESS"), argument("NAME"), optional)]
    process: Option<String>,
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
    /// Name of the endpoint, as the settings tree has it
    #[bpaf(long, env("CACTUSNOTCH_ENDPOINT"), argument("NAME"))]
    endpoint: String,
    /// Base address of the endpoint
    #[bpaf(
        long("engine-url"),
        env("CACTUSNOTCH_ENGINE_URL"),
        argument::<String>("URL"),
        parse(checked("engine-url"))
    )]
    engine: Url,
    /// Requests that the endpoint runs at once
    #[bpaf(
        long,
        env("CACTUSNOTCH_SLOTS"),
        argument("COUNT"),
        guard(is_positive, "--slots (CACTUSNOTCH_SLOTS): allowed: at least 1"),
        fallback(8),
        display_fallback
    )]
    slots: u32,
    /// Base address of the rank's engine, if the endpoint is a rank of a group
    #[bpaf(
        long("rank-url"),
        env("CACTUSNOTCH_RANK_URL"),
        argument::<String>("URL"),
        parse(checked("rank-url")),
        optional
    )]
    rank: Option<Url>,
    /// Rate of the weight store that all groups share, in bytes a second
    #[bpaf(
        long("weight-store-rate"),
        env("CACTUSNOTCH_WEIGHT_STORE_RATE"),
        argument("BYTES"),
        fallback(1_000_000_000),
        display_fallback
    )]
    store_rate: u64,
    /// Size of one expert's weights, in bytes
    #[bpaf(
        long("expert-bytes"),
        env("CACTUSNOTCH_EXPERT_BYTES"),
        argument("BYTES"),
        fallback(44_000_000),
        display_fallback
    )]
    expert_bytes: u64,
    /// Time between plans of a group's expert map
    #[bpaf(
        long("plan-interval"),
        env("CACTUSNOTCH_PLAN_INTERVAL"),
        argument::<String>("TIME"),
        parse(checked("plan-interval")),
        fallback(PLAN_INTERVAL),
        debug_fallback
    )]
    plan_interval: Duration,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "bpaf passes a reference to guards"
)]
fn is_positive(value: &u32) -> bool {
    *value > 0
}

/// A failure of the process and the step at which it occurred.
#[derive(Debug, DeriveDisplay, DeriveError)]
#[display("{step}: {detail}")]
struct Failure {
    step: &'static str,
    detail: String,
}

impl Failure {
    fn at<D: Display>(step: &'static str) -> impl Fn(D) -> Self {
        move |detail| Self {
            step,
            detail: detail.to_string(),
        }
    }
}

fn main() -> ExitCode {
    match run(settings().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("cactusnotch-agent: {failure}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: Settings) -> Result<(), Failure> {
    service::start(&settings.common.logs.service()).map_err(Failure::at("start of the process"))?;
    let runtime = tokio::runtime::Runtime::new().map_err(Failure::at("start of the runtime"))?;
    let served = runtime.block_on(serve(options(settings)));
    // Pending watches at the platform are not awaited.
    runtime.shutdown_background();
    served
}

async fn serve(options: Options) -> Result<(), Failure> {
    let server = Server::start(options, System)
        .await
        .map_err(Failure::at("start of the agent"))?;
    tracing::info!(peers = %server.address(), "agent started");
    let mut terminate =
        signal(SignalKind::terminate()).map_err(Failure::at("start of the signals"))?;
    let cause = tokio::select! {
        _ = terminate.recv() => "agent told to stop",
        _ = tokio::signal::ctrl_c() => "agent told to stop",
        () = server.leaving() => "agent stops with its endpoint",
    };
    tracing::info!("{cause}");
    server.stop().await;
    tracing::info!("agent stopped");
    Ok(())
}

fn options(settings: Settings) -> Options {
    let common = &settings.common;
    let process = settings
        .process
        .unwrap_or_else(|| format!("agent-{}", settings.endpoint));
    let identity = common.identity(Process::new(process), Role::Agent, System.wall());
    Options {
        listen: settings.peer_listen,
        advertise: settings.peer_advertise,
        region: common.region.clone(),
        node: cactusnotch_node::Options {
            link: common.link(identity),
            platform: http::Options {
                base: common.platform.as_str().to_owned(),
                timeout: PLATFORM_TIMEOUT,
            },
            spread: cactusnotch_spread::Options::default(),
            seeds: Table::new(),
            tick: TICK,
        },
        endpoint: Endpoint::new(settings.endpoint),
        engine: settings.engine.as_str().to_owned(),
        slots: settings.slots,
        ledger: cactusnotch_ledger::Options::default(),
        rank: settings.rank.map(|engine| Profile {
            engine: engine.as_str().to_owned(),
            store_rate: settings.store_rate,
            expert_bytes: settings.expert_bytes,
            plan_interval: settings.plan_interval,
            report_interval: REPORT_INTERVAL,
        }),
        announce_interval: ANNOUNCE_INTERVAL,
    }
}
