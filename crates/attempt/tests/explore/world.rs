//! The model: two entries, two agents, the platform and one key, with faults.

use std::hash::Hash;
use std::time::Duration;

use cactusnotch_attempt::{Answer, Budget, Event, Exchange, Mode, Options, Order};
use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::name::Endpoint;
use cactusnotch_base::number::{Incarnation, Sequence};
use cactusnotch_claim::batch::{Batch, Entry as Row};
use cactusnotch_claim::{self as claim, Shard};
use cactusnotch_ledger::{self as ledger, Attempt, Identity, Ledger, Link, Reply, Request, Terms};
use uuid::Uuid;
use xxhash_rust::xxh3::Xxh3;

use crate::actions::pick;
use crate::setup::{Action, Setup};

#[derive(Debug, Clone, Hash)]
pub(crate) enum Frame {
    Up {
        agent: usize,
        link: Link,
        request: Request,
        /// Whether a copy of the frame has reached the agent.
        duplicated: bool,
    },
    Down {
        entry: usize,
        reply: Reply,
    },
}

impl Frame {
    /// Returns whether this is a run of which no copy has reached the agent.
    pub(crate) fn is_fresh_run(&self) -> bool {
        matches!(
            self,
            Self::Up {
                request: Request::Run(_),
                duplicated: false,
                ..
            }
        )
    }
}

#[derive(Debug, Clone, Hash)]
pub(crate) enum Call {
    Put(u64, Batch),
    List(u64),
}

#[derive(Debug, Clone, Hash)]
pub(crate) struct Entry {
    pub(crate) exchange: Option<Exchange>,
    pub(crate) shard: Shard,
    pub(crate) budget: Budget,
    pub(crate) routes: Vec<(Option<Endpoint>, Vec<Endpoint>)>,
    pub(crate) call: Option<Call>,
    pub(crate) attempts: Vec<Attempt>,
    /// The attempts for which the key was claimed.
    pub(crate) claimed: Vec<Attempt>,
    pub(crate) passed: Vec<(u64, Vec<u8>)>,
    pub(crate) answer: Option<Answer>,
    /// Whether the key had started before the request arrived here.
    pub(crate) late: bool,
    /// Whether `not-run` was nevertheless reported after a lookup of the key.
    pub(crate) false_not_run: bool,
    pub(crate) dead: bool,
}

#[derive(Debug, Clone, Hash)]
pub(crate) struct Agent {
    pub(crate) ledger: Ledger,
    /// The runs at the engine, with the number of pieces of each.
    pub(crate) runs: Vec<(Attempt, u64)>,
    pub(crate) replaced: bool,
}

#[derive(Debug, Clone, Hash)]
pub struct World {
    pub(crate) setup: Setup,
    pub(crate) now: Instant,
    pub(crate) origin: Instant,
    pub(crate) entries: [Entry; 2],
    pub(crate) agents: [Agent; 2],
    pub(crate) frames: Vec<Frame>,
    pub(crate) log: Vec<Row>,
    pub(crate) delayed: Vec<(u64, Batch)>,
    pub(crate) version: u64,
    pub(crate) starts: Vec<Attempt>,
    pub moved: bool,
    pub held: bool,
}

pub(crate) const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

pub(crate) fn endpoint(agent: usize) -> Endpoint {
    Endpoint::new(["one", "two"][agent])
}

pub(crate) fn number(endpoint: &Endpoint) -> usize {
    usize::from(endpoint.as_str() == "two")
}

pub(crate) fn new_ledger(agent: usize, incarnation: u64, now: Instant) -> Ledger {
    let options = ledger::Options {
        lifetime: ms(1000),
        ..ledger::Options::default()
    };
    Ledger::new(options, endpoint(agent), Incarnation(incarnation), now)
}

impl World {
    pub fn new(setup: Setup) -> Self {
        let now = clock::now();
        let shard_options = claim::Options {
            window: Duration::ZERO,
            time_budget: ms(30),
            backoff: ms(10),
            ..claim::Options::default()
        };
        let entry = |number: u128| Entry {
            exchange: None,
            shard: Shard::new(shard_options.clone(), Uuid::from_u128(number)),
            budget: Budget::new(100, 1),
            routes: Vec::new(),
            call: None,
            attempts: Vec::new(),
            claimed: Vec::new(),
            passed: Vec::new(),
            answer: None,
            late: false,
            false_not_run: false,
            dead: false,
        };
        let agent = |number| Agent {
            ledger: new_ledger(number, 1, now),
            runs: Vec::new(),
            replaced: false,
        };
        let mut world = Self {
            setup,
            now,
            origin: now,
            entries: [entry(1), entry(2)],
            agents: [agent(0), agent(1)],
            frames: Vec::new(),
            log: Vec::new(),
            delayed: Vec::new(),
            version: 0,
            starts: Vec::new(),
            moved: false,
            held: false,
        };
        world.send_request(0);
        world
    }

    /// Returns the terms of an agent, current or from the start of the model.
    pub(crate) fn terms(&self, agent: usize, current: bool) -> Terms {
        let ledger = &self.agents[agent].ledger;
        let (incarnation, age) = if current {
            (ledger.incarnation(), ledger.age(self.now))
        } else {
            (Incarnation(1), ledger::Age(0))
        };
        Terms {
            endpoint: endpoint(agent),
            incarnation,
            age,
        }
    }

