//! The agent process beside a rank.

mod due;
mod finish;
mod hear;
mod hold;
mod limit;
mod orders;
mod sockets;
mod spread;
mod tell;

use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_gateway::endpoint::StartTime;
use cactusnotch_gateway::wake::SuspendDetector;
use cactusnotch_gateway::{datagram, peer, reload, serve_metrics, store};
use cactusnotch_tcp as tcp;
use cactusnotch_telemetry::Exporter;
use derive_more::{Display, Error};
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

use self::due::Due;
use self::sockets::{Sockets, send_bytes};
use crate::cadence::Cadence;
use crate::codec::{Codec, Order};
use crate::endpoint::Endpoint;
use crate::message::{HoldRequest, Status};
use crate::neighbours::Neighbours;
use crate::rank::Rank;
use crate::relay::{Aggregation, Broadcast};
use crate::state::State;
use crate::takeover::Takeover;

/// The interval at which the endpoint's state is read while no round is under way.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The same during a round, each phase of which waits for it.
const POLL_INTERVAL_BUSY: Duration = Duration::from_millis(30);
/// How long the subscription of an entry lasts. Entries renew it each second.
const SUBSCRIPTION_LIFETIME: Duration = Duration::from_secs(4);
/// The largest datagram that is read, in bytes.
const DATAGRAM_MAX: usize = 16 * 1024;

/// The settings of an agent process.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The name of the host.
    pub host: String,
    /// The address at which the endpoint accepts requests.
    pub endpoint: SocketAddr,
    /// The endpoint's service.
    pub service: String,
    /// The address that receives datagrams from entries.
    pub entries: SocketAddr,
    /// The address that receives datagrams from other agents. The port is the same on all
    /// hosts.
    pub agents: SocketAddr,
    /// The address at which metrics are scraped.
    pub metrics: SocketAddr,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The bandwidth of the host's link, in bytes per second.
    pub link: u32,
    /// The settings of overload control.
    pub overload: cactusnotch_overload::Options,
}

/// An agent could not start.
#[derive(Debug, Display, Error)]
#[display("{step}: {error}")]
pub struct Failure {
    step: &'static str,
    error: io::Error,
}

/// An order that was sent and whose effect has not yet appeared in the endpoint's state.
#[derive(Debug)]
struct PendingOrder {
    order: Order,
    begun: bool,
    at: Instant,
}

/// The agent beside a rank.
#[derive(Debug)]
pub struct Agent<C, S> {
    options: Options,
    exporter: Exporter,
    endpoint: Endpoint<C>,
    neighbours: Neighbours<S>,
    rank: Rank,
    /// A number that is unique to this incarnation of the process.
    term: u64,
    /// The addresses of the ranks' agents, where known. Used only while this agent leads.
    ranks: Vec<Option<SocketAddr>>,
    /// The address of rank 0's agent, and when it was last seen.
    leader: Option<(SocketAddr, Instant)>,
    subscribers: Vec<(SocketAddr, Instant)>,
    held: Option<(u64, u64, Vec<Vec<u16>>)>,
    last_counts: Option<(u64, Vec<u64>)>,
    last_order: Option<PendingOrder>,
    /// The pass before which the own endpoint last reported a hold.
    last_hold: Option<u64>,
    last_status: Option<Status>,
    /// The load that was last sent to entries.
    last_load: Option<peer::Load>,
    due: Due,
    takeover: Takeover,
    /// The connection to the leader's endpoint, at which this agent has held its group.
    leader_endpoint: Option<(SocketAddr, Endpoint<C>)>,
    /// The relay that forwarded the latest message of rank 0, and when.
    relay: Option<(SocketAddr, Instant)>,
    broadcast: Broadcast,
    /// The counts of the ranks for which this agent relays.
    aggregation: Aggregation,
    /// The hold that the leader's agent, at this address, has requested.
    hold_request: Option<(HoldRequest, SocketAddr)>,
    /// The agent that completes the round of an unresponsive leader and requested status
    /// reports, and when it did.
    finisher: Option<(SocketAddr, Instant)>,
    cadence: Cadence,
    suspend_detector: SuspendDetector,
    endpoint_lost: bool,
    /// The start time of the endpoint, as it last reported it.
    born: Option<StartTime>,
    codec: PhantomData<(C, S)>,
}

impl<C: Codec, S: store::Codec> Agent<C, S> {
    /// Creates an agent.
    #[must_use]
    pub fn new(options: Options, exporter: Exporter) -> Self {
        Self {
            exporter,
            endpoint: Endpoint::new(options.endpoint),
            neighbours: Neighbours::new(
                options.store,
                options.service.clone(),
                options.agents,
                options.overload.mode,
            ),
            rank: Rank::default(),
            term: rand::random(),
            ranks: Vec::new(),
            leader: None,
            subscribers: Vec::new(),
            held: None,
            last_counts: None,
            last_order: None,
            last_hold: None,
            last_status: None,
            last_load: None,
            due: Due::default(),
            takeover: Takeover::default(),
            leader_endpoint: None,
            relay: None,
            aggregation: Aggregation::default(),
            broadcast: Broadcast::new(options.link),
            hold_request: None,
            finisher: None,
            cadence: Cadence::default(),
            suspend_detector: SuspendDetector::default(),
            endpoint_lost: false,
            born: None,
            options,
            codec: PhantomData,
        }
    }

