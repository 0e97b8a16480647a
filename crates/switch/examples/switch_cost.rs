//! Measures the cost of a switch by the number of ranks, with and without loss:
//! messages, bytes, platform calls, the longest stall of the group and the memory
//! of a member.
//!
//! `cargo run --release -p cactusnotch-switch --example switch_cost`

#[path = "../tests/world/mod.rs"]
mod world;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::name::Process;
use cactusnotch_base::number::Incarnation;
use cactusnotch_objects::object::Version;
use cactusnotch_switch::coordinator::{self, Ending};
use cactusnotch_switch::rank::Member;
use cactusnotch_switch::view::Seat;
use cactusnotch_switch::{Message, Options, Rank, Switch, View, rank};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use world::{Hashed, Packet, Sender, World};

/// The latency of a message between hosts in different data centres.
const LINK_LATENCY: Duration = Duration::from_micros(1_500);
/// The latency of a call to the platform.
const PLATFORM_LATENCY: Duration = Duration::from_millis(3);
/// The latency of a call to the engine beside an agent.
const ENGINE_LATENCY: Duration = Duration::from_micros(200);
/// The duration of a step.
const STEP_TIME: Duration = Duration::from_micros(4_500);
/// The interval at which engines check whether they can start a step.
const TICK_INTERVAL: Duration = Duration::from_micros(100);
const SWITCHES: u64 = 20;
const SEED: u64 = 6;
const SIZES: [u16; 4] = [4, 16, 64, 256];

/// An item of the event queue, ordered by time and then by insertion.
struct Scheduled {
    at: Duration,
    order: u64,
    item: Item,
}

enum Item {
    Packet(Hashed<Packet>),
    Wake(Sender),
    Tick,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A group that runs in simulated time.
struct Run {
    world: World,
    start: Instant,
    time: Duration,
    queue: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
    wakes: Vec<(Sender, Duration)>,
    started: Vec<Duration>,
    random: StdRng,
    loss: f64,
    /// Whether the coordinator has crashed.
    coordinator_crashed: bool,
    messages: u64,
    bytes: usize,
    stall: Duration,
}

impl Run {
    fn new(size: u16, loss: f64) -> Self {
        let start = clock::now();
        let mut world = World::new(size, Options::default(), start);
        world.start_group(1);
        let coordinator = world.start_coordinator(Options::default());
        assert_eq!(coordinator, 0, "there is one coordinator");
        world.run_until_quiescent();
        world.immediate_engine = false;
        world.cap = u64::MAX;
        world.wakes = Some(Vec::new());
        let mut run = Self {
            world,
            start,
            time: Duration::ZERO,
            queue: BinaryHeap::new(),
            order: 0,
            wakes: Vec::new(),
            started: vec![Duration::ZERO; usize::from(size)],
            random: StdRng::seed_from_u64(SEED),
            loss,
            coordinator_crashed: false,
            messages: 0,
            bytes: 0,
            stall: Duration::ZERO,
        };
        run.schedule(TICK_INTERVAL, Item::Tick);
        run
    }

    fn schedule(&mut self, after: Duration, item: Item) {
        self.order += 1;
        self.queue.push(Reverse(Scheduled {
            at: self.time + after,
            order: self.order,
            item,
        }));
    }

    /// Schedules the packets and wakes that the world has produced since the last
    /// call.
    fn schedule_sent(&mut self) {
        for packet in std::mem::take(&mut self.world.net) {
            if self.coordinator_crashed && matches!(packet.get(), Packet::Coordinator(..)) {
                continue;
            }
            let after = match packet.get() {
                Packet::Message(_, _, message)
                | Packet::Coordinator(_, coordinator::Event::Message(message)) => {
                    self.count(message);
                    if self.random.random_bool(self.loss) {
                        continue;
                    }
                    LINK_LATENCY
                }
                Packet::Agent(..) | Packet::Coordinator(..) => PLATFORM_LATENCY,
                Packet::Order(..) | Packet::Read(..) | Packet::Answer(..) => ENGINE_LATENCY,
            };
            self.schedule(after, Item::Packet(packet));
        }
        let wakes = self.world.wakes.replace(Vec::new()).unwrap_or_default();
        for (who, after) in wakes {
            self.wake_after(who, after);
        }
    }

    fn count(&mut self, message: &Message) {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).expect("messages can be written");
        self.messages += 1;
        self.bytes += bytes.len();
    }

    /// Keeps only the earliest wake of each process, like the drivers.
    fn wake_after(&mut self, who: Sender, after: Duration) {
        let at = self.time + after;
        let set = self
            .wakes
            .iter()
            .any(|(other, due)| *other == who && *due <= at);
        if !set {
            self.wakes.retain(|(other, _)| *other != who);
            self.wakes.push((who, at));
            self.schedule(after, Item::Wake(who));
        }
    }

    /// Handles the next scheduled item.
    fn advance(&mut self) {
        let Reverse(due) = self.queue.pop().expect("ticks never end");
        self.time = due.at;
        self.world.now = self.start + self.time;
        match due.item {
            Item::Packet(packet) => self.world.deliver(packet.get().clone()),
            Item::Wake(who) => self.wake(who),
            Item::Tick => {
                self.tick();
                self.schedule(TICK_INTERVAL, Item::Tick);
            }
        }
        self.schedule_sent();
    }

