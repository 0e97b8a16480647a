//! A breadth-first explorer of the reachable states of a group.

use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

use cactusnotch_base::clock;
use cactusnotch_switch::{coordinator, rank};

use crate::world::{Hashed, Packet, World};

/// The number of faults of each kind in one event order.
#[derive(Debug, Clone, Copy, Hash)]
pub struct Faults {
    /// Lost packets.
    pub losses: u8,
    /// Duplicate deliveries.
    pub duplicates: u8,
    /// Timers that fire early, such as those of a process that was paused.
    pub wakes: u8,
    /// Replacements of a rank, agent or engine, with the former agent alive or
    /// not.
    pub replacements: u8,
}

/// A transition of the group, printed when a check fails.
#[derive(Debug, Clone)]
#[expect(dead_code, reason = "the fields are read by printing them")]
enum Transition {
    Start,
    Delivered(Hashed<Packet>),
    Lost(Hashed<Packet>),
    AnswerLost(Hashed<Packet>),
    Duplicated(Hashed<Packet>),
    Step(usize),
    NextWake,
    AgentWake(usize),
    CoordinatorWake(usize),
    Replaced { rank: usize, kind: Replacement },
}

#[derive(Debug, Clone, Copy)]
pub enum Replacement {
    RankAndAgent,
    RankAndAgentPaused,
    Agent,
    AgentPaused,
    /// The agent alone, after its lease has expired: its orders have arrived or
    /// are lost by then.
    AgentAfterLease,
    Rank,
}

pub const ALL: &[Replacement] = &[
    Replacement::RankAndAgent,
    Replacement::RankAndAgentPaused,
    Replacement::Agent,
    Replacement::AgentPaused,
    Replacement::Rank,
];

/// The replacements in which a process loses its state at once.
pub const STATE_LOSS: &[Replacement] = &[Replacement::RankAndAgent, Replacement::Agent];

/// The replacements that are safe if engines ignore fencing numbers.
pub const AFTER_LEASE: &[Replacement] = &[Replacement::RankAndAgent, Replacement::AgentAfterLease];

/// One replacement of each kind: the rank with its agent, the agent alone, the
/// rank alone.
pub const MIXED: &[Replacement] = &[
    Replacement::RankAndAgent,
    Replacement::AgentPaused,
    Replacement::Rank,
];

/// A state, with the path that led to it.
#[derive(Clone)]
struct Node {
    world: World,
    faults: Faults,
    kinds: &'static [Replacement],
    path: Rc<Path>,
}

struct Path {
    before: Option<Rc<Path>>,
    last: Transition,
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

    fn with(&self, next: &mut Vec<Self>, last: Transition, change: impl FnOnce(&mut Self)) {
        let mut node = self.clone();
        change(&mut node);
        let before = Some(self.path.clone());
        node.path = Rc::new(Path { before, last });
        next.push(node);
    }

    fn deliveries(&self, next: &mut Vec<Self>) {
        for (at, packet) in self.world.net.iter().enumerate() {
            let deliver = |node: &mut Self| node.world.deliver(packet.get().clone());
            self.with(next, Transition::Delivered(packet.clone()), |node| {
                node.world.net.remove(at);
                deliver(node);
            });
            if self.faults.losses > 0 {
                self.with(next, Transition::Lost(packet.clone()), |node| {
                    node.faults.losses -= 1;
                    node.world.net.remove(at);
                });
                if matches!(packet.get(), Packet::Order(..)) {
                    self.with(next, Transition::AnswerLost(packet.clone()), |node| {
                        node.faults.losses -= 1;
                        node.world.net.remove(at);
                        node.world.deliver_without_answer(packet.get().clone());
                    });
                }
            }
            if self.faults.duplicates > 0 {
                self.with(next, Transition::Duplicated(packet.clone()), |node| {
                    node.faults.duplicates -= 1;
                    deliver(node);
                });
            }
        }
    }

    fn steps(&self, next: &mut Vec<Self>) {
        for rank in 0..self.world.engines.len() {
            if self.world.can_start(rank) {
                self.with(next, Transition::Step(rank), |node| {
                    node.world.start_step(rank);
                });
            }
        }
    }

