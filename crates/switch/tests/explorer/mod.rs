//! A breadth-first explorer of what may happen to a group.

use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

use cactusnotch_base::clock;
use cactusnotch_switch::{coordinator, rank};

use crate::world::{Packet, Part, World};

/// How many faults of each kind a course of events may have.
#[derive(Debug, Clone, Copy, Hash)]
pub struct Faults {
    /// Packets lost.
    pub losses: u8,
    /// Packets delivered twice.
    pub duplicates: u8,
    /// Wakes before their time, such as those of a process that was paused.
    pub wakes: u8,
    /// Replacements: of rank, agent or engine, the former agent alive or not.
    pub replacements: u8,
}

/// What happened to a group, for the report of a failure.
#[derive(Debug, Clone)]
#[expect(dead_code, reason = "the fields are read by printing them")]
enum Happening {
    Start,
    Delivered(Part<Packet>),
    Lost(Part<Packet>),
    Unanswered(Part<Packet>),
    Duplicated(Part<Packet>),
    Step(usize),
    NextWoke,
    AgentWoke(usize),
    CoordinatorWoke(usize),
    Replaced { rank: usize, kind: Replacement },
}

#[derive(Debug, Clone, Copy)]
pub enum Replacement {
    RankAndAgent,
    RankAndAgentPaused,
    Agent,
    AgentPaused,
    /// The agent alone, whose lease is waited out: what it sent has arrived or
    /// is lost by then.
    AgentWaitedOut,
    Rank,
}

pub const ALL: &[Replacement] = &[
    Replacement::RankAndAgent,
    Replacement::RankAndAgentPaused,
    Replacement::Agent,
    Replacement::AgentPaused,
    Replacement::Rank,
];

/// Those in which a part loses all it knew at once.
pub const LOSING: &[Replacement] = &[Replacement::RankAndAgent, Replacement::Agent];

/// Those that are safe where engines ignore fencing numbers.
pub const WAITED_OUT: &[Replacement] = &[Replacement::RankAndAgent, Replacement::AgentWaitedOut];

/// One of each: the rank with its agent, the agent alone, the rank alone.
pub const MIXED: &[Replacement] = &[
    Replacement::RankAndAgent,
    Replacement::AgentPaused,
    Replacement::Rank,
];

/// A state, with the way that led to it.
#[derive(Clone)]
struct Node {
    world: World,
    faults: Faults,
    kinds: &'static [Replacement],
    way: Rc<Way>,
}

struct Way {
    before: Option<Rc<Way>>,
    last: Happening,
}

