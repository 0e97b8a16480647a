//! The borrower's side of the exchange.

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::{Incarnation, Sequence};
use xxhash_rust::xxh3::xxh3_64;

use crate::quota::plan::Plan;
use crate::quota::purse::Purse;
use crate::quota::{Ask, Grant, Key, Options};

/// The borrower's side of the exchange: what it holds of the caps.
#[derive(Debug)]
pub(crate) struct Borrower {
    pub(crate) incarnation: Incarnation,
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
        purse.expire(now, options.retention);
        purse.set_homes(plan.newest(), || order(me, plan.homes(key, options)));
        let due = purse.next_ask(options, now)?;
        self.last = self.last.next();
        let home = due.home.clone();
        let ask = Ask {
            key: key.clone(),
            number: self.last,
            holds: due.holds,
            wants: due.wants,
        };
        purse.asked(due, self.last, now);
        Some((home, ask))
    }

    /// Takes a grant if it answers the last ask for a cap at that home, and
    /// returns the cap.
    pub(crate) fn grant(
        &mut self,
        home: &Process,
        grant: &Grant,
        options: &Options,
        now: Instant,
    ) -> Option<Key> {
        let mut purses = self.purses.iter_mut();
        let taken = purses.find_map(|(key, purse)| {
            let answers = purse.grant(home, grant, options, now);
            answers.then_some(key)
        });
        taken.cloned()
    }
}

/// Puts homes into the order in which `me` tries them: itself first, then the
/// others from a place that differs between entries.
fn order(me: &Process, mut homes: Vec<&Process>) -> Vec<Process> {
    if let Some(at) = homes.iter().position(|home| *home == me) {
        homes.rotate_left(at);
    } else if let Ok(count) = u64::try_from(homes.len())
        && let Some(at) = xxh3_64(me.as_str().as_bytes()).checked_rem(count)
    {
        homes.rotate_left(usize::try_from(at).unwrap_or(0));
    }
    homes.into_iter().cloned().collect()
}
