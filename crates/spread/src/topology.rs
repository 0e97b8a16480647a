//! The peers that a node communicates with.

use cactusnotch_base::name::{DataCentre, Process};
use cactusnotch_member::{Liveness, Record, Roster, Status, rank};
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::options::Options;

/// The peers that a node communicates with, computed from the roster and the
/// liveness of processes.
///
/// The processes of a data centre form a tree in the order of their ranks;
/// its root is the head, which communicates with the heads of the other data
/// centres. Nodes whose views differ temporarily compute different trees;
/// exchanges with the contacts repair what this misses.
#[derive(Debug, Default)]
pub(crate) struct Topology {
    /// The node's rank among the live processes, if it is on the roster.
    pub(crate) rank: Option<usize>,
    pub(crate) parent: Option<Process>,
    pub(crate) children: Vec<Process>,
    /// The dead processes that follow the node in rank, which it reports as
    /// lacking the newest revision.
    pub(crate) dead_successors: Vec<Process>,
    /// The first two live processes by rank of each other data centre; empty
    /// unless the node is a head.
    pub(crate) heads: Vec<(DataCentre, Vec<Process>)>,
    /// Random peers.
    pub(crate) contacts: Vec<Process>,
}

impl Topology {
    /// Computes the topology of `own`. Contacts are kept while they are alive.
    pub(crate) fn compute<R: Rng>(
        own: &Record,
        roster: &Roster,
        liveness: &Liveness,
        options: &Options,
        before: &Self,
        rng: &mut R,
    ) -> Self {
        let order = rank::order(roster, &own.data_centre);
        let dead =
            |process: &Process| *process != own.process && liveness.status(process) == Status::Dead;
        let living: Vec<&Process> = order
            .iter()
            .map(|record| &record.process)
            .filter(|process| !dead(process))
            .collect();
        let rank = living.iter().position(|process| **process == own.process);
        let mut topology = Self {
            rank,
            ..Self::default()
        };
        if let Some(rank) = rank {
            topology.place(rank, &living, options.fan_out.max(1));
            topology.dead_successors = dead_successors(&order, &own.process, rank == 0, dead);
        }
        if rank == Some(0) {
            topology.heads = heads(roster, liveness, own);
        }
        let alive = |process: &Process| roster.get(process).is_some() && !dead(process);
        let kept = before.contacts.iter().filter(|process| alive(process));
        topology.contacts = kept.cloned().collect();
        topology.draw_contacts(own, roster, &living, options, rng);
        topology
    }

    /// Returns whether the node is the head of its data centre.
    pub(crate) fn is_head(&self) -> bool {
        self.rank == Some(0)
    }

    /// Returns the node's neighbours in its data centre's tree.
    pub(crate) fn tree(&self) -> impl Iterator<Item = &Process> {
        self.parent.iter().chain(&self.children)
    }

    /// Returns all peers that the node contacts on its own initiative.
    pub(crate) fn links(&self) -> impl Iterator<Item = &Process> {
        let heads = self.heads.iter().flat_map(|(_, heads)| heads);
        self.tree().chain(heads).chain(&self.contacts)
    }

    fn place(&mut self, rank: usize, living: &[&Process], fan_out: usize) {
        let name = |at: usize| living.get(at).map(|process| (*process).clone());
        self.parent = rank.checked_sub(1).and_then(|above| name(above / fan_out));
        let first = fan_out * rank + 1;
        self.children = (first..first + fan_out).filter_map(name).collect();
    }

    fn draw_contacts<R: Rng>(
        &mut self,
        own: &Record,
        roster: &Roster,
        living: &[&Process],
        options: &Options,
        rng: &mut R,
    ) {
        let near = living.iter().filter(|process| ***process != own.process);
        let near: Vec<_> = near.collect();
        let missing = options.contacts.saturating_sub(self.contacts.len());
        for process in near.choose_multiple(rng, missing) {
            if !self.contacts.contains(process) {
                self.contacts.push((**process).clone());
            }
        }
        let elsewhere = |process: &Process| {
            let record = roster.get(process);
            record.is_some_and(|record| record.data_centre != own.data_centre)
        };
        if !self.contacts.iter().any(elsewhere) {
            let far = roster.iter().filter(|r| r.data_centre != own.data_centre);
            let far: Vec<_> = far.collect();
            let far = far.choose(rng).map(|record| record.process.clone());
            self.contacts.extend(far);
        }
    }
}

/// Returns the dead processes that follow `own` in rank up to the next live one,
/// and for the head also those before it.
fn dead_successors(
    order: &[&Record],
    own: &Process,
    head: bool,
    dead: impl Fn(&Process) -> bool,
) -> Vec<Process> {
    let at = order.iter().position(|record| record.process == *own);
    let at = at.unwrap_or(order.len());
    let before = if head { &order[..at] } else { &[] };
    let after = order.iter().skip(at + 1);
    let after = after.take_while(|record| dead(&record.process));
    let names = before.iter().chain(after).map(|record| &record.process);
    names.cloned().collect()
}

fn heads(roster: &Roster, liveness: &Liveness, own: &Record) -> Vec<(DataCentre, Vec<Process>)> {
    let others = roster.data_centres().map(|(name, _)| name);
    let others = others.filter(|name| **name != own.data_centre);
    let first = |name: &DataCentre| {
        let order = rank::order(roster, name).into_iter();
        let living = order.filter(|record| liveness.status(&record.process) != Status::Dead);
        living
            .take(2)
            .map(|record| record.process.clone())
            .collect()
    };
    others.map(|name| (name.clone(), first(name))).collect()
}
