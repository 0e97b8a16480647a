//! Completes the round of an unresponsive leader.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_gateway::{datagram, store};

use super::Agent;
use super::due::is_due;
use super::sockets::{Sockets, send_bytes};
use crate::codec::Codec;
use crate::endpoint::Endpoint;
use crate::message::{Datagram, Round};
use crate::state::{Place, State};

/// The interval at which other agents are asked for their status and the
/// leader's endpoint is read meanwhile.
const FINISH_INTERVAL: Duration = Duration::from_millis(60);

impl<C: Codec, S: store::Codec> Agent<C, S> {
    /// Completes the round if the group has been stalled for too long.
    pub(super) async fn finish_round(
        &mut self,
        sockets: &Sockets,
        place: &Place,
        state: &State,
        now: Instant,
    ) {
        let unresponsive_for = self
            .leader
            .map_or(Duration::MAX, |(_, at)| now.saturating_duration_since(at));
        let round = self.rank.member.round();
        let must_complete = self
            .takeover
            .observe(place, round, &state.maps, unresponsive_for, now);
        let own = self.status(place, state);
        self.takeover.record(&own);
        let (Some(round), Some((leader, _))) =
            (round.filter(|_| must_complete).cloned(), self.leader)
        else {
            return;
        };
        if is_due(&mut self.due.finish, FINISH_INTERVAL, now) {
            self.complete(sockets, &round, leader, place).await;
        }
    }

    /// Has all ranks armed for the pass that is held, and releases the group.
    async fn complete(
        &mut self,
        sockets: &Sockets,
        round: &Round,
        leader: SocketAddr,
        place: &Place,
    ) {
        // All endpoints of a service accept requests on the same port.
        let address = SocketAddr::new(leader.ip(), self.options.endpoint.port());
        let mut endpoint = Endpoint::<C>::new(address);
        let state = match endpoint.state().await {
            Ok(state) => state,
            Err(error) => {
                tracing::warn!(%error, "the leader's endpoint does not answer");
                return;
            }
        };
        let leads = |at: &Place| at.rank == 0 && at.shares_group(place);
        let Some(round) = self
            .takeover
            .round(round, &state.maps)
            .filter(|_| state.place.as_ref().is_some_and(leads))
        else {
            return;
        };
        tracing::warn!(
            group = place.group,
            step = state.maps.step,
            version = round.version,
            phase = ?round.phase,
            "completing a silent leader's round"
        );
        self.rank.member.update_round(round.clone());
        let round_term = round.term;
        let request = datagram::encode(&Datagram::Finish(round));
        for &agent in &self.neighbours.agents {
            send_bytes(&sockets.agents, &request, agent);
        }
        let Some(order) = self.takeover.order(&state.maps) else {
            return;
        };
        let result = endpoint.order(&order, state.sequence, place.epoch).await;
        tracing::info!(
            group = place.group,
            epoch = place.epoch,
            term = round_term,
            ?order,
            held = state.maps.held,
            step = state.maps.step,
            sequence = state.sequence,
            confirmed = result.is_ok(),
            "order sent to the leader's endpoint"
        );
    }
}
