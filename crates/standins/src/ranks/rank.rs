//! One rank: what it holds and how orders change it.

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::number::{Fence, Step};
use cactusnotch_derive::message;
use cactusnotch_order::{Answer, Reply};
use cactusnotch_placement::{Cell, Map, Rank};
use cactusnotch_switch::engine::{Action, Expert, State};
use cactusnotch_switch::map::{Map as Name, Switch};

use crate::engine::Fencing;

/// An order to a rank, as it is sent.
#[message]
pub struct Command {
    /// The fencing number of the sender.
    pub fence: Fence,
    /// What the rank is to do.
    #[serde(alias = "wanted")]
    pub order: Action,
    /// The content of the map that a use names, unless the rank has it.
    #[serde(default)]
    pub content: Option<Map>,
    /// A step to release as soon as the order is taken.
    #[serde(default)]
    pub release: Option<Step>,
}

/// The memory of a rank, which is empty after a replacement.
#[derive(Debug)]
pub(crate) struct Memory {
    pub(crate) rank: Rank,
    pub(crate) state: State,
    pub(crate) fence: Fence,
    pub(crate) maps: Table<Name, Map>,
    capacity: usize,
    fencing: Fencing,
}

impl Memory {
    /// Creates an empty memory that holds step `next`.
    pub(crate) const fn new(rank: Rank, capacity: usize, fencing: Fencing) -> Self {
        Self {
            rank,
            state: State {
                life: 1,
                next: Step(0),
                started: false,
                holds: Vec::new(),
                plan: Vec::new(),
                experts: Vec::new(),
                loading: Vec::new(),
            },
            fence: Fence(0),
            maps: Table::new(),
            capacity,
            fencing,
        }
    }

    /// Returns the memory of the process that takes this one's place.
    pub(crate) fn replacement(&self, next: Step) -> Self {
        let mut memory = Self::new(self.rank, self.capacity, self.fencing);
        memory.state.life = self.state.life + 1;
        memory.state.next = next;
        memory.state.holds.push(next);
        memory
    }

    /// Gives the memory a map and all its weights, as at the start of a group.
    pub(crate) fn install(&mut self, switch: Switch, map: &Map) {
        self.maps.insert(switch.map, map.clone());
        self.state.plan.push(switch);
        self.state.experts = map.experts_on(self.rank).map(expert).collect();
    }

    /// Returns the answer to a read.
    pub(crate) fn read(&self) -> Answer<State> {
        self.answer(self.fence, Reply::Taken)
    }

    fn answer(&self, fence: Fence, reply: Reply) -> Answer<State> {
        Answer {
            fence,
            reply,
            state: self.state.clone(),
        }
    }

    /// Carries out an order, which changes nothing if it is repeated.
    pub(crate) fn apply(&mut self, command: Command) -> Answer<State> {
        if self.fencing == Fencing::Checked && command.fence < self.fence {
            return self.answer(command.fence, Reply::Fenced);
        }
        self.fence = command.fence;
        let taken = match command.order {
            Action::Hold(step) => self.hold(step),
            Action::Release(step) => self.release(step),
            Action::Use(switch) => self.use_map(switch, command.content),
            Action::Load(expert) => self.load(expert),
            Action::Unload(expert) => self.unload(expert),
        };
        if let Some(step) = command.release.filter(|_| taken) {
            self.release(step);
        }
        let reply = if taken { Reply::Taken } else { Reply::Refused };
        self.answer(command.fence, reply)
    }

    fn hold(&mut self, step: Step) -> bool {
        if step < self.state.next {
            return false;
        }
        if let Err(at) = self.state.holds.binary_search(&step) {
            self.state.holds.insert(at, step);
        }
        true
    }

    fn release(&mut self, step: Step) -> bool {
        self.state.holds.retain(|held| *held != step);
        true
    }

    fn use_map(&mut self, switch: Switch, content: Option<Map>) -> bool {
        if self.state.plan.contains(&switch) {
            return true;
        }
        if self.state.started && switch.from < self.state.next {
            return false;
        }
        match content {
            Some(map) if map.digest() == switch.map.digest => {
                self.maps.insert(switch.map, map);
            }
            None if self.maps.contains(&switch.map) => {}
            _ => return false,
        }
        self.state.plan.retain(|set| set.from < switch.from);
        self.state.plan.push(switch);
        true
    }

    fn load(&mut self, wanted: Expert) -> bool {
        if self.state.experts.contains(&wanted) || self.state.loading.contains(&wanted) {
            return true;
        }
        let room = self.state.experts.len() + self.state.loading.len() < self.capacity;
        if room {
            self.state.loading.push(wanted);
        }
        room
    }

    /// Drops weights, unless a map of the plan needs them.
    fn unload(&mut self, wanted: Expert) -> bool {
        let cell = Cell {
            layer: wanted.layer,
            expert: wanted.expert,
        };
        let mut needed = self
            .state
            .plan
            .iter()
            .filter_map(|set| self.maps.get(&set.map));
        if needed.any(|map| map.holds(self.rank, cell)) {
            return false;
        }
        self.state.experts.retain(|loaded| *loaded != wanted);
        self.state.loading.retain(|loading| *loading != wanted);
        true
    }

    /// Notes that weights have arrived, if they are still wanted.
    pub(crate) fn loaded(&mut self, arrived: Expert) {
        let before = self.state.loading.len();
        self.state.loading.retain(|loading| *loading != arrived);
        if self.state.loading.len() < before
            && let Err(at) = self.state.experts.binary_search(&arrived)
        {
            self.state.experts.insert(at, arrived);
        }
    }

    /// Returns the map of the next step, if the rank can start it.
    pub(crate) fn ready(&self) -> Option<Name> {
        let next = self.state.next;
        if self.state.holds.contains(&next) {
            return None;
        }
        let set = self.state.plan.iter().rev().find(|set| set.from <= next)?;
        let map = self.maps.get(&set.map)?;
        let mut needed = map.experts_on(self.rank).map(expert);
        needed
            .all(|expert| self.state.experts.binary_search(&expert).is_ok())
            .then_some(set.map)
    }

    /// Starts the next step and forgets the maps that are past.
    pub(crate) fn start(&mut self) {
        let step = self.state.next;
        self.state.started = true;
        self.state.next = step.next();
        self.state.holds.retain(|held| *held > step);
        let past = self
            .state
            .plan
            .iter()
            .filter(|set| set.from <= step)
            .count();
        self.state.plan.drain(..past.saturating_sub(1));
        let plan = &self.state.plan;
        self.maps
            .retain(|name, _| plan.iter().any(|set| set.map == *name));
    }
}

/// How a rank fares, beside what orders can change.
#[derive(Debug)]
pub(crate) struct Fate {
    pub(crate) alive: bool,
    pub(crate) stalled: Option<Instant>,
    pub(crate) slowness: f64,
}

fn expert(cell: Cell) -> Expert {
    Expert {
        layer: cell.layer,
        expert: cell.expert,
    }
}
