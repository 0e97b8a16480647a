//! What an agent reads of its endpoint and tells entries and other agents.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_gateway::{datagram, peer, store};

use super::Agent;
use super::due::due;
use super::sockets::{Sockets, send, send_bytes};
use crate::codec::Codec;
use crate::estimate;
use crate::message::{Choices, Datagram, Standing};
use crate::relay::{self, RELAY_TIME};
use crate::state::{Place, State};

/// How often counts are read and sent.
const COUNT_EVERY: Duration = Duration::from_millis(120);
/// How often a rank repeats how it stands though nothing has changed.
const REPEAT_EVERY: Duration = Duration::from_millis(300);
/// How often loads are sent to entries.
const LOAD_EVERY: Duration = Duration::from_millis(250);
/// How long one that completes a silent leader's round is told how ranks stand.
const FINISHER_TIME: Duration = Duration::from_millis(500);
/// After this time without a word from rank 0 its agent is looked for again.
const SILENCE: Duration = Duration::from_millis(1_200);
/// How often it is looked for.
const SEEK_EVERY: Duration = Duration::from_millis(400);

impl<C: Codec, S: store::Codec> Agent<C, S> {
    /// Tells entries the load, at once if the group has opened or broken or the rank
    /// has become slower or faster.
    pub(super) fn tell_load(&mut self, sockets: &Sockets, state: &State, now: Instant) {
        let same = |told: &peer::Load| (told.open, told.pace) == (state.open, state.pace);
        let news = !self.load.as_ref().is_some_and(same);
        if !due(&mut self.due.load, LOAD_EVERY, now) && !news {
            return;
        }
        self.due.load = Some(now);
        self.subscribers.retain(|&(_, until)| until > now);
        let requests = state.running + state.waiting;
        let load = peer::Load {
            endpoint: self.options.endpoint,
            born: state.born,
            requests,
            open: state.open,
            pass: if requests > 0 {
                self.cadence.pass_with_work(now)
            } else {
                self.cadence.pass()
            },
            memory: state.memory,
            pace: state.pace,
        };
        self.load = Some(load);
        self.send_load(sockets);
    }

    /// Tells entries that the endpoint does not answer.
    pub(super) fn tell_lost(&mut self, sockets: &Sockets) {
        let Some(load) = &mut self.load else {
            return;
        };
        load.open = false;
        self.send_load(sockets);
    }

    /// Sends the load as it is known to all entries that have subscribed.
    fn send_load(&self, sockets: &Sockets) {
        let Some(load) = &self.load else {
            return;
        };
        let bytes = datagram::encode(&peer::Datagram::Load(load.clone()));
        for &(entry, _) in &self.subscribers {
            send_bytes(&sockets.entries, &bytes, entry);
        }
    }

