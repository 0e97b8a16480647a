//! Recovery when an agent does not answer, refuses or is gone.

use cactusnotch_base::Outcome;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Endpoint;
use cactusnotch_base::number::Sequence;
use cactusnotch_ledger::Request;
use cactusnotch_ledger::message::{Query, Repeat};

use crate::exchange::{Exchange, State, Timers};
use crate::{Budget, Command, Mode, Reason};

impl Exchange {
    /// Requests the pieces that follow the last one from the holder's agent.
    pub(crate) fn attach(&mut self, now: Instant, commands: &mut Vec<Command>) {
        self.state = State::Attached(self.timers(now));
        self.ask(commands);
    }

    /// Requests a tombstone for the holder from its agent.
    pub(crate) fn tombstone(&mut self, now: Instant, commands: &mut Vec<Command>) {
        self.state = State::Tombstoning(self.timers(now));
        self.ask(commands);
    }

    fn timers(&self, now: Instant) -> Timers {
        Timers {
            resend: now + self.options.resend,
            until: now + self.options.settle,
        }
    }

    /// Sends the query that belongs to the current state.
    fn ask(&self, commands: &mut Vec<Command>) {
        let Some(query) = self.query() else { return };
        let endpoint = query.target.window.terms.endpoint.clone();
        let request = match self.state {
            State::Tombstoning(_) => Request::Tombstone(query),
            _ => Request::Attach {
                query,
                after: self.intake.last(),
            },
        };
        commands.push(Command::Send { endpoint, request });
    }

    fn query(&self) -> Option<Query> {
        Some(Query {
            attempt: self.conversation,
            target: self.holder.clone()?,
            identity: self.order.identity.clone(),
            digest: self.order.digest,
        })
    }

    /// Returns whether the holder is an attempt of this exchange.
    pub(crate) fn is_holder(&self) -> bool {
        self.holder
            .as_ref()
            .is_some_and(|holder| holder.attempt == self.conversation)
    }

    /// Returns whether the request may be repeated on another endpoint without
    /// mixing pieces of two answers.
    fn is_repeatable(&self) -> bool {
        self.order.repeat == Repeat::Idempotent
            && self.intake.last() == self.order.after
            && !matches!(self.order.mode, Mode::Resume(_))
    }

    /// Handles an agent that does not report the state of the holder.
    pub(crate) fn on_no_answer(
        &mut self,
        now: Instant,
        budget: &mut Budget,
        commands: &mut Vec<Command>,
    ) {
        if self.is_repeatable() {
            return self.on_uncertain(Reason::NoAnswer, budget, commands);
        }
        match self.state {
            State::Dispatched { .. } => self.tombstone(now, commands),
            State::Streaming => self.attach(now, commands),
            _ => {}
        }
    }

    /// Handles a holder that may have run but whose answer is unavailable.
    pub(crate) fn on_uncertain(
        &mut self,
        reason: Reason,
        budget: &mut Budget,
        commands: &mut Vec<Command>,
    ) {
        self.release(commands);
        self.may_have_run = true;
        if self.is_repeatable() && self.may_retry(budget) {
            return self.retry_elsewhere(commands);
        }
        self.refuse(Outcome::Unknown, reason, commands);
    }

    /// Handles a holder that provably never starts.
    pub(crate) fn on_not_run(
        &mut self,
        reason: Reason,
        budget: &mut Budget,
        commands: &mut Vec<Command>,
    ) {
        let is_own = self.is_holder();
        let may_move = match self.order.mode {
            Mode::Ticket(_) | Mode::Resume(_) => false,
            Mode::Private | Mode::Claim if is_own => self.may_retry(budget),
            Mode::Private | Mode::Claim => self.retries < self.options.retries,
        };
        if !may_move {
            return self.refuse(Outcome::NotRun, reason, commands);
        }
        self.from = self.holder.as_ref().map(|holder| holder.attempt);
        self.retry_elsewhere(commands);
    }

    fn may_retry(&self, budget: &mut Budget) -> bool {
        self.retries < self.options.retries && budget.withdraw()
    }

    fn retry_elsewhere(&mut self, commands: &mut Vec<Command>) {
        self.retries += 1;
        let is_own = self.is_holder();
        if let Some(holder) = self.holder.take()
            && is_own
        {
            self.avoid.push(holder.window.terms.endpoint);
        }
        self.choose(commands);
    }

    pub(crate) fn link_lost(
        &mut self,
        endpoint: &Endpoint,
        now: Instant,
        budget: &mut Budget,
        commands: &mut Vec<Command>,
    ) {
        let is_affected = self
            .holder
            .as_ref()
            .is_some_and(|holder| holder.window.terms.endpoint == *endpoint);
        if is_affected && matches!(self.state, State::Dispatched { .. } | State::Streaming) {
            self.on_no_answer(now, budget, commands);
        }
    }

    pub(crate) fn timer(&mut self, now: Instant, budget: &mut Budget, commands: &mut Vec<Command>) {
        match self.state {
            State::Claiming { resend } if now >= resend => {
                if let Some(holder) = self.holder.clone() {
                    self.claim(&holder, now, commands);
                }
            }
            State::Dispatched { until } if now >= until => self.on_no_answer(now, budget, commands),
            State::Tombstoning(timers) | State::Attached(timers) if now >= timers.until => {
                self.on_uncertain(Reason::NoAnswer, budget, commands);
            }
            State::Tombstoning(mut timers) if now >= timers.resend => {
                timers.resend = now + self.options.resend;
                self.state = State::Tombstoning(timers);
                self.ask(commands);
            }
            State::Attached(mut timers) if now >= timers.resend => {
                timers.resend = now + self.options.resend;
                self.state = State::Attached(timers);
                self.ask(commands);
            }
            _ => {}
        }
    }

    /// Ends the exchange because its deadline has passed.
    pub(crate) fn expire(&mut self, commands: &mut Vec<Command>) {
        let outcome = match self.state {
            State::Routing | State::Claiming { .. } => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        self.release(commands);
        self.refuse(outcome, Reason::Deadline, commands);
    }

    /// Releases the run and the conversation that the exchange may have at an
    /// agent.
    pub(crate) fn release(&self, commands: &mut Vec<Command>) {
        if matches!(
            self.state,
            State::Routing | State::Claiming { .. } | State::Ended
        ) {
            return;
        }
        let Some(query) = self.query() else { return };
        let attempt = self.conversation;
        let endpoint = query.target.window.terms.endpoint.clone();
        if self.is_holder() && self.intake.last() == Sequence(0) {
            commands.push(Command::Send {
                endpoint: endpoint.clone(),
                request: Request::Tombstone(query),
            });
        }
        commands.push(Command::Send {
            endpoint,
            request: Request::Cancel { attempt },
        });
    }
}