    /// Timers fire in turn when no other transition is possible, or early as a
    /// fault.
    fn wakes(&self, next: &mut Vec<Self>) {
        if self.world.is_quiescent() && !self.world.is_past_cap() {
            self.with(next, Transition::NextWake, |node| {
                node.world.wake_next();
            });
        }
        if self.faults.wakes == 0 {
            return;
        }
        for (index, agent) in self.world.agents.iter().enumerate() {
            if agent.alive && !agent.member.get().is_idle() {
                self.with(next, Transition::AgentWake(index), |node| {
                    node.faults.wakes -= 1;
                    node.world.agent(index, rank::Event::Wake);
                });
            }
        }
        for (index, part) in self.world.coordinators.iter().enumerate() {
            if !part.get().is_idle() {
                self.with(next, Transition::CoordinatorWake(index), |node| {
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
                self.with(next, Transition::Replaced { rank, kind }, |node| {
                    node.faults.replacements -= 1;
                    node.replace(rank, kind);
                });
            }
        }
    }

    fn replace(&mut self, rank: usize, kind: Replacement) {
        use Replacement::{
            Agent, AgentAfterLease, AgentPaused, Rank, RankAndAgent, RankAndAgentPaused,
        };
        if matches!(kind, RankAndAgent | RankAndAgentPaused | Rank) {
            self.world.replace_engine(rank);
        }
        if matches!(kind, AgentAfterLease) {
            self.world.drop_orders(rank);
        }
        match kind {
            RankAndAgent | Agent | AgentAfterLease => self.world.replace_agent(rank, false),
            RankAndAgentPaused | AgentPaused => self.world.replace_agent(rank, true),
            Rank => {}
        }
    }

    /// Prints the path to this state and panics.
    fn fail(&self, reason: &str) -> ! {
        let mut paths = vec![&self.path];
        while let Some(before) = paths.last().and_then(|path| path.before.as_ref()) {
            paths.push(before);
        }
        for path in paths.iter().rev() {
            println!("{:?}", path.last);
        }
        panic!("{reason}: {:?}", self.world);
    }
}

/// The maximum number of rounds in which a group without faults must progress.
const MAX_ROUNDS: usize = 60;
/// The number of steps by which a group without faults must progress.
const PROGRESS_STEPS: u64 = 3;

/// Checks that the group makes progress once faults have stopped. `progressing`
/// caches the states from which it does.
fn makes_progress(world: &World, progressing: &mut HashSet<u128>) -> Result<(), String> {
    let mut world = world.clone();
    let goal = world.cap + PROGRESS_STEPS;
    world.cap = goal;
    let mut hashes = Vec::new();
    for _ in 0..MAX_ROUNDS {
        let hash = world.hash();
        hashes.push(hash);
        if progressing.contains(&hash) {
            progressing.extend(hashes);
            return Ok(());
        }
        world.run_until_quiescent();
        if let Some(violation) = world.violation {
            return Err(violation);
        }
        let steps = world.engines.iter().map(|engine| engine.get().state.next.0);
        if steps.min() > Some(goal) && world.is_settled() {
            progressing.extend(hashes);
            return Ok(());
        }
        world.wake_all();
    }
    Err("the group does not go on".into())
}

/// Visits every reachable state, checks one in `check_interval` of them for
/// progress, and prints the number of states.
pub fn explore(
    name: &str,
    world: World,
    faults: Faults,
    kinds: &'static [Replacement],
    check_interval: usize,
) {
    let started = clock::now();
    let path = Rc::new(Path {
        before: None,
        last: Transition::Start,
    });
    let start = Node {
        world,
        faults,
        kinds,
        path,
    };
    let mut seen = HashSet::from([start.hash()]);
    let mut progressing = HashSet::new();
    let mut queue = VecDeque::from([start]);
    let mut checked = 0_usize;
    let mut visited = 0_usize;
    while let Some(node) = queue.pop_front() {
        if let Some(violation) = &node.world.violation {
            node.fail(violation);
        }
        if visited.is_multiple_of(check_interval) {
            checked += 1;
            if let Err(reason) = makes_progress(&node.world, &mut progressing) {
                node.fail(&reason);
            }
        }
        visited += 1;
        let next = node.successors().into_iter();
        queue.extend(next.filter(|next| seen.insert(next.hash())));
    }
    let states = seen.len();
    let elapsed = started.elapsed();
    println!("{name}: {states} states visited, {checked} checked for progress, {elapsed:.1?}");
}
