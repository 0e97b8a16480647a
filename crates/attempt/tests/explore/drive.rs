//! The drivers of the decision code, with a model of the platform and engines.

use cactusnotch_attempt::{Answer, Command, Event};
use cactusnotch_base::Outcome;
use cactusnotch_claim::batch::{Batch, Entry as Row};
use cactusnotch_claim::event::Written;
use cactusnotch_claim::{self as claim, Claim};
use cactusnotch_ledger::{self as ledger, Link};
use std::time::SystemTime;

use crate::actions::pick;
use crate::setup::Fate;
use crate::world::{Call, Frame, World, ms, number as endpoint_number};

impl World {
    pub(crate) fn step_entry(&mut self, number: usize, event: Event) {
        let now = self.now;
        let entry = &mut self.entries[number];
        if let Some(exchange) = &mut entry.exchange {
            let commands = exchange.step(event, now, &mut entry.budget);
            self.execute(number, commands);
        }
    }

    pub(crate) fn execute(&mut self, number: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Route { only, avoid } => {
                    let wanted = (only, avoid);
                    let replaced = self.agents[pick(number, &wanted)].replaced;
                    self.entries[number].routes.push(wanted);
                    if !replaced {
                        self.route(number, true);
                    }
                }
                Command::Claim(claim) => {
                    self.moved |= claim.from.is_some();
                    let link = Link(number as u64);
                    let writer = self.writer(number, &claim);
                    if !self.entries[writer].dead {
                        self.step_shard(writer, claim::Event::Ask { link, claim });
                    }
                }
                Command::Send { endpoint, request } => self.frames.push(Frame::Up {
                    agent: endpoint_number(&endpoint),
                    link: Link(number as u64),
                    request,
                    duplicated: false,
                }),
                Command::Piece { sequence, data } => {
                    self.entries[number]
                        .passed
                        .push((sequence.0, data.to_vec()));
                }
                Command::Finish(answer) => self.finish(number, answer),
            }
        }
    }

    /// Returns the writer for a claim: the entry's own one or, if the claim is
    /// repeated, the other one.
    fn writer(&mut self, number: usize, claim: &Claim) -> usize {
        let attempt = claim.holder.attempt;
        let claimed = &mut self.entries[number].claimed;
        let again = claimed.contains(&attempt);
        if !again {
            claimed.push(attempt);
        }
        if again { 1 - number } else { number }
    }

    pub(crate) fn finish(&mut self, number: usize, answer: Answer) {
        let entry = &mut self.entries[number];
        entry.false_not_run = match &answer {
            Answer::Refused {
                outcome: Outcome::NotRun,
                reason,
                ..
            } => {
                let looked_up = reason.covers_key();
                looked_up && entry.late
            }
            _ => false,
        };
        entry.answer = Some(answer);
    }

    pub(crate) fn step_shard(&mut self, number: usize, event: claim::Event) {
        let wall = SystemTime::UNIX_EPOCH + ms(1_000_000) + (self.now - self.origin);
        let commands = self.entries[number].shard.step(event, self.now, wall);
        for command in commands {
            match command {
                claim::Command::Put { number: at, batch } => {
                    self.entries[number].call = Some(Call::Put(at, batch));
                }
                claim::Command::List { after } => {
                    self.entries[number].call = Some(Call::List(after));
                }
                claim::Command::Answer {
                    link,
                    attempt,
                    answer,
                } => {
                    self.held |= matches!(answer, claim::Answer::Held(_));
                    let asker = usize::try_from(link.0).expect("two entries");
                    if !self.entries[asker].dead {
                        self.step_entry(asker, Event::Claimed { attempt, answer });
                    }
                }
                claim::Command::Delete { .. } => unreachable!("no batch expires in the model"),
            }
        }
    }

    pub(crate) fn create(&mut self, number: u64, batch: Batch) -> Written {
        let taken = self.log.iter().any(|row| row.number == number);
        if taken && self.setup.conditional {
            return Written::Conflict;
        }
        self.log.retain(|row| row.number != number);
        self.version += 1;
        self.log.push(Row {
            number,
            version: self.version,
            batch,
        });
        Written::Created(self.version)
    }

    pub(crate) fn platform(&mut self, entry: usize, fate: Fate) {
        self.setup.faults.platform -= u8::from(fate != Fate::Done);
        let Some(call) = self.entries[entry].call.take() else {
            return;
        };
        let event = match (call, fate) {
            (Call::Put(number, batch), Fate::Done) => claim::Event::Put(self.create(number, batch)),
            (Call::Put(number, batch), Fate::ReplyLost) => {
                self.create(number, batch);
                claim::Event::Put(Written::Unanswered)
            }
            (Call::Put(number, batch), Fate::Delayed) => {
                self.delayed.push((number, batch));
                claim::Event::Put(Written::Unanswered)
            }
            (Call::Put(..), Fate::Down) => claim::Event::Put(Written::Unanswered),
            (Call::List(after), Fate::Done) => claim::Event::Listed {
                version: self.version,
                entries: self
                    .log
                    .iter()
                    .filter(|row| row.version > after)
                    .cloned()
                    .collect(),
            },
            (Call::List(_), _) => claim::Event::Unlisted,
        };
        self.step_shard(entry, event);
    }

    pub(crate) fn deliver(&mut self, frame: Frame) {
        match frame {
            Frame::Up {
                agent,
                link,
                request,
                ..
            } => {
                self.step_agent(agent, ledger::Event::Request { link, request });
            }
            Frame::Down { entry, reply } => self.step_entry(entry, Event::Reply(reply)),
        }
    }

    pub(crate) fn step_agent(&mut self, number: usize, event: ledger::Event) {
        let agent = &mut self.agents[number];
        for command in agent.ledger.step(event, self.now) {
            match command {
                ledger::Command::Send { link, reply } => {
                    let entry = usize::try_from(link.0).expect("two links");
                    self.frames.push(Frame::Down { entry, reply });
                }
                ledger::Command::Start(attempt) => {
                    self.starts.push(attempt);
                    agent.runs.push((attempt, 0));
                }
                ledger::Command::Stop(attempt) => agent.runs.retain(|run| run.0 != attempt),
                ledger::Command::Drained => {}
            }
        }
    }

    /// Lets the engine produce the next piece, or end the answer.
    pub(crate) fn engine(&mut self, number: usize) {
        let (attempt, made) = &mut self.agents[number].runs[0];
        let attempt = *attempt;
        let event = if *made < self.setup.pieces {
            *made += 1;
            let data = vec![
                attempt.0.as_bytes()[15],
                u8::try_from(*made).expect("few pieces"),
            ];
            ledger::Event::Piece {
                attempt,
                data: data.into(),
            }
        } else {
            self.agents[number].runs.remove(0);
            ledger::Event::Done(attempt)
        };
        self.step_agent(number, event);
    }
}
