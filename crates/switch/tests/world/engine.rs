//! A model of a rank's engine, as observed by the agreement.

use cactusnotch_base::number::{Fence, Step};
use cactusnotch_order::{Answer, Fencing, Order, Reply};
use cactusnotch_switch::engine::{Action, State};
use cactusnotch_switch::map::Map;

#[derive(Debug, Clone, Hash)]
pub struct Engine {
    /// Whether the engine checks fencing numbers.
    checks: bool,
    pub fence: Fence,
    pub state: State,
}

impl Engine {
    /// Creates a new engine process, which will join the others at step `next`.
    pub fn new(life: u64, next: Step, fencing: Fencing) -> Self {
        Self {
            checks: fencing == Fencing::Checked,
            fence: Fence(0),
            state: State {
                life,
                next,
                started: false,
                holds: vec![next],
                plan: Vec::new(),
                experts: Vec::new(),
                loading: Vec::new(),
            },
        }
    }

    pub fn order(&mut self, order: &Order<Action>) -> Answer<State> {
        let reply = if self.checks && order.fence < self.fence {
            Reply::Fenced
        } else {
            self.fence = order.fence;
            self.apply(order.wanted)
        };
        self.answer(order.fence, reply)
    }

    pub fn answer(&self, fence: Fence, reply: Reply) -> Answer<State> {
        let state = self.state.clone();
        Answer {
            fence,
            reply,
            state,
        }
    }

    fn apply(&mut self, action: Action) -> Reply {
        let state = &mut self.state;
        match action {
            Action::Hold(step) if state.next > step => return Reply::Refused,
            Action::Hold(step) if !state.holds.contains(&step) => state.holds.push(step),
            Action::Release(step) => state.holds.retain(|held| *held != step),
            Action::Use(set) => {
                state.plan.retain(|other| other.from < set.from);
                state.plan.push(set);
            }
            Action::Load(expert) => state.experts.push(expert),
            Action::Unload(expert) => state.experts.retain(|other| *other != expert),
            Action::Hold(_) => {}
        }
        Reply::Taken
    }

    /// Returns the step before the next one. All ranks must have started it
    /// before the next one can start.
    pub fn before(&self) -> u64 {
        self.state.next.0 - 1
    }

    /// Returns the map of the next step, if the engine may start it.
    pub fn ready(&self) -> Option<Map> {
        let next = self.state.next;
        let plan = self.state.plan.iter().rev();
        let map = plan.map(|set| (set.from, set.map));
        let map = map.clone().find(|(from, _)| *from <= next)?.1;
        (!self.state.holds.contains(&next)).then_some(map)
    }

    pub fn start_step(&mut self) {
        let state = &mut self.state;
        state.started = true;
        state.next = state.next.next();
        let over = state.plan.iter().filter(|set| set.from < state.next);
        let over = over.count().saturating_sub(1);
        state.plan.drain(..over);
    }
}
