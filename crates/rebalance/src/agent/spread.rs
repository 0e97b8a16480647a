//! How rank 0's agent tells all ranks something: in a large group by relays.

use std::net::SocketAddr;

use cactusnotch_base::clock::Instant;
use cactusnotch_gateway::{datagram, store};
use serde_bytes::ByteBuf;

use super::Agent;
use super::due::due;
use super::sockets::{Sockets, send_bytes};
use crate::codec::Codec;
use crate::message::{Datagram, Part, Relay, Relayed};
use crate::relay::{self, Branch, HEARTBEAT_EVERY, Peer};
use crate::state::Place;

impl<C: Codec, S: store::Codec> Agent<C, S> {
    /// Tells all ranks the round, if `news`, or if relays have to be told again.
    pub(super) fn announce(&mut self, sockets: &Sockets, news: bool, now: Instant) {
        let Some(coordinator) = &self.rank.coordinator else {
            return;
        };
        let relayed = relay::relays(coordinator.place().size);
        let is_due = relayed && due(&mut self.due.beat, HEARTBEAT_EVERY, now);
        if !news && !is_due {
            return;
        }
        self.due.beat = Some(now);
        let round = datagram::encode(&Datagram::Round(coordinator.round().clone()));
        let all: Vec<_> = (0..coordinator.place().size).collect();
        self.spread(sockets, &round, &all, now);
    }

    /// Tells the ranks that lack it the map in force, if that is due.
    pub(super) fn tell_map(&mut self, sockets: &Sockets, now: Instant) {
        let Some(coordinator) = &self.rank.coordinator else {
            return;
        };
        let lacking = coordinator.lacking();
        let Some((version, map)) = coordinator.map().filter(|_| !lacking.is_empty()) else {
            return;
        };
        while let Some(set) = self.telling.next(map.sets.len(), now) {
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
            self.telling
                .sent(self.spread(sockets, &part, &lacking, now));
        }
    }

    /// Sends a datagram to `ranks`; returns how many bytes that took.
    fn spread(&self, sockets: &Sockets, bytes: &[u8], ranks: &[u16], now: Instant) -> usize {
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

    /// Splits `ranks` into branches, as far as their agents are known.
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
                alive: coordinator.hears(rank, now),
            })
        };
        relay::branches(
            coordinator.place().size,
            ranks.iter().filter_map(peer).collect(),
        )
    }

    /// Passes on what rank 0 says.
    pub(super) fn pass_on(
        &mut self,
        sockets: &Sockets,
        relay: &Relay,
        leader: SocketAddr,
        now: Instant,
    ) {
        self.gathering.open(now);
        let message = relay.message.clone();
        let bytes = datagram::encode(&Datagram::Relayed(Relayed { leader, message }));
        for &agent in &relay.to {
            send_bytes(&sockets.agents, &bytes, agent);
        }
    }
}

/// Returns one set of a map as it is told to agents that lack it.
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
