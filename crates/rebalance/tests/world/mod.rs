//! A simulation of a small group of ranks with its agents, in virtual time, with faults.

mod endpoint;

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_overload::{Ceiling, Model};
use cactusnotch_rebalance::codec::Order;
use cactusnotch_rebalance::coordinator::Event;
use cactusnotch_rebalance::message::{Datagram, HoldRequest, Part, Round, Status};
use cactusnotch_rebalance::plan;
use cactusnotch_rebalance::state::Place;
use cactusnotch_rebalance::takeover::Takeover;
use cactusnotch_rebalance::threshold::Threshold;
use cactusnotch_rebalance::{Map, Rank, Shape, Slowdown};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use endpoint::Endpoint;

/// The ranks of a group, unless a test asks for more.
const RANKS: usize = 3;
/// One tick represents ten milliseconds.
const TICK: Duration = Duration::from_millis(10);
/// The ticks of a pass.
const PASS: u64 = 6;
/// The gain required of a copy: next to nothing, which makes rounds follow each other.
const THRESHOLD: Threshold = Threshold {
    relaxed: 0.01,
    saturated: 0.01,
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

/// The group is under overload control, whose announcements must not disturb rounds.
const MODEL: Model = Model {
    slots: 8,
    step: Duration::from_millis(5),
    per_request: Duration::from_millis(1),
    stride: 4,
    expert_share: 0.85,
    max_event_gap: Duration::from_millis(150),
};

/// The frequency of faults.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    /// Messages that are lost, out of a thousand.
    pub lost: u32,
    /// Orders that are carried out late and not answered, out of a thousand.
    pub late: u32,
    /// Ticks in which an agent is killed, out of ten thousand.
    pub kills: u32,
    /// Ticks in which an agent freezes, out of ten thousand.
    pub freezes: u32,
    /// Ticks in which the leader freezes, out of ten thousand.
    pub leader_freezes: u32,
    /// Holds after which the agent that gave the order freezes, out of a hundred.
    pub issuer_freezes: u32,
    /// Ticks in which a rank crashes, out of ten thousand.
    pub crashes: u32,
    /// Ticks in which the group's work ends for a while, out of ten thousand.
    pub idles: u32,
    /// Ticks in which all agents are killed at once, out of ten thousand.
    pub herds: u32,
    /// Holds after which the agent that gave the order is killed, out of a hundred, and releases
    /// after which the leader is.
    pub order_kills: u32,
    /// The greatest delay of an order that is carried out late, in ticks.
    pub late_max: u64,
}

/// The results of a run.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Maps that came into force.
    pub switches: u32,
    /// The longest time that passes were held back while no agent was down or frozen, in
    /// ticks.
    pub held_max: u64,
    /// The same, whatever the state of the agents.
    pub held_any: u64,
    /// The longest time that some rank lacked the limit while the group was formed and no
    /// agent was down or frozen, in ticks.
    pub unlimited_max: u64,
}

