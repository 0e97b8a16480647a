//! The delivery of answers from the endpoint to the listening entries.

use bytes::Bytes;
use cactusnotch_base::number::Sequence;

use crate::admission::Refusal;
use crate::message::{Reason, Repeat};
use crate::row::{Listener, Row, State};
use crate::{Age, Attempt, Command, Ledger, Reply};

/// The divisor of the byte limit that gives the space freed at a time, so that
/// a full ledger does not scan its rows for each piece.
const SLACK: usize = 8;

impl Ledger {
    /// Sends a listener the stored pieces of a run, and registers it for those
    /// that follow.
    pub(crate) fn add_listener(
        &mut self,
        runner: Attempt,
        listener: Listener,
        after: Sequence,
        commands: &mut Vec<Command>,
    ) {
        let Some(row) = self.row(runner) else { return };
        let Some(pieces) = row.answer.following(after) else {
            let refusal = Refusal::unknown(Reason::Dropped);
            return Self::refuse(listener.link, listener.attempt, refusal, commands);
        };
        let (link, attempt) = (listener.link, listener.attempt);
        let accepted = Reply::Accepted { attempt, runner };
        commands.push(Command::Send {
            link,
            reply: accepted,
        });
        commands.extend(pieces.map(|(sequence, data)| Command::Send {
            link,
            reply: Reply::Piece {
                attempt,
                sequence,
                data: data.clone(),
            },
        }));
        if let Some(reply) = last(row, attempt) {
            commands.push(Command::Send { link, reply });
        }
        if let Some(row) = self.running.get_mut(&runner) {
            row.add_listener(listener);
        }
    }

    /// Stores a piece and sends it to the listeners.
    pub(crate) fn piece(&mut self, runner: Attempt, data: &Bytes, commands: &mut Vec<Command>) {
        let limit = self.options.answer_bytes;
        let Some(row) = self.running.get_mut(&runner) else {
            return;
        };
        let before = row.answer.bytes();
        let sequence = row.answer.push(data.clone());
        self.bytes += row.answer.bytes() - before;
        self.bytes -= row.answer.shrink(limit);
        if let State::Running { listeners, .. } = &row.state {
            commands.extend(listeners.iter().map(|listener| Command::Send {
                link: listener.link,
                reply: Reply::Piece {
                    attempt: listener.attempt,
                    sequence,
                    data: data.clone(),
                },
            }));
        }
        if self.bytes > self.options.bytes {
            self.drop_answers(self.options.bytes);
        }
        if let Some(row) = self.running.get_mut(&runner)
            && self.bytes > self.options.bytes
        {
            self.bytes -= row.answer.shrink(0);
        }
    }

    /// Ends a run and notifies its listeners.
    pub(crate) fn end(
        &mut self,
        runner: Attempt,
        state: State,
        age: Age,
        commands: &mut Vec<Command>,
    ) {
        let Some(mut row) = self.running.remove(&runner) else {
            return;
        };
        for listener in row.end(state) {
            if let Some(reply) = last(&row, listener.attempt) {
                let link = listener.link;
                commands.push(Command::Send { link, reply });
            }
        }
        self.bytes -= row.answer.pack();
        match row.repeat {
            Repeat::Once => {
                let fingerprint = row.identity.fingerprint();
                self.running_keys.remove(&fingerprint);
                self.ended_keys.insert(fingerprint, runner, age);
                self.once.insert(runner, row, age);
            }
            Repeat::Idempotent => self.repeatable.insert(runner, row, age),
        }
    }

    /// Removes a run that the endpoint provably did not accept, and permanently
    /// refuses its attempt.
    pub(crate) fn unstarted(&mut self, runner: Attempt, age: Age, commands: &mut Vec<Command>) {
        let Some(mut row) = self.running.remove(&runner) else {
            return;
        };
        self.bytes -= row.answer.bytes() + row.identity.bytes();
        self.running_keys.remove(&row.identity.fingerprint());
        self.tombstones.add(runner, row.start_by, age);
        for listener in row.end(State::Finished) {
            let refusal = match listener.start_by {
                Some(start_by) => {
                    self.tombstones.add(listener.attempt, start_by, age);
                    Refusal::not_run(Reason::Unstarted)
                }
                None => Refusal::unknown(Reason::Unstarted),
            };
            Self::refuse(listener.link, listener.attempt, refusal, commands);
        }
    }

    /// Drops the answers of ended runs, earliest end first, until a part of
    /// `limit` is free. The rows remain as a record that the requests ran.
    pub(crate) fn drop_answers(&mut self, limit: usize) {
        let goal = limit - limit / SLACK;
        let ended = self.repeatable.iter_mut().chain(self.once.iter_mut());
        for (_, row) in ended {
            if self.bytes <= goal {
                return;
            }
            self.bytes -= row.answer.shrink(0);
        }
    }
}

/// Returns the final reply of a run that has ended.
fn last(row: &Row, attempt: Attempt) -> Option<Reply> {
    match row.state {
        State::Running { .. } => None,
        State::Finished => Some(Reply::End {
            attempt,
            total: row.made(),
        }),
        State::Broken(fault) => Some(Reply::Broken { attempt, fault }),
    }
}
