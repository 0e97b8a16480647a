//! The agent's part in a round: what it orders its own endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_gateway::{datagram, store};
use cactusnotch_telemetry::metric;

use super::sockets::{Sockets, send, send_bytes};
use super::{Agent, Given};
use crate::Slowdown;
use crate::codec::{Codec, Order};
use crate::coordinator::Event;
use crate::endpoint::Endpoint;
use crate::message::{Ask, Datagram};
use crate::plan;
use crate::price::Price;
use crate::state::{Place, State};

/// The time within which a round's experts are to be copied.
const ROUND_COPY: Duration = Duration::from_millis(160);
/// The most experts that a rank gets in a round, however fast they are copied:
/// a round of 216 moves over 32 ranks took 1.5 s, of which the leader's link
/// had the greatest part, and one of 100 took 0.7 s.
const PER_RANK_MAX: usize = 3;
/// How long an order that was begun is waited for before it is given again.
const ORDER_TIME: Duration = Duration::from_millis(1_500);
/// The pause before an order that was refused is given again; it is less than
/// the time that one without an answer has waited.
const ORDER_PAUSE: Duration = Duration::from_millis(25);
/// What a copied expert has to take off the peak, in mean loads for each second
/// that its copy takes, where the group is far from its limits.
const GAIN_EASY: f64 = 6.0;
/// The same where the group is at its limits.
const GAIN_PRESSED: f64 = 0.25;

/// The orders that may follow one another within one look.
const STEPS_MAX: usize = 4;

impl<C: Codec, S: store::Codec> Agent<C, S> {
    pub(super) async fn take_part(
        &mut self,
        sockets: &Sockets,
        place: &Place,
        state: State,
        now: Instant,
    ) {
        self.rank.observe(place, &state.maps);
        self.lead(place);
        self.read_held(place, &state).await;
        self.count(sockets, place, now).await;
        let mut state = state;
        // Each order changes the state, and the next phase may follow at once.
        for _ in 0..STEPS_MAX {
            let Some(order) = self.next_order(sockets, place, &state, now) else {
                break;
            };
            if !self.give(&order, &state, place).await {
                break;
            }
            match self.endpoint.state().await {
                Ok(new) if new.place.as_ref() == Some(place) => state = new,
                _ => break,
            }
            self.rank.observe(place, &state.maps);
        }
        self.tell_standing(sockets, place, &state, clock::now());
        self.finish(sockets, place, &state, clock::now()).await;
    }

    /// Takes the lead if this is rank 0.
    fn lead(&mut self, place: &Place) {
        let Some(shape) = self.neighbours.shape else {
            return;
        };
        let per_rank = ROUND_COPY.as_secs_f64() / shape.copy.as_secs_f64().max(0.001);
        let options = plan::Options {
            per_rank: whole(per_rank).clamp(1, PER_RANK_MAX),
            price: Price {
                easy: GAIN_EASY,
                pressed: GAIN_PRESSED,
                copy: shape.copy,
            },
            pause: self.neighbours.pause,
        };
        if self.rank.lead(place, shape, options, self.term) {
            self.ranks = vec![None; usize::from(place.size)];
            tracing::info!(
                group = place.group,
                epoch = place.epoch,
                ranks = place.size,
                "leading the group"
            );
        }
    }

    /// Returns the next order for the own endpoint.
    fn next_order(
        &mut self,
        sockets: &Sockets,
        place: &Place,
        state: &State,
        now: Instant,
    ) -> Option<Order> {
        let standing = self.standing(place, state);
        let step = self.rank.step(standing, now);
        if let Some(event) = &step.event {
            log(place, event, self.cadence.pass(), self.rank.slowest());
        }
        self.announce(sockets, step.announce, now);
        self.call(sockets, &step.call);
        self.tell_map(sockets, now);
        if let Some((rank, pass)) = step.ask {
            self.ask(sockets, place, state, rank, pass);
        }
        step.order
    }

    /// Tells ranks the round themselves.
    fn call(&self, sockets: &Sockets, ranks: &[u16]) {
        let Some(coordinator) = self.rank.coordinator.as_ref().filter(|_| !ranks.is_empty()) else {
            return;
        };
        let bytes = datagram::encode(&Datagram::Round(coordinator.round().clone()));
        for agent in ranks.iter().filter_map(|&rank| self.agent_of(rank)) {
            send_bytes(&sockets.agents, &bytes, agent);
        }
    }

