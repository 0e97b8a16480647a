//! The actions that are possible in a state.

use crate::setup::{Action, Fate};
use crate::world::{World, endpoint, number};
use cactusnotch_base::name::Endpoint;

impl World {
    pub fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        let faults = &self.setup.faults;
        if self.entries[1].exchange.is_none() {
            actions.push(Action::Resend);
        }
        for index in 0..self.frames.len() {
            actions.push(Action::Deliver(index));
            if faults.lost_frames > 0 {
                actions.push(Action::Lose(index));
                if self.frames[index].is_fresh_run() {
                    actions.push(Action::Unsend(index));
                }
            }
            if faults.duplicated_frames > 0 {
                actions.push(Action::Duplicate(index));
            }
        }
        for number in 0..2 {
            self.entry_actions(number, &mut actions);
            self.agent_actions(number, &mut actions);
        }
        actions.extend((0..self.delayed.len()).map(Action::Land));
        if faults.advances > 0 {
            actions.push(Action::Advance);
        }
        actions
    }

    pub(crate) fn entry_actions(&self, number: usize, actions: &mut Vec<Action>) {
        let entry = &self.entries[number];
        if entry.dead {
            return;
        }
        if !entry.routes.is_empty() {
            actions.push(Action::Route(number, true));
            actions.push(Action::Route(number, false));
        }
        if entry.call.is_some() {
            actions.push(Action::Call(number, Fate::Done));
            if self.setup.faults.platform > 0 {
                let fates = [Fate::ReplyLost, Fate::Delayed, Fate::Down];
                actions.extend(fates.map(|fate| Action::Call(number, fate)));
            }
        }
        if self.setup.faults.killed_entries > 0 && entry.exchange.is_some() {
            actions.push(Action::KillEntry(number));
        }
        if self.setup.faults.lost_links > 0
            && entry.exchange.as_ref().is_some_and(|e| !e.is_ended())
        {
            actions.extend((0..2).map(|agent| Action::LoseLink(number, agent)));
        }
    }

    pub(crate) fn agent_actions(&self, number: usize, actions: &mut Vec<Action>) {
        let agent = &self.agents[number];
        if !agent.runs.is_empty() {
            actions.push(Action::Engine(number));
        }
        if self.setup.faults.killed_agents > 0 && !agent.replaced {
            actions.push(Action::KillAgent(number));
        }
        if self.setup.faults.drains > 0 && !agent.ledger.is_draining() {
            actions.push(Action::Drain(number));
        }
    }
}

/// Returns the agent chosen by an entry.
pub(crate) fn pick(entry: usize, (only, avoid): &(Option<Endpoint>, Vec<Endpoint>)) -> usize {
    match only {
        Some(only) => number(only),
        None if avoid.contains(&endpoint(entry)) => 1 - entry,
        None => entry,
    }
}
