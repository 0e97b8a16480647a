//! Simulation of many nodes in one process and in virtual time. The network
//! delays, drops, duplicates and partitions; the platform can be down or fail to
//! answer.
#![allow(dead_code, reason = "each test and example uses a part")]

pub mod bench;
mod due;
pub mod platform;
mod shape;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::name::Process;
use cactusnotch_base::number::{Incarnation, Sequence};
use cactusnotch_member::Record;
use cactusnotch_spread::{Answer, Command, Message, Node, Options, Span, Ticket};
use due::{Due, Event};
use platform::Platform;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
pub use shape::Shape;
use shape::record;

/// Microseconds of virtual time.
pub type Micros = u64;

pub const SECOND: Micros = 1_000_000;
const TICK: Micros = 100_000;
const TIMEOUT: Micros = 2 * SECOND;

/// The faults of the network.
#[derive(Debug, Clone, Default)]
pub struct Network {
    pub loss: f64,
    pub repeat: f64,
    pub late: f64,
    /// The side of each process; processes on different sides cannot reach each
    /// other.
    pub side: Vec<u8>,
}

/// The cost of one process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    pub sent: u64,
    pub received: u64,
    pub messages: u64,
    /// Processor time of the state machine.
    pub decisions: Duration,
    pub codec: Duration,
}

/// Returns the processor time that this thread has used.
pub fn processor_time() -> Duration {
    nix::time::clock_gettime(nix::time::ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map(Duration::from)
        .expect("the clock of the thread")
}

/// A process, up or down.
pub struct Slot {
    pub record: Record,
    pub node: Option<Node>,
    pub instance: u64,
    pub paused_until: Micros,
    pub applied: Vec<Span>,
    pub applied_at: Vec<(Sequence, Micros)>,
    pub cost: Cost,
}

/// A simulation of many nodes in virtual time.
pub struct World {
    pub base: Instant,
    pub now: Micros,
    pub rng: StdRng,
    pub options: Options,
    pub slots: Vec<Slot>,
    pub network: Network,
    pub platform: Platform,
    /// Whether processes receive decoded messages rather than clones that share
    /// memory with the sender's.
    pub round_trip: bool,
    /// Whether processor time is measured.
    pub measured: bool,
    pub kinds: Table<&'static str, (u64, u64)>,
    names: Table<Process, usize>,
    queue: BinaryHeap<Reverse<Due>>,
    order: u64,
}

fn kind(message: &Message) -> &'static str {
    match message {
        Message::Ping(_) => "ping",
        Message::Pong(_) => "pong",
        Message::Span(_) => "span",
        Message::Delta(_) => "delta",
        Message::Fetch(_) => "fetch",
        Message::Relay(_) | Message::Reached(_) => "relay",
    }
}

impl World {
    /// Creates the processes, all of them down.
    pub fn new(shape: &Shape, options: Options, seed: u64) -> Self {
        let count = shape.entries + shape.agents;
        let slots = (0..count).map(|at| Slot {
            record: record(shape, at),
            node: None,
            instance: 0,
            paused_until: 0,
            applied: Vec::new(),
            applied_at: Vec::new(),
            cost: Cost::default(),
        });
        let slots: Vec<Slot> = slots.collect();
        let names = slots.iter().enumerate();
        Self {
            base: clock::now(),
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            options,
            names: names
                .map(|(at, slot)| (slot.record.process.clone(), at))
                .collect(),
            network: Network {
                side: vec![0; count],
                ..Network::default()
            },
            slots,
            platform: Platform::default(),
            round_trip: false,
            measured: false,
            kinds: Table::new(),
            queue: BinaryHeap::new(),
            order: 0,
        }
    }

    pub fn instant(&self) -> Instant {
        self.base + Duration::from_micros(self.now)
    }

    pub fn index(&self, process: &Process) -> usize {
        *self.names.get(process).expect("a known process")
    }

