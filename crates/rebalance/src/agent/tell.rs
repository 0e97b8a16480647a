//! Reads the endpoint and reports its load to entries and its status to other agents.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_gateway::{datagram, peer, store};

use super::Agent;
use super::due::is_due;
use super::sockets::{Sockets, send, send_bytes};
use crate::codec::Codec;
use crate::estimate;
use crate::message::{Choices, Datagram, Status};
use crate::relay::{self, RELAY_LIFETIME};
use crate::state::{Place, State};

/// The interval at which counts are read and sent.
const COUNT_INTERVAL: Duration = Duration::from_millis(120);
/// The interval at which a rank repeats an unchanged status.
const STATUS_INTERVAL: Duration = Duration::from_millis(300);
/// The interval at which loads are sent to entries.
const LOAD_INTERVAL: Duration = Duration::from_millis(250);
/// How long after its request the agent that completes the round of an unresponsive leader
/// gets the ranks' status.
const FINISHER_LIFETIME: Duration = Duration::from_millis(500);
/// The time without a message of rank 0 after which its agent is searched for again.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The interval at which search messages are sent.
const SEEK_INTERVAL: Duration = Duration::from_millis(400);

impl<C: Codec, S: store::Codec> Agent<C, S> {
    /// Sends the load to entries periodically, and at once if the group has opened or
    /// broken or the rank has become slower or faster.
    pub(super) fn update_load(&mut self, sockets: &Sockets, state: &State, now: Instant) {
        let same = |sent: &peer::Load| (sent.open, sent.pace) == (state.open, state.pace);
        let changed = !self.last_load.as_ref().is_some_and(same);
        if !is_due(&mut self.due.load, LOAD_INTERVAL, now) && !changed {
            return;
        }
        self.due.load = Some(now);
        self.subscribers.retain(|&(_, until)| until > now);
        let requests = state.running + state.waiting;
        let group = state.place.as_ref().map(|place| peer::Group {
            name: place.group.clone(),
            epoch: place.epoch,
        });
        let limit = group
            .as_ref()
            .and_then(|group| self.rank.member.limit(&group.name, group.epoch, now));
        let load = peer::Load {
            endpoint: self.options.endpoint,
            born: state.born,
            requests,
            open: state.open,
            pass: if requests > 0 {
                self.cadence.pass_ms_under_load(now)
            } else {
                self.cadence.pass_ms()
            },
            memory: state.memory,
            pace: state.pace,
            group,
            limit,
        };
        self.last_load = Some(load);
        self.send_load(sockets);
    }

    /// Reports to entries that the endpoint does not answer.
    pub(super) fn report_lost_endpoint(&mut self, sockets: &Sockets) {
        let Some(load) = &mut self.last_load else {
            return;
        };
        load.open = false;
        self.send_load(sockets);
    }

    /// Sends the latest load to all subscribed entries.
    pub(super) fn send_load(&self, sockets: &Sockets) {
        let Some(load) = &self.last_load else {
            return;
        };
        let bytes = datagram::encode(&peer::Datagram::Load(load.clone()));
        for &(entry, _) in &self.subscribers {
            send_bytes(&sockets.entries, &bytes, entry);
        }
    }

    /// Searches for rank 0's agent if it has not been seen recently, and looks up the shape
    /// of the maps.
    pub(super) async fn find_neighbours(&mut self, sockets: &Sockets, place: &Place, now: Instant) {
        let leader_seen = self
            .leader
            .is_some_and(|(_, at)| now.saturating_duration_since(at) < LEADER_TIMEOUT);
        let leader_lost = place.rank != 0 && !leader_seen;
        let known = self.ranks.iter().flatten();
        let data_centre_unknown = relay::uses_relays(place.size)
            && known
                .copied()
                .any(|agent| self.neighbours.data_centre(agent).is_empty());
        let missing = self.neighbours.shape.is_none()
            || data_centre_unknown
            || (leader_lost && self.neighbours.agents.is_empty());
        if (missing || leader_lost)
            && self.neighbours.is_due(now)
            && let Err(error) = self.neighbours.refresh(now).await
        {
            tracing::warn!(%error, "agents of the service could not be listed from the store");
        }
        if leader_lost && is_due(&mut self.due.seek, SEEK_INTERVAL, now) {
            let seek = datagram::encode(&Datagram::Seek(place.clone()));
            self.neighbours
                .agents
                .iter()
                .for_each(|&agent| send_bytes(&sockets.agents, &seek, agent));
        }
    }

    /// Reads which experts the rank holds while the whole map is unknown.
    pub(super) async fn read_held(&mut self, place: &Place, state: &State) {
        let current = (place.epoch, state.maps.current);
        let known = self
            .held
            .as_ref()
            .is_some_and(|(epoch, version, _)| (*epoch, *version) == current);
        if !self.rank.reports_held() || known {
            return;
        }
        match self.endpoint.held().await {
            Ok((version, held)) => self.held = Some((place.epoch, version, held)),
            Err(error) => tracing::warn!(%error, "reading held experts failed"),
        }
    }