    pub(crate) fn send_request(&mut self, entry: usize) {
        let first = Terms {
            endpoint: endpoint(0),
            incarnation: Incarnation(1),
            age: ledger::Age(0),
        };
        let order = Order {
            identity: Identity {
                organisation: "loom".into(),
                key: ledger_key(),
            },
            digest: 7,
            repeat: self.setup.repeat,
            mode: if self.setup.ticket {
                Mode::Ticket(first)
            } else {
                Mode::Claim
            },
            conversation: Attempt(Uuid::nil()),
            after: Sequence(0),
            deadline: self.now + ms(100),
            linger_ms: 1000,
        };
        let options = Options {
            start: ms(30),
            claim: ms(20),
            accept: ms(10),
            settle: ms(30),
            resend: ms(15),
            retries: 2,
            retry_after: ms(1),
        };
        let now = self.now;
        let (exchange, commands) =
            Exchange::new(order, options, now, &mut self.entries[entry].budget);
        self.entries[entry].exchange = Some(exchange);
        self.entries[entry].late = !self.starts.is_empty();
        self.execute(entry, commands);
    }

    pub fn act(&mut self, action: &Action) {
        match *action {
            Action::Resend => self.send_request(1),
            Action::Route(entry, current) => self.route(entry, current),
            Action::Deliver(index) => {
                let frame = self.frames.remove(index);
                self.deliver(frame);
            }
            Action::Lose(index) => {
                self.setup.faults.lost_frames -= 1;
                self.frames.remove(index);
            }
            Action::Duplicate(index) => {
                self.setup.faults.duplicated_frames -= 1;
                let frame = self.frames[index].clone();
                if let Frame::Up { duplicated, .. } = &mut self.frames[index] {
                    *duplicated = true;
                }
                self.deliver(frame);
            }
            Action::Unsend(index) => {
                self.setup.faults.lost_frames -= 1;
                if let Frame::Up { link, request, .. } = self.frames.remove(index) {
                    let entry = usize::try_from(link.0).expect("two entries");
                    self.step_entry(entry, Event::Unsent(request.attempt()));
                }
            }
            Action::Engine(agent) => self.engine(agent),
            Action::Call(entry, fate) => self.platform(entry, fate),
            Action::Land(index) => {
                let (number, batch) = self.delayed.remove(index);
                self.create(number, batch);
            }
            Action::KillEntry(entry) => self.kill_entry(entry),
            Action::KillAgent(agent) => self.kill_agent(agent),
            Action::LoseLink(entry, agent) => self.lose_link(entry, agent),
            Action::Drain(agent) => {
                self.setup.faults.drains -= 1;
                self.step_agent(agent, ledger::Event::Drain);
            }
            Action::Advance => self.advance(),
        }
        let entries = &self.entries;
        self.frames.retain(|frame| match frame {
            Frame::Up { .. } => true,
            Frame::Down { entry, .. } => entries[*entry].answer.is_none() && !entries[*entry].dead,
        });
        self.frames.sort_by_cached_key(hash);
    }

    pub(crate) fn route(&mut self, entry: usize, current: bool) {
        let route = self.entries[entry].routes.remove(0);
        let terms = self.terms(pick(entry, &route), current);
        let count = self.entries[entry].attempts.len();
        let attempt = Attempt(Uuid::from_u128((entry * 16 + count + 1) as u128));
        self.entries[entry].attempts.push(attempt);
        let reported_at = if current { self.now } else { self.origin };
        let event = Event::Routed {
            terms,
            reported_at,
            attempt,
        };
        self.step_entry(entry, event);
    }

    pub(crate) fn kill_entry(&mut self, number: usize) {
        self.setup.faults.killed_entries -= 1;
        let entry = &mut self.entries[number];
        entry.dead = true;
        if let Some(Call::Put(at, batch)) = entry.call.take() {
            self.delayed.push((at, batch));
        }
        for agent in 0..2 {
            self.step_agent(agent, ledger::Event::LinkLost(Link(number as u64)));
        }
    }

    pub(crate) fn kill_agent(&mut self, number: usize) {
        self.setup.faults.killed_agents -= 1;
        self.agents[number] = Agent {
            ledger: new_ledger(number, 2, self.now),
            runs: Vec::new(),
            replaced: true,
        };
    }

    pub(crate) fn lose_link(&mut self, entry: usize, agent: usize) {
        self.setup.faults.lost_links -= 1;
        self.step_agent(agent, ledger::Event::LinkLost(Link(entry as u64)));
        self.step_entry(entry, Event::LinkLost(endpoint(agent)));
    }

    /// Advances the time to the next timer of an entry, which fires.
    pub(crate) fn advance(&mut self) {
        self.setup.faults.advances -= 1;
        let wakes = self
            .entries
            .iter()
            .filter(|entry| !entry.dead)
            .flat_map(|entry| {
                let exchange = entry.exchange.as_ref().and_then(Exchange::wake);
                [exchange, entry.shard.wake()]
            });
        let later = wakes.flatten().filter(|wake| *wake > self.now);
        self.now = later.min().unwrap_or(self.now + ms(40));
        for number in 0..2 {
            if !self.entries[number].dead {
                self.step_shard(number, claim::Event::Tick);
                self.step_entry(number, Event::Timer);
            }
            self.step_agent(number, ledger::Event::Tick);
        }
    }
}

/// Returns a hash that is equal for equal values.
pub fn hash(value: &impl Hash) -> u128 {
    let mut hasher = Xxh3::new();
    value.hash(&mut hasher);
    hasher.digest128()
}

pub(crate) fn ledger_key() -> cactusnotch_base::outcome::Key {
    cactusnotch_base::outcome::Key::new("wool")
}
