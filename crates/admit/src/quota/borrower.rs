//! The borrower's side of the exchange.

use std::time::Instant;

use cactusnotch_base::Table;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::{Incarnation, Sequence};

use crate::quota::plan::Plan;
use crate::quota::purse::Purse;
use crate::quota::{Ask, Grant, Key, Options};

/// The borrower's side of the exchange: what it holds of the caps.
#[derive(Debug)]
pub(crate) struct Borrower {
    incarnation: Incarnation,
    last: Sequence,
    purses: Table<Key, Purse>,
    /// The cap after which the next tick starts, so that all get a turn.
    resume: Option<Key>,
}

impl Borrower {
    pub(crate) const fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            last: Sequence(0),
            purses: Table::new(),
            resume: None,
        }
    }

    pub(crate) fn set_demand(&mut self, key: &Key, used: u32, wanted: u32, now: Instant) {
        if wanted > 0 || self.purses.contains(key) {
            let make = || Purse::new(now);
            let purse = self.purses.get_or_insert_with(key.clone(), make);
            purse.set_demand(used, wanted);
        }
    }

    pub(crate) fn held(&self, key: &Key, now: Instant) -> u32 {
        self.purses.get(key).map_or(0, |purse| purse.held(now))
    }

    pub(crate) fn room(&self, key: &Key, now: Instant) -> u32 {
        self.purses.get(key).map_or(0, |purse| purse.room(now))
    }

    /// Returns the asks that are due, with the homes that get them.
    pub(crate) fn tick(
        &mut self,
        me: &Process,
        plan: &Plan,
        options: &Options,
        now: Instant,
    ) -> Vec<(Process, Ask)> {
        let mut asks = Vec::new();
        for key in self.turn() {
            if asks.len() >= options.asks {
                break;
            }
            asks.extend(self.ask(me, &key, plan, options, now));
            self.resume = Some(key);
        }
        self.purses.retain(|_, purse| !purse.is_idle());
        asks
    }

    /// Returns the active caps, from the one after the last served.
    fn turn(&self) -> Vec<Key> {
        let after = |key: &&Key| self.resume.as_ref().is_none_or(|resume| *key > resume);
        let later = self.purses.keys().filter(after);
        let earlier = self.purses.keys().filter(|key| !after(key));
        later.chain(earlier).cloned().collect()
    }

    /// Returns the ask for one cap, if one is due.
    pub(crate) fn ask(
        &mut self,
        me: &Process,
        key: &Key,
        plan: &Plan,
        options: &Options,
        now: Instant,
    ) -> Option<(Process, Ask)> {
        let purse = self.purses.get_mut(key)?;
        purse.expire(now, options.lease);
        let mut homes = plan.homes(key, options.homes);
        homes.sort_by_key(|home| *home != me);
        let due = purse.next_ask(&homes, options, now)?;
        self.last = self.last.next();
        let home = due.home.clone();
        let ask = Ask {
            key: key.clone(),
            incarnation: self.incarnation,
            number: self.last,
            holds: due.holds,
            wants: due.wants,
        };
        purse.asked(due, self.last, now);
        Some((home, ask))
    }

    /// Takes a grant unless it was made to a former life of this entry.
    pub(crate) fn grant(&mut self, home: &Process, grant: &Grant, options: &Options, now: Instant) {
        if grant.incarnation != self.incarnation {
            return;
        }
        if let Some(purse) = self.purses.get_mut(&grant.key) {
            purse.grant(home, grant, options, now);
        }
    }
}