    /// Starts a new incarnation of a process; its wall clock may be wrong.
    pub fn start(&mut self, at: usize) {
        let (now, seed) = (self.instant(), self.rng.random());
        let wall = self.now / 1000 + self.rng.random_range(0..5);
        let seeds = (0..3).map(|_| self.rng.random_range(0..self.slots.len()));
        let seeds: Vec<usize> = seeds.collect();
        let address = |at: usize| {
            (
                self.slots[at].record.process.clone(),
                self.slots[at].record.peers,
            )
        };
        let seeds = seeds
            .into_iter()
            .filter(|seed| *seed != at)
            .map(address)
            .collect();
        let slot = &mut self.slots[at];
        let mut record = slot.record.clone();
        record.incarnation = Incarnation(wall);
        slot.instance += 1;
        slot.paused_until = 0;
        slot.applied.clear();
        slot.applied_at.clear();
        slot.node = Some(Node::new(self.options.clone(), record, seeds, seed, now));
        let first = self.now + self.rng.random_range(0..TICK);
        self.schedule(first, at, Event::Tick);
    }

    /// Resumes a process that was placed in a slot.
    pub fn resume(&mut self, at: usize) {
        self.schedule(self.now, at, Event::Tick);
    }

    pub fn stop(&mut self, at: usize) {
        self.slots[at].node = None;
        self.slots[at].instance += 1;
    }

    fn schedule(&mut self, at: Micros, to: usize, event: Event) {
        self.order += 1;
        let (order, instance) = (self.order, self.slots[to].instance);
        self.queue.push(Reverse(Due {
            at,
            order,
            to,
            instance,
            event,
        }));
    }

    /// Writes a revision at the platform; process `by`, if any, applies it at
    /// once.
    pub fn edit(&mut self, payload: usize, by: Option<usize>) -> Option<Span> {
        let span = self.platform.edit(payload)?;
        self.wake();
        if let Some(at) = by {
            let accepted = span.clone();
            self.step(at, |node, now| node.on_accepted(accepted, now));
        }
        Some(span)
    }

    /// Runs until `until`, and calls `check` about every tick.
    pub fn run<E>(
        &mut self,
        until: Micros,
        mut check: impl FnMut(&Self) -> Result<(), E>,
    ) -> Result<(), E> {
        let mut checked = self.now;
        while let Some(Reverse(due)) = self.queue.pop() {
            if due.at > until {
                self.queue.push(Reverse(due));
                break;
            }
            self.now = self.now.max(due.at);
            self.handle(due);
            if self.now >= checked + TICK {
                checked = self.now;
                self.wake();
                check(self)?;
            }
        }
        self.now = until;
        check(self)
    }

    fn handle(&mut self, due: Due) {
        let to = due.to;
        if let Event::Call(ticket, call) = due.event {
            self.arrive(to, due.instance, ticket, &call);
            return;
        }
        let slot = &self.slots[to];
        let fresh = !matches!(due.event, Event::Message(..));
        if slot.node.is_none() || (fresh && due.instance != slot.instance) {
            return;
        }
        if slot.paused_until > self.now {
            // A paused process handles pending events when it resumes.
            let resumed = slot.paused_until;
            self.order += 1;
            let order = self.order;
            self.queue.push(Reverse(Due {
                at: resumed,
                order,
                ..due
            }));
            return;
        }
        match due.event {
            Event::Tick => {
                self.step(to, Node::on_tick);
                let next = self.now + TICK;
                self.schedule(next, to, Event::Tick);
            }
            Event::Message(from, message) => {
                let from = self.slots[from].record.process.clone();
                self.step(to, |node, now| node.on_message(&from, message, now));
            }
            Event::Answer(ticket, answer) => {
                self.step(to, |node, now| node.on_answer(ticket, answer, now));
            }
            Event::Call(..) => {}
        }
    }

