//! Decides whether an attempt starts, is attached to a run, or is refused.

use cactusnotch_base::Outcome;
use cactusnotch_base::number::Sequence;

use crate::message::{Query, Reason, Repeat, Run};
use crate::row::{Listener, Row};
use crate::{Age, Command, Ledger, Link, Reply, Terms, Window};

/// The reason for refusing a request, and whether the request may have run.
pub(crate) struct Refusal {
    pub(crate) outcome: Outcome,
    pub(crate) reason: Reason,
}

impl Refusal {
    pub(crate) const fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
        }
    }

    pub(crate) const fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
        }
    }
}

impl Ledger {
    /// Starts an attempt, or attaches it to the existing run of its key.
    pub(crate) fn run(&mut self, link: Link, run: &Run, age: Age, commands: &mut Vec<Command>) {
        let listener = Listener {
            link,
            attempt: run.attempt,
            start_by: Some(run.window.start_by),
        };
        if let Err(refusal) = self.check_target(&run.window.terms) {
            return Self::refuse(link, run.attempt, refusal, commands);
        }
        if let Some(runner) = self.find_run(run.attempt, &run.identity, run.repeat) {
            let matches = self
                .row(runner)
                .is_some_and(|row| row.matches(&run.identity, run.digest));
            if matches {
                return self.add_listener(runner, listener, Sequence(0), commands);
            }
        }
        match self.admit(run, age) {
            Ok(()) => self.start(run, listener, age, commands),
            Err(refusal) => {
                if refusal.outcome == Outcome::NotRun {
                    self.tombstones.add(run.attempt, run.window.start_by, age);
                }
                Self::refuse(link, run.attempt, refusal, commands);
            }
        }
    }

    /// Checks that this agent is the one to which a key or an attempt is bound.
    fn check_target(&self, terms: &Terms) -> Result<(), Refusal> {
        if terms.endpoint != self.endpoint {
            return Err(Refusal::unknown(Reason::Elsewhere));
        }
        if terms.incarnation != self.incarnation {
            return Err(Refusal::unknown(Reason::Replaced(self.incarnation)));
        }
        Ok(())
    }

    /// Checks that every run started since `window` was granted is still
    /// recorded.
    fn check_retained(&self, window: &Window, age: Age) -> Result<(), Refusal> {
        if age > window.terms.age.after(self.options.lifetime) {
            return Err(Refusal::unknown(Reason::Forgotten));
        }
        Ok(())
    }

    fn admit(&mut self, run: &Run, age: Age) -> Result<(), Refusal> {
        self.check_retained(&run.window, age)?;
        if self
            .find_run(run.attempt, &run.identity, run.repeat)
            .is_some()
        {
            return Err(Refusal::not_run(Reason::Mismatch));
        }
        if self.tombstones.covers(run.attempt, run.window.start_by) {
            return Err(Refusal::not_run(Reason::Tombstoned));
        }
        if age > run.window.start_by || age >= run.finish_by {
            return Err(Refusal::not_run(Reason::Late));
        }
        if self.draining {
            return Err(Refusal::not_run(Reason::Draining));
        }
        if self.throttled {
            return Err(Refusal::not_run(Reason::Throttled));
        }
        if run.identity.bytes() > self.options.key_bytes {
            return Err(Refusal::not_run(Reason::Oversized));
        }
        self.free_space(run.identity.bytes())
            .map_err(Refusal::not_run)
    }

    /// Frees space for one more row: removes idempotent runs, which may run
    /// again, and drops answers of ended runs.
    fn free_space(&mut self, bytes: usize) -> Result<(), Reason> {
        if self.remembered() >= self.options.rows
            && let Some(rows) = self
                .repeatable
                .expire(Age::NEVER, std::time::Duration::ZERO)
        {
            self.release(&rows);
        }
        if self.remembered() >= self.options.rows {
            return Err(Reason::Full);
        }
        if self.bytes + bytes > self.options.bytes {
            self.drop_answers(self.options.bytes.saturating_sub(bytes));
        }
        if self.bytes + bytes > self.options.bytes {
            return Err(Reason::Full);
        }
        Ok(())
    }

    fn start(&mut self, run: &Run, listener: Listener, age: Age, commands: &mut Vec<Command>) {
        self.bytes += run.identity.bytes();
        self.running
            .insert(run.attempt, Row::new(run, run.finish_by));
        if run.repeat == Repeat::Once {
            self.running_keys
                .insert(run.identity.fingerprint(), run.attempt);
        }
        debug_assert!(age <= run.window.start_by);
        commands.push(Command::Start(run.attempt));
        self.add_listener(run.attempt, listener, Sequence(0), commands);
    }

    /// Permanently refuses the target unless its key has started.
    pub(crate) fn tombstone(&mut self, query: &Query, age: Age) -> Reply {
        let (attempt, target) = (query.attempt, query.target.attempt);
        let window = &query.target.window;
        if let Err(refusal) = self.check_target(&window.terms) {
            return refused(query, &refusal);
        }
        if self
            .find_run(target, &query.identity, Repeat::Once)
            .is_some()
        {
            return Reply::Started { attempt, target };
        }
        if let Err(refusal) = self.check_retained(window, age) {
            return refused(query, &refusal);
        }
        self.tombstones.add(target, window.start_by, age);
        Reply::Tombstoned { attempt, target }
    }

    /// Sends the pieces of the target's run that follow `after`.
    pub(crate) fn attach(
        &mut self,
        link: Link,
        query: &Query,
        after: Sequence,
        age: Age,
        commands: &mut Vec<Command>,
    ) {
        let (attempt, target) = (query.attempt, query.target.attempt);
        let window = &query.target.window;
        if let Err(refusal) = self.check_target(&window.terms) {
            return Self::refuse(link, attempt, refusal, commands);
        }
        if let Some(runner) = self.find_run(target, &query.identity, Repeat::Once) {
            let listener = Listener {
                link,
                attempt,
                start_by: None,
            };
            let matches = self
                .row(runner)
                .is_some_and(|row| row.matches(&query.identity, query.digest));
            if matches {
                return self.add_listener(runner, listener, after, commands);
            }
            let refusal = Refusal::not_run(Reason::Mismatch);
            return Self::refuse(link, attempt, refusal, commands);
        }
        if let Err(refusal) = self.check_retained(window, age) {
            return Self::refuse(link, attempt, refusal, commands);
        }
        let given_up = age > window.start_by || self.tombstones.covers(target, window.start_by);
        let reply = if given_up {
            Reply::Tombstoned { attempt, target }
        } else {
            Reply::Absent { attempt, target }
        };
        commands.push(Command::Send { link, reply });
    }
}

fn refused(query: &Query, refusal: &Refusal) -> Reply {
    Reply::Refused {
        attempt: query.attempt,
        outcome: refusal.outcome,
        reason: refusal.reason.clone(),
    }
}
