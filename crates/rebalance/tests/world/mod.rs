//! A small group of ranks with its agents, in virtual time, with faults.

mod endpoint;

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_rebalance::codec::Order;
use cactusnotch_rebalance::coordinator::Event;
use cactusnotch_rebalance::message::{Ask, Datagram, Part, Round, Standing};
use cactusnotch_rebalance::plan;
use cactusnotch_rebalance::price::Price;
use cactusnotch_rebalance::rescue::Rescue;
use cactusnotch_rebalance::state::Place;
use cactusnotch_rebalance::{Map, Rank, Shape, Slowdown};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use endpoint::Endpoint;

/// The ranks of a group, unless a test asks for more.
const RANKS: usize = 3;
/// One tick stands for ten milliseconds.
const TICK: Duration = Duration::from_millis(10);
/// The ticks of a pass.
const PASS: u64 = 6;
/// The price of a copy: next to nothing, so that rounds follow each other.
const PRICE: Price = Price {
    easy: 0.01,
    pressed: 0.01,
    copy: Duration::from_secs(1),
};
const SHAPE: Shape = Shape {
    sets: 2,
    experts: 6,
    places: 3,
    spare: 2,
    copy: Duration::from_millis(50),
    expert_part: 850,
};

/// How often things go wrong.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    /// Messages that are lost, out of a thousand.
    pub lost: u32,
    /// Orders that are carried out late and not answered, out of a thousand.
    pub late: u32,
    /// Ticks in which an agent is killed, out of ten thousand.
    pub kills: u32,
    /// Ticks in which an agent stands still, out of ten thousand.
    pub freezes: u32,
    /// Ticks in which the leader alone stands still, out of ten thousand.
    pub lead_freezes: u32,
    /// Holds after which the agent that gave the order stands still, out of a hundred.
    pub giver_freezes: u32,
    /// Ticks in which a rank crashes, out of ten thousand.
    pub crashes: u32,
}

/// What a run has shown.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Maps that came in force.
    pub switches: u32,
    /// The longest time that passes were kept back, in ticks, while no agent
    /// was down or stood still.
    pub held_max: u64,
    /// The same, whatever agents did.
    pub held_any: u64,
}

struct Agent {
    rank: Rank,
    rescue: Rescue,
    /// When the leader was heard last.
    heard: u64,
    /// The rank that asked how this one stands, and when.
    finisher: Option<(usize, u64)>,
    /// Until when it is down or stands still.
    away: u64,
    look: u64,
    leader: bool,
}

pub struct World {
    ranks: usize,
    rng: SmallRng,
    faults: Faults,
    base: Instant,
    tick: u64,
    epoch: u64,
    step: u64,
    /// Until when the group forms anew.
    forming: u64,
    endpoints: Vec<Endpoint>,
    agents: Vec<Agent>,
    messages: Vec<(u64, usize, Datagram)>,
    late: Vec<(u64, usize, Order, u64)>,
    held_since: Option<u64>,
    quiet_since: u64,
    outcome: Outcome,
}

impl World {
    pub fn new(seed: u64, faults: Faults) -> Self {
        Self::with_ranks(RANKS, seed, faults)
    }

    /// Creates a group of `ranks` ranks.
    pub fn with_ranks(ranks: usize, seed: u64, faults: Faults) -> Self {
        let endpoints = (0..ranks)
            .map(|rank| Endpoint::new(rank, &SHAPE, ranks))
            .collect();
        let agent = |_| Agent {
            rank: Rank::default(),
            rescue: Rescue::default(),
            finisher: None,
            heard: 0,
            away: 0,
            look: 0,
            leader: false,
        };
        Self {
            ranks,
            rng: SmallRng::seed_from_u64(seed),
            faults,
            base: clock::now(),
            tick: 0,
            epoch: 1,
            step: 0,
            forming: 0,
            endpoints,
            agents: (0..ranks).map(agent).collect(),
            messages: Vec::new(),
            late: Vec::new(),
            held_since: None,
            quiet_since: 0,
            outcome: Outcome::default(),
        }
    }

    /// Runs `ticks` with faults and then `calm` without.
    pub fn run(mut self, ticks: u64, calm: u64) -> Outcome {
        for _ in 0..ticks {
            self.disturb();
            self.advance();
        }
        let before = self.outcome.switches;
        for _ in 0..calm {
            self.advance();
        }
        assert!(
            self.outcome.switches > before,
            "no map came in force after the faults"
        );
        self.outcome
    }

