//! The agent's part in a round: the orders to its own endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_gateway::{datagram, store};
use cactusnotch_telemetry::metric;

use super::limit;
use super::sockets::{Sockets, send, send_bytes};
use super::{Agent, PendingOrder};
use crate::Slowdown;
use crate::codec::{Codec, Order};
use crate::coordinator::{Coordinator, Event};
use crate::endpoint::Endpoint;
use crate::message::{Datagram, HoldRequest};
use crate::plan;
use crate::state::{Place, State};
use crate::threshold::Threshold;

/// The time within which the experts of a round should be copied.
const COPY_BUDGET: Duration = Duration::from_millis(160);
/// The most experts that one rank gets in a round, however fast they are copied: a round of
/// 216 moves over 32 ranks took 1.5 s, most of it on the leader's link, and one of 100
/// moves took 0.7 s.
const COPIES_PER_RANK_MAX: usize = 3;
/// The time after which an order that was begun without visible effect is sent again.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The pause before an order that was refused is sent again. It is shorter than the timeout
/// of an order without an answer.
const ORDER_RETRY: Duration = Duration::from_millis(25);
/// The reduction of the peak load that a copied expert must bring, in mean loads for each
/// second that its copy takes, while the group is far from its limits.
const GAIN_RELAXED: f64 = 6.0;
/// The same while the group is at its limits.
const GAIN_SATURATED: f64 = 0.25;

/// The most orders that may follow one another within one poll of the endpoint.
const ORDERS_MAX: usize = 4;

impl<C: Codec, S: store::Codec> Agent<C, S> {
    pub(super) async fn run_round(
        &mut self,
        sockets: &Sockets,
        place: &Place,
        state: State,
        now: Instant,
    ) {
        self.rank.observe(place, &state.maps);
        self.log_hold(place, &state, now);
        self.lead(place);
        self.read_held(place, &state).await;
        self.count(sockets, place, now).await;
        let mut state = state;
        // Each order changes the state, and the next phase may follow at once.
        for _ in 0..ORDERS_MAX {
            let Some(order) = self.next_order(sockets, place, &state, now) else {
                break;
            };
            if !self.issue(&order, &state, place).await {
                break;
            }
            match self.endpoint.state().await {
                Ok(new) if new.place.as_ref() == Some(place) => state = new,
                _ => break,
            }
            self.rank.observe(place, &state.maps);
            self.log_hold(place, &state, clock::now());
        }
        self.send_status(sockets, place, &state, clock::now());
        self.finish_round(sockets, place, &state, clock::now())
            .await;
    }