    fn step(&mut self, at: usize, event: impl FnOnce(&mut Node, Instant) -> Vec<Command>) {
        let now = self.instant();
        let slot = &mut self.slots[at];
        let Some(node) = &mut slot.node else { return };
        let started = self.measured.then(processor_time);
        let commands = event(node, now);
        if let Some(started) = started {
            slot.cost.decisions += processor_time().saturating_sub(started);
        }
        for command in commands {
            match command {
                Command::Send { to, message } => self.send(at, &to, message),
                Command::Call { ticket, call } => {
                    self.platform.count_call(self.now, &call);
                    let arrival = self.now + self.rng.random_range(500..2_000);
                    self.schedule(arrival, at, Event::Call(ticket, call));
                }
                Command::Apply(span) => {
                    self.slots[at].applied_at.push((span.through, self.now));
                    self.slots[at].applied.push(span);
                }
                Command::Roster => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &Process, message: Message) {
        let to = self.index(to);
        let message = self.count(from, to, message);
        let reached = self.network.side[from] == self.network.side[to];
        if !reached || self.rng.random_bool(self.network.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.network.repeat));
        for _ in 0..copies {
            let delay = self.delay(from, to);
            let event = Event::Message(from, message.clone());
            self.schedule(self.now + delay, to, event);
        }
    }

    fn count(&mut self, from: usize, to: usize, message: Message) -> Message {
        let started = self.measured.then(processor_time);
        let mut bytes = Vec::with_capacity(256);
        ciborium::into_writer(&message, &mut bytes).expect("a message is encoded");
        let written = started.map(|_| processor_time());
        let decoded: Message = ciborium::from_reader(&bytes[..]).expect("a message is decoded");
        if let (Some(started), Some(written)) = (started, written) {
            self.slots[from].cost.codec += written.saturating_sub(started);
            self.slots[to].cost.codec += processor_time().saturating_sub(written);
        }
        let length = bytes.len() as u64;
        self.slots[from].cost.sent += length;
        self.slots[from].cost.messages += 1;
        self.slots[to].cost.received += length;
        let kind = kind(&message);
        let (count, total) = *self.kinds.get_or_insert_with(kind, || (0, 0));
        self.kinds.insert(kind, (count + 1, total + length));
        if self.round_trip { decoded } else { message }
    }

    fn delay(&mut self, from: usize, to: usize) -> Micros {
        let (a, b) = (&self.slots[from].record, &self.slots[to].record);
        let base = if a.data_centre == b.data_centre {
            100..400
        } else if a.region == b.region {
            500..1_500
        } else {
            20_000..40_000
        };
        let late = self.rng.random_bool(self.network.late);
        let extra = if late {
            self.rng.random_range(0..3 * SECOND)
        } else {
            0
        };
        self.rng.random_range(base) + extra
    }

    fn arrive(
        &mut self,
        at: usize,
        instance: u64,
        ticket: Ticket,
        call: &cactusnotch_spread::Call,
    ) {
        let answered = self.platform.call(self.now, at, instance, ticket, call);
        self.wake();
        if let Some(answer) = answered {
            self.reply(at, instance, ticket, answer);
        }
    }

    /// Answers the watches that have changes to return or have timed out.
    fn wake(&mut self) {
        for (at, instance, ticket, answer) in self.platform.woken(self.now, &mut self.rng) {
            self.reply(at, instance, ticket, answer);
        }
    }

    fn reply(&mut self, at: usize, instance: u64, ticket: Ticket, answer: Answer) {
        let lost = answer == Answer::Unanswered || self.rng.random_bool(self.platform.forgets);
        let (delay, answer) = if lost {
            (TIMEOUT, Answer::Unanswered)
        } else {
            (self.rng.random_range(500..2_000), answer)
        };
        if self.slots[at].instance == instance {
            self.schedule(self.now + delay, at, Event::Answer(ticket, answer));
        }
    }
}
