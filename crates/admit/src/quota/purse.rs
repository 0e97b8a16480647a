//! What a borrower holds of one cap.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::{Revision, Sequence};

use crate::quota::{Grant, Options};

/// What a borrower holds of one cap, by home.
#[derive(Debug)]
pub(crate) struct Purse {
    /// The homes under `revision`, the one to try first at the front.
    homes: Vec<Process>,
    revision: Option<Revision>,
    holds: Table<Process, Hold>,
    /// The part that is in use, which cannot be given back yet.
    used: u32,
    /// The part that there is use for.
    wanted: u32,
    /// The most that there was use for in this period and in the former one.
    peaks: [u32; 2],
    turned: Instant,
    /// The homes that were asked for more in this period.
    tries: u32,
}

#[derive(Debug, Default)]
struct Hold {
    amount: u32,
    target: u32,
    until: Option<Instant>,
    asked: Option<Asked>,
}

#[derive(Debug, Clone, Copy)]
struct Asked {
    number: Sequence,
    wants: u32,
    at: Instant,
    /// The amount that was granted.
    answer: Option<u32>,
}

/// An ask that is due.
pub(crate) struct Due {
    pub(crate) home: Process,
    pub(crate) holds: u32,
    pub(crate) wants: u32,
}

impl Due {
    fn new(home: &Process, holds: u32, wants: u32) -> Self {
        let home = home.clone();
        Self { home, holds, wants }
    }
}

