//! Statements between entries, load reports of agents, and the answers to
//! callers that ask where to connect.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_route::{Load, Report, State};
use tokio::net::UdpSocket;

use crate::datagram;
use crate::fleet::LoadContext;
use crate::knowledge::SharedState;
use crate::notifications;
use crate::peer::{self, Changes, Datagram};

/// How often entries near are asked whether they are ready.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How often agents that have not been heard yet are subscribed to.
const RESUBSCRIBE_INTERVAL: Duration = Duration::from_millis(60);
/// Every how many rounds agents are subscribed to; a subscription lasts
/// several rounds.
const SUBSCRIBE_ROUNDS: u32 = 2;
/// The most endpoints of which changes are passed on at once: with some 130
/// bytes each they fit into a datagram.
const CHANGES_MAX: usize = 100;
/// The largest datagram that is read.
const DATAGRAM_MAX: usize = 16 * 1024;

/// Asks and answers other entries and takes agents' reports.
pub(crate) async fn run(shared: Rc<SharedState>, socket: Rc<UdpSocket>) {
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut resubscribe_ticks = tokio::time::interval(RESUBSCRIBE_INTERVAL);
    resubscribe_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut has_missing = true;
    let mut buffer = vec![0; DATAGRAM_MAX];
    let mut round = 0_u32;
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => handle(&shared, &socket, &buffer[..length], from),
                Err(error) => tracing::debug!(%error, "datagram not received"),
            },
            () = shared.notifications.pushed() => notifications::send_due(&shared, &socket, false, clock::now()),
            _ = resubscribe_ticks.tick(), if has_missing => has_missing = subscribe_missing(&shared, &socket),
            _ = ticks.tick() => {
                shared.tick(clock::now());
                shared.gossip_limits(clock::now());
                notifications::send_due(&shared, &socket, true, clock::now());
                has_missing = true;
                poll(&shared, &socket, round.is_multiple_of(SUBSCRIBE_ROUNDS));
                round = round.wrapping_add(1);
            }
        }
    }
}

fn handle(shared: &SharedState, socket: &UdpSocket, bytes: &[u8], from: SocketAddr) {
    let now = clock::now();
    match datagram::decode(bytes) {
        Ok(Datagram::Subscribe) => tracing::debug!(%from, "subscription to loads at an entry"),
        Ok(Datagram::Ask {
            entry,
            ready,
            round,
        }) => {
            shared.peers.borrow_mut().insert(entry);
            record_state(shared, from, ready, now);
            send(socket, &Datagram::State(state(shared, round, now)), from);
        }
        Ok(Datagram::State(state)) => {
            record_state(shared, from, state.ready, now);
            shared.apply_confirmation(&state, from, now);
            shared.note_return(&state, now);
            shared.apply_peer_evacuations(&state, now);
        }
        Ok(Datagram::Load(load)) => apply_load_report(shared, &load, now),
        Ok(Datagram::Changes(changes)) => shared.apply_changes(changes, now),
        Ok(Datagram::Crash(crash)) => shared.apply_crash_report(&crash, from, now),
        Ok(Datagram::Held(held)) => shared.apply_quarantine_report(&held, now),
        Ok(Datagram::Served(content)) => shared.apply_served_report(content),
        Ok(Datagram::Limits(limits)) => {
            let reports = limits.iter().filter_map(|limit| limit.report(now));
            shared.apply_limit_reports(&reports.collect::<Vec<_>>(), now);
        }
        Err(error) => tracing::debug!(%from, %error, "datagram dropped"),
    }
}

/// Takes whether the entry at `from` takes callers' requests.
fn record_state(shared: &SharedState, from: SocketAddr, ready: bool, now: Instant) {
    if let Some(host) = shared.peers.borrow_mut().record_state(from, ready, now) {
        tracing::info!(host, ready, "entry changed");
    }
}

/// Returns how this entry is.
fn state(shared: &SharedState, round: u32, now: Instant) -> peer::State {
    let age = shared.freshness.borrow().age(now);
    peer::State {
        ready: shared.ready(now),
        round,
        version: shared
            .configuration()
            .map_or(0, |configuration| configuration.version),
        proof_age: age.and_then(|age| u32::try_from(age.as_millis()).ok()),
        // Only what can be passed on: others would ask the store for the rest.
        known: shared.lag.progress().known(),
        returned_ago: shared.returned_ago(now),
        evacuated: shared.evacuated(now),
    }
}

