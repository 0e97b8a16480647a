//! Sends messages of rank 0's agent to all ranks, in large groups through
//! relays.

use std::net::SocketAddr;

use cactusnotch_base::clock::Instant;
use cactusnotch_gateway::{datagram, store};
use serde_bytes::ByteBuf;

use super::Agent;
use super::due::is_due;
use super::sockets::{Sockets, send_bytes};
use crate::codec::Codec;
use crate::message::{Datagram, Part, Relay, Relayed};
use crate::relay::{self, Branch, HEARTBEAT_INTERVAL, Peer};
use crate::state::Place;

impl<C: Codec, S: store::Codec> Agent<C, S> {
    /// Announces the round to all ranks if it has `changed` or if the relays'
    /// heartbeat is due.
    pub(super) fn announce(&mut self, sockets: &Sockets, changed: bool, now: Instant) {
        let Some(coordinator) = &self.rank.coordinator else {
            return;
        };
        let relayed = relay::uses_relays(coordinator.place().size);
        let due = relayed && is_due(&mut self.due.heartbeat, HEARTBEAT_INTERVAL, now);
        if !changed && !due {
            return;
        }
        self.due.heartbeat = Some(now);
        let round = datagram::encode(&Datagram::Round(coordinator.round().clone()));
        let all: Vec<_> = (0..coordinator.place().size).collect();
        self.broadcast_to(sockets, &round, &all, now);
    }

    /// Sends the map in force to the ranks that lack it, if that is due.
    pub(super) fn send_map(&mut self, sockets: &Sockets, now: Instant) {
        let Some(coordinator) = &self.rank.coordinator else {
            return;
        };
        let lacking = coordinator.ranks_without_map();
        let Some((version, map)) = coordinator.map().filter(|_| !lacking.is_empty()) else {
            return;
        };
        while let Some(set) = self.broadcast.next(map.sets.len(), now) {
            if set == 0 {
                let group = coordinator.place().group.as_str();
                tracing::info!(
                    group,
                    version,
                    ranks = lacking.len(),
                    "telling the map in force"
                );
            }
            let Some(part) = part(coordinator.place(), version, map, set) else {
                break;
            };
            let part = datagram::encode(&Datagram::Part(part));
            self.broadcast
                .sent(self.broadcast_to(sockets, &part, &lacking, now));
        }
    }

    /// Sends a datagram to `ranks`; returns the number of bytes sent.
    fn broadcast_to(&self, sockets: &Sockets, bytes: &[u8], ranks: &[u16], now: Instant) -> usize {
        let send = |Branch { relay, to }: Branch| {
            if to.is_empty() {
                send_bytes(&sockets.agents, bytes, relay);
                return bytes.len();
            }
            let message = ByteBuf::from(bytes);
            let relayed = datagram::encode(&Datagram::Relay(Relay { to, message }));
            send_bytes(&sockets.agents, &relayed, relay);
            relayed.len()
        };
        self.branches(ranks, now).into_iter().map(send).sum()
    }

    /// Splits those of `ranks` whose agents have a known address into branches.
    fn branches(&self, ranks: &[u16], now: Instant) -> Vec<Branch> {
        let Some(coordinator) = &self.rank.coordinator else {
            return Vec::new();
        };
        let peer = |&rank: &u16| {
            let agent = self.agent_of(rank)?;
            Some(Peer {
                rank,
                agent,
                data_centre: self.neighbours.data_centre(agent),
                alive: coordinator.is_reachable(rank, now),
            })
        };
        relay::branches(
            coordinator.place().size,
            ranks.iter().filter_map(peer).collect(),
        )
    }

    /// Forwards a message of rank 0 to the branch.
    pub(super) fn relay_message(
        &mut self,
        sockets: &Sockets,
        relay: &Relay,
        leader: SocketAddr,
        now: Instant,
    ) {
        self.aggregation.activate(now);
        let message = relay.message.clone();
        let bytes = datagram::encode(&Datagram::Relayed(Relayed { leader, message }));
        for &agent in &relay.to {
            send_bytes(&sockets.agents, &bytes, agent);
        }
    }
}

/// Returns one set of a map as the message for agents that lack it.
fn part(place: &Place, version: u64, map: &crate::Map, set: usize) -> Option<Part> {
    let number = |value: usize| u16::try_from(value).unwrap_or(u16::MAX);
    Some(Part {
        group: place.group.clone(),
        epoch: place.epoch,
        version,
        set: number(set),
        sets: number(map.sets.len()),
        ranks: map.sets.get(set)?.clone(),
    })
}
