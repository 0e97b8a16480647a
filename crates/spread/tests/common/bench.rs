//! One node whose peers and platform are simulated by the test.

use std::sync::Arc;
use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::number::{Incarnation, Sequence};
use cactusnotch_member::registration::{Answer as Own, Call as OwnCall};
use cactusnotch_member::{Delta, Fingerprint, Record, Role, Row, State};
use cactusnotch_objects::object::Version;
use cactusnotch_spread::{
    Acknowledgement, Answer, Call, Command, Message, Node, Options, Pong, Report, Span, Standing,
    Summary, Ticket,
};

pub fn record(name: &str, role: Role, incarnation: u64) -> Record {
    Record {
        process: name.into(),
        role,
        host: name.into(),
        data_centre: "dc".into(),
        region: "region".into(),
        peers: ([10, 0, 0, 1], 7000).into(),
        callers: None,
        endpoint: None,
        incarnation: Incarnation(incarnation),
        state: State::Serving,
    }
}

pub fn row(name: &str, role: Role, incarnation: u64, version: u64) -> Row {
    Row {
        record: Arc::new(record(name, role, incarnation)),
        version: Version(version),
    }
}

/// The head of a data centre with one other process, an agent.
pub struct Bench {
    pub node: Node,
    pub now: Instant,
    /// The stamp of the last ping to the agent.
    pub stamp: u64,
    /// An open read of the roster.
    pub read: Option<Ticket>,
    /// An open watch of the roster.
    pub watch: Option<Ticket>,
    pub down: bool,
}

impl Bench {
    pub fn new() -> Self {
        let mut bench = Self::fresh(false);
        bench.wait(Duration::from_secs(10));
        let delta = Delta {
            after: Version(0),
            through: Version(10),
            rows: vec![
                row("head", Role::Entry, 1, 9),
                row("agent", Role::Agent, 2, 10),
            ],
            removed: Vec::new(),
        };
        bench.answer_read(delta);
        assert_eq!(bench.node.standing(bench.now), Standing::Serving);
        bench
    }

    /// Returns a head that has just started.
    pub fn fresh(down: bool) -> Self {
        let now = clock::now();
        let head = record("head", Role::Entry, 1);
        Self {
            node: Node::new(Options::default(), head, Table::new(), 3, now),
            now,
            stamp: 0,
            read: None,
            watch: None,
            down,
        }
    }

    /// Advances the clock, answers calls for the own record and the settings, and
    /// leaves reads of the roster open.
    pub fn wait(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += Duration::from_millis(100);
            let commands = self.node.on_tick(self.now);
            self.carry_out(commands);
        }
    }

    fn carry_out(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send {
                    message: Message::Ping(ping),
                    ..
                } => self.stamp = ping.stamp,
                Command::Call { ticket, call } => self.answer_call(ticket, &call),
                _ => {}
            }
        }
    }

    fn answer_call(&mut self, ticket: Ticket, call: &Call) {
        let answer = match call {
            _ if self.down => Answer::Unanswered,
            Call::Own(OwnCall::Find) => Answer::Own(Own::Found(None)),
            Call::Own(_) => Answer::Own(Own::Written(Version(9))),
            Call::Settings { wait, .. } if wait.is_zero() => Answer::Settings(Vec::new()),
            Call::Members { wait, .. } if wait.is_zero() => {
                self.read = Some(ticket);
                return;
            }
            Call::Members { .. } => {
                self.watch = Some(ticket);
                return;
            }
            _ => return,
        };
        let commands = self.node.on_answer(ticket, answer, self.now);
        self.carry_out(commands);
    }

    pub fn answer_read(&mut self, delta: Delta) {
        let ticket = self.read.take().expect("the roster is being read");
        let answer = Answer::Members(delta);
        let commands = self.node.on_answer(ticket, answer, self.now);
        self.carry_out(commands);
    }

    /// Delivers a message of `from`.
    pub fn deliver(&mut self, from: &str, message: Message) {
        let commands = self.node.on_message(&from.into(), message, self.now);
        self.carry_out(commands);
    }

    /// Answers the watch of the roster.
    pub fn answer_watch(&mut self, delta: Delta) {
        let ticket = self.watch.take().expect("the roster is watched");
        let answer = Answer::Members(delta);
        let commands = self.node.on_answer(ticket, answer, self.now);
        self.carry_out(commands);
    }

    pub fn accept(&mut self, version: u64) {
        let span = Span {
            after: Sequence(0),
            through: Sequence(1),
            version: Version(version),
            payload: vec![1].into(),
        };
        let commands = self.node.on_accepted(span, self.now);
        self.carry_out(commands);
    }

    /// Delivers the agent's acknowledgement of revision one, in answer to the ping
    /// with `stamp`.
    pub fn acknowledge(&mut self, stamp: u64, incarnation: u64) {
        let fingerprint = Fingerprint::of(&"agent".into(), Incarnation(incarnation));
        let acknowledgement = Acknowledgement {
            fingerprint,
            held: Sequence(1),
            age_ms: 0,
        };
        let pong = Pong {
            stamp,
            summary: Summary {
                held: Sequence(1),
                roster: Version(10),
                in_force: Sequence(0),
                caught_up: true,
                rumours: Vec::new(),
            },
            report: Some(Report {
                acknowledgement,
                lacking: 0,
                laggards: Vec::new(),
            }),
        };
        self.deliver("agent", Message::Pong(pong));
    }

    pub fn in_force(&mut self) -> u64 {
        self.wait(Duration::from_millis(100));
        self.node.in_force().0
    }
}
