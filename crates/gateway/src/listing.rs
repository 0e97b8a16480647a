//! Statements between entries, load reports of agents, and the answers to
//! callers that ask where to connect.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_route::{Load, Report, State};
use tokio::net::UdpSocket;

use crate::alarms;
use crate::datagram;
use crate::fleet::Heard;
use crate::knowledge::Knowledge;
use crate::peer::{self, Changes, Datagram};

/// How often entries near are asked whether they are ready.
const ASK_EVERY: Duration = Duration::from_millis(500);
/// How often agents that have not been heard yet are subscribed to.
const SEEK_EVERY: Duration = Duration::from_millis(60);
/// Every how many rounds agents are subscribed to; a subscription lasts
/// several rounds.
const SUBSCRIBE_EVERY: u32 = 2;
/// The most endpoints of which changes are passed on at once: with some 130
/// bytes each they fit into a datagram.
const CHANGES_MAX: usize = 100;
/// The largest datagram that is read.
const DATAGRAM_MAX: usize = 16 * 1024;

/// Asks and answers other entries and takes agents' reports.
pub(crate) async fn run(knowledge: Rc<Knowledge>, socket: Rc<UdpSocket>) {
    let mut ticks = tokio::time::interval(ASK_EVERY);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut looks = tokio::time::interval(SEEK_EVERY);
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut seeking = true;
    let mut buffer = vec![0; DATAGRAM_MAX];
    let mut round = 0_u32;
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => take(&knowledge, &socket, &buffer[..length], from),
                Err(error) => tracing::debug!(%error, "datagram not received"),
            },
            () = knowledge.alarms.raised() => alarms::tell(&knowledge, &socket, false, clock::now()),
            _ = looks.tick(), if seeking => seeking = seek(&knowledge, &socket),
            _ = ticks.tick() => {
                knowledge.tick(clock::now());
                knowledge.gossip_limits(clock::now());
                alarms::tell(&knowledge, &socket, true, clock::now());
                seeking = true;
                ask(&knowledge, &socket, round.is_multiple_of(SUBSCRIBE_EVERY));
                round = round.wrapping_add(1);
            }
        }
    }
}

fn take(knowledge: &Knowledge, socket: &UdpSocket, bytes: &[u8], from: SocketAddr) {
    let now = clock::now();
    match datagram::decode(bytes) {
        Ok(Datagram::Subscribe) => tracing::debug!(%from, "subscription to loads at an entry"),
        Ok(Datagram::Ask {
            entry,
            ready,
            round,
        }) => {
            knowledge.peers.borrow_mut().insert(entry);
            hear(knowledge, from, ready, now);
            send(socket, &Datagram::State(state(knowledge, round, now)), from);
        }
        Ok(Datagram::State(state)) => {
            hear(knowledge, from, state.ready, now);
            knowledge.take_proof(&state, from, now);
            knowledge.hear_of_return(&state, now);
            knowledge.hear_evacuations(&state, now);
        }
        Ok(Datagram::Load(load)) => take_load(knowledge, &load, now),
        Ok(Datagram::Changes(changes)) => knowledge.take_changes(changes, now),
        Ok(Datagram::Crash(crash)) => knowledge.hear_of_crash(&crash, from, now),
        Ok(Datagram::Held(held)) => knowledge.hear_of_hold(&held, now),
        Ok(Datagram::Served(content)) => knowledge.hear_of_service(content),
        Ok(Datagram::Limits(limits)) => {
            let words = limits.iter().filter_map(|limit| limit.word(now));
            knowledge.hear_words(&words.collect::<Vec<_>>(), now);
        }
        Err(error) => tracing::debug!(%from, %error, "datagram dropped"),
    }
}

/// Takes whether the entry at `from` takes callers' requests.
fn hear(knowledge: &Knowledge, from: SocketAddr, ready: bool, now: Instant) {
    if let Some(host) = knowledge.peers.borrow_mut().hear(from, ready, now) {
        tracing::info!(host, ready, "entry changed");
    }
}

/// Returns how this entry is.
fn state(knowledge: &Knowledge, round: u32, now: Instant) -> peer::State {
    let age = knowledge.freshness.borrow().age(now);
    peer::State {
        ready: knowledge.ready(now),
        round,
        version: knowledge
            .configuration()
            .map_or(0, |configuration| configuration.version),
        proof_age: age.and_then(|age| u32::try_from(age.as_millis()).ok()),
        // Only what can be passed on: others would ask the store for the rest.
        known: knowledge.news.progress().known(),
        returned_ago: knowledge.returned_ago(now),
        evacuated: knowledge.evacuated(now),
    }
}

fn take_load(knowledge: &Knowledge, load: &peer::Load, now: Instant) {
    let entries = knowledge.peers.borrow().count();
    let configuration = knowledge.configuration();
    let pause = |service: &str| configuration.as_ref()?.pause(service);
    let mut fleet = knowledge.fleet.borrow_mut();
    let heard = fleet.hear(load, pause, entries, now);
    let Some(Heard {
        slots,
        sharers,
        slower,
    }) = heard
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
            requests: load.requests + detour(slots, slower),
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
fn detour(slots: u32, slower: f64) -> u32 {
    let part = (slower - 1.0).clamp(0.0, 1.0);
    (f64::from(slots) * part).round() as u32
}

fn ask(knowledge: &Knowledge, socket: &UdpSocket, subscribe: bool) {
    let asked = knowledge.peers.borrow().asked();
    let now = clock::now();
    let round = knowledge.questions.borrow_mut().begin(now);
    let question = Datagram::Ask {
        entry: knowledge.entry(),
        ready: knowledge.ready(now),
        round,
    };
    for peer in asked {
        send(socket, &question, peer);
    }
    if !subscribe || knowledge.stopping.get().is_some() {
        return;
    }
    let port = knowledge.options().agent_port;
    let fleet = knowledge.fleet.borrow();
    let configuration = knowledge.configuration();
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
fn seek(knowledge: &Knowledge, socket: &UdpSocket) -> bool {
    let port = knowledge.options().agent_port;
    let sought = knowledge.fleet.borrow().sought(clock::now());
    for endpoint in &sought {
        let agent = SocketAddr::new(endpoint.ip(), port);
        send(socket, &Datagram::Subscribe, agent);
    }
    !sought.is_empty()
}

/// Passes changes of endpoints on to the entries of this data centre. One that
/// doesn't get them finds itself behind the store and asks there.
pub(crate) fn pass_on(knowledge: &Knowledge, socket: &UdpSocket, changes: Changes) {
    if changes.endpoints.len() > CHANGES_MAX {
        return;
    }
    let changes = Datagram::Changes(changes);
    for peer in knowledge.peers.borrow().near() {
        send(socket, &changes, peer);
    }
}

/// Tells the entries near how this one is, since that has just changed.
pub(crate) fn announce(knowledge: &Knowledge, socket: &UdpSocket) {
    let state = Datagram::State(state(knowledge, 0, clock::now()));
    for peer in knowledge.peers.borrow().near() {
        send(socket, &state, peer);
    }
}

/// Tells the entries near that this one takes no callers any more.
pub(crate) fn announce_stop(knowledge: &Knowledge, socket: &UdpSocket) {
    let peers = knowledge.peers.borrow();
    let mut told = peers.near();
    told.extend(peers.asked());
    told.sort_unstable();
    told.dedup();
    let state = Datagram::State(peer::State {
        ready: false,
        ..state(knowledge, 0, clock::now())
    });
    for peer in told {
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