    /// Runs until the process is asked to stop.
    ///
    /// # Errors
    ///
    /// Returns the step of the start that failed.
    pub fn run(self) -> Result<(), Failure> {
        let failed = |step| move |error| Failure { step, error };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(failed("start the runtime"))?;
        LocalSet::new().block_on(&runtime, async {
            let bind = |address| async move { UdpSocket::bind(address).await.map_err(failed("listen for datagrams")) };
            let entries = bind(self.options.entries).await?;
            let agents = bind(self.options.agents).await?;
            let metrics = tcp::listen(self.options.metrics).map_err(failed("listen for metrics"))?;
            tokio::task::spawn_local(serve_metrics(self.exporter.clone(), metrics));
            let mut stop = signal(SignalKind::terminate()).map_err(failed("install signal handlers"))?;
            tracing::info!(host = self.options.host, endpoint = %self.options.endpoint, "agent started");
            // An agent has no settings that may change while it runs.
            let reloads = reload::watch(|signalled| {
                if signalled {
                    tracing::info!("reload requested, but an agent has no settings to reload");
                }
            });
            tokio::select! {
                () = self.serve(Sockets { entries, agents }) => {}
                _ = stop.recv() => {}
                ended = reloads => ended.map_err(failed("install signal handlers"))?,
            }
            tracing::info!("agent stopped");
            Ok(())
        })
    }

    async fn serve(mut self, sockets: Sockets) {
        let mut from_entries = [0; 512];
        let mut from_agents = vec![0; DATAGRAM_MAX];
        let mut next = clock::now();
        loop {
            let now = tokio::select! {
                biased;
                received = sockets.agents.recv_from(&mut from_agents) => {
                    let now = clock::now();
                    if let Ok((length, from)) = received
                        && self.receive(&sockets, &from_agents[..length], from, now)
                    {
                        next = clock::now();
                    }
                    continue;
                }
                received = sockets.entries.recv_from(&mut from_entries) => {
                    if let Ok((length, from)) = received {
                        self.subscribe(&sockets, &from_entries[..length], from, clock::now());
                    }
                    continue;
                }
                () = tokio::time::sleep(next.remaining()) => clock::now(),
            };
            self.poll_endpoint(&sockets, now).await;
            let busy = self.rank.member.is_busy();
            next = clock::now()
                + if busy {
                    POLL_INTERVAL_BUSY
                } else {
                    POLL_INTERVAL
                };
        }
    }

    /// Records the subscription of an entry, and sends the load to a new subscriber at
    /// once: an entry that has just started considers a group open until it receives a
    /// report.
    fn subscribe(&mut self, sockets: &Sockets, bytes: &[u8], from: SocketAddr, now: Instant) {
        if !matches!(datagram::decode(bytes), Ok(peer::Datagram::Subscribe)) {
            return;
        }
        let new = self.subscribers.iter().all(|&(entry, _)| entry != from);
        self.subscribers
            .retain(|&(entry, until)| entry != from && until > now);
        self.subscribers.push((from, now + SUBSCRIPTION_LIFETIME));
        if let Some(load) = self.last_load.as_ref().filter(|_| new) {
            let load = datagram::encode(&peer::Datagram::Load(load.clone()));
            send_bytes(&sockets.entries, &load, from);
        }
    }

    /// Drops all state about the endpoint if it has restarted: it then holds no map, runs
    /// no order and starts its counts at zero.
    fn reset_if_restarted(&mut self, state: &State) {
        let before = std::mem::replace(&mut self.born, state.born);
        let Some((before, born)) = before.zip(state.born).filter(|(a, b)| a != b) else {
            return;
        };
        tracing::info!(
            before = before.0,
            born = born.0,
            "endpoint has started again"
        );
        self.rank.restart();
        self.term = rand::random();
        (self.held, self.last_counts, self.last_order) = (None, None, None);
        (self.last_status, self.last_load, self.hold_request) = (None, None, None);
        self.cadence = Cadence::default();
    }

    /// Reads the endpoint's state and takes the next steps.
    async fn poll_endpoint(&mut self, sockets: &Sockets, now: Instant) {
        if self.suspend_detector.check() {
            // A hold never expires, and its requester has abandoned it by now or will
            // request it again.
            self.hold_request = None;
        }
        if let Some((request, from)) = self.hold_request.take() {
            self.hold(sockets, request, from).await;
        }
        let state = match self.endpoint.state().await {
            Ok(state) => state,
            Err(error) => {
                if !self.endpoint_lost {
                    tracing::warn!(%error, "endpoint lost");
                    self.report_lost_endpoint(sockets);
                }
                self.endpoint_lost = true;
                return;
            }
        };
        if self.endpoint_lost {
            tracing::info!("endpoint regained");
            self.endpoint_lost = false;
        }
        self.reset_if_restarted(&state);
        self.cadence.observe(state.maps.step, now);
        self.update_load(sockets, &state, now);
        if let Some(place) = state.place.clone() {
            self.find_neighbours(sockets, &place, now).await;
            self.run_round(sockets, &place, state, now).await;
            self.report_lower_limit(sockets, clock::now());
        }
    }
}
