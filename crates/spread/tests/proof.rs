//! What proves to a head that a revision is in force.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusnotch_base::Table;
use cactusnotch_base::number::{Incarnation, Sequence};
use cactusnotch_member::registration::{Answer as Own, Call as OwnCall};
use cactusnotch_member::{Delta, Fingerprint, Record, Role, Row, State};
use cactusnotch_platform::object::Version;
use cactusnotch_spread::{
    Answer, Call, Command, Evidence, Message, Node, Options, Pong, Report, Span, Standing, Summary,
    Ticket,
};

fn record(name: &str, role: Role, incarnation: u64) -> Record {
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

fn row(name: &str, role: Role, incarnation: u64, version: u64) -> Row {
    Row {
        record: Arc::new(record(name, role, incarnation)),
        version: Version(version),
    }
}

/// The head of a data centre with one other process, an agent.
struct Bench {
    node: Node,
    now: Instant,
    /// The stamp of the last ping to the agent.
    stamp: u64,
    /// An open read of the roster.
    read: Option<Ticket>,
}

impl Bench {
    fn new() -> Self {
        let now = Instant::now();
        let head = record("head", Role::Entry, 1);
        let mut bench = Self {
            node: Node::new(Options::default(), head, Table::new(), 3, now),
            now,
            stamp: 0,
            read: None,
        };
        bench.wait(Duration::from_secs(5));
        let delta = Delta {
            after: Version(0),
            through: Version(10),
            rows: vec![
                row("head", Role::Entry, 1, 9),
                row("agent", Role::Agent, 2, 10),
            ],
            removed: Vec::new(),
        };
        bench.members(delta);
        assert_eq!(bench.node.standing(bench.now), Standing::Serving);
        bench
    }

    /// Lets time pass, answers for the own record and settings, and keeps a
    /// read of the roster open.
    fn wait(&mut self, time: Duration) {
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
                Command::Call { ticket, call } => self.called(ticket, &call),
                _ => {}
            }
        }
    }

    fn called(&mut self, ticket: Ticket, call: &Call) {
        let answer = match call {
            Call::Own(OwnCall::Find) => Answer::Own(Own::Found(None)),
            Call::Own(_) => Answer::Own(Own::Written(Version(9))),
            Call::Settings { wait, .. } if wait.is_zero() => Answer::Settings(Vec::new()),
            Call::Members { wait, .. } if wait.is_zero() => {
                self.read = Some(ticket);
                return;
            }
            _ => return,
        };
        let commands = self.node.on_answer(ticket, answer, self.now);
        self.carry_out(commands);
    }

    fn members(&mut self, delta: Delta) {
        let ticket = self.read.take().expect("the roster is being read");
        let answer = Answer::Members(delta);
        let commands = self.node.on_answer(ticket, answer, self.now);
        self.carry_out(commands);
    }

    fn accept(&mut self, version: u64) {
        let span = Span {
            after: Sequence(0),
            through: Sequence(1),
            version: Version(version),
            payload: vec![1].into(),
        };
        let commands = self.node.on_accepted(span, self.now);
        self.carry_out(commands);
    }

    /// The agent acknowledges revision one, as asked by `stamp`.
    fn acknowledge(&mut self, stamp: u64, incarnation: u64) {
        let lives = Fingerprint::of(&"agent".into(), Incarnation(incarnation));
        let evidence = Evidence {
            lives,
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
                evidence,
                lacking: 0,
                laggards: Vec::new(),
            }),
        };
        let message = Message::Pong(pong);
        let commands = self.node.on_message(&"agent".into(), message, self.now);
        self.carry_out(commands);
    }

    fn in_force(&mut self) -> u64 {
        self.wait(Duration::from_millis(100));
        self.node.in_force().0
    }
}

const OLD: Duration = Duration::from_secs(16);
const MOMENT: Duration = Duration::from_millis(1_500);

#[test]
fn an_acknowledgement_proves_for_a_while_only() {
    let mut bench = Bench::new();
    bench.wait(MOMENT);
    bench.acknowledge(bench.stamp, 2);
    bench.wait(OLD);
    bench.accept(5);
    assert_eq!(bench.in_force(), 0);
    bench.acknowledge(bench.stamp, 2);
    assert_eq!(bench.in_force(), 1);
}

#[test]
fn a_late_acknowledgement_counts_from_when_it_was_asked_for() {
    let mut bench = Bench::new();
    bench.wait(MOMENT);
    let stamp = bench.stamp;
    bench.wait(OLD);
    bench.accept(5);
    bench.acknowledge(stamp, 2);
    assert_eq!(bench.in_force(), 0);
}

#[test]
fn an_acknowledgement_of_an_earlier_life_proves_nothing() {
    let mut bench = Bench::new();
    bench.wait(MOMENT);
    bench.accept(5);
    bench.acknowledge(bench.stamp, 1);
    assert_eq!(bench.in_force(), 0);
}

#[test]
fn a_revision_written_after_the_roster_was_read_waits_until_it_is_read_again() {
    let mut bench = Bench::new();
    bench.accept(20);
    bench.wait(MOMENT);
    bench.acknowledge(bench.stamp, 2);
    assert_eq!(bench.in_force(), 0);
    // Somebody joined before the revision was written.
    bench.members(Delta {
        after: Version(10),
        through: Version(20),
        rows: vec![row("late", Role::Agent, 1, 15)],
        removed: Vec::new(),
    });
    bench.acknowledge(bench.stamp, 2);
    assert_eq!(bench.in_force(), 0);
}

#[test]
fn a_revision_is_in_force_once_the_roster_is_confirmed() {
    let mut bench = Bench::new();
    bench.accept(20);
    bench.wait(MOMENT);
    bench.acknowledge(bench.stamp, 2);
    bench.members(Delta {
        after: Version(10),
        through: Version(20),
        ..Delta::default()
    });
    assert_eq!(bench.in_force(), 1);
}
