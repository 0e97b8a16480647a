//! What an agent does with the datagrams of other agents.

use std::net::SocketAddr;

use cactusnotch_base::clock::Instant;
use cactusnotch_gateway::{datagram, store};

use super::Agent;
use super::sockets::{Sockets, send};
use crate::again;
use crate::codec::Codec;
use crate::message::{Choices, Datagram, Phase, Round, Standing};
use crate::relay::relays;
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
                self.hear_choices(&choices, now);
                false
            }
            Datagram::Relay(relay) => {
                self.pass_on(sockets, &relay, from, now);
                self.hear_passed_on(&relay.message, from, now)
            }
            Datagram::Relayed(relayed) => {
                self.relay = Some((from, now));
                self.hear_passed_on(&relayed.message, relayed.leader, now)
            }
            Datagram::Round(round) => self.hear_round(round, from, now),
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

    /// Takes what rank 0 says, as it was passed on: only what goes to all ranks is.
    fn hear_passed_on(&mut self, message: &[u8], leader: SocketAddr, now: Instant) -> bool {
        match datagram::decode(message) {
            Ok(Datagram::Round(round)) => self.hear_round(round, leader, now),
            Ok(Datagram::Part(part)) => self.rank.member.learn(part),
            Ok(other) => {
                tracing::debug!(%leader, ?other, "not for all ranks, not taken");
                false
            }
            Err(error) => {
                tracing::debug!(%leader, %error, "passed on datagram dropped");
                false
            }
        }
    }

    fn hear_round(&mut self, round: Round, leader: SocketAddr, now: Instant) -> bool {
        self.leader = Some((leader, now));
        let urgent = round.phase != Phase::Rest;
        let before = self.rank.member.heard();
        self.rank.member.take(round);
        let repeated = urgent && self.rank.member.heard() == before;
        if repeated && again::is_due(self.due.tell, now) {
            self.due.tell = None;
        }
        urgent
    }

    fn hear_choices(&mut self, choices: &Choices, now: Instant) {
        let Choices {
            place,
            units,
            counts,
        } = choices;
        if self.rank.coordinator.is_some() {
            self.count_in(place, units, counts, now);
        } else {
            self.gathering.add(place, units, counts, now);
        }
    }

    /// Answers a rank that looks for its leader.
    fn answer(&mut self, sockets: &Sockets, place: &Place, from: SocketAddr) {
        let Some(coordinator) = &self.rank.coordinator else {
            return;
        };
        if !coordinator.place().is_beside(place) {
            return;
        }
        if let Some(rank) = self.ranks.get_mut(usize::from(place.rank)) {
            *rank = Some(from);
        }
        let round = Datagram::Round(coordinator.round().clone());
        send(&sockets.agents, &round, from);
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
        // In large groups relays tell now and then that rank 0 is there, and ranks that
        // have not heard of a round are told again a few at a time.
        let quiet = matches!(
            coordinator.round().phase,
            Phase::Prepare | Phase::Meet { .. }
        );
        let unsure = !quiet || coordinator.map().is_none() || coordinator.lacks(&standing);
        let lacks = !coordinator.is_heard_by(&standing) || (unsure && !relays(place.size));
        let known = self.ranks.get(usize::from(place.rank)).copied().flatten();
        coordinator.hear(standing, now);
        if lacks || known != Some(from) {
            self.answer(sockets, &place, from);
        }
        true
    }
}
