//! An entry's role in the exchange of quota.

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::{Organisation, Process};
use cactusnotch_base::number::{Incarnation, Revision};

use crate::Allowance;
use crate::quota::borrower::Borrower;
use crate::quota::lender::Lender;
use crate::quota::plan::{Cap, Plan};
use crate::quota::{Ask, Grant, Key, Message, Options, Unit};

/// An entry's role in the exchange of quota: a lender of its allotments and a borrower.
#[derive(Debug)]
pub struct Exchange {
    me: Process,
    options: Options,
    plan: Plan,
    lender: Lender,
    borrower: Borrower,
    last_call: Instant,
}

impl Exchange {
    /// Creates the exchange of the entry `me` in this incarnation.
    #[must_use]
    pub fn new(me: Process, incarnation: Incarnation, options: Options, now: Instant) -> Self {
        Self {
            me,
            options,
            plan: Plan::default(),
            lender: Lender::default(),
            borrower: Borrower::new(incarnation),
            last_call: now,
        }
    }

    /// Applies the caps and the roster of entries of a newer revision. An entry
    /// that skips a revision lends nothing until the newer one is confirmed.
    pub fn set_caps(&mut self, revision: Revision, entries: &[Process], caps: Table<Key, Cap>) {
        self.plan
            .add(&self.me, revision, entries, caps, &self.options);
    }

    /// Confirms that all entries on the roster have applied `revision` or a newer
    /// one, and that removed entries have stopped or been paused for longer than
    /// a lease. Only the first call for a revision has an effect, but a pause of
    /// this process voids it, so call this periodically. The confirmation must
    /// not be based on data from before such a pause.
    pub fn confirm(&mut self, revision: Revision, now: Instant) {
        self.detect_pause(now);
        self.plan.confirm(revision, self.options.hold, now);
    }

    /// Sets how much of a cap this entry uses and how much it wants.
    pub fn set_demand(&mut self, key: &Key, used: u32, wanted: u32, now: Instant) {
        if self.plan.cap(key).is_some() {
            self.borrower.set_demand(key, used, wanted, now);
        }
    }

    /// Returns what an organisation may use at this entry at `now`.
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

    /// Returns the entries that lend a cap. Sending the organisation's callers to
    /// them causes the fewest messages.
    #[must_use]
    pub fn lenders(&self, key: &Key) -> Vec<&Process> {
        self.plan.lenders(key, &self.options)
    }

    /// Returns the quota of a cap that this entry holds at `now`.
    #[must_use]
    pub fn held(&self, key: &Key, now: Instant) -> u32 {
        self.borrower.held(key, now)
    }

    /// Returns the messages that are due. Call it about every 50 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<(Process, Message)> {
        self.detect_pause(now);
        self.plan.prune(now);
        self.lender.tick(&self.options, now);
        let asks = self.borrower.tick(&self.me, &self.plan, &self.options, now);
        self.send(asks, now)
    }

    /// Asks for quota of a cap at once if the demand exceeds the held quota.
    pub fn ask(&mut self, key: &Key, now: Instant) -> Vec<(Process, Message)> {
        self.detect_pause(now);
        let ask = self
            .borrower
            .ask(&self.me, key, &self.plan, &self.options, now);
        self.send(ask.into_iter().collect(), now)
    }

    /// Handles a message from another entry and returns the answers.
    pub fn receive(
        &mut self,
        from: &Process,
        message: &Message,
        now: Instant,
    ) -> Vec<(Process, Message)> {
        self.detect_pause(now);
        match message {
            Message::Ask { incarnation, asks } => {
                let borrower = (from.clone(), *incarnation);
                self.lend(&borrower, asks, now)
            }
            Message::Grant {
                incarnation,
                grants,
            } if *incarnation == self.borrower.incarnation => self.apply_grants(from, grants, now),
            Message::Grant { .. } => Vec::new(),
        }
    }

    /// Handles a borrower's asks and returns the answer.
    fn lend(
        &mut self,
        borrower: &(Process, Incarnation),
        asks: &[Ask],
        now: Instant,
    ) -> Vec<(Process, Message)> {
        let (plan, options) = (&self.plan, &self.options);
        let grants = self.lender.handle_asks(borrower, asks, plan, options, now);
        if grants.is_empty() {
            return Vec::new();
        }
        let (to, incarnation) = borrower.clone();
        let answer = Message::Grant {
            incarnation,
            grants,
        };
        vec![(to, answer)]
    }

    /// Applies a lender's grants and asks another lender for the shortfall.
    fn apply_grants(
        &mut self,
        lender: &Process,
        grants: &[Grant],
        now: Instant,
    ) -> Vec<(Process, Message)> {
        let mut asks = Vec::new();
        for grant in grants {
            let (plan, options) = (&self.plan, &self.options);
            if let Some(key) = self.borrower.apply_grant(lender, grant, options, now) {
                asks.extend(self.borrower.ask(&self.me, &key, plan, options, now));
            }
        }
        self.send(asks, now)
    }

    /// Batches asks into one message per lender. Asks to this entry itself are
    /// handled at once.
    fn send(&mut self, asks: Vec<(Process, Ask)>, now: Instant) -> Vec<(Process, Message)> {
        let mut batches: Table<Process, Vec<Ask>> = Table::new();
        for (lender, ask) in asks {
            batches.get_or_insert_with(lender, Vec::new).push(ask);
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
        messages.extend(batches.map(|(lender, asks)| (lender.clone(), ask(asks.clone()))));
        messages
    }

    /// Drops all confirmations after a gap between calls of at least a lease. The
    /// process was paused then, and other entries may have been assigned its
    /// allotments meanwhile.
    fn detect_pause(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_call) >= self.options.lease {
            self.plan.unconfirm();
        }
        self.last_call = now;
    }
}
