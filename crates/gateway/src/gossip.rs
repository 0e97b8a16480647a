//! The exchange of datagrams with other entries and agents.

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

/// Interval at which other entries are polled for their state.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which subscriptions to agents are repeated until their first report.
const RESUBSCRIBE_INTERVAL: Duration = Duration::from_millis(60);
/// Agents are subscribed to every this many poll rounds; a subscription lasts several
/// rounds.
const SUBSCRIBE_ROUNDS: u32 = 2;
/// Limit of endpoints in one datagram of changes: with about 130 bytes each they fit.
const CHANGES_MAX: usize = 100;
/// Maximum size of a received datagram, in bytes.
const DATAGRAM_MAX: usize = 16 * 1024;

/// Polls and answers other entries, and handles agents' reports, until the process ends.
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
                Err(error) => tracing::debug!(%error, "receiving a datagram failed"),
            },
            () = shared.notifications.pushed() => notifications::send_due(&shared, &socket, false, clock::now()),
            () = shared.entries_listed.notified() => poll(&shared, &socket, false),
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
        Ok(Datagram::Subscribe) => tracing::debug!(%from, "unexpected load subscription"),
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
        Ok(Datagram::Served(fingerprint)) => shared.apply_served_report(fingerprint),
        Ok(Datagram::Limits(limits)) => {
            let reports = limits.iter().filter_map(|limit| limit.report(now));
            shared.apply_limit_reports(&reports.collect::<Vec<_>>(), now);
        }
        Err(error) => tracing::debug!(%from, %error, "invalid datagram dropped"),
    }
}

/// Records whether the entry at `from` accepts callers' requests.
fn record_state(shared: &SharedState, from: SocketAddr, ready: bool, now: Instant) {
    if let Some(host) = shared.peers.borrow_mut().record_state(from, ready, now) {
        tracing::info!(host, ready, "entry changed");
    }
}

/// Returns this entry's state for other entries.
fn state(shared: &SharedState, round: u32, now: Instant) -> peer::State {
    let age = shared.freshness.borrow().age(now);
    peer::State {
        ready: shared.ready(now),
        round,
        version: shared
            .configuration()
            .map_or(0, |configuration| configuration.version),
        proof_age: age.and_then(|age| u32::try_from(age.as_millis()).ok()),
        // Only positions whose changes this entry can forward: others would call the
        // store for the rest.
        known: shared.lag.progress().known(),
        returned_ago: shared.returned_ago(now),
        evacuated: shared.evacuated(now),
    }
}

fn apply_load_report(shared: &SharedState, load: &peer::Load, now: Instant) {
    let entries = shared.peers.borrow().count();
    let configuration = shared.configuration();
    let max_event_gap = |service: &str| configuration.as_ref()?.max_event_gap(service);
    let mut fleet = shared.fleet.borrow_mut();
    let context = fleet.apply_load(load, max_event_gap, entries, now);
    let Some(LoadContext {
        slots,
        sharers,
        pass_ratio,
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
            requests: load.requests,
            backlog: 0,
        },
        surcharge: slow_group_penalty(slots, pass_ratio),
        mine: None,
        sharers,
        age: Duration::ZERO,
    };
    fleet.report(load.endpoint, &report, now);
    fleet.renew_groups(entries, now, &mut *shared.rng.borrow_mut());
    drop(fleet);
    shared.wake_waiting_at(load.endpoint);
}

/// Returns the number of requests by which an endpoint's load is raised because the
/// passes of its group are `pass_ratio` times as long as those of the fastest group:
/// requests there wait for the group's other ranks.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of the slots"
)]
fn slow_group_penalty(slots: u32, pass_ratio: f64) -> u32 {
    let part = (pass_ratio - 1.0).clamp(0.0, 1.0);
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

/// Subscribes to agents that have not sent a first report; returns whether there are any.
fn subscribe_missing(shared: &SharedState, socket: &UdpSocket) -> bool {
    let port = shared.options().agent_port;
    let awaiting_agent = shared.fleet.borrow().awaiting_agent(clock::now());
    for endpoint in &awaiting_agent {
        let agent = SocketAddr::new(endpoint.ip(), port);
        send(socket, &Datagram::Subscribe, agent);
    }
    !awaiting_agent.is_empty()
}

/// Forwards changes of endpoints to the entries of this data centre. An entry that misses
/// them detects that it is behind the store and calls it.
pub(crate) fn forward_changes(shared: &SharedState, socket: &UdpSocket, changes: Changes) {
    if changes.endpoints.len() > CHANGES_MAX {
        return;
    }
    let changes = Datagram::Changes(changes);
    for peer in shared.peers.borrow().in_data_centre() {
        send(socket, &changes, peer);
    }
}

/// Sends this entry's changed state to the entries of its data centre.
pub(crate) fn announce(shared: &SharedState, socket: &UdpSocket) {
    let state = Datagram::State(state(shared, 0, clock::now()));
    for peer in shared.peers.borrow().in_data_centre() {
        send(socket, &state, peer);
    }
}

/// Sends the entries of this data centre, and all polled ones, the state that this entry
/// accepts no more requests.
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

/// Sends a datagram. If the socket is not ready the datagram is dropped, like one that is
/// lost on the network.
pub(crate) fn send(socket: &UdpSocket, message: &Datagram, to: SocketAddr) {
    if let Err(error) = socket.try_send_to(&datagram::encode(message), to)
        && error.kind() != io::ErrorKind::WouldBlock
    {
        tracing::debug!(%to, %error, "sending a datagram failed");
    }
}
