//! Execution of the commands of agents and coordinators.

use std::time::Duration;

use cactusnotch_objects::object::Version;
use cactusnotch_switch::coordinator;
use cactusnotch_switch::message::{Body, Message, Peer, Vote};
use cactusnotch_switch::proposal::Id;
use cactusnotch_switch::rank::{self, Retirement};
use cactusnotch_switch::{Rank, View};

use super::{Hashed, Packet, Sender, World};
use cactusnotch_switch::coordinator::Coordinator;

impl World {
    pub(super) fn run_agent_command(&mut self, index: usize, command: rank::Command) {
        match command {
            rank::Command::ReadGroup => self.read_group(index),
            rank::Command::WriteGroup { version, view } => {
                self.write_group(version, view);
                self.read_group(index);
            }
            rank::Command::ReadMap(map) => {
                let experts = Vec::new();
                self.agent(index, rank::Event::Experts { map, experts });
            }
            rank::Command::Send { to, message } => {
                self.record_vote(index, &message);
                self.route(index, to, message);
            }
            rank::Command::Reply(message) => {
                if let Some(Sender::Agent(to)) = self.message_sender {
                    self.send(Packet::Message(to, Sender::Agent(index), message));
                }
            }
            rank::Command::Order(order) => self.send(Packet::Order(index, order)),
            rank::Command::ReadEngine(fence) if self.immediate_engine => {
                self.deliver(Packet::Read(index, fence));
            }
            rank::Command::ReadEngine(fence) => self.send(Packet::Read(index, fence)),
            rank::Command::Retire(why) => {
                self.agents[index].alive = false;
                self.drop_undeliverable();
                let rank = self.agents[index].rank;
                let newest = self.agents.iter().rposition(|agent| agent.rank == rank);
                if why == Retirement::EngineLost && newest == Some(index) {
                    self.start_agent(rank);
                }
            }
            rank::Command::Wake(after) => self.record_wake(Sender::Agent(index), after),
            rank::Command::Decided { .. } | rank::Command::InForce(_) => {}
        }
    }

    fn read_group(&mut self, index: usize) {
        if self.platform_available {
            self.platform_calls += 1;
            let (version, view) = self.group.get().clone();
            let event = rank::Event::Group { version, view };
            if self.immediate_platform {
                self.agent(index, event);
            } else {
                self.send(Packet::Agent(index, event));
            }
        }
    }

    fn write_group(&mut self, version: Version, view: View) {
        if self.platform_available {
            self.platform_calls += 1;
            if self.group.get().0 == version {
                self.group = Hashed::new((Version(version.0 + 1), view));
            }
        }
    }

    /// Sends to the process that holds the receiver's seat in the sender's view.
    fn route(&mut self, from: usize, to: Peer, message: Message) {
        match to {
            Peer::Rank(rank) => {
                let seat = seat_holder(self.agents[from].member.get().view(), rank);
                if let Some(to) = seat {
                    self.send(Packet::Message(to, Sender::Agent(from), message));
                }
            }
            Peer::Coordinator(fence) => {
                let holds = |part: &Hashed<Coordinator>| part.get().fence() == Some(fence);
                if let Some(to) = self.coordinators.iter().position(holds) {
                    let event = coordinator::Event::Message(message);
                    self.send(Packet::Coordinator(to, event));
                }
            }
        }
    }

    /// Records a vote. It is a violation if a process changes its vote on a
    /// proposal.
    fn record_vote(&mut self, index: usize, message: &Message) {
        if let Body::Vote { id, vote } = message.body {
            let promise = vote == Vote::Promise;
            let earlier = |(by, on, _): &&(usize, Id, bool)| *by == index && *on == id;
            match self.votes.iter().find(earlier) {
                Some((_, _, before)) if *before == promise => {}
                Some(_) => self.violation = Some("a vote changed".into()),
                None => self.votes.push((index, id, promise)),
            }
        }
    }

    pub fn coordinator(&mut self, index: usize, event: coordinator::Event) {
        let now = self.now;
        let commands = self.coordinators[index].change(|part| part.step(event, now));
        for command in commands {
            self.run_coordinator_command(index, command);
        }
    }

    fn run_coordinator_command(&mut self, index: usize, command: coordinator::Command) {
        use coordinator::{Command, Event};
        match command {
            Command::ReadLease => self.read_lease(index),
            Command::WriteLease { version, lease } => {
                self.platform_calls += 1;
                if self.lease.as_ref().map(|(version, _)| *version) == version {
                    let version = Version(version.map_or(1, |version| version.0 + 1));
                    self.lease = Some((version, lease));
                }
                self.read_lease(index);
            }
            Command::ReadGroup => self.read_group_for_coordinator(index),
            Command::WriteGroup { version, view } => {
                self.write_group(version, view);
                self.read_group_for_coordinator(index);
            }
            Command::RecordMap(map) => {
                self.platform_calls += 1;
                self.send(Packet::Coordinator(index, Event::MapRecorded(map)));
            }
            Command::Send { to, message } => {
                if let Some(to) = seat_holder(&self.group.get().1, to) {
                    self.send(Packet::Message(to, Sender::Coordinator(index), message));
                }
            }
            Command::Ended(ending) => self.endings.push(ending),
            Command::Wake(after) => self.record_wake(Sender::Coordinator(index), after),
            Command::LeaseLost => {}
        }
    }

    fn record_wake(&mut self, who: Sender, after: Duration) {
        if let Some(wakes) = &mut self.wakes {
            wakes.push((who, after));
        }
    }

    fn read_lease(&mut self, index: usize) {
        self.platform_calls += 1;
        let lease = self.lease.clone();
        self.send(Packet::Coordinator(index, coordinator::Event::Lease(lease)));
    }

    fn read_group_for_coordinator(&mut self, index: usize) {
        if self.platform_available {
            self.platform_calls += 1;
            let (version, view) = self.group.get().clone();
            let event = coordinator::Event::Group { version, view };
            self.send(Packet::Coordinator(index, event));
        }
    }
}

/// Returns the agent that holds the seat of a rank in a view.
pub(super) fn seat_holder(view: &View, rank: Rank) -> Option<usize> {
    let (_, number) = view.seat(rank)?.process.as_str().split_once('-')?;
    number.parse().ok()
}