fn apply_load_report(shared: &SharedState, load: &peer::Load, now: Instant) {
    let entries = shared.peers.borrow().count();
    let configuration = shared.configuration();
    let pause = |service: &str| configuration.as_ref()?.pause(service);
    let mut fleet = shared.fleet.borrow_mut();
    let context = fleet.apply_load(load, pause, entries, now);
    let Some(LoadContext {
        slots,
        sharers,
        slower,
    }) = context
    else {
        return;
    };
    let report = Report {
        state: if load.open {
            State::Serving
        } else {
            State::Unreachable
        },
        slots,
        total: Load {
            requests: load.requests + slow_group_penalty(slots, slower),
            backlog: 0,
        },
        mine: None,
        sharers,
        age: Duration::ZERO,
    };
    fleet.report(load.endpoint, &report, now);
}

/// Returns the requests that an endpoint counts for beyond its own, since
/// passes of its group are `slower` than those of the fastest: the group's
/// other ranks are what a request waits for there.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of the slots"
)]
fn slow_group_penalty(slots: u32, slower: f64) -> u32 {
    let part = (slower - 1.0).clamp(0.0, 1.0);
    (f64::from(slots) * part).round() as u32
}

fn poll(shared: &SharedState, socket: &UdpSocket, subscribe: bool) {
    let polled = shared.peers.borrow().polled();
    let now = clock::now();
    let round = shared.polls.borrow_mut().begin(now);
    let question = Datagram::Ask {
        entry: shared.entry(),
        ready: shared.ready(now),
        round,
    };
    for peer in polled {
        send(socket, &question, peer);
    }
    if !subscribe || shared.stopping.get().is_some() {
        return;
    }
    let port = shared.options().agent_port;
    let fleet = shared.fleet.borrow();
    let configuration = shared.configuration();
    let engines = fleet.used().filter(|endpoint| {
        let service = configuration
            .as_ref()
            .and_then(|c| c.service(&endpoint.service));
        service.is_some_and(|service| service.engine.is_some())
    });
    for endpoint in engines {
        send(
            socket,
            &Datagram::Subscribe,
            SocketAddr::new(endpoint.address.ip(), port),
        );
    }
}

/// Subscribes to agents that have not been heard yet; returns whether there are any.
fn subscribe_missing(shared: &SharedState, socket: &UdpSocket) -> bool {
    let port = shared.options().agent_port;
    let awaiting_agent = shared.fleet.borrow().awaiting_agent(clock::now());
    for endpoint in &awaiting_agent {
        let agent = SocketAddr::new(endpoint.ip(), port);
        send(socket, &Datagram::Subscribe, agent);
    }
    !awaiting_agent.is_empty()
}

/// Passes changes of endpoints on to the entries of this data centre. One that
/// doesn't get them finds itself behind the store and asks there.
pub(crate) fn pass_on(shared: &SharedState, socket: &UdpSocket, changes: Changes) {
    if changes.endpoints.len() > CHANGES_MAX {
        return;
    }
    let changes = Datagram::Changes(changes);
    for peer in shared.peers.borrow().in_data_centre() {
        send(socket, &changes, peer);
    }
}

/// Tells the entries near how this one is, since that has just changed.
pub(crate) fn announce(shared: &SharedState, socket: &UdpSocket) {
    let state = Datagram::State(state(shared, 0, clock::now()));
    for peer in shared.peers.borrow().in_data_centre() {
        send(socket, &state, peer);
    }
}

/// Tells the entries near that this one takes no callers any more.
pub(crate) fn announce_stop(shared: &SharedState, socket: &UdpSocket) {
    let peers = shared.peers.borrow();
    let mut receivers = peers.in_data_centre();
    receivers.extend(peers.polled());
    receivers.sort_unstable();
    receivers.dedup();
    let state = Datagram::State(peer::State {
        ready: false,
        ..state(shared, 0, clock::now())
    });
    for peer in receivers {
        send(socket, &state, peer);
    }
}

/// Sends a datagram; one that can't be sent now is as good as lost on its way.
pub(crate) fn send(socket: &UdpSocket, message: &Datagram, to: SocketAddr) {
    if let Err(error) = socket.try_send_to(&datagram::encode(message), to)
        && error.kind() != io::ErrorKind::WouldBlock
    {
        tracing::debug!(%to, %error, "datagram not sent");
    }
}
