//! What an exchange makes of an agent's replies.

use bytes::Bytes;
use cactusnotch_base::Outcome;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::number::Sequence;
use cactusnotch_ledger::{Attempt, Reply, message};

use crate::exchange::{Exchange, State};
use crate::intake::Fit;
use crate::{Answer, Budget, Command, Reason};

impl Exchange {
    /// Takes a reply, unless it belongs to another conversation.
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
                self.uncertain(Reason::Broken(fault), budget, commands);
            }
            Reply::Refused {
                outcome, reason, ..
            } => self.refused(outcome, reason, budget, commands),
            Reply::Tombstoned { target, .. } if self.awaits(target) => {
                self.dead(Reason::GivenUp, budget, commands);
            }
            Reply::Started { target, .. } if self.asked(target) => self.attach(now, commands),
            Reply::Absent { target, .. } if self.awaits(target) => self.tombstone(now, commands),
            Reply::Tombstoned { .. } | Reply::Started { .. } | Reply::Absent { .. } => {}
        }
    }

    /// Tells whether the agent was asked about `target`.
    fn awaits(&self, target: Attempt) -> bool {
        let open = matches!(self.state, State::Tombstoning(_) | State::Attached(_));
        open && self
            .holder
            .as_ref()
            .is_some_and(|holder| holder.attempt == target)
    }

    /// Tells whether the agent was asked to give `target` up.
    fn asked(&self, target: Attempt) -> bool {
        matches!(self.state, State::Tombstoning(_)) && self.awaits(target)
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
        match self.intake.take(sequence) {
            Fit::Next => {
                if matches!(self.state, State::Dispatched { .. }) {
                    self.state = State::Streaming;
                }
                commands.push(Command::Piece { sequence, data });
            }
            Fit::Seen => {}
            Fit::Gap => self.fetch(now, commands),
        }
    }

    /// Asks again for pieces that are missing, unless that was done.
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
            Outcome::Unknown => self.uncertain(reason, budget, commands),
            Outcome::NotRun if self.holds_itself() => self.dead(reason, budget, commands),
            Outcome::NotRun => self.refuse(Outcome::NotRun, reason, commands),
        }
    }
}
