//! Handles the replies of agents.

use bytes::Bytes;
use cactusnotch_base::Outcome;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::number::Sequence;
use cactusnotch_ledger::{Attempt, Reply, message};

use crate::exchange::{Exchange, State};
use crate::intake::Fit;
use crate::{Answer, Budget, Command, Reason};

impl Exchange {
    /// Handles a reply, unless it belongs to another conversation.
    pub(crate) fn reply(
        &mut self,
        reply: Reply,
        now: Instant,
        budget: &mut Budget,
        commands: &mut Vec<Command>,
    ) {
        let waits = !matches!(self.state, State::Routing | State::Claiming { .. });
        if reply.attempt() != self.conversation || !waits {
            return;
        }
        match reply {
            Reply::Accepted { runner, .. } => self.accepted(runner, commands),
            Reply::Piece { sequence, data, .. } => self.piece(sequence, data, now, commands),
            Reply::End { total, .. } => self.end(total, now, commands),
            Reply::Broken { fault, .. } => {
                self.on_uncertain(Reason::Broken(fault), budget, commands);
            }
            Reply::Refused {
                outcome, reason, ..
            } => self.refused(outcome, reason, budget, commands),
            Reply::Tombstoned { target, .. } if self.queries(target) => {
                self.on_not_run(Reason::GivenUp, budget, commands);
            }
            Reply::Started { target, .. } if self.tombstones(target) => self.attach(now, commands),
            Reply::Absent { target, .. } if self.queries(target) => self.tombstone(now, commands),
            Reply::Tombstoned { .. } | Reply::Started { .. } | Reply::Absent { .. } => {}
        }
    }

    /// Returns whether a query about `target` is pending.
    fn queries(&self, target: Attempt) -> bool {
        let open = matches!(self.state, State::Tombstoning(_) | State::Attached(_));
        open && self
            .holder
            .as_ref()
            .is_some_and(|holder| holder.attempt == target)
    }

    /// Returns whether the agent was asked to give up `target`.
    fn tombstones(&self, target: Attempt) -> bool {
        matches!(self.state, State::Tombstoning(_)) && self.queries(target)
    }

    fn accepted(&mut self, runner: Attempt, commands: &mut Vec<Command>) {
        if *self.runner.get_or_insert(runner) != runner && self.intake.last() > self.order.after {
            return self.refuse(Outcome::Unknown, Reason::Garbled, commands);
        }
        self.runner = Some(runner);
        self.state = State::Streaming;
    }

    fn piece(
        &mut self,
        sequence: Sequence,
        data: Bytes,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        match self.intake.record(sequence) {
            Fit::Next => {
                if matches!(self.state, State::Dispatched { .. }) {
                    self.state = State::Streaming;
                }
                commands.push(Command::Piece { sequence, data });
            }
            Fit::Duplicate => {}
            Fit::Gap => self.fetch(now, commands),
        }
    }

    /// Requests missing pieces, unless such a request is pending.
    fn fetch(&mut self, now: Instant, commands: &mut Vec<Command>) {
        if !matches!(self.state, State::Attached(_)) {
            self.attach(now, commands);
        }
    }

    fn end(&mut self, total: Sequence, now: Instant, commands: &mut Vec<Command>) {
        let last = self.intake.last();
        if total > last {
            return self.fetch(now, commands);
        }
        if total < last {
            return self.refuse(Outcome::Unknown, Reason::Garbled, commands);
        }
        self.finish(Answer::Whole { total }, commands);
    }

    fn refused(
        &mut self,
        outcome: Outcome,
        reason: message::Reason,
        budget: &mut Budget,
        commands: &mut Vec<Command>,
    ) {
        let reason = Reason::Refused(reason);
        match outcome {
            Outcome::Unknown => self.on_uncertain(reason, budget, commands),
            Outcome::NotRun if self.is_holder() => self.on_not_run(reason, budget, commands),
            Outcome::NotRun => self.refuse(Outcome::NotRun, reason, commands),
        }
    }
}