    fn now(&self) -> Instant {
        self.base + TICK * u32::try_from(self.tick).expect("a run is short")
    }

    fn one_in(&mut self, times: u32, of: u32) -> bool {
        self.rng.random_range(0..of) < times
    }

    fn disturb(&mut self) {
        if self.one_in(self.faults.kills, 10_000) {
            let at = self.rng.random_range(0..self.ranks);
            let away = self.tick + self.rng.random_range(5..200);
            self.agents[at] = Agent {
                rank: Rank::default(),
                rescue: Rescue::default(),
                finisher: None,
                heard: 0,
                away,
                look: 0,
                leader: false,
            };
            self.quiet_since = self.quiet_since.max(away);
        }
        if self.one_in(self.faults.freezes, 10_000) {
            let at = self.rng.random_range(0..self.ranks);
            let away = self.tick + self.rng.random_range(5..400);
            self.agents[at].away = away;
            self.quiet_since = self.quiet_since.max(away);
        }
        if self.one_in(self.faults.lead_freezes, 10_000) {
            let away = self.tick + self.rng.random_range(100..500);
            self.agents[0].away = away;
            self.quiet_since = self.quiet_since.max(away);
        }
        if self.one_in(self.faults.crashes, 10_000) {
            self.epoch += 1;
            self.forming = self.tick + self.rng.random_range(20..100);
            self.endpoints.iter_mut().for_each(Endpoint::restart);
            self.held_since = None;
        }
    }

    fn advance(&mut self) {
        self.tick += 1;
        self.carry_out_late();
        self.deliver();
        let tick = self.tick;
        self.endpoints
            .iter_mut()
            .for_each(|endpoint| endpoint.load(tick));
        if tick.is_multiple_of(PASS) && tick >= self.forming {
            self.begin_pass();
        }
        for at in 0..self.ranks {
            if self.agents[at].away <= tick && self.agents[at].look <= tick {
                self.look(at);
                self.agents[at].look = tick + self.rng.random_range(1..10);
            }
        }
    }

    /// Begins the next pass unless a rank holds it; all ranks must then use
    /// one map.
    fn begin_pass(&mut self) {
        let next = self.step + 1;
        if self
            .endpoints
            .iter()
            .any(|endpoint| endpoint.maps.held == Some(next))
        {
            let since = *self.held_since.get_or_insert(self.tick);
            let quiet = self.quiet_since.max(since);
            let held = self.tick.saturating_sub(quiet);
            self.outcome.held_any = self.outcome.held_any.max(self.tick - since);
            self.outcome.held_max = self.outcome.held_max.max(held);
            return;
        }
        self.held_since = None;
        self.step = next;
        for endpoint in &mut self.endpoints {
            if endpoint.begin(next) {
                self.outcome.switches += 1;
            }
        }
        let first = &self.endpoints[0];
        for endpoint in &self.endpoints {
            assert_eq!(
                endpoint.maps.current, first.maps.current,
                "versions differ in pass {next}"
            );
            assert_eq!(endpoint.map, first.map, "contents differ in pass {next}");
        }
    }

    fn carry_out_late(&mut self) {
        let tick = self.tick;
        let due: Vec<_> = self.late.extract_if(.., |(at, ..)| *at <= tick).collect();
        for (_, rank, order, epoch) in due {
            let _: bool = self.carry_out(rank, &order, epoch);
        }
    }

    fn carry_out(&mut self, rank: usize, order: &Order, epoch: u64) -> bool {
        epoch == self.epoch
            && self.tick >= self.forming
            && self.endpoints[rank].order(order, self.step, self.tick)
    }

    fn send(&mut self, to: usize, datagram: Datagram) {
        if self.one_in(self.faults.lost, 1000) {
            return;
        }
        let delay = if self.one_in(self.faults.lost, 2000) {
            self.rng.random_range(20..300)
        } else {
            1
        };
        if self.one_in(self.faults.lost, 1000) {
            self.messages
                .push((self.tick + delay + 3, to, datagram.clone()));
        }
        self.messages.push((self.tick + delay, to, datagram));
    }

    fn deliver(&mut self) {
        let tick = self.tick;
        let due: Vec<_> = self
            .messages
            .extract_if(.., |(at, ..)| *at <= tick)
            .collect();
        for (_, to, datagram) in due {
            // A process that is down gets nothing; one that stands still gets
            // it late.
            if self.agents[to].away > tick {
                if self.agents[to].leader {
                    self.messages.push((self.agents[to].away + 1, to, datagram));
                }
                continue;
            }
            self.hear(to, datagram);
        }
    }

