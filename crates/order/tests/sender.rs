//! The sender of orders against engines that check fencing numbers or not.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::number::{Fence, Incarnation};
use cactusnotch_order::{
    Command, Event, Fencing, Options, Order, Progress, Reply, Sender, Settlement, Wanted,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A wish about one of two parts of an engine, or a count that must not run
/// twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wish {
    Set(bool, u8),
    Count,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct State {
    set: [u8; 2],
    count: u32,
}

impl Wanted for Wish {
    type State = State;

    fn supersedes(&self, other: &Self) -> bool {
        matches!((self, other), (Self::Set(one, _), Self::Set(old, _)) if one == old)
    }

    fn progress(&self, state: &State) -> Progress {
        let done = match self {
            Self::Set(part, value) => state.set[usize::from(*part)] == *value,
            Self::Count => state.count > 0,
        };
        if done {
            Progress::Done
        } else {
            Progress::Absent
        }
    }

    fn is_idempotent(&self) -> bool {
        matches!(self, Self::Set(..))
    }
}

struct Engine {
    checks: bool,
    fence: Fence,
    state: State,
}

impl Engine {
    fn new(checks: bool) -> Self {
        Self {
            checks,
            fence: Fence(0),
            state: State::default(),
        }
    }

    fn take(&mut self, order: &Order<Wish>) -> Reply {
        if self.checks && order.fence < self.fence {
            return Reply::Fenced;
        }
        self.fence = self.fence.max(order.fence);
        match order.wanted {
            Wish::Set(part, value) => self.state.set[usize::from(part)] = value,
            Wish::Count => self.state.count += 1,
        }
        Reply::Taken
    }
}

/// What is on its way between a sender and its engine.
#[derive(Debug, Clone)]
enum Packet {
    Order(Order<Wish>),
    Read(Fence),
    Answer(Fence, Reply, State),
}

struct Line {
    sender: Sender<Wish>,
    engine: Engine,
    net: Vec<Packet>,
    settled: Vec<(Wish, Settlement)>,
    now: Instant,
}

impl Line {
    fn new(fencing: Fencing) -> Self {
        let options = Options {
            fencing,
            ..Options::default()
        };
        let now = clock::now();
        Self {
            sender: Sender::new(options, Incarnation(1), false, now),
            engine: Engine::new(fencing == Fencing::Checked),
            net: Vec::new(),
            settled: Vec::new(),
            now,
        }
    }

    fn step(&mut self, event: Event<Wish>, state: Option<&State>) {
        for command in self.sender.step(event, state, self.now) {
            match command {
                Command::Send(order) => self.net.push(Packet::Order(order)),
                Command::Read(fence) => self.net.push(Packet::Read(fence)),
                Command::Settled(wish, how) => self.settled.push((wish, how)),
                Command::Wake(_) => {}
            }
        }
    }

    fn deliver(&mut self, packet: Packet) {
        match packet {
            Packet::Order(order) => {
                let reply = self.engine.take(&order);
                let state = self.engine.state.clone();
                self.net.push(Packet::Answer(order.fence, reply, state));
            }
            Packet::Read(fence) => {
                let state = self.engine.state.clone();
                self.net.push(Packet::Answer(fence, Reply::Taken, state));
            }
            Packet::Answer(fence, reply, state) => {
                self.step(Event::Answer { fence, reply }, Some(&state));
            }
        }
    }

    fn run(&mut self) {
        for _ in 0..20 {
            while !self.net.is_empty() {
                let packet = self.net.remove(0);
                self.deliver(packet);
            }
            if self.sender.is_idle() {
                return;
            }
            self.step(Event::Wake, None);
        }
        panic!("the sender does not come to an end");
    }
}

#[test]
fn a_lost_reply_is_settled_by_reading_and_not_by_sending_again() {
    let mut line = Line::new(Fencing::Ignored);
    line.step(Event::Want(Wish::Count), None);
    while !matches!(line.net[..], [Packet::Order(_)]) {
        let packet = line.net.remove(0);
        line.deliver(packet);
    }
    let packet = line.net.remove(0);
    line.deliver(packet);
    line.net.clear();
    line.step(Event::Wake, None);
    line.run();
    assert_eq!(line.engine.state.count, 1, "the order ran once");
    assert_eq!(line.settled, [(Wish::Count, Settlement::Done)]);
}

#[test]
fn a_lost_order_that_must_not_run_twice_is_reported_as_unknown() {
    let mut line = Line::new(Fencing::Checked);
    line.step(Event::Want(Wish::Count), None);
    line.net.clear();
    line.step(Event::Wake, None);
    line.run();
    assert_eq!(line.engine.state.count, 0, "the order was not sent again");
    assert_eq!(line.settled, [(Wish::Count, Settlement::Unknown)]);
}

#[test]
fn the_former_holder_is_waited_out_only_where_fencing_is_ignored() {
    let options = Options {
        fencing: Fencing::Ignored,
        lease: Duration::from_secs(10),
        ..Options::default()
    };
    let now = clock::now();
    let mut sender = Sender::new(options, Incarnation(2), true, now);
    let first = sender.step(Event::Want(Wish::Set(false, 1)), None, now);
    assert_eq!(first, [Command::Wake(options.lease)]);
    let later = sender.step(Event::Wake, None, now + options.lease);
    assert!(matches!(later[0], Command::Read(_)), "it reads first");
    let options = Options {
        fencing: Fencing::Checked,
        ..options
    };
    let mut sender = Sender::new(options, Incarnation(2), true, now);
    let first = sender.step(Event::Want(Wish::Set(false, 1)), None, now);
    assert!(matches!(first[0], Command::Send(_)), "it sends at once");
}

#[test]
fn a_superseded_sender_stops() {
    let mut line = Line::new(Fencing::Checked);
    line.engine.fence = Fence(u64::MAX);
    line.step(Event::Want(Wish::Set(true, 1)), None);
    line.run();
    assert_eq!(line.settled, [(Wish::Set(true, 1), Settlement::Superseded)]);
    line.step(Event::Want(Wish::Set(true, 2)), None);
    assert!(line.net.is_empty(), "it sends nothing any more");
}

#[derive(Debug, Clone)]
enum Happening {
    Want(bool, u8),
    Deliver(usize),
    Lose(usize),
    Repeat(usize),
    Wake,
}

fn happenings() -> impl Strategy<Value = Vec<Happening>> {
    let one = prop_oneof![
        3 => (any::<bool>(), 0_u8..4).prop_map(|(part, value)| Happening::Want(part, value)),
        8 => (0_usize..8).prop_map(Happening::Deliver),
        1 => (0_usize..8).prop_map(Happening::Lose),
        1 => (0_usize..8).prop_map(Happening::Repeat),
        2 => Just(Happening::Wake),
    ];
    prop::collection::vec(one, 0..60)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever is lost, late or repeated, an engine that checks fencing
    /// numbers ends in the state that was wanted last.
    #[test]
    fn the_last_wish_holds_in_the_end(happenings in happenings()) {
        let mut line = Line::new(Fencing::Checked);
        let mut wanted = [0, 0];
        for happening in happenings {
            match happening {
                Happening::Want(part, value) => {
                    wanted[usize::from(part)] = value;
                    line.step(Event::Want(Wish::Set(part, value)), None);
                }
                Happening::Deliver(at) if at < line.net.len() => {
                    let packet = line.net.remove(at);
                    line.deliver(packet);
                }
                Happening::Lose(at) if at < line.net.len() => {
                    line.net.remove(at);
                }
                Happening::Repeat(at) if at < line.net.len() => {
                    let packet = line.net[at].clone();
                    line.deliver(packet);
                }
                Happening::Wake => line.step(Event::Wake, None),
                _ => {}
            }
        }
        line.run();
        while !line.net.is_empty() {
            let packet = line.net.remove(0);
            line.deliver(packet);
        }
        prop_assert_eq!(line.engine.state.set, wanted);
    }
}
