//! The process beside a rank.

mod due;
mod finish;
mod hear;
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
use cactusnotch_gateway::{datagram, peer, reload, serve_metrics, store, tcp};
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
use crate::message::{Ask, Standing};
use crate::neighbours::Neighbours;
use crate::rank::Rank;
use crate::relay::{Gathering, Telling};
use crate::rescue::Rescue;
use crate::state::State;

/// How often the endpoint's state is read while no round is under way.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// The same during a round, whose phases it delays.
const LOOK_EVERY_BUSY: Duration = Duration::from_millis(30);
/// How long an entry's subscription lasts; entries renew it each second.
const SUBSCRIPTION: Duration = Duration::from_secs(4);
/// The largest datagram that is read.
const DATAGRAM_MAX: usize = 16 * 1024;

/// The settings of an agent's process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The name of the host.
    pub host: String,
    /// Where the endpoint takes requests.
    pub endpoint: SocketAddr,
    /// The endpoint's service.
    pub service: String,
    /// Where entries send datagrams.
    pub entries: SocketAddr,
    /// Where other agents send datagrams; the port is the same on all hosts.
    pub agents: SocketAddr,
    /// Where metrics are scraped.
    pub metrics: SocketAddr,
    /// Where the platform's store is.
    pub store: SocketAddr,
    /// The bytes a second that the host's link carries.
    pub link: u32,
}

/// Why an agent can't start.
#[derive(Debug, Display, Error)]
#[display("{step}: {error}")]
pub struct Failure {
    step: &'static str,
    error: io::Error,
}

