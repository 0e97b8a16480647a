//! What an exchange does when an agent is silent, refuses or is gone.

use cactusnotch_base::Outcome;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Endpoint;
use cactusnotch_base::number::Sequence;
use cactusnotch_ledger::Request;
use cactusnotch_ledger::message::{Query, Repeat};

use crate::exchange::{Exchange, Patience, State};
use crate::{Budget, Command, Mode, Reason};

impl Exchange {
    /// Asks the holder's agent for the pieces that follow the last one.
    pub(crate) fn attach(&mut self, now: Instant, commands: &mut Vec<Command>) {
        self.state = State::Attached(self.patience(now));
        self.ask(commands);
    }

    /// Asks the holder's agent to give the holder up.
    pub(crate) fn tombstone(&mut self, now: Instant, commands: &mut Vec<Command>) {
        self.state = State::Tombstoning(self.patience(now));
        self.ask(commands);
    }

    fn patience(&self, now: Instant) -> Patience {
        Patience {
            resend: now + self.options.resend,
            until: now + self.options.settle,
        }
    }

    /// Sends the question of the state.
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

    /// Tells whether the holder is an attempt of this exchange.
    pub(crate) fn holds_itself(&self) -> bool {
        self.holder
            .as_ref()
            .is_some_and(|holder| holder.attempt == self.conversation)
    }

    /// Tells whether the work may be repeated elsewhere without the caller
    /// getting pieces of two answers.
    fn is_repeatable(&self) -> bool {
        self.order.repeat == Repeat::Idempotent
            && self.intake.last() == self.order.after
            && !matches!(self.order.mode, Mode::Resume(_))
    }

    /// The agent does not say what became of the holder.
    pub(crate) fn lost(&mut self, now: Instant, budget: &mut Budget, commands: &mut Vec<Command>) {
        if self.is_repeatable() {
            return self.uncertain(Reason::NoAnswer, budget, commands);
        }
        match self.state {
            State::Dispatched { .. } => self.tombstone(now, commands),
            State::Streaming => self.attach(now, commands),
            _ => {}
        }
    }

    /// The holder may have run, and its answer is not to be had.
    pub(crate) fn uncertain(
        &mut self,
        reason: Reason,
        budget: &mut Budget,
        commands: &mut Vec<Command>,
    ) {
        self.withdraw(commands);
        self.doubt = true;
        if self.is_repeatable() && self.may_retry(budget) {
            return self.elsewhere(commands);
        }
        self.refuse(Outcome::Unknown, reason, commands);
    }

    /// The holder provably never starts.
    pub(crate) fn dead(
        &mut self,
        reason: Reason,
        budget: &mut Budget,
        commands: &mut Vec<Command>,
    ) {
        let ours = self.holds_itself();
        let may_move = match self.order.mode {
            Mode::Ticket(_) | Mode::Resume(_) => false,
            Mode::Private | Mode::Claim if ours => self.may_retry(budget),
            Mode::Private | Mode::Claim => self.retries < self.options.retries,
        };
        if !may_move {
            return self.refuse(Outcome::NotRun, reason, commands);
        }
        self.from = self.holder.as_ref().map(|holder| holder.attempt);
        self.elsewhere(commands);
    }

    fn may_retry(&self, budget: &mut Budget) -> bool {
        self.retries < self.options.retries && budget.spend()
    }

    fn elsewhere(&mut self, commands: &mut Vec<Command>) {
        self.retries += 1;
        let ours = self.holds_itself();
        if let Some(holder) = self.holder.take()
            && ours
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
        let concerned = self
            .holder
            .as_ref()
            .is_some_and(|holder| holder.window.terms.endpoint == *endpoint);
        if concerned && matches!(self.state, State::Dispatched { .. } | State::Streaming) {
            self.lost(now, budget, commands);
        }
    }

    pub(crate) fn timer(&mut self, now: Instant, budget: &mut Budget, commands: &mut Vec<Command>) {
        match self.state {
            State::Claiming { resend } if now >= resend => {
                if let Some(holder) = self.holder.clone() {
                    self.claim(&holder, now, commands);
                }
            }
            State::Dispatched { until } if now >= until => self.lost(now, budget, commands),
            State::Tombstoning(patience) | State::Attached(patience) if now >= patience.until => {
                self.uncertain(Reason::NoAnswer, budget, commands);
            }
            State::Tombstoning(mut patience) if now >= patience.resend => {
                patience.resend = now + self.options.resend;
                self.state = State::Tombstoning(patience);
                self.ask(commands);
            }
            State::Attached(mut patience) if now >= patience.resend => {
                patience.resend = now + self.options.resend;
                self.state = State::Attached(patience);
                self.ask(commands);
            }
            _ => {}
        }
    }

    /// The deadline has passed.
    pub(crate) fn expire(&mut self, commands: &mut Vec<Command>) {
        let outcome = match self.state {
            State::Routing | State::Claiming { .. } => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        self.withdraw(commands);
        self.refuse(outcome, Reason::Deadline, commands);
    }

    /// Frees what the exchange may hold at an agent.
    pub(crate) fn withdraw(&self, commands: &mut Vec<Command>) {
        if matches!(
            self.state,
            State::Routing | State::Claiming { .. } | State::Ended
        ) {
            return;
        }
        let Some(query) = self.query() else { return };
        let attempt = self.conversation;
        let endpoint = query.target.window.terms.endpoint.clone();
        if self.holds_itself() && self.intake.last() == Sequence(0) {
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