    fn wake(&mut self, who: Sender) {
        if !self.wakes.contains(&(who, self.time)) {
            return;
        }
        self.wakes.retain(|(other, _)| *other != who);
        match who {
            Sender::Agent(agent) => self.world.agent(agent, rank::Event::Wake),
            Sender::Coordinator(part) => self.world.coordinator(part, coordinator::Event::Wake),
        }
    }

    fn tick(&mut self) {
        let all = self
            .world
            .engines
            .iter()
            .map(|engine| engine.get().before());
        let slowest = all.min().unwrap_or_default();
        for rank in 0..self.started.len() {
            let due = self.started[rank] + STEP_TIME;
            let engine = self.world.engines[rank].get();
            let in_turn = engine.before() <= slowest;
            if self.time >= due && in_turn && engine.ready().is_some() {
                self.stall = self.stall.max(self.time.saturating_sub(due));
                self.started[rank] = self.time;
                self.world.start_step(rank);
            }
        }
        assert_eq!(self.world.violation, None, "the ranks disagree");
    }

    /// Runs until a switch has ended, and for 200 ms more.
    fn switch(&mut self, digest: u64) -> Ending {
        let ended = self.world.endings.len();
        let want = coordinator::Event::SwitchTo { digest };
        self.world.coordinator(0, want);
        self.schedule_sent();
        while self.world.endings.len() == ended {
            self.advance();
        }
        let until = self.time + Duration::from_millis(200);
        while self.time < until {
            self.advance();
        }
        self.world.endings[ended]
    }
}

/// Returns the resident memory of this process in bytes.
fn resident() -> u64 {
    const PAGE: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").expect("Linux has it");
    let pages = statm
        .split_whitespace()
        .nth(1)
        .expect("it has seven fields");
    pages.parse::<u64>().expect("it is a number") * PAGE
}

/// Creates a member that holds its seat in a group of `size`.
fn seated_member(size: u16) -> Member {
    let base = Switch::default();
    let mut view = View::new(size, base);
    for (number, seat) in view.seats.iter_mut().enumerate() {
        *seat = Some(Seat {
            incarnation: Incarnation(number as u64 + 1),
            process: Process::new(format!("agent-{number}")),
        });
    }
    let mut member = Member::new(Rank(0), Process::new("agent-0"), Options::default());
    let version = Version(1);
    member.step(rank::Event::Group { version, view }, clock::now());
    member
}

/// Prints the memory of one member in bytes. Returns the copies, to keep their
/// memory from being reused by the next measurement.
fn measure_memory(size: u16) -> Vec<Member> {
    const COPIES: usize = 5_000;
    let member = seated_member(size);
    let mut copies = Vec::with_capacity(COPIES);
    let before = resident();
    copies.extend((0..COPIES).map(|_| member.clone()));
    println!("{size:>5} {:>9}", (resident() - before) / COPIES as u64);
    copies
}

/// Measures a switch whose coordinator crashes after its proposal. The ranks
/// receive the outcome from one another.
fn measure_without_coordinator(size: u16) {
    let mut run = Run::new(size, 0.0);
    run.world
        .coordinator(0, coordinator::Event::SwitchTo { digest: 1 });
    run.schedule_sent();
    while run.world.votes.is_empty() {
        run.advance();
    }
    run.coordinator_crashed = true;
    let has_applied = |run: &Run| {
        let mut engines = run.world.engines.iter().map(Hashed::get);
        engines.all(|engine| {
            engine
                .state
                .current()
                .is_some_and(|set| set.map.digest == 1)
        })
    };
    while !has_applied(&run) {
        run.advance();
    }
    println!(
        "{size:>5} {:>9} {:>10} {:>9.1}",
        run.messages,
        run.bytes,
        run.stall.as_secs_f64() * 1e3
    );
}

fn measure(size: u16, loss: f64) {
    let mut run = Run::new(size, loss);
    let calls = run.world.platform_calls;
    let applied = (1..=SWITCHES)
        .filter(|digest| matches!(run.switch(*digest), Ending::Applied(..)))
        .count();
    let count = f64::from(u32::try_from(SWITCHES).expect("it is small"));
    #[expect(clippy::cast_precision_loss, reason = "the figures are rounded")]
    let each = |sum: u64| sum as f64 / count;
    println!(
        "{size:>5} {:>5.0}% {applied:>4}/{SWITCHES} {:>9.1} {:>10.0} {:>6.1} {:>9.1}",
        loss * 100.0,
        each(run.messages),
        each(run.bytes as u64),
        each(run.world.platform_calls - calls),
        run.stall.as_secs_f64() * 1e3,
    );
}

fn main() {
    println!("ranks  member B");
    let copies = SIZES.map(measure_memory);
    drop(copies);
    println!("ranks  loss applied  messages      bytes  calls  stall ms");
    for loss in [0.0, 0.05] {
        for size in SIZES {
            measure(size, loss);
        }
    }
    println!("without its coordinator:");
    println!("ranks  messages      bytes  stall ms");
    for size in SIZES {
        measure_without_coordinator(size);
    }
}
