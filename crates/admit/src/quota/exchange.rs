//! An entry's part in the exchange of caps.

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::{Organisation, Process};
use cactusnotch_base::number::{Incarnation, Revision};

use crate::Allowance;
use crate::quota::borrower::Borrower;
use crate::quota::lender::Lender;
use crate::quota::plan::{Cap, Plan};
use crate::quota::{Ask, Grant, Key, Message, Options, Unit};

/// An entry's part in the exchange of caps.
#[derive(Debug)]
pub struct Exchange {
    me: Process,
    options: Options,
    plan: Plan,
    lender: Lender,
    borrower: Borrower,
    seen: Instant,
}

impl Exchange {
    /// Creates the part of the entry `me` in this life.
    #[must_use]
    pub fn new(me: Process, incarnation: Incarnation, options: Options, now: Instant) -> Self {
        Self {
            me,
            options,
            plan: Plan::default(),
            lender: Lender::default(),
            borrower: Borrower::new(incarnation),
            seen: now,
        }
    }

    /// Takes the caps and the roster of entries of a newer revision. An entry
    /// that skips a revision lends nothing until the newer one is confirmed.
    pub fn set_caps(&mut self, revision: Revision, entries: &[Process], caps: Table<Key, Cap>) {
        self.plan
            .set(&self.me, revision, entries, caps, &self.options);
    }

    /// Notes that all entries on the roster have taken `revision` or a newer
    /// one, and that former entries which are no longer on it have stopped or
    /// been paused for longer than a lease. Call it again now and then; the
    /// first call counts, until a pause of this process voids it. It must not
    /// rest on knowledge from before such a pause.
    pub fn confirm(&mut self, revision: Revision, now: Instant) {
        self.wake(now);
        self.plan.confirm(revision, self.options.hold, now);
    }

    /// Sets how much of a cap is in use here and how much there is use for.
    pub fn set_demand(&mut self, key: &Key, used: u32, wanted: u32, now: Instant) {
        if self.plan.cap(key).is_some() {
            self.borrower.set_demand(key, used, wanted, now);
        }
    }

    /// Returns what an organisation may use here at `now`.
    #[must_use]
    pub fn allowance(&self, organisation: &Organisation, now: Instant) -> Allowance {
        let room = |unit| {
            let organisation = organisation.clone();
            let key = Key { organisation, unit };
            self.plan.cap(&key)?;
            Some(self.borrower.room(&key, now))
        };
        Allowance {
            concurrency: room(Unit::Concurrency),
            rate: room(Unit::Rate),
        }
    }

    /// Returns the entries that lend a cap. Callers of its organisation that
    /// are sent to them cause the fewest messages.
    #[must_use]
    pub fn lenders(&self, key: &Key) -> Vec<&Process> {
        self.plan.homes(key, &self.options)
    }

    /// Returns what this entry holds of a cap at `now`.
    #[must_use]
    pub fn held(&self, key: &Key, now: Instant) -> u32 {
        self.borrower.held(key, now)
    }

    /// Returns the messages that are due. Call it every 50 ms or so.
    pub fn tick(&mut self, now: Instant) -> Vec<(Process, Message)> {
        self.wake(now);
        self.plan.prune(now);
        self.lender.tick(&self.options, now);
        let asks = self.borrower.tick(&self.me, &self.plan, &self.options, now);
        self.send(asks, now)
    }

    /// Asks at once for a cap of which more is wanted than is held.
    pub fn ask(&mut self, key: &Key, now: Instant) -> Vec<(Process, Message)> {
        self.wake(now);
        let ask = self
            .borrower
            .ask(&self.me, key, &self.plan, &self.options, now);
        self.send(ask.into_iter().collect(), now)
    }

    /// Takes a message from another entry and returns the answers.
    pub fn receive(
        &mut self,
        from: &Process,
        message: &Message,
        now: Instant,
    ) -> Vec<(Process, Message)> {
        self.wake(now);
        match message {
            Message::Ask { incarnation, asks } => {
                let borrower = (from.clone(), *incarnation);
                self.lend(&borrower, asks, now)
            }
            Message::Grant {
                incarnation,
                grants,
            } if *incarnation == self.borrower.incarnation => self.take(from, grants, now),
            Message::Grant { .. } => Vec::new(),
        }
    }

    /// Answers a borrower's asks.
    fn lend(
        &mut self,
        borrower: &(Process, Incarnation),
        asks: &[Ask],
        now: Instant,
    ) -> Vec<(Process, Message)> {
        let (plan, options) = (&self.plan, &self.options);
        let grants = self.lender.ask(borrower, asks, plan, options, now);
        if grants.is_empty() {
            return Vec::new();
        }
        let (home, incarnation) = borrower.clone();
        let answer = Message::Grant {
            incarnation,
            grants,
        };
        vec![(home, answer)]
    }

    /// Takes a home's grants and asks another home for what they lack.
    fn take(&mut self, home: &Process, grants: &[Grant], now: Instant) -> Vec<(Process, Message)> {
        let mut asks = Vec::new();
        for grant in grants {
            let (plan, options) = (&self.plan, &self.options);
            if let Some(key) = self.borrower.grant(home, grant, options, now) {
                asks.extend(self.borrower.ask(&self.me, &key, plan, options, now));
            }
        }
        self.send(asks, now)
    }

    /// Gathers asks into one message for each home; those at this entry
    /// itself are answered on the spot.
    fn send(&mut self, asks: Vec<(Process, Ask)>, now: Instant) -> Vec<(Process, Message)> {
        let mut batches: Table<Process, Vec<Ask>> = Table::new();
        for (home, ask) in asks {
            batches.get_or_insert_with(home, Vec::new).push(ask);
        }
        let incarnation = self.borrower.incarnation;
        let ask = |asks| Message::Ask { incarnation, asks };
        let mut messages = Vec::new();
        if let Some(asks) = batches.remove(&self.me) {
            let me = self.me.clone();
            for (_, answer) in self.receive(&me, &ask(asks), now) {
                messages.extend(self.receive(&me, &answer, now));
            }
        }
        let batches = batches.iter();
        messages.extend(batches.map(|(home, asks)| (home.clone(), ask(asks.clone()))));
        messages
    }

    /// Treats a long gap between calls like a restart: this process was
    /// paused and cannot know what happened to its part meanwhile.
    fn wake(&mut self, now: Instant) {
        if now.saturating_duration_since(self.seen) >= self.options.lease {
            self.plan.unconfirm();
        }
        self.seen = now;
    }
}