struct Agent {
    rank: Rank,
    takeover: Takeover,
    /// When the leader was last seen.
    leader_seen: u64,
    /// The rank that requested the status of this one, and when.
    finisher: Option<(usize, u64)>,
    /// Until when the agent is down or frozen.
    down_until: u64,
    next_poll: u64,
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
    forming_until: u64,
    endpoints: Vec<Endpoint>,
    agents: Vec<Agent>,
    messages: Vec<(u64, usize, Datagram)>,
    late: Vec<(u64, usize, Order, u64)>,
    held_since: Option<u64>,
    /// Until when the group has no work.
    idle_until: u64,
    /// The passes that the work after it takes, if that is limited.
    work: Option<u64>,
    quiet_since: u64,
    /// When all ranks last had the limit.
    limited_at: u64,
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
            takeover: Takeover::default(),
            finisher: None,
            leader_seen: 0,
            down_until: 0,
            next_poll: 0,
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
            forming_until: 0,
            endpoints,
            agents: (0..ranks).map(agent).collect(),
            messages: Vec::new(),
            late: Vec::new(),
            held_since: None,
            idle_until: 0,
            work: None,
            quiet_since: 0,
            limited_at: 0,
            outcome: Outcome::default(),
        }
    }

    /// Runs `ticks` with faults and then `quiet` without.
    pub fn run(mut self, ticks: u64, quiet: u64) -> Outcome {
        for _ in 0..ticks {
            self.inject_faults();
            self.advance();
        }
        let before = self.outcome.switches;
        (self.idle_until, self.work, self.faults.order_kills) = (0, None, 0);
        for _ in 0..quiet {
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

    fn chance(&mut self, times: u32, of: u32) -> bool {
        self.rng.random_range(0..of) < times
    }

    fn inject_faults(&mut self) {
        if self.chance(self.faults.kills, 10_000) {
            let at = self.rng.random_range(0..self.ranks);
            self.kill(at);
        }
        if self.faults.herds > 0 && self.chance(self.faults.herds, 10_000) {
            (0..self.ranks).for_each(|at| self.kill(at));
        }
        if self.faults.idles > 0 && self.chance(self.faults.idles, 10_000) {
            self.idle();
        }
        if self.chance(self.faults.freezes, 10_000) {
            let at = self.rng.random_range(0..self.ranks);
            let down_until = self.tick + self.rng.random_range(5..400);
            self.agents[at].down_until = down_until;
            self.quiet_since = self.quiet_since.max(down_until);
        }
        if self.chance(self.faults.leader_freezes, 10_000) {
            let down_until = self.tick + self.rng.random_range(100..500);
            self.agents[0].down_until = down_until;
            self.quiet_since = self.quiet_since.max(down_until);
        }
        if self.chance(self.faults.crashes, 10_000) {
            self.epoch += 1;
            self.forming_until = self.tick + self.rng.random_range(20..100);
            self.endpoints.iter_mut().for_each(Endpoint::restart);
            self.held_since = None;
        }
    }

    fn kill(&mut self, at: usize) {
        let down_until = self.tick + self.rng.random_range(5..200);
        self.agents[at] = Agent {
            rank: Rank::default(),
            takeover: Takeover::default(),
            finisher: None,
            leader_seen: 0,
            down_until,
            next_poll: 0,
            leader: false,
        };
        self.quiet_since = self.quiet_since.max(down_until);
    }

    /// Ends the group's work for a while; what comes then often takes a few passes only.
    fn idle(&mut self) {
        self.idle_until = self.tick + self.rng.random_range(20..700);
        let few = self.rng.random_range(1..12);
        self.work = self.rng.random_bool(0.7).then_some(few);
    }

    /// Returns whether the group has work for a pass, and counts the pass.
    fn takes_work(&mut self) -> bool {
        if self.tick < self.idle_until {
            return false;
        }
        let Some(work) = &mut self.work else {
            return true;
        };
        if *work == 0 {
            self.idle();
            return false;
        }
        *work -= 1;
        true
    }

    fn advance(&mut self) {
        self.tick += 1;
        self.carry_out_late();
        self.deliver();
        let tick = self.tick;
        self.endpoints
            .iter_mut()
            .for_each(|endpoint| endpoint.load(tick));
        if tick.is_multiple_of(PASS) && tick >= self.forming_until {
            self.begin_pass();
        }
        for at in 0..self.ranks {
            if self.agents[at].down_until <= tick && self.agents[at].next_poll <= tick {
                self.poll(at);
                self.agents[at].next_poll = tick + self.rng.random_range(1..10);
            }
        }
        self.check_limits();
    }

    fn check_limits(&mut self) {
        let (now, epoch) = (self.now(), self.epoch);
        let is_limited = |agent: &Agent| agent.rank.member.limit("g", epoch, now).is_some();
        let disturbed_until = self.quiet_since.max(self.forming_until);
        if disturbed_until >= self.tick || self.agents.iter().all(is_limited) {
            self.limited_at = self.tick;
        }
        let unlimited = self.tick - self.limited_at;
        self.outcome.unlimited_max = self.outcome.unlimited_max.max(unlimited);
    }

    /// Begins the next pass unless a rank holds it; all ranks must then use the same map.
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
        if !self.takes_work() {
            return;
        }
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
            && self.tick >= self.forming_until
            && self.endpoints[rank].order(order, self.step, self.tick)
    }

    fn send(&mut self, to: usize, datagram: Datagram) {
        if self.chance(self.faults.lost, 1000) {
            return;
        }
        let delay = if self.chance(self.faults.lost, 2000) {
            self.rng.random_range(20..300)
        } else {
            1
        };
        if self.chance(self.faults.lost, 1000) {
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
            // A process that is down receives nothing; a frozen one receives it late.
            if self.agents[to].down_until > tick {
                if self.agents[to].leader {
                    self.messages
                        .push((self.agents[to].down_until + 1, to, datagram));
                }
                continue;
            }
            self.receive(to, datagram);
        }
    }

    fn receive(&mut self, to: usize, datagram: Datagram) {
        let now = self.now();
        let agent = &mut self.agents[to].rank;
        let mut answers = Vec::new();
        match datagram {
            Datagram::Standing(status) => {
                self.agents[to].takeover.record(&status);
                let agent = &mut self.agents[to].rank;
                let Some(lead) = &mut agent.coordinator else {
                    return;
                };
                let rank = usize::from(status.place.rank);
                answers.push((rank, Datagram::Round(lead.round().clone())));
                if let Some((version, map)) = lead.map()
                    && status.maps.current == version
                    && status.known != Some(version)
                {
                    answers.extend(
                        parts(lead.place(), version, map).map(|part| (rank, Datagram::Part(part))),
                    );
                }
                lead.record(status, now);
            }
            Datagram::Round(round) => {
                agent.member.update_limit(&round, now);
                agent.member.update_round(round);
                self.agents[to].leader_seen = self.tick;
            }
            Datagram::Finish(round) => agent.member.update_round(round),
            Datagram::Ask(ask) => {
                let order = Order::Hold { step: ask.step };
                let _: bool = self.issue(to, 0, order);
                return;
            }
            Datagram::Part(part) => {
                let _: bool = agent.member.add_part(part);
            }
            Datagram::Seek(_)
            | Datagram::Choices(_)
            | Datagram::Relay(_)
            | Datagram::Relayed(_) => {}
        }
        for (rank, answer) in answers {
            self.send(rank, answer);
        }
        self.agents[to].next_poll = self.tick;
    }

    fn poll(&mut self, at: usize) {
        if self.tick < self.forming_until {
            return;
        }
        self.run_round(at);
        self.finish(at);
    }

    /// Returns the slowdown of a rank: each in turn is far slower for a while, and rounds
    /// move experts away from it.
    fn slowdown(&self, at: usize) -> Slowdown {
        let index = self.tick / 300 % (self.ranks as u64 + 1);
        let slow = usize::try_from(index).is_ok_and(|slow| slow == at);
        Slowdown::from_factor(if slow { 12.0 } else { 1.0 })
    }

    /// Completes the round of an unresponsive leader, and reports to other agents that do.
    fn finish(&mut self, at: usize) {
        let maps = self.endpoints[at].report(self.step);
        let (place, now, slowdown) = (self.place(at), self.now(), self.slowdown(at));
        let agent = &mut self.agents[at];
        let status = Status {
            place: place.clone(),
            open: true,
            maps,
            pace: slowdown,
            fill: 50,
            term: agent.rank.member.term(),
            met: agent.rank.member.held_step(),
            heard: agent.rank.member.progress(),
            known: agent.rank.member.map_version(),
            held: None,
        };
        let round = agent.rank.member.round().cloned();
        let unresponsive_for =
            TICK * u32::try_from(self.tick - agent.leader_seen).expect("a run is short");
        let must_complete =
            agent
                .takeover
                .observe(&place, round.as_ref(), &maps, unresponsive_for, now);
        agent.takeover.record(&status);
        let request = agent.finisher.filter(|&(_, tick)| self.tick - tick < 50);
        if let Some((finisher, _)) = request {
            self.send(finisher, Datagram::Standing(status));
        }
        let leader = self.endpoints[0].report(self.step);
        let agent = &mut self.agents[at];
        let round = round.filter(|_| must_complete);
        let Some(round) = round.and_then(|round| agent.takeover.round(&round, &leader)) else {
            return;
        };
        agent.rank.member.update_round(round.clone());
        let order = agent.takeover.order(&leader);
        for other in (0..self.ranks).filter(|&other| other != at) {
            self.send(other, Datagram::Finish(round.clone()));
            self.agents[other].finisher = Some((at, self.tick));
        }
        if let Some(order) = order {
            let _: bool = self.issue(at, 0, order);
        }
    }

    fn run_round(&mut self, at: usize) {
        for _ in 0..4 {
            let maps = self.endpoints[at].report(self.step);
            let place = self.place(at);
            let (now, slowdown) = (self.now(), self.slowdown(at));
            let agent = &mut self.agents[at];
            agent.leader = true;
            agent.rank.observe(&place, &maps);
            let options = plan::Options {
                copies_per_rank: 2,
                threshold: THRESHOLD,
                max_event_gap: None,
            };
            let term = self.rng.random();
            let new = agent.rank.lead(&place, SHAPE, options, term);
            if let Some(lead) = agent.rank.coordinator.as_mut().filter(|_| new) {
                lead.limit_requests(MODEL, Ceiling::FULL);
            }
            self.choose(at);
            let agent = &mut self.agents[at];
            let status = Status {
                place: place.clone(),
                open: true,
                maps,
                pace: slowdown,
                fill: 50,
                term: agent.rank.member.term(),
                met: agent.rank.member.held_step(),
                heard: agent.rank.member.progress(),
                known: agent.rank.member.map_version(),
                held: agent
                    .rank
                    .reports_held()
                    .then(|| self.endpoints[at].held.clone()),
            };
            let step = agent.rank.step(status.clone(), now);
            let round = agent
                .rank
                .coordinator
                .as_ref()
                .map(|lead| lead.round().clone());
            if at != 0 {
                self.send(0, Datagram::Standing(status));
            }
            self.announce(step.announce, round.clone());
            if let Some(Event::Switched(_)) = step.event {
                self.held_since = None;
            }
            for (&rank, round) in step.notify.iter().zip(round.iter().cycle()) {
                self.send(usize::from(rank), Datagram::Round(round.clone()));
            }
            if let Some((rank, pass)) = step.hold_request {
                let ask = HoldRequest {
                    place: place.clone(),
                    endpoint: SocketAddr::from(([127, 0, 0, 1], 1)),
                    sequence: 0,
                    step: pass,
                };
                self.send(usize::from(rank), Datagram::Ask(ask));
            }
            let Some(order) = step.order else { return };
            if !self.issue(at, at, order) {
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

    /// Has the agent `issuer` send an order to the endpoint `at`; returns whether it was
    /// confirmed.
    fn issue(&mut self, issuer: usize, at: usize, order: Order) -> bool {
        let epoch = self.epoch;
        if self.chance(self.faults.late, 1000) {
            let when = self.tick + self.rng.random_range(1..self.faults.late_max);
            self.kill_after(issuer, &order);
            self.late.push((when, at, order, epoch));
            return false;
        }
        let done = self.carry_out(at, &order, epoch);
        self.kill_after(issuer, &order);
        let held = done && matches!(order, Order::Hold { .. });
        if held && self.chance(self.faults.issuer_freezes, 100) {
            let down_until = self.tick + self.rng.random_range(100..500);
            self.agents[issuer].down_until = down_until;
            self.quiet_since = self.quiet_since.max(down_until);
            return false;
        }
        // Right after the group was held, an unresponsive leader does the most harm.
        if matches!(order, Order::Hold { .. }) && self.chance(self.faults.leader_freezes, 1_000) {
            let down_until = self.tick + self.rng.random_range(100..500);
            self.agents[0].down_until = down_until;
            self.quiet_since = self.quiet_since.max(down_until);
            return false;
        }
        // The answer may be lost though the order was carried out.
        done && !self.chance(self.faults.late, 2000)
    }

    /// Kills the agent that has given an order on a hold at times.
    fn kill_after(&mut self, issuer: usize, order: &Order) {
        let is_hold = matches!(order, Order::Hold { .. } | Order::Go { .. });
        let kills = self.faults.order_kills;
        if kills > 0 && is_hold && self.chance(kills, 100) {
            self.kill(issuer);
        }
    }

    /// Adds expert choices of the ranks' requests, with popular experts that change over
    /// time.
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
        lead.add_counts(&place, &units, &counts, now);
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