impl Node {
    fn hash(&self) -> u128 {
        let Faults {
            losses,
            duplicates,
            wakes,
            replacements,
        } = self.faults;
        let faults = u128::from(u32::from_be_bytes([
            losses,
            duplicates,
            wakes,
            replacements,
        ]));
        self.world.hash() ^ faults.wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_0C5D_2A61_5F4B)
    }

    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        self.deliveries(&mut next);
        self.steps(&mut next);
        self.wakes(&mut next);
        self.replacements(&mut next);
        next
    }

    fn with(&self, next: &mut Vec<Self>, last: Happening, change: impl FnOnce(&mut Self)) {
        let mut node = self.clone();
        change(&mut node);
        let before = Some(self.way.clone());
        node.way = Rc::new(Way { before, last });
        next.push(node);
    }

    fn deliveries(&self, next: &mut Vec<Self>) {
        for (at, packet) in self.world.net.iter().enumerate() {
            let deliver = |node: &mut Self| node.world.deliver(packet.get().clone());
            self.with(next, Happening::Delivered(packet.clone()), |node| {
                node.world.net.remove(at);
                deliver(node);
            });
            if self.faults.losses > 0 {
                self.with(next, Happening::Lost(packet.clone()), |node| {
                    node.faults.losses -= 1;
                    node.world.net.remove(at);
                });
                if matches!(packet.get(), Packet::Order(..)) {
                    self.with(next, Happening::Unanswered(packet.clone()), |node| {
                        node.faults.losses -= 1;
                        node.world.net.remove(at);
                        node.world.deliver_unanswered(packet.get().clone());
                    });
                }
            }
            if self.faults.duplicates > 0 {
                self.with(next, Happening::Duplicated(packet.clone()), |node| {
                    node.faults.duplicates -= 1;
                    deliver(node);
                });
            }
        }
    }

    fn steps(&self, next: &mut Vec<Self>) {
        for rank in 0..self.world.engines.len() {
            if self.world.can_start(rank) {
                self.with(next, Happening::Step(rank), |node| {
                    node.world.start_step(rank);
                });
            }
        }
    }

    /// Timers fire in turn when nothing else can happen, or early as a fault.
    fn wakes(&self, next: &mut Vec<Self>) {
        if self.world.is_quiet() && !self.world.is_past_cap() {
            self.with(next, Happening::NextWoke, |node| {
                node.world.wake_next();
            });
        }
        if self.faults.wakes == 0 {
            return;
        }
        for (index, agent) in self.world.agents.iter().enumerate() {
            if agent.alive && !agent.member.get().is_idle() {
                self.with(next, Happening::AgentWoke(index), |node| {
                    node.faults.wakes -= 1;
                    node.world.agent(index, rank::Event::Wake);
                });
            }
        }
        for (index, part) in self.world.coordinators.iter().enumerate() {
            if !part.get().is_idle() {
                self.with(next, Happening::CoordinatorWoke(index), |node| {
                    node.faults.wakes -= 1;
                    node.world.coordinator(index, coordinator::Event::Wake);
                });
            }
        }
    }

    fn replacements(&self, next: &mut Vec<Self>) {
        if self.faults.replacements == 0 {
            return;
        }
        for rank in 0..self.world.engines.len() {
            for kind in self.kinds {
                let kind = *kind;
                self.with(next, Happening::Replaced { rank, kind }, |node| {
                    node.faults.replacements -= 1;
                    node.replace(rank, kind);
                });
            }
        }
    }

    fn replace(&mut self, rank: usize, kind: Replacement) {
        use Replacement::{
            Agent, AgentPaused, AgentWaitedOut, Rank, RankAndAgent, RankAndAgentPaused,
        };
        if matches!(kind, RankAndAgent | RankAndAgentPaused | Rank) {
            self.world.replace_engine(rank);
        }
        if matches!(kind, AgentWaitedOut) {
            self.world.drop_orders(rank);
        }
        match kind {
            RankAndAgent | Agent | AgentWaitedOut => self.world.replace_agent(rank, false),
            RankAndAgentPaused | AgentPaused => self.world.replace_agent(rank, true),
            Rank => {}
        }
    }

    /// Fails with the way that led here.
    fn fail(&self, why: &str) -> ! {
        let mut ways = vec![&self.way];
        while let Some(before) = ways.last().and_then(|way| way.before.as_ref()) {
            ways.push(before);
        }
        for way in ways.iter().rev() {
            println!("{:?}", way.last);
        }
        panic!("{why}: {:?}", self.world);
    }
}

/// The largest number of rounds that a group without faults may need.
const ROUNDS: usize = 60;
/// How many steps further a group without faults has to come.
const FURTHER: u64 = 3;

/// Checks that the group comes further once faults have stopped. `good` holds
/// the states from which it does.
fn goes_on(world: &World, good: &mut HashSet<u128>) -> Result<(), String> {
    let mut world = world.clone();
    let goal = world.cap + FURTHER;
    world.cap = goal;
    let mut path = Vec::new();
    for _ in 0..ROUNDS {
        let hash = world.hash();
        path.push(hash);
        if good.contains(&hash) {
            good.extend(path);
            return Ok(());
        }
        world.settle();
        if let Some(violation) = world.violation {
            return Err(violation);
        }
        let steps = world.engines.iter().map(|engine| engine.get().state.next.0);
        if steps.min() > Some(goal) && world.is_settled() {
            good.extend(path);
            return Ok(());
        }
        world.wake_all();
    }
    Err("the group does not go on".into())
}

/// Visits every state, and checks of one in `every` that the group goes on
/// from it. Returns how many states there are.
pub fn explore(
    name: &str,
    world: World,
    faults: Faults,
    kinds: &'static [Replacement],
    every: usize,
) {
    let began = clock::now();
    let way = Rc::new(Way {
        before: None,
        last: Happening::Start,
    });
    let start = Node {
        world,
        faults,
        kinds,
        way,
    };
    let mut seen = HashSet::from([start.hash()]);
    let mut good = HashSet::new();
    let mut queue = VecDeque::from([start]);
    let mut checked = 0_usize;
    let mut visited = 0_usize;
    while let Some(node) = queue.pop_front() {
        if let Some(violation) = &node.world.violation {
            node.fail(violation);
        }
        if visited.is_multiple_of(every) {
            checked += 1;
            if let Err(why) = goes_on(&node.world, &mut good) {
                node.fail(&why);
            }
        }
        visited += 1;
        let next = node.successors().into_iter();
        queue.extend(next.filter(|next| seen.insert(next.hash())));
    }
    let states = seen.len();
    let spent = began.elapsed();
    println!("{name}: {states} states visited, {checked} checked for progress, {spent:.1?}");
}