    /// Looks for rank 0's agent if it has not been heard lately, and for the
    /// shape of the maps.
    pub(super) async fn find_neighbours(&mut self, sockets: &Sockets, place: &Place, now: Instant) {
        let heard = self
            .leader
            .is_some_and(|(_, at)| now.saturating_duration_since(at) < SILENCE);
        let alone = place.rank != 0 && !heard;
        let known = self.ranks.iter().flatten();
        let scattered = relay::relays(place.size)
            && known
                .copied()
                .any(|agent| self.neighbours.data_centre(agent).is_empty());
        let missing = self.neighbours.shape.is_none()
            || scattered
            || (alone && self.neighbours.agents.is_empty());
        if (missing || alone)
            && self.neighbours.is_due(now)
            && let Err(error) = self.neighbours.look(now).await
        {
            tracing::warn!(%error, "neighbours not found in the store");
        }
        if alone && due(&mut self.due.seek, SEEK_EVERY, now) {
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
        if !self.rank.tells_held() || known {
            return;
        }
        match self.endpoint.held().await {
            Ok((version, held)) => self.held = Some((place.epoch, version, held)),
            Err(error) => tracing::warn!(%error, "held experts not read"),
        }
    }

    /// Reads the counts and passes on what has come since the last time.
    pub(super) async fn count(&mut self, sockets: &Sockets, place: &Place, now: Instant) {
        let Some(shape) = self.neighbours.shape else {
            return;
        };
        if !due(&mut self.due.count, COUNT_EVERY, now) {
            return;
        }
        let counts = match self.endpoint.counts().await {
            Ok(counts) => counts,
            Err(error) => {
                tracing::warn!(%error, "counts not read");
                return;
            }
        };
        let before = self.counted.replace((counts.epoch, counts.counts.clone()));
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
        let new = self.gathering.take(place, new);
        if new.iter().all(|&count| count == 0) {
            return;
        }
        let (units, bytes) = estimate::pack(&new, shape.experts);
        if self.rank.coordinator.is_some() {
            self.count_in(place, &units, &bytes, now);
        } else if let Some(to) = self.collector(place, now) {
            let choices = Choices {
                place: place.clone(),
                units,
                counts: bytes.into(),
            };
            send(&sockets.agents, &Datagram::Choices(choices), to);
        }
    }

    /// Returns where counts go: to rank 0, in a large group to the relay of the branch.
    fn collector(&self, place: &Place, now: Instant) -> Option<SocketAddr> {
        let fresh = |&(_, at): &(_, Instant)| now.saturating_duration_since(at) < RELAY_TIME;
        if !relay::relays(place.size) || self.gathering.is_open(now) {
            return self.leader.map(|(leader, _)| leader);
        }
        self.relay.filter(fresh).map(|(relay, _)| relay)
    }

    /// Adds what a rank's requests chose, if this agent leads.
    pub(super) fn count_in(&mut self, place: &Place, units: &[f32], counts: &[u8], now: Instant) {
        let Some(coordinator) = &mut self.rank.coordinator else {
            return;
        };
        if coordinator.count(place, units, counts, now) {
            tracing::info!(group = place.group, rank = place.rank, "demand has turned");
        }
    }

    pub(super) fn standing(&self, place: &Place, state: &State) -> Standing {
        let known = self.rank.member.known();
        let held = self.held.as_ref().filter(|(epoch, version, _)| {
            self.rank.tells_held() && (*epoch, *version) == (place.epoch, state.maps.current)
        });
        Standing {
            place: place.clone(),
            open: state.open,
            maps: state.maps,
            pace: state.pace,
            fill: self.fill(state),
            term: self.rank.member.term(),
            met: self.rank.member.met(),
            heard: self.rank.member.heard(),
            known,
            held: held.map(|(_, _, held)| held.clone()),
        }
    }

    /// Returns how full the endpoint is, in hundredths of its slots.
    fn fill(&self, state: &State) -> u16 {
        let slots = self.neighbours.slots.max(1);
        let fill = (state.running + state.waiting) * 100 / slots;
        u16::try_from(fill).unwrap_or(u16::MAX)
    }

    /// Tells a rank that completes a round how this rank stands.
    fn tell_finisher(&self, sockets: &Sockets, place: &Place, state: &State, now: Instant) {
        let asked = |&(_, at): &(_, Instant)| now.saturating_duration_since(at) < FINISHER_TIME;
        if let Some((finisher, _)) = self.finisher.filter(asked) {
            let standing = Datagram::Standing(self.standing(place, state));
            send(&sockets.agents, &standing, finisher);
        }
    }

    /// Tells rank 0 how this rank stands, if that is new or due.
    pub(super) fn tell_standing(
        &mut self,
        sockets: &Sockets,
        place: &Place,
        state: &State,
        now: Instant,
    ) {
        self.tell_finisher(sockets, place, state, now);
        let Some((leader, _)) = self.leader.filter(|_| self.rank.coordinator.is_none()) else {
            return;
        };
        let standing = self.standing(place, state);
        let same = |told: &Standing| {
            let mut told = told.clone();
            told.maps.step = standing.maps.step;
            told.fill = standing.fill;
            // What was heard shows in the maps soon; a word for it alone would meet those
            // that the round waits for at rank 0's link.
            told.heard = standing.heard;
            told == standing
        };
        let news = !self.told.as_ref().is_some_and(same);
        if news || due(&mut self.due.tell, REPEAT_EVERY, now) {
            self.due.tell = Some(now);
            send(
                &sockets.agents,
                &Datagram::Standing(standing.clone()),
                leader,
            );
            self.told = Some(standing);
        }
    }
}
