//! The sender of orders against engines that check fencing numbers or ignore
//! them.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::number::{Fence, Incarnation};
use cactusnotch_order::{
    Command, Event, Fencing, Options, Order, Progress, Reply, Sender, Settlement, Wanted,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A setting of one of two parts of an engine, or a count that must not run
/// twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Setting {
    Set(bool, u8),
    Count,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct State {
    set: [u8; 2],
    count: u32,
}

impl Wanted for Setting {
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

    fn apply(&mut self, order: &Order<Setting>) -> Reply {
        if self.checks && order.fence < self.fence {
            return Reply::Fenced;
        }
        self.fence = self.fence.max(order.fence);
        match order.wanted {
            Setting::Set(part, value) => self.state.set[usize::from(part)] = value,
            Setting::Count => self.state.count += 1,
        }
        Reply::Taken
    }
}

/// A packet in flight between a sender and its engine.
#[derive(Debug, Clone)]
enum Packet {
    Order(Order<Setting>),
    Read(Fence),
    Answer(Fence, Reply, State),
}

struct Link {
    sender: Sender<Setting>,
    engine: Engine,
    in_flight: Vec<Packet>,
    settled: Vec<(Setting, Settlement)>,
    now: Instant,
}

impl Link {
    fn new(fencing: Fencing) -> Self {
        let options = Options {
            fencing,
            ..Options::default()
        };
        let now = clock::now();
        Self {
            sender: Sender::new(options, Incarnation(1), false, now),
            engine: Engine::new(fencing == Fencing::Checked),
            in_flight: Vec::new(),
            settled: Vec::new(),
            now,
        }
    }

    fn step(&mut self, event: Event<Setting>, state: Option<&State>) {
        for command in self.sender.step(event, state, self.now) {
            match command {
                Command::Send(order) => self.in_flight.push(Packet::Order(order)),
                Command::Read(fence) => self.in_flight.push(Packet::Read(fence)),
                Command::Settled(setting, settlement) => self.settled.push((setting, settlement)),
                Command::Wake(_) => {}
            }
        }
    }

    fn deliver(&mut self, packet: Packet) {
        match packet {
            Packet::Order(order) => {
                let reply = self.engine.apply(&order);
                let state = self.engine.state.clone();
                self.in_flight
                    .push(Packet::Answer(order.fence, reply, state));
            }
            Packet::Read(fence) => {
                let state = self.engine.state.clone();
                self.in_flight
                    .push(Packet::Answer(fence, Reply::Taken, state));
            }
            Packet::Answer(fence, reply, state) => {
                self.step(Event::Answer { fence, reply }, Some(&state));
            }
        }
    }

    fn run(&mut self) {
        for _ in 0..20 {
            while !self.in_flight.is_empty() {
                let packet = self.in_flight.remove(0);
                self.deliver(packet);
            }
            if self.sender.is_idle() {
                return;
            }
            self.step(Event::Wake, None);
        }
        panic!("the sender does not become idle");
    }
}

#[test]
fn a_lost_reply_is_settled_by_reading_and_not_by_sending_again() {
    let mut link = Link::new(Fencing::Ignored);
    link.step(Event::Want(Setting::Count), None);
    while !matches!(link.in_flight[..], [Packet::Order(_)]) {
        let packet = link.in_flight.remove(0);
        link.deliver(packet);
    }
    let packet = link.in_flight.remove(0);
    link.deliver(packet);
    link.in_flight.clear();
    link.step(Event::Wake, None);
    link.run();
    assert_eq!(link.engine.state.count, 1, "the order ran once");
    assert_eq!(link.settled, [(Setting::Count, Settlement::Done)]);
}

#[test]
fn a_lost_order_that_must_not_run_twice_is_reported_as_unknown() {
    let mut link = Link::new(Fencing::Checked);
    link.step(Event::Want(Setting::Count), None);
    link.in_flight.clear();
    link.step(Event::Wake, None);
    link.run();
    assert_eq!(link.engine.state.count, 0, "the order was not sent again");
    assert_eq!(link.settled, [(Setting::Count, Settlement::Unknown)]);
}

#[test]
fn takeover_waits_for_the_former_lease_only_without_fencing() {
    let options = Options {
        fencing: Fencing::Ignored,
        lease: Duration::from_secs(10),
        ..Options::default()
    };
    let now = clock::now();
    let mut sender = Sender::new(options, Incarnation(2), true, now);
    let first = sender.step(Event::Want(Setting::Set(false, 1)), None, now);
    assert_eq!(first, [Command::Wake(options.lease)]);
    let later = sender.step(Event::Wake, None, now + options.lease);
    assert!(matches!(later[0], Command::Read(_)), "it reads first");
    let options = Options {
        fencing: Fencing::Checked,
        ..options
    };
    let mut sender = Sender::new(options, Incarnation(2), true, now);
    let first = sender.step(Event::Want(Setting::Set(false, 1)), None, now);
    assert!(matches!(first[0], Command::Send(_)), "it sends at once");
}

#[test]
fn a_superseded_sender_stops() {
    let mut link = Link::new(Fencing::Checked);
    link.engine.fence = Fence(u64::MAX);
    link.step(Event::Want(Setting::Set(true, 1)), None);
    link.run();
    assert_eq!(
        link.settled,
        [(Setting::Set(true, 1), Settlement::Superseded)]
    );
    link.step(Event::Want(Setting::Set(true, 2)), None);
    assert!(link.in_flight.is_empty(), "it sends nothing any more");
}

#[derive(Debug, Clone)]
enum Step {
    Want(bool, u8),
    Deliver(usize),
    Lose(usize),
    Repeat(usize),
    Wake,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let one = prop_oneof![
        3 => (any::<bool>(), 0_u8..4).prop_map(|(part, value)| Step::Want(part, value)),
        8 => (0_usize..8).prop_map(Step::Deliver),
        1 => (0_usize..8).prop_map(Step::Lose),
        1 => (0_usize..8).prop_map(Step::Repeat),
        2 => Just(Step::Wake),
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

    /// Whatever packets are lost, late or repeated, an engine that checks
    /// fencing numbers ends in the state that was wanted last.
    #[test]
    fn the_last_wanted_state_prevails(steps in steps()) {
        let mut link = Link::new(Fencing::Checked);
        let mut wanted = [0, 0];
        for step in steps {
            match step {
                Step::Want(part, value) => {
                    wanted[usize::from(part)] = value;
                    link.step(Event::Want(Setting::Set(part, value)), None);
                }
                Step::Deliver(at) if at < link.in_flight.len() => {
                    let packet = link.in_flight.remove(at);
                    link.deliver(packet);
                }
                Step::Lose(at) if at < link.in_flight.len() => {
                    link.in_flight.remove(at);
                }
                Step::Repeat(at) if at < link.in_flight.len() => {
                    let packet = link.in_flight[at].clone();
                    link.deliver(packet);
                }
                Step::Wake => link.step(Event::Wake, None),
                _ => {}
            }
        }
        link.run();
        while !link.in_flight.is_empty() {
            let packet = link.in_flight.remove(0);
            link.deliver(packet);
        }
        prop_assert_eq!(link.engine.state.set, wanted);
    }
}
