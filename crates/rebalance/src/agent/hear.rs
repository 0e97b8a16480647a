//! Handles the datagrams of other agents.

use std::net::SocketAddr;

use cactusnotch_base::clock::Instant;
use cactusnotch_gateway::{datagram, store};

use super::Agent;
use super::sockets::{Sockets, send};
use crate::codec::Codec;
use crate::message::{Choices, Datagram, Phase, Round, Status};
use crate::relay::uses_relays;
use crate::resend;
use crate::state::Place;

impl<C: Codec, S: store::Codec> Agent<C, S> {
    /// Handles a datagram of another agent; returns whether the endpoint must be polled
    /// now.
    pub(super) fn receive(
        &mut self,
        sockets: &Sockets,
        bytes: &[u8],
        from: SocketAddr,
        now: Instant,
    ) -> bool {
        let message: Datagram = match datagram::decode(bytes) {
            Ok(message) => message,
            Err(error) => {
                tracing::debug!(%from, %error, "invalid datagram dropped");
                return false;
            }
        };
        match message {
            Datagram::Seek(place) => {
                self.send_round(sockets, &place, from);
                false
            }
            Datagram::Standing(status) => self.receive_status(sockets, status, from, now),
            Datagram::Choices(choices) => {
                self.receive_choices(&choices, now);
                false
            }
            Datagram::Relay(relay) => {
                self.relay_message(sockets, &relay, from, now);
                self.receive_relayed(sockets, &relay.message, from, now)
            }
            Datagram::Relayed(relayed) => {
                self.relay = Some((from, now));
                self.receive_relayed(sockets, &relayed.message, relayed.leader, now)
            }
            Datagram::Round(round) => self.receive_round(sockets, round, from, now),
            Datagram::Finish(round) => {
                self.finisher = Some((from, now));
                self.rank.member.update_round(round);
                true
            }
            Datagram::Ask(request) => {
                let for_this_group = self.rank.member.is_in_group_of(&request.place);
                self.hold_request = for_this_group.then_some((request, from));
                for_this_group
            }
            Datagram::Part(part) => self.rank.member.add_part(part),
        }
    }

    /// Handles a message of rank 0 that a relay forwarded. Only messages to all ranks are
    /// relayed.
    fn receive_relayed(
        &mut self,
        sockets: &Sockets,
        message: &[u8],
        leader: SocketAddr,
        now: Instant,
    ) -> bool {
        match datagram::decode(message) {
            Ok(Datagram::Round(round)) => self.receive_round(sockets, round, leader, now),
            Ok(Datagram::Part(part)) => self.rank.member.add_part(part),
            Ok(other) => {
                tracing::debug!(%leader, ?other, "relayed datagram dropped: not for all ranks");
                false
            }
            Err(error) => {
                tracing::debug!(%leader, %error, "relayed datagram dropped");
                false
            }
        }
    }

    fn receive_round(
        &mut self,
        sockets: &Sockets,
        round: Round,
        leader: SocketAddr,
        now: Instant,
    ) -> bool {
        self.leader = Some((leader, now));
        self.rank.member.update_limit(&round, now);
        self.report_lower_limit(sockets, now);
        let urgent = round.phase != Phase::Rest;
        let before = self.rank.member.progress();
        self.rank.member.update_round(round);
        let repeated = urgent && self.rank.member.progress() == before;
        if repeated && resend::is_due(self.due.status, now) {
            self.due.status = None;
        }
        urgent
    }

    fn receive_choices(&mut self, choices: &Choices, now: Instant) {
        let Choices {
            place,
            units,
            counts,
        } = choices;
        if self.rank.coordinator.is_some() {
            self.add_counts(place, units, counts, now);
        } else {
            self.aggregation.add(place, units, counts, now);
        }
    }

    /// Replies with the current round to a rank that looks for its leader.
    fn send_round(&mut self, sockets: &Sockets, place: &Place, from: SocketAddr) {
        let Some(coordinator) = &self.rank.coordinator else {
            return;
        };
        if !coordinator.place().shares_group(place) {
            return;
        }
        if let Some(rank) = self.ranks.get_mut(usize::from(place.rank)) {
            *rank = Some(from);
        }
        let round = Datagram::Round(coordinator.round().clone());
        send(&sockets.agents, &round, from);
    }

    fn receive_status(
        &mut self,
        sockets: &Sockets,
        status: Status,
        from: SocketAddr,
        now: Instant,
    ) -> bool {
        self.takeover.record(&status);
        let place = status.place.clone();
        let Some(coordinator) = &mut self.rank.coordinator else {
            return false;
        };
        // In large groups, relays announce the round periodically, and ranks that have not
        // acknowledged it get it again a few at a time.
        let no_resend = matches!(
            coordinator.round().phase,
            Phase::Prepare | Phase::Meet { .. }
        );
        let may_need_round =
            !no_resend || coordinator.map().is_none() || coordinator.needs_round(&status);
        let needs_round =
            !coordinator.is_followed_by(&status) || (may_need_round && !uses_relays(place.size));
        let last_address = self.ranks.get(usize::from(place.rank)).copied().flatten();
        coordinator.record(status, now);
        if needs_round || last_address != Some(from) {
            self.send_round(sockets, &place, from);
        }
        true
    }
}
