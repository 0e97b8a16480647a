//! What an agent does with the datagrams of other agents.

use std::net::SocketAddr;
use std::time::Instant;

use cactusnotch_gateway::{datagram, store};

use super::Agent;
use super::sockets::{Sockets, send};
use crate::codec::Codec;
use crate::message::{Datagram, Part, Phase, Standing};
use crate::state::Place;

impl<C: Codec, S: store::Codec> Agent<C, S> {
    /// Takes a datagram of another agent; returns whether it calls for a look
    /// at the endpoint now.
    pub(super) fn hear(
        &mut self,
        sockets: &Sockets,
        bytes: &[u8],
        from: SocketAddr,
        now: Instant,
    ) -> bool {
        let message: Datagram = match datagram::decode(bytes) {
            Ok(message) => message,
            Err(error) => {
                tracing::debug!(%from, %error, "datagram dropped");
                return false;
            }
        };
        match message {
            Datagram::Seek(place) => {
                self.answer(sockets, &place, from);
                false
            }
            Datagram::Standing(standing) => self.hear_standing(sockets, standing, from, now),
            Datagram::Choices(choices) => {
                self.count_in(&choices.place, &choices.units, &choices.counts, now);
                false
            }
            Datagram::Round(round) => {
                self.leader = Some((from, now));
                let urgent = round.phase != Phase::Rest;
                self.rank.member.take(round);
                urgent
            }
            Datagram::Finish(round) => {
                self.finisher = Some((from, now));
                self.rank.member.take(round);
                true
            }
            Datagram::Ask(ask) => {
                let mine = self.rank.member.is_in(&ask.place);
                self.asked = mine.then_some((ask, from));
                mine
            }
            Datagram::Part(part) => self.rank.member.learn(part),
        }
    }

    /// Notes where a rank's agent is, and tells it the round.
    fn answer(&mut self, sockets: &Sockets, place: &Place, from: SocketAddr) {
        let Some(coordinator) = &self.rank.coordinator else {
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
        self.rescue.hear(&standing);
        let place = standing.place.clone();
        let Some(coordinator) = &mut self.rank.coordinator else {
            return false;
        };
        let lacks = coordinator.lacks(&standing)
            || !matches!(
                coordinator.round().phase,
                Phase::Prepare | Phase::Meet { .. }
            )
            || coordinator.map().is_none();
        let parts = match coordinator.map() {
            Some((version, map))
                if standing.maps.current == version && standing.known != Some(version) =>
            {
                parts(coordinator.place(), version, map)
            }
            _ => Vec::new(),
        };
        coordinator.hear(standing, now);
        for part in parts {
            send(&sockets.agents, &Datagram::Part(part), from);
        }
        if lacks {
            self.answer(sockets, &place, from);
        }
        true
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
