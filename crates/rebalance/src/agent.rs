//! The process beside a rank.

use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactusnotch_gateway::{peer, reload, store};
use cactusnotch_telemetry::metric;
use derive_more::{Display, Error};
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

use crate::codec::{Codec, Order};
use crate::coordinator::{Coordinator, Event};
use crate::endpoint::Endpoint;
use crate::estimate;
use crate::member::Member;
use crate::message::{Choices, Datagram, Part, Phase, Standing};
use crate::neighbours::Neighbours;
use crate::plan;
use crate::state::{Place, State};

/// How often the endpoint's state is read while no round is under way.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// The same during a round, whose phases it delays.
const LOOK_EVERY_BUSY: Duration = Duration::from_millis(30);
/// How often counts are read and sent.
const COUNT_EVERY: Duration = Duration::from_millis(200);
/// How often a rank repeats how it stands though nothing has changed.
const REPEAT_EVERY: Duration = Duration::from_millis(300);
/// How often loads are sent to entries.
const LOAD_EVERY: Duration = Duration::from_millis(250);
/// How long an entry's subscription lasts; entries renew it each second.
const SUBSCRIPTION: Duration = Duration::from_secs(4);
/// After this time without a word from rank 0 its agent is looked for again.
const SILENCE: Duration = Duration::from_millis(1_200);
/// How often it is looked for.
const SEEK_EVERY: Duration = Duration::from_millis(400);
/// The time within which a round's experts are to be copied.
const ROUND_COPY: Duration = Duration::from_millis(300);
/// How long an order that was begun is waited for before it is given again.
const ORDER_TIME: Duration = Duration::from_millis(1_500);
/// The pause before an order that was refused is given again.
const ORDER_PAUSE: Duration = Duration::from_millis(25);
/// What a copied expert has to take off the peak, as a part of the mean load.
const GAIN: f64 = 0.03;
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
    endpoint: Endpoint<C>,
    neighbours: Neighbours<S>,
    member: Member,
    coordinator: Option<Coordinator>,
    /// The addresses of the ranks' agents, as far as this agent leads.
    ranks: Vec<Option<SocketAddr>>,
    /// Where rank 0's agent is, and when it was heard last.
    leader: Option<(SocketAddr, Instant)>,
    subscribers: Vec<(SocketAddr, Instant)>,
    held: Option<(u64, u64, Vec<Vec<u16>>)>,
    counted: Option<(u64, Vec<u64>)>,
    given: Option<Given>,
    told: Option<Standing>,
    due: Due,
    lost: bool,
    codec: PhantomData<(C, S)>,
}

/// When the repeated things were done last.
#[derive(Debug, Default)]
struct Due {
    count: Option<Instant>,
    load: Option<Instant>,
    seek: Option<Instant>,
    tell: Option<Instant>,
}

/// Returns whether `every` has passed since `last`, and notes it if so.
fn due(last: &mut Option<Instant>, every: Duration, now: Instant) -> bool {
    let is_due = last.is_none_or(|at| now.saturating_duration_since(at) >= every);
    if is_due {
        *last = Some(now);
    }
    is_due
}

/// The sockets of an agent.
#[derive(Debug)]
struct Sockets {
    entries: UdpSocket,
    agents: UdpSocket,
}