    /// Reads the counts and sends the increase since the last read.
    pub(super) async fn count(&mut self, sockets: &Sockets, place: &Place, now: Instant) {
        let Some(shape) = self.neighbours.shape else {
            return;
        };
        if !is_due(&mut self.due.count, COUNT_INTERVAL, now) {
            return;
        }
        let counts = match self.endpoint.counts().await {
            Ok(counts) => counts,
            Err(error) => {
                tracing::warn!(%error, "reading expert counts failed");
                return;
            }
        };
        let before = self
            .last_counts
            .replace((counts.epoch, counts.counts.clone()));
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
        let new = self.aggregation.take(place, new);
        if new.iter().all(|&count| count == 0) {
            return;
        }
        let (units, bytes) = estimate::pack(&new, shape.experts);
        if self.rank.coordinator.is_some() {
            self.add_counts(place, &units, &bytes, now);
        } else if let Some(to) = self.counts_receiver(place, now) {
            let choices = Choices {
                place: place.clone(),
                units,
                counts: bytes.into(),
            };
            send(&sockets.agents, &Datagram::Choices(choices), to);
        }
    }

    /// Returns the receiver of counts: rank 0, or in a large group the relay of the branch.
    fn counts_receiver(&self, place: &Place, now: Instant) -> Option<SocketAddr> {
        let fresh = |&(_, at): &(_, Instant)| now.saturating_duration_since(at) < RELAY_LIFETIME;
        if !relay::uses_relays(place.size) || self.aggregation.is_active(now) {
            return self.leader.map(|(leader, _)| leader);
        }
        self.relay.filter(fresh).map(|(relay, _)| relay)
    }

    /// Adds the expert choices of a rank, if this agent leads.
    pub(super) fn add_counts(&mut self, place: &Place, units: &[f32], counts: &[u8], now: Instant) {
        let Some(coordinator) = &mut self.rank.coordinator else {
            return;
        };
        if coordinator.add_counts(place, units, counts, now) {
            tracing::info!(group = place.group, rank = place.rank, "demand has turned");
        }
    }

    pub(super) fn status(&self, place: &Place, state: &State) -> Status {
        let known = self.rank.member.map_version();
        let held = self.held.as_ref().filter(|(epoch, version, _)| {
            self.rank.reports_held() && (*epoch, *version) == (place.epoch, state.maps.current)
        });
        Status {
            place: place.clone(),
            open: state.open,
            maps: state.maps,
            pace: state.pace,
            fill: self.utilisation(state),
            term: self.rank.member.term(),
            met: self.rank.member.held_step(),
            heard: self.rank.member.progress(),
            known,
            held: held.map(|(_, _, held)| held.clone()),
        }
    }

    /// Returns the endpoint's utilisation, in hundredths of its slots.
    fn utilisation(&self, state: &State) -> u16 {
        let slots = self.neighbours.slots.max(1);
        let fill = (state.running + state.waiting) * 100 / slots;
        u16::try_from(fill).unwrap_or(u16::MAX)
    }

    /// Sends the status to the rank that completes a round.
    fn report_to_finisher(&self, sockets: &Sockets, place: &Place, state: &State, now: Instant) {
        let recent =
            |&(_, at): &(_, Instant)| now.saturating_duration_since(at) < FINISHER_LIFETIME;
        if let Some((finisher, _)) = self.finisher.filter(recent) {
            let status = Datagram::Standing(self.status(place, state));
            send(&sockets.agents, &status, finisher);
        }
    }

    /// Sends the status to rank 0, if it has changed or is due.
    pub(super) fn send_status(
        &mut self,
        sockets: &Sockets,
        place: &Place,
        state: &State,
        now: Instant,
    ) {
        self.report_to_finisher(sockets, place, state, now);
        let Some((leader, _)) = self.leader.filter(|_| self.rank.coordinator.is_none()) else {
            return;
        };
        let status = self.status(place, state);
        let same = |sent: &Status| {
            let mut sent = sent.clone();
            sent.maps.step = status.maps.step;
            sent.fill = status.fill;
            // The effect of a received round soon shows in the maps. A message for its
            // receipt alone would compete on rank 0's link with those that the round waits
            // for.
            sent.heard = status.heard;
            sent == status
        };
        let changed = !self.last_status.as_ref().is_some_and(same);
        if changed || is_due(&mut self.due.status, STATUS_INTERVAL, now) {
            self.due.status = Some(now);
            send(&sockets.agents, &Datagram::Standing(status.clone()), leader);
            self.last_status = Some(status);
        }
    }
}