    fn hear(&mut self, to: usize, datagram: Datagram) {
        let now = self.now();
        let agent = &mut self.agents[to].rank;
        let mut answers = Vec::new();
        match datagram {
            Datagram::Standing(standing) => {
                self.agents[to].rescue.hear(&standing);
                let agent = &mut self.agents[to].rank;
                let Some(lead) = &mut agent.coordinator else {
                    return;
                };
                let rank = usize::from(standing.place.rank);
                answers.push((rank, Datagram::Round(lead.round().clone())));
                if let Some((version, map)) = lead.map()
                    && standing.maps.current == version
                    && standing.known != Some(version)
                {
                    answers.extend(
                        parts(lead.place(), version, map).map(|part| (rank, Datagram::Part(part))),
                    );
                }
                lead.hear(standing, now);
            }
            Datagram::Round(round) => {
                agent.member.take(round);
                self.agents[to].heard = self.tick;
            }
            Datagram::Finish(round) => agent.member.take(round),
            Datagram::Ask(ask) => {
                let order = Order::Hold { step: ask.step };
                let _: bool = self.give(to, 0, order);
                return;
            }
            Datagram::Part(part) => {
                let _: bool = agent.member.learn(part);
            }
            Datagram::Seek(_)
            | Datagram::Choices(_)
            | Datagram::Relay(_)
            | Datagram::Relayed(_) => {}
        }
        for (rank, answer) in answers {
            self.send(rank, answer);
        }
        self.agents[to].look = self.tick;
    }

    fn look(&mut self, at: usize) {
        if self.tick < self.forming {
            return;
        }
        self.take_part(at);
        self.finish(at);
    }

    /// Returns how slow a rank is: by turns one of them is far slower, so that rounds
    /// take experts away from it.
    fn pace(&self, at: usize) -> Slowdown {
        let turn = self.tick / 300 % (self.ranks as u64 + 1);
        let slow = usize::try_from(turn).is_ok_and(|slow| slow == at);
        Slowdown::from_factor(if slow { 12.0 } else { 1.0 })
    }

    /// Completes a silent leader's round, and tells others that do.
    fn finish(&mut self, at: usize) {
        let maps = self.endpoints[at].report(self.step);
        let (place, now, slowness) = (self.place(at), self.now(), self.pace(at));
        let agent = &mut self.agents[at];
        let standing = Standing {
            place: place.clone(),
            open: true,
            maps,
            pace: slowness,
            fill: 50,
            term: agent.rank.member.term(),
            met: agent.rank.member.met(),
            heard: agent.rank.member.heard(),
            known: agent.rank.member.known(),
            held: None,
        };
        let round = agent.rank.member.round().cloned();
        let silence = TICK * u32::try_from(self.tick - agent.heard).expect("a run is short");
        let silent = agent
            .rescue
            .look(&place, round.as_ref(), &maps, silence, now);
        agent.rescue.hear(&standing);
        let asked = agent.finisher.filter(|&(_, tick)| self.tick - tick < 50);
        if let Some((finisher, _)) = asked {
            self.send(finisher, Datagram::Standing(standing));
        }
        let leader = self.endpoints[0].report(self.step);
        let agent = &mut self.agents[at];
        let round = round.filter(|_| silent);
        let Some(round) = round.and_then(|round| agent.rescue.round(&round, &leader)) else {
            return;
        };
        agent.rank.member.take(round.clone());
        let order = agent.rescue.order(&leader);
        for other in (0..self.ranks).filter(|&other| other != at) {
            self.send(other, Datagram::Finish(round.clone()));
            self.agents[other].finisher = Some((at, self.tick));
        }
        if let Some(order) = order {
            let _: bool = self.give(at, 0, order);
        }
    }