    /// Returns where a rank's agent is, as far as this one leads and has heard it.
    pub(super) fn agent_of(&self, rank: u16) -> Option<SocketAddr> {
        self.ranks.get(usize::from(rank)).copied().flatten()
    }

    /// Asks another rank to hold the group at the own endpoint.
    fn ask(&self, sockets: &Sockets, place: &Place, state: &State, rank: u16, step: u64) {
        let agent = self.agent_of(rank);
        tracing::info!(group = place.group, rank, step, agent = ?agent, "hold asked for");
        let Some(agent) = agent else {
            return;
        };
        let ask = Ask {
            place: place.clone(),
            endpoint: self.options.endpoint,
            sequence: state.sequence,
            step,
        };
        send(&sockets.agents, &Datagram::Ask(ask), agent);
    }

    /// Holds the group at rank 0's endpoint, as its agent has asked, and tells it.
    pub(super) async fn hold(&mut self, sockets: &Sockets, ask: Ask, from: SocketAddr) {
        let order = Order::Hold { step: ask.step };
        let leader = self.leading.take().filter(|(at, _)| *at == ask.endpoint);
        let (_, endpoint) = self
            .leading
            .insert(leader.unwrap_or_else(|| (ask.endpoint, Endpoint::new(ask.endpoint))));
        let result = endpoint.order(&order, ask.sequence, ask.place.epoch).await;
        let error = result.err().map(|error| error.to_string());
        tracing::info!(
            group = ask.place.group,
            step = ask.step,
            sequence = ask.sequence,
            confirmed = error.is_none(),
            error,
            "hold given to the leader's endpoint"
        );
        if let Some(told) = &self.told {
            send(&sockets.agents, &Datagram::Standing(told.clone()), from);
        }
    }

    /// Gives an order unless it is under way; returns whether the endpoint's
    /// state is worth another look now.
    async fn give(&mut self, order: &Order, state: &State, place: &Place) -> bool {
        let now = clock::now();
        if let Some(given) = &self.given
            && given.order == *order
        {
            let age = now.saturating_duration_since(given.at);
            if age < if given.begun { ORDER_TIME } else { ORDER_PAUSE } {
                return false;
            }
        }
        let result = self
            .endpoint
            .order(order, state.sequence, place.epoch)
            .await;
        self.given = Some(Given {
            order: order.clone(),
            begun: result.is_ok(),
            at: now,
        });
        match &result {
            Ok(()) => tracing::info!(
                group = place.group,
                order = name(order),
                step = state.maps.step,
                sequence = state.sequence,
                "order begun"
            ),
            Err(error) => {
                tracing::info!(group = place.group, order = name(order), sequence = state.sequence, %error, "order not confirmed");
            }
        }
        match result {
            Ok(()) => true,
            Err(error) => error.is_silence(),
        }
    }
}

fn log(place: &Place, event: &Event, pass: u16, slowest: Slowdown) {
    let group = place.group.as_str();
    match event {
        Event::Began(plan) => {
            metrics::gauge!(metric::GROUP_SKEW).set(f64::from(plan.before) / 1_000.0);
            tracing::info!(
                group,
                moves = plan.moves.len(),
                skew = plan.before,
                slowest = slowest.factor(),
                expected = plan.after,
                pressure = plan.pressure,
                "round begun"
            );
        }
        Event::Held(step) => tracing::info!(group, step, pass_ms = pass, "group held"),
        Event::Switched(version) => {
            metrics::counter!(metric::GROUP_SWITCHES).increment(1);
            tracing::info!(group, version, "map in force");
        }
        Event::GivenUp(version) => {
            tracing::warn!(group, version, "round given up, some rank did not load");
        }
        Event::LetGo(step) => {
            tracing::warn!(group, step, "group let go, some rank is out of reach");
        }
        Event::Found(step) => tracing::warn!(group, step, "group found held, resolving it"),
    }
}

const fn name(order: &Order) -> &'static str {
    match order {
        Order::Prepare { .. } => "prepare",
        Order::Arm { .. } => "arm",
        Order::Hold { .. } => "hold",
        Order::Go { .. } => "go",
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small number of copies"
)]
const fn whole(number: f64) -> usize {
    number as usize
}