impl<C: Codec, S: store::Codec> Agent<C, S> {
    /// Creates an agent.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            endpoint: Endpoint::new(options.endpoint),
            neighbours: Neighbours::new(options.store, options.service.clone(), options.agents),
            member: Member::new(),
            coordinator: None,
            ranks: Vec::new(),
            leader: None,
            subscribers: Vec::new(),
            held: None,
            counted: None,
            given: None,
            told: None,
            due: Due::default(),
            lost: false,
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
        let mut next = tokio::time::Instant::now();
        loop {
            let now = tokio::select! {
                biased;
                received = sockets.agents.recv_from(&mut from_agents) => {
                    let now = Instant::now();
                    if let Ok((length, from)) = received
                        && self.hear(&sockets, &from_agents[..length], from, now)
                    {
                        next = tokio::time::Instant::now();
                    }
                    continue;
                }
                received = sockets.entries.recv_from(&mut from_entries) => {
                    if let Ok((length, from)) = received {
                        self.subscribe(&from_entries[..length], from, Instant::now());
                    }
                    continue;
                }
                () = tokio::time::sleep_until(next) => Instant::now(),
            };
            self.look(&sockets, now).await;
            let busy = self.member.is_busy();
            next = tokio::time::Instant::now() + if busy { LOOK_EVERY_BUSY } else { LOOK_EVERY };
        }
    }

    fn subscribe(&mut self, bytes: &[u8], from: SocketAddr, now: Instant) {
        if !matches!(peer::Datagram::decode(bytes), Ok(peer::Datagram::Subscribe)) {
            return;
        }
        self.subscribers
            .retain(|&(entry, until)| entry != from && until > now);
        self.subscribers.push((from, now + SUBSCRIPTION));
    }

    /// Takes a datagram of another agent; returns whether it calls for a look
    /// at the endpoint now.
    fn hear(&mut self, sockets: &Sockets, bytes: &[u8], from: SocketAddr, now: Instant) -> bool {
        let datagram = match Datagram::decode(bytes) {
            Ok(datagram) => datagram,
            Err(error) => {
                tracing::debug!(%from, %error, "datagram dropped");
                return false;
            }
        };
        match datagram {
            Datagram::Seek(place) => {
                self.answer(sockets, &place, from);
                false
            }
            Datagram::Standing(standing) => self.hear_standing(sockets, standing, from, now),
            Datagram::Choices(choices) => {
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.count(&choices.place, &choices.units, &choices.counts, now);
                }
                false
            }
            Datagram::Round(round) => {
                self.leader = Some((from, now));
                let urgent = round.phase != Phase::Rest;
                self.member.take(round);
                urgent
            }
            Datagram::Part(part) => self.member.learn(part),
        }
    }

    /// Notes where a rank's agent is, and tells it the round.
    fn answer(&mut self, sockets: &Sockets, place: &Place, from: SocketAddr) {
        let Some(coordinator) = &self.coordinator else {
            return;
        };
        let own = coordinator.place();
        if (&own.group, own.epoch) != (&place.group, place.epoch) {
            return;
        }
        if let Some(rank) = self.ranks.get_mut(usize::from(place.rank)) {
            *rank = Some(from);
        }
        send(
            &sockets.agents,
            &Datagram::Round(coordinator.round().clone()),
            from,
        );
    }

    fn hear_standing(
        &mut self,
        sockets: &Sockets,
        standing: Standing,
        from: SocketAddr,
        now: Instant,
    ) -> bool {
        let place = standing.place.clone();
        let Some(coordinator) = &mut self.coordinator else {
            return false;
        };
        let lacks = coordinator.lacks(&standing) || coordinator.round().phase == Phase::Rest;
        let parts = match coordinator.map() {
            Some((version, map))
                if standing.maps.current == version && standing.known != Some(version) =>
            {
                parts(coordinator.place(), version, map)
            }
            _ => Vec::new(),
        };
        coordinator.hear(standing, now);
        parts
            .into_iter()
            .for_each(|part| send(&sockets.agents, &Datagram::Part(part), from));
        if lacks {
            self.answer(sockets, &place, from);
        }
        true
    }

    /// Reads the endpoint's state and goes on from it.
    async fn look(&mut self, sockets: &Sockets, now: Instant) {
        let state = match self.endpoint.state().await {
            Ok(state) => state,
            Err(error) => {
                if !self.lost {
                    tracing::warn!(%error, "endpoint lost");
                }
                self.lost = true;
                return;
            }
        };
        if self.lost {
            tracing::info!("endpoint regained");
            self.lost = false;
        }
        self.tell_load(sockets, &state, now);
        if let Some(place) = state.place.clone() {
            self.find_neighbours(sockets, &place, now).await;
            self.take_part(sockets, &place, state, now).await;
        }
    }

    fn tell_load(&mut self, sockets: &Sockets, state: &State, now: Instant) {
        if !due(&mut self.due.load, LOAD_EVERY, now) {
            return;
        }
        self.subscribers.retain(|&(_, until)| until > now);
        let load = peer::Load {
            endpoint: self.options.endpoint,
            requests: state.running + state.waiting,
            open: state.open,
            memory: state.memory,
        };
        for &(entry, _) in &self.subscribers {
            send_bytes(
                &sockets.entries,
                &peer::Datagram::Load(load.clone()).encode(),
                entry,
            );
        }
    }

    /// Looks for rank 0's agent if it has not been heard lately, and for the
    /// shape of the maps.
    async fn find_neighbours(&mut self, sockets: &Sockets, place: &Place, now: Instant) {
        let heard = self
            .leader
            .is_some_and(|(_, at)| now.saturating_duration_since(at) < SILENCE);
        let alone = place.rank != 0 && !heard;
        let missing =
            self.neighbours.shape.is_none() || (alone && self.neighbours.agents.is_empty());
        if (missing || alone)
            && self.neighbours.is_due(now)
            && let Err(error) = self.neighbours.look(now).await
        {
            tracing::warn!(%error, "neighbours not found in the store");
        }
        if alone && due(&mut self.due.seek, SEEK_EVERY, now) {
            let seek = Datagram::Seek(place.clone()).encode();
            self.neighbours
                .agents
                .iter()
                .for_each(|&agent| send_bytes(&sockets.agents, &seek, agent));
        }
    }

    async fn take_part(&mut self, sockets: &Sockets, place: &Place, state: State, now: Instant) {
        self.member.observe(place, &state.maps);
        self.lead(place);
        self.read_held(place, &state).await;
        self.count(sockets, place, now).await;
        let mut state = state;
        // Each order changes the state, and the next phase may follow at once.
        for _ in 0..STEPS_MAX {
            let Some(order) = self.next_order(sockets, place, &state, now) else {
                break;
            };
            if !self.give(&order, &state, place).await {
                break;
            }
            match self.endpoint.state().await {
                Ok(new) if new.place.as_ref() == Some(place) => state = new,
                _ => break,
            }
            self.member.observe(place, &state.maps);
        }
        self.tell_standing(sockets, place, &state, Instant::now());
    }

    /// Becomes or ceases to be the leader.
    fn lead(&mut self, place: &Place) {
        if place.rank != 0 {
            self.coordinator = None;
            return;
        }
        let leads = self
            .coordinator
            .as_ref()
            .is_some_and(|coordinator| coordinator.place() == place);
        let Some(shape) = self.neighbours.shape.filter(|_| !leads) else {
            return;
        };
        let per_rank = ROUND_COPY.as_secs_f64() / shape.copy.as_secs_f64().max(0.001);
        let options = plan::Options {
            per_rank: whole(per_rank).max(1),
            gain: GAIN,
        };
        tracing::info!(
            group = place.group,
            epoch = place.epoch,
            ranks = place.size,
            "leading the group"
        );
        self.coordinator = Some(Coordinator::new(place.clone(), shape, options));
        self.ranks = vec![None; usize::from(place.size)];
    }

    /// Reads which experts the rank holds while the whole map is unknown.
    async fn read_held(&mut self, place: &Place, state: &State) {
        let current = (place.epoch, state.maps.current);
        let known = self
            .held
            .as_ref()
            .is_some_and(|(epoch, version, _)| (*epoch, *version) == current);
        if self.member.known().is_some() || known {
            return;
        }
        match self.endpoint.held().await {
            Ok((version, held)) => self.held = Some((place.epoch, version, held)),
            Err(error) => tracing::warn!(%error, "held experts not read"),
        }
    }

    /// Reads the counts and passes on what has come since the last time.
    async fn count(&mut self, sockets: &Sockets, place: &Place, now: Instant) {
        let Some(shape) = self.neighbours.shape else {
            return;
        };
        if !due(&mut self.due.count, COUNT_EVERY, now) {
            return;
        }
        let counts = match self.endpoint.counts().await {
            Ok(counts) => counts,
            Err(error) => {
                tracing::warn!(%error, "counts not read");
                return;
            }
        };
        let before = self.counted.replace((counts.epoch, counts.counts.clone()));
        let Some((epoch, before)) = before.filter(|(epoch, _)| *epoch == counts.epoch) else {
            return;
        };
        if epoch != place.epoch || before.len() != counts.counts.len() {
            return;
        }
        let new: Vec<_> = counts
            .counts
            .iter()
            .zip(&before)
            .map(|(new, old)| new.saturating_sub(*old))
            .collect();
        if new.iter().all(|&count| count == 0) {
            return;
        }
        let (units, bytes) = estimate::pack(&new, shape.experts);
        match (&mut self.coordinator, self.leader) {
            (Some(coordinator), _) => coordinator.count(place, &units, &bytes, now),
            (None, Some((leader, _))) => {
                let choices = Choices {
                    place: place.clone(),
                    units,
                    counts: bytes.into(),
                };
                send(&sockets.agents, &Datagram::Choices(choices), leader);
            }
            (None, None) => {}
        }
    }

    /// Returns the next order for the own endpoint.
    fn next_order(
        &mut self,
        sockets: &Sockets,
        place: &Place,
        state: &State,
        now: Instant,
    ) -> Option<Order> {
        let standing = self.standing(place, state);
        let mut order = None;
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.hear(standing, now);
            let before = (coordinator.round().version, coordinator.round().phase);
            let (wanted, event) = coordinator.step(&state.maps, now);
            order = wanted;
            if let Some(event) = &event {
                log(place, event);
            }
            let round = coordinator.round();
            if before != (round.version, round.phase) {
                let bytes = Datagram::Round(round.clone()).encode();
                self.ranks
                    .iter()
                    .flatten()
                    .for_each(|&rank| send_bytes(&sockets.agents, &bytes, rank));
            }
            if let Some((version, map)) = coordinator.map()
                && self.member.known() != Some(version)
                && state.maps.current == version
            {
                self.member.know(version, map.clone());
            }
            self.member.take(coordinator.round().clone());
        }
        order.or_else(|| self.member.order(&state.maps))
    }

    /// Gives an order unless it is under way; returns whether the endpoint's
    /// state is worth another look now.
    async fn give(&mut self, order: &Order, state: &State, place: &Place) -> bool {
        let now = Instant::now();
        if let Some(given) = &self.given
            && given.order == *order
        {
            let age = now.saturating_duration_since(given.at);
            if age < if given.begun { ORDER_TIME } else { ORDER_PAUSE } {
                return false;
            }
        }
        let result = self
            .endpoint
            .order(order, state.sequence, place.epoch)
            .await;
        self.given = Some(Given {
            order: order.clone(),
            begun: result.is_ok(),
            at: now,
        });
        match &result {
            Ok(()) => tracing::info!(
                group = place.group,
                order = name(order),
                step = state.maps.step,
                sequence = state.sequence,
                "order begun"
            ),
            Err(error) => {
                tracing::info!(group = place.group, order = name(order), sequence = state.sequence, %error, "order not confirmed")
            }
        }
        result.is_ok()
    }

    fn standing(&self, place: &Place, state: &State) -> Standing {
        let known = self.member.known();
        let held = self.held.as_ref().filter(|(epoch, version, _)| {
            known.is_none() && (*epoch, *version) == (place.epoch, state.maps.current)
        });
        Standing {
            place: place.clone(),
            open: state.open,
            maps: state.maps,
            known,
            held: held.map(|(_, _, held)| held.clone()),
        }
    }

    /// Tells rank 0 how this rank stands, if that is new or due.
    fn tell_standing(&mut self, sockets: &Sockets, place: &Place, state: &State, now: Instant) {
        let Some((leader, _)) = self.leader.filter(|_| self.coordinator.is_none()) else {
            return;
        };
        let standing = self.standing(place, state);
        let same = |told: &Standing| {
            let step = standing.maps.step;
            let mut told = told.clone();
            told.maps.step = step;
            told == standing
        };
        let news = !self.told.as_ref().is_some_and(same);
        if news || due(&mut self.due.tell, REPEAT_EVERY, now) {
            self.due.tell = Some(now);
            send(
                &sockets.agents,
                &Datagram::Standing(standing.clone()),
                leader,
            );
            self.told = Some(standing);
        }
    }
}