    fn take_part(&mut self, at: usize) {
        for _ in 0..4 {
            let maps = self.endpoints[at].report(self.step);
            let place = self.place(at);
            let (now, slowness) = (self.now(), self.pace(at));
            let agent = &mut self.agents[at];
            agent.leader = true;
            agent.rank.observe(&place, &maps);
            let options = plan::Options {
                per_rank: 2,
                price: PRICE,
                pause: None,
            };
            let term = self.rng.random();
            agent.rank.lead(&place, SHAPE, options, term);
            self.choose(at);
            let agent = &mut self.agents[at];
            let standing = Standing {
                place: place.clone(),
                open: true,
                maps,
                pace: slowness,
                fill: 50,
                term: agent.rank.member.term(),
                met: agent.rank.member.met(),
                heard: agent.rank.member.heard(),
                known: agent.rank.member.known(),
                held: agent
                    .rank
                    .tells_held()
                    .then(|| self.endpoints[at].held.clone()),
            };
            let step = agent.rank.step(standing.clone(), now);
            let round = agent
                .rank
                .coordinator
                .as_ref()
                .map(|lead| lead.round().clone());
            if at != 0 {
                self.send(0, Datagram::Standing(standing));
            }
            self.announce(step.announce, round.clone());
            if let Some(Event::Switched(_)) = step.event {
                self.held_since = None;
            }
            for (&rank, round) in step.call.iter().zip(round.iter().cycle()) {
                self.send(usize::from(rank), Datagram::Round(round.clone()));
            }
            if let Some((rank, pass)) = step.ask {
                let ask = Ask {
                    place: place.clone(),
                    endpoint: SocketAddr::from(([127, 0, 0, 1], 1)),
                    sequence: 0,
                    step: pass,
                };
                self.send(usize::from(rank), Datagram::Ask(ask));
            }
            let Some(order) = step.order else { return };
            if !self.give(at, at, order) {
                return;
            }
        }
    }

    fn announce(&mut self, announce: bool, round: Option<Round>) {
        let Some(round) = round.filter(|_| announce) else {
            return;
        };
        for rank in 1..self.ranks {
            self.send(rank, Datagram::Round(round.clone()));
        }
    }

    /// Has the agent `giver` give the endpoint `at` an order; returns whether it was
    /// answered well.
    fn give(&mut self, giver: usize, at: usize, order: Order) -> bool {
        let epoch = self.epoch;
        if self.one_in(self.faults.late, 1000) {
            let when = self.tick + self.rng.random_range(1..600);
            self.late.push((when, at, order, epoch));
            return false;
        }
        let done = self.carry_out(at, &order, epoch);
        let held = done && matches!(order, Order::Hold { .. });
        if held && self.one_in(self.faults.giver_freezes, 100) {
            let away = self.tick + self.rng.random_range(100..500);
            self.agents[giver].away = away;
            self.quiet_since = self.quiet_since.max(away);
            return false;
        }
        // The moment after the group was held is the worst one to fall silent.
        if matches!(order, Order::Hold { .. }) && self.one_in(self.faults.lead_freezes, 1_000) {
            let away = self.tick + self.rng.random_range(100..500);
            self.agents[0].away = away;
            self.quiet_since = self.quiet_since.max(away);
            return false;
        }
        // The answer may be lost though the order was carried out.
        done && !self.one_in(self.faults.late, 2000)
    }

    /// Lets the ranks' requests choose experts, the hot ones changing.
    fn choose(&mut self, at: usize) {
        let Some(lead) = &mut self.agents[at].rank.coordinator else {
            return;
        };
        let hot = usize::try_from(self.tick / 150).expect("a run is short") % SHAPE.experts;
        let count = |expert| if expert == hot { 255 } else { 20 };
        let counts: Vec<u8> = (0..SHAPE.sets)
            .flat_map(|_| (0..SHAPE.experts).map(count))
            .collect();
        let place = Place {
            group: "g".to_owned(),
            epoch: self.epoch,
            rank: 0,
            size: 3,
        };
        let now = self.base + TICK * u32::try_from(self.tick).expect("a run is short");
        let units = [*[8.0, 10.0, 12.0]
            .choose(&mut self.rng)
            .expect("it is not empty"); SHAPE.sets];
        lead.count(&place, &units, &counts, now);
    }

    fn place(&self, at: usize) -> Place {
        let number = |value: usize| u16::try_from(value).expect("a group is small");
        Place {
            group: "g".to_owned(),
            epoch: self.epoch,
            rank: number(at),
            size: number(self.ranks),
        }
    }
}

fn parts(place: &Place, version: u64, map: &Map) -> impl Iterator<Item = Part> {
    let sets = u16::try_from(map.sets.len()).expect("a map is small");
    let part = move |(set, ranks): (u16, &Vec<Vec<u16>>)| Part {
        group: place.group.clone(),
        epoch: place.epoch,
        version,
        set,
        sets,
        ranks: ranks.clone(),
    };
    (0..sets).zip(&map.sets).map(part)
}