/// An order that was given, until the endpoint shows its effect.
#[derive(Debug)]
struct Given {
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
    /// A number that no other life of this process has.
    term: u64,
    /// The addresses of the ranks' agents, as far as this agent leads.
    ranks: Vec<Option<SocketAddr>>,
    /// Where rank 0's agent is, and when it was heard last.
    leader: Option<(SocketAddr, Instant)>,
    subscribers: Vec<(SocketAddr, Instant)>,
    held: Option<(u64, u64, Vec<Vec<u16>>)>,
    counted: Option<(u64, Vec<u64>)>,
    given: Option<Given>,
    told: Option<Standing>,
    /// The load as it was told to entries last.
    load: Option<peer::Load>,
    due: Due,
    rescue: Rescue,
    /// The endpoint at which this agent has held its group for the leader.
    leading: Option<(SocketAddr, Endpoint<C>)>,
    /// The relay that has passed on what rank 0 said last, and when.
    relay: Option<(SocketAddr, Instant)>,
    telling: Telling,
    /// What the ranks have counted for which this agent relays.
    gathering: Gathering,
    /// The hold that the leader's agent, at this address, has asked for.
    asked: Option<(Ask, SocketAddr)>,
    /// Who completes a silent leader's round and asked for words, and when.
    finisher: Option<(SocketAddr, Instant)>,
    cadence: Cadence,
    wake: SuspendDetector,
    lost: bool,
    /// When the endpoint started, as it said last.
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
            neighbours: Neighbours::new(options.store, options.service.clone(), options.agents),
            rank: Rank::default(),
            term: rand::random(),
            ranks: Vec::new(),
            leader: None,
            subscribers: Vec::new(),
            held: None,
            counted: None,
            given: None,
            told: None,
            load: None,
            due: Due::default(),
            rescue: Rescue::default(),
            leading: None,
            relay: None,
            gathering: Gathering::default(),
            telling: Telling::new(options.link),
            asked: None,
            finisher: None,
            cadence: Cadence::default(),
            wake: SuspendDetector::default(),
            lost: false,
            born: None,
            options,
            codec: PhantomData,
        }
    }

    /// Works until a stop is asked for.
    ///
    /// # Errors
    ///
    /// Returns why it can't start.
    pub fn run(self) -> Result<(), Failure> {
        let failed = |step| move |error| Failure { step, error };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(failed("runtime"))?;
        LocalSet::new().block_on(&runtime, async {
            let bind = |address| async move { UdpSocket::bind(address).await.map_err(failed("listen for datagrams")) };
            let entries = bind(self.options.entries).await?;
            let agents = bind(self.options.agents).await?;
            let metrics = tcp::listen(self.options.metrics).map_err(failed("listen for metrics"))?;
            tokio::task::spawn_local(serve_metrics(self.exporter.clone(), metrics));
            let mut stop = signal(SignalKind::terminate()).map_err(failed("signals"))?;
            tracing::info!(host = self.options.host, endpoint = %self.options.endpoint, "agent started");
            // An agent has no setting that may change while it runs.
            let reloads = reload::watch(|signalled| {
                if signalled {
                    tracing::info!("reload asked for, an agent has nothing to reload");
                }
            });
            tokio::select! {
                () = self.work(Sockets { entries, agents }) => {}
                _ = stop.recv() => {}
                ended = reloads => ended.map_err(failed("signals"))?,
            }
            tracing::info!("agent stopped");
            Ok(())
        })
    }

    async fn work(mut self, sockets: Sockets) {
        let mut from_entries = [0; 512];
        let mut from_agents = vec![0; DATAGRAM_MAX];
        let mut next = clock::now();
        loop {
            let now = tokio::select! {
                biased;
                received = sockets.agents.recv_from(&mut from_agents) => {
                    let now = clock::now();
                    if let Ok((length, from)) = received
                        && self.hear(&sockets, &from_agents[..length], from, now)
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
                () = tokio::time::sleep(next.left()) => clock::now(),
            };
            self.look(&sockets, now).await;
            let busy = self.rank.member.is_busy();
            next = clock::now() + if busy { LOOK_EVERY_BUSY } else { LOOK_EVERY };
        }
    }

    /// Takes an entry's subscription, and tells a new subscriber the load at once: an
    /// entry that has just started takes a group for open until it is told otherwise.
    fn subscribe(&mut self, sockets: &Sockets, bytes: &[u8], from: SocketAddr, now: Instant) {
        if !matches!(datagram::decode(bytes), Ok(peer::Datagram::Subscribe)) {
            return;
        }
        let new = self.subscribers.iter().all(|&(entry, _)| entry != from);
        self.subscribers
            .retain(|&(entry, until)| entry != from && until > now);
        self.subscribers.push((from, now + SUBSCRIPTION));
        if let Some(load) = self.load.as_ref().filter(|_| new) {
            let load = datagram::encode(&peer::Datagram::Load(load.clone()));
            send_bytes(&sockets.entries, &load, from);
        }
    }

    /// Forgets what was known of the endpoint if it has started again: it holds no map,
    /// runs no order and counts anew.
    fn live(&mut self, state: &State) {
        let before = std::mem::replace(&mut self.born, state.born);
        let Some((before, born)) = before.zip(state.born).filter(|(a, b)| a != b) else {
            return;
        };
        tracing::info!(
            before = before.0,
            born = born.0,
            "endpoint has started again"
        );
        self.rank = Rank::default();
        self.term = rand::random();
        (self.held, self.counted, self.given) = (None, None, None);
        (self.told, self.load, self.asked) = (None, None, None);
        self.cadence = Cadence::default();
    }

    /// Reads the endpoint's state and goes on from it.
    async fn look(&mut self, sockets: &Sockets, now: Instant) {
        if self.wake.check() {
            // A hold never expires, and who asked for one has given it up or asks again.
            self.asked = None;
        }
        if let Some((ask, from)) = self.asked.take() {
            self.hold(sockets, ask, from).await;
        }
        let state = match self.endpoint.state().await {
            Ok(state) => state,
            Err(error) => {
                if !self.lost {
                    tracing::warn!(%error, "endpoint lost");
                    self.tell_lost(sockets);
                }
                self.lost = true;
                return;
            }
        };
        if self.lost {
            tracing::info!("endpoint regained");
            self.lost = false;
        }
        self.live(&state);
        self.cadence.look(state.maps.step, now);
        self.tell_load(sockets, &state, now);
        if let Some(place) = state.place.clone() {
            self.find_neighbours(sockets, &place, now).await;
            self.take_part(sockets, &place, state, now).await;
        }
    }
}