/// The orders that may follow one another within one look.
const STEPS_MAX: usize = 4;

fn log(place: &Place, event: &Event) {
    let group = place.group.as_str();
    match event {
        Event::Began(plan) => {
            tracing::info!(
                group,
                moves = plan.moves.len(),
                skew = plan.before,
                expected = plan.after,
                "round begun"
            );
        }
        Event::Held(step) => tracing::info!(group, step, "group held"),
        Event::Switched(version) => {
            metrics::counter!(metric::GROUP_SWITCHES).increment(1);
            tracing::info!(group, version, "map in force");
        }
        Event::GivenUp(version) => {
            tracing::warn!(group, version, "round given up, some rank did not load")
        }
        Event::Found(step) => tracing::warn!(group, step, "group found held, resolving it"),
    }
}

const fn name(order: &Order) -> &'static str {
    match order {
        Order::Prepare { .. } => "prepare",
        Order::Arm { .. } => "arm",
        Order::Hold { .. } => "hold",
        Order::Go { .. } => "go",
    }
}

/// Returns the parts of a map as they are told to agents that lack it.
fn parts(place: &Place, version: u64, map: &crate::Map) -> Vec<Part> {
    let number = |value: usize| u16::try_from(value).unwrap_or(u16::MAX);
    let sets = number(map.sets.len());
    let part = |(set, ranks): (usize, &Vec<Vec<u16>>)| Part {
        group: place.group.clone(),
        epoch: place.epoch,
        version,
        set: number(set),
        sets,
        ranks: ranks.clone(),
    };
    map.sets.iter().enumerate().map(part).collect()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small number of copies"
)]
const fn whole(number: f64) -> usize {
    number as usize
}

fn send(socket: &UdpSocket, datagram: &Datagram, to: SocketAddr) {
    send_bytes(socket, &datagram.encode(), to);
}

/// Sends a datagram; one that can't be sent is as good as lost on its way,
/// and everything is said again.
fn send_bytes(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    if let Err(error) = socket.try_send_to(bytes, to) {
        tracing::debug!(%to, %error, "datagram not sent");
    }
}