impl Purse {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            homes: Vec::new(),
            revision: None,
            holds: Table::new(),
            used: 0,
            wanted: 0,
            peaks: [0; 2],
            turned: now,
            tries: 0,
        }
    }

    /// Sets what is in use and what there is use for.
    pub(crate) fn set_demand(&mut self, used: u32, wanted: u32) {
        self.used = used;
        self.wanted = wanted.max(used);
        self.peaks[0] = self.peaks[0].max(self.wanted);
    }

    /// Drops what has expired.
    pub(crate) fn expire(&mut self, now: Instant, keep: Duration) {
        for (_, hold) in self.holds.iter_mut() {
            if hold.until.is_some_and(|until| until <= now) {
                (hold.amount, hold.target, hold.until) = (0, 0, None);
            }
        }
        if now.saturating_duration_since(self.turned) >= keep {
            self.peaks = [self.wanted, self.peaks[0]];
            self.turned = now;
            self.tries = 0;
        }
    }

    /// Returns what the borrower holds at `now`.
    pub(crate) fn held(&self, now: Instant) -> u32 {
        self.sum(now, |hold| hold.amount)
    }

    /// Returns up to what use new work may be started at `now`.
    pub(crate) fn room(&self, now: Instant) -> u32 {
        self.sum(now, |hold| hold.amount.min(hold.target))
    }

    fn sum(&self, now: Instant, part: impl Fn(&Hold) -> u32) -> u32 {
        let valid = |hold: &&Hold| hold.until.is_some_and(|until| until > now);
        self.holds.values().filter(valid).map(part).sum()
    }

    /// Tells whether there is nothing to remember.
    pub(crate) fn is_idle(&self) -> bool {
        let idle = |hold: &Hold| hold.amount == 0;
        self.wanted == 0 && self.peaks == [0; 2] && self.holds.values().all(idle)
    }

    /// Takes the homes under a revision, unless it has them.
    pub(crate) fn set_homes(
        &mut self,
        revision: Option<Revision>,
        homes: impl FnOnce() -> Vec<Process>,
    ) {
        if self.revision != revision {
            self.homes = homes();
            self.revision = revision;
        }
    }

    /// Returns the ask that is due at a home, and drops what it gives back.
    pub(crate) fn next_ask(&mut self, options: &Options, now: Instant) -> Option<Due> {
        let wanted = self.wanted.max(self.peaks[0]).max(self.peaks[1]);
        let sum = self.held(now);
        let short = wanted.saturating_sub(sum);
        self.give_back(sum.saturating_sub(wanted), options, now)
            .or_else(|| self.renewal(sum, short, options, now))
            .or_else(|| self.addition(short, options, now))
    }

    /// Returns the ask that gives back what there is no use for.
    fn give_back(&mut self, spare: u32, options: &Options, now: Instant) -> Option<Due> {
        if spare == 0 {
            return None;
        }
        let mut holds = self.holds.iter_mut();
        let is_free = |hold: &Hold| hold.amount > 0 && !hold.is_asked(options, now);
        let (home, hold) = holds.find(|(_, hold)| is_free(hold))?;
        hold.amount -= spare.min(hold.amount);
        Some(Due::new(home, hold.amount, hold.amount))
    }

    /// Returns the ask that keeps what a home has lent, or gives back what is
    /// idle of it if others want their part.
    fn renewal(&mut self, sum: u32, short: u32, options: &Options, now: Instant) -> Option<Due> {
        let idle = sum.saturating_sub(self.used);
        let is_due = |hold: &Hold| {
            let is_wanted = idle > 0 && hold.over() > 0 && !hold.is_asked(options, now);
            is_wanted || hold.is_due(options, now)
        };
        let mut holds = self.holds.iter_mut();
        let (home, hold) = holds.find(|(_, hold)| is_due(hold))?;
        let over = hold.over();
        hold.amount -= over.min(idle);
        Some(Due::new(home, hold.amount, hold.amount + over + short))
    }

    /// Returns the ask for what is short, at the home asked longest ago.
    fn addition(&mut self, short: u32, options: &Options, now: Instant) -> Option<Due> {
        if short == 0 || self.tries >= options.attempts {
            return None;
        }
        let asked = |home: &Process| self.holds.get(home).and_then(|hold| hold.asked);
        let is_free = |home: &&Process| asked(home).is_none_or(|a| a.is_over(options, now));
        let free = self.homes.iter().filter(is_free);
        let home = free.min_by_key(|home| asked(home).map(|asked| asked.at))?;
        self.tries += 1;
        let amount = self.holds.get(home).map_or(0, |hold| hold.amount);
        Some(Due::new(home, amount, amount + short))
    }

    /// Notes an ask that is sent.
    pub(crate) fn asked(&mut self, due: Due, number: Sequence, now: Instant) {
        let hold = self.holds.get_or_insert_with(due.home, Hold::default);
        hold.asked = Some(Asked {
            number,
            wants: due.wants,
            at: now,
            answer: (due.wants == 0).then_some(0),
        });
    }

    /// Takes a grant if it answers the last ask at the home and has not
    /// expired on the way; returns whether it answers that ask.
    pub(crate) fn grant(
        &mut self,
        home: &Process,
        grant: &Grant,
        options: &Options,
        now: Instant,
    ) -> bool {
        let Some(hold) = self.holds.get_mut(home) else {
            return false;
        };
        let is_last = |asked: &&mut Asked| asked.number == grant.number;
        let Some(asked) = hold.asked.as_mut().filter(is_last) else {
            return false;
        };
        let until = asked.at + options.lease;
        if until > now {
            asked.answer = Some(grant.amount);
            hold.amount = grant.amount;
            hold.target = grant.target;
            hold.until = Some(until);
        }
        true
    }
}

impl Hold {
    /// Tells whether an answer is waited for.
    fn is_asked(&self, options: &Options, now: Instant) -> bool {
        let age = |asked: Asked| now.saturating_duration_since(asked.at);
        let waits = |asked: Asked| asked.answer.is_none() && age(asked) < options.answer_timeout;
        self.asked.is_some_and(waits)
    }

    /// Returns the part that others want back.
    fn over(&self) -> u32 {
        self.amount.saturating_sub(self.target)
    }

    /// Tells whether the loan should be renewed.
    fn is_due(&self, options: &Options, now: Instant) -> bool {
        let left = |until: Instant| until.saturating_duration_since(now);
        let ends = self
            .until
            .is_some_and(|until| left(until) <= options.lease / 3);
        self.amount > 0 && ends && !self.is_asked(options, now)
    }
}

impl Asked {
    /// Tells whether the home may be asked again: it gave all that was wanted,
    /// did not answer, or had time to get some back.
    fn is_over(&self, options: &Options, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.at);
        match self.answer {
            Some(amount) => amount >= self.wants || age >= options.retention,
            None => age >= options.answer_timeout,
        }
    }
}