    /// Starts to lead the group if this is rank 0.
    fn lead(&mut self, place: &Place) {
        let Some(shape) = self.neighbours.shape else {
            return;
        };
        let copies_per_rank = COPY_BUDGET.as_secs_f64() / shape.copy.as_secs_f64().max(0.001);
        let options = plan::Options {
            copies_per_rank: whole(copies_per_rank).clamp(1, COPIES_PER_RANK_MAX),
            threshold: Threshold {
                relaxed: GAIN_RELAXED,
                saturated: GAIN_SATURATED,
                copy: shape.copy,
            },
            max_event_gap: self.neighbours.max_event_gap,
        };
        if self.rank.lead(place, shape, options, self.term) {
            self.ranks = vec![None; usize::from(place.size)];
            let model = self.neighbours.model;
            if let (Some(coordinator), Some(model)) = (&mut self.rank.coordinator, model) {
                coordinator.limit_requests(model, self.options.overload.group_ceiling);
            }
            let lead = self.rank.coordinator.as_ref();
            let former_demand = lead.is_some_and(Coordinator::has_former_demand);
            tracing::info!(
                group = place.group,
                epoch = place.epoch,
                ranks = place.size,
                overload_control = model.is_some(),
                former_demand,
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
        let status = self.status(place, state);
        let step = self.rank.step(status, now);
        if let Some(event) = &step.event {
            log(place, event, self.cadence.pass_ms(), self.rank.slowest());
        }
        let leads = self.rank.coordinator.as_ref();
        let limit = leads.and_then(|coordinator| coordinator.round().limit);
        limit::record(place, limit, step.limit.as_ref());
        self.announce(sockets, step.announce, now);
        self.send_round_to(sockets, &step.notify);
        self.send_map(sockets, now);
        if let Some((rank, pass)) = step.hold_request {
            self.request_hold(sockets, place, state, rank, pass);
        }
        step.order
    }

    /// Sends the round directly to `ranks`.
    fn send_round_to(&self, sockets: &Sockets, ranks: &[u16]) {
        let Some(coordinator) = self.rank.coordinator.as_ref().filter(|_| !ranks.is_empty()) else {
            return;
        };
        let bytes = datagram::encode(&Datagram::Round(coordinator.round().clone()));
        for agent in ranks.iter().filter_map(|&rank| self.agent_of(rank)) {
            send_bytes(&sockets.agents, &bytes, agent);
        }
    }

    /// Returns the address of a rank's agent, if this agent leads and has received a
    /// datagram from it.
    pub(super) fn agent_of(&self, rank: u16) -> Option<SocketAddr> {
        self.ranks.get(usize::from(rank)).copied().flatten()
    }

    /// Asks another rank's agent to hold the group at this agent's endpoint.
    fn request_hold(&self, sockets: &Sockets, place: &Place, state: &State, rank: u16, step: u64) {
        let agent = self.agent_of(rank);
        let round = self.rank.coordinator.as_ref().map(Coordinator::round);
        tracing::info!(
            group = place.group,
            term = round.map(|round| round.term),
            version = round.map(|round| round.version),
            rank,
            pass = step,
            step = state.maps.step,
            released = round.map(|round| round.released),
            sequence = state.sequence,
            agent = ?agent,
            "hold asked for"
        );
        let Some(agent) = agent else {
            return;
        };
        let request = HoldRequest {
            place: place.clone(),
            endpoint: self.options.endpoint,
            sequence: state.sequence,
            step,
        };
        send(&sockets.agents, &Datagram::Ask(request), agent);
    }

    /// Holds the group at rank 0's endpoint, as rank 0's agent requested, and replies with
    /// the own status.
    pub(super) async fn hold(&mut self, sockets: &Sockets, request: HoldRequest, from: SocketAddr) {
        let order = Order::Hold { step: request.step };
        let leader = self
            .leader_endpoint
            .take()
            .filter(|(at, _)| *at == request.endpoint);
        let (_, endpoint) = self
            .leader_endpoint
            .insert(leader.unwrap_or_else(|| (request.endpoint, Endpoint::new(request.endpoint))));
        let result = endpoint
            .order(&order, request.sequence, request.place.epoch)
            .await;
        let error = result.err().map(|error| error.to_string());
        tracing::info!(
            group = request.place.group,
            epoch = request.place.epoch,
            term = self.rank.member.term(),
            pass = request.step,
            sequence = request.sequence,
            confirmed = error.is_none(),
            error,
            "hold given to the leader's endpoint"
        );
        if let Some(status) = &self.last_status {
            send(&sockets.agents, &Datagram::Standing(status.clone()), from);
        }
    }

    /// Sends an order unless it is already under way; returns whether the endpoint's state
    /// should be read again now.
    async fn issue(&mut self, order: &Order, state: &State, place: &Place) -> bool {
        let now = clock::now();
        if let Some(pending) = &self.last_order
            && pending.order == *order
        {
            let age = now.saturating_duration_since(pending.at);
            if age
                < if pending.begun {
                    ORDER_TIMEOUT
                } else {
                    ORDER_RETRY
                }
            {
                return false;
            }
        }
        let result = self
            .endpoint
            .order(order, state.sequence, place.epoch)
            .await;
        self.last_order = Some(PendingOrder {
            order: order.clone(),
            begun: result.is_ok(),
            at: now,
        });
        match &result {
            Ok(()) => tracing::info!(
                group = place.group,
                epoch = place.epoch,
                term = self.rank.member.term(),
                order = name(order),
                version = version(order),
                pass = pass(order),
                step = state.maps.step,
                held = state.maps.held,
                sequence = state.sequence,
                "order begun"
            ),
            Err(error) => tracing::info!(
                group = place.group,
                epoch = place.epoch,
                term = self.rank.member.term(),
                order = name(order),
                version = version(order),
                pass = pass(order),
                step = state.maps.step,
                held = state.maps.held,
                sequence = state.sequence,
                %error,
                "order not confirmed"
            ),
        }
        match result {
            Ok(()) => true,
            Err(error) => error.is_timeout(),
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
        Event::Abandoned(version) => {
            tracing::warn!(group, version, "round given up, some rank did not load");
        }
        Event::Released(step) => {
            tracing::warn!(group, step, "group let go, some rank is out of reach");
        }
        Event::HoldFound(step) => tracing::warn!(group, step, "group found held, resolving it"),
    }
}

/// Returns the version of the map that an order names.
const fn version(order: &Order) -> Option<u64> {
    match order {
        Order::Prepare { version, .. } | Order::Arm { version, .. } => Some(*version),
        Order::Hold { .. } | Order::Go { .. } => None,
    }
}

/// Returns the pass that an order names.
pub(super) const fn pass(order: &Order) -> Option<u64> {
    match order {
        Order::Arm { step, .. } | Order::Hold { step } | Order::Go { step } => Some(*step),
        Order::Prepare { .. } => None,
    }
}

pub(super) const fn name(order: &Order) -> &'static str {
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
