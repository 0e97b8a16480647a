//! An in-memory platform.

use std::sync::Arc;
use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::Sequence;
use cactusnotch_member::{Delta, Record, Row, registration};
use cactusnotch_objects::object::{Condition, Version};
use cactusnotch_spread::{Answer, Call, Span, Ticket};

use rand::Rng;

use super::{Micros, SECOND};

#[derive(Debug)]
struct Waiting {
    at: usize,
    instance: u64,
    ticket: Ticket,
    call: Call,
    until: Micros,
}

/// An in-memory platform that can be down or fail to answer.
#[derive(Debug, Default)]
pub struct Platform {
    pub down: bool,
    /// The side of each process; those on side 1 cannot reach the platform. Empty
    /// if all reach it.
    pub cut: Vec<u8>,
    pub forgets: f64,
    /// The probability that a watch omits a change or returns old ones again.
    pub skips: f64,
    pub version: u64,
    pub members: Table<Process, Row>,
    pub revisions: Vec<Span>,
    /// The calls started in each second, and those rejected during an outage.
    pub calls: Vec<u32>,
    pub calls_down: Vec<u32>,
    pub writes: u64,
    removed: Vec<(Process, Version)>,
    waiting: Vec<Waiting>,
}

impl Platform {
    /// Counts a call that begins.
    pub fn count_call(&mut self, now: Micros, _call: &Call) {
        let second = usize::try_from(now / SECOND).expect("a short run");
        if self.calls.len() <= second {
            self.calls.resize(second + 1, 0);
            self.calls_down.resize(second + 1, 0);
        }
        if self.down {
            self.calls_down[second] += 1;
        }
        self.calls[second] += 1;
    }

    /// Writes the next revision.
    pub fn edit(&mut self, payload: usize) -> Option<Span> {
        if self.down {
            return None;
        }
        self.version += 3;
        let after = self
            .revisions
            .last()
            .map_or(Sequence(0), |span| span.through);
        let span = Span {
            after,
            through: after.next(),
            version: Version(self.version),
            payload: vec![b'x'; payload].into(),
        };
        self.revisions.push(span.clone());
        Some(span)
    }

    /// Adds a member to the roster without a call.
    pub fn enrol(&mut self, record: Record) {
        self.version += 1;
        let row = Row {
            version: Version(self.version),
            record: Arc::new(record),
        };
        self.members.insert(row.record.process.clone(), row);
    }

    /// Answers a call, or queues it as a watch.
    pub fn call(
        &mut self,
        now: Micros,
        at: usize,
        instance: u64,
        ticket: Ticket,
        call: &Call,
    ) -> Option<Answer> {
        if self.down || self.cut.get(at) == Some(&1) {
            return Some(Answer::Unanswered);
        }
        match call {
            Call::Settings { after, wait } | Call::Members { after, wait } => {
                let answer = self.read(call, *after);
                if *wait == Duration::ZERO || has_changes(&answer) {
                    return Some(answer);
                }
                let until = now + u64::try_from(wait.as_micros()).expect("a short wait");
                self.waiting.push(Waiting {
                    at,
                    instance,
                    ticket,
                    call: call.clone(),
                    until,
                });
                None
            }
            Call::Own(registration::Call::Find) => {
                // The caller is identified by its slot; see `find`.
                Some(Answer::Own(registration::Answer::Found(self.find(at))))
            }
            Call::Own(registration::Call::Put(record, condition)) => {
                Some(Answer::Own(self.put(at, record, *condition)))
            }
            Call::Own(registration::Call::Delete(version)) => {
                let row = self.find(at).filter(|row| row.version == *version);
                let answer = match row {
                    Some(row) => registration::Answer::Written(self.delete(&row.record.process)),
                    None => registration::Answer::Found(self.find(at)),
                };
                Some(Answer::Own(answer))
            }
            Call::Expire { process, version } => {
                let row = self.members.get(process);
                if row.is_some_and(|row| row.version == *version) {
                    self.delete(process);
                }
                Some(Answer::Expired)
            }
        }
    }

    fn find(&self, at: usize) -> Option<Row> {
        let port = u16::try_from(at % 60_000).unwrap_or_default();
        let mut rows = self.members.values();
        rows.find(|row| row.record.peers.port() == port).cloned()
    }

    fn put(&mut self, at: usize, record: &Record, condition: Condition) -> registration::Answer {
        let current = self.find(at);
        let version = current.as_ref().map(|row| row.version);
        let holds = match condition {
            Condition::Absent => version.is_none(),
            Condition::Version(expected) => version == Some(expected),
            Condition::Always => true,
        };
        if !holds {
            return registration::Answer::Found(current);
        }
        self.writes += 1;
        self.enrol(record.clone());
        registration::Answer::Written(Version(self.version))
    }

    fn delete(&mut self, process: &Process) -> Version {
        self.writes += 1;
        self.version += 1;
        self.members.remove(process);
        self.removed.push((process.clone(), Version(self.version)));
        Version(self.version)
    }

    fn read(&self, call: &Call, after: Version) -> Answer {
        if matches!(call, Call::Settings { .. }) {
            let newer = self.revisions.iter().filter(|span| span.version > after);
            return Answer::Settings(newer.cloned().collect());
        }
        let rows = self.members.values().filter(|row| row.version > after);
        let gone = self
            .removed
            .iter()
            .filter(|(process, version)| *version > after && !self.members.contains(process));
        Answer::Members(Delta {
            after,
            through: Version(self.version),
            rows: rows.cloned().collect(),
            removed: gone.map(|(process, _)| process.clone()).collect(),
        })
    }

    /// Returns the answers to the watches that are complete.
    pub fn woken<R: Rng>(&mut self, now: Micros, rng: &mut R) -> Vec<(usize, u64, Ticket, Answer)> {
        let mut woken = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let (Call::Settings { after, .. } | Call::Members { after, .. }) = &waiting.call else {
                continue;
            };
            let lost = self.down || self.cut.get(waiting.at) == Some(&1);
            let answer = if lost {
                Answer::Unanswered
            } else {
                self.read(&waiting.call, *after)
            };
            if lost || has_changes(&answer) || now >= waiting.until {
                let answer = if rng.random_bool(self.skips) {
                    self.distort(&waiting.call, answer, rng)
                } else {
                    answer
                };
                woken.push((waiting.at, waiting.instance, waiting.ticket, answer));
            } else {
                self.waiting.push(waiting);
            }
        }
        woken
    }
}

impl Platform {
    /// Omits one change from `answer`, or returns all changes again.
    fn distort<R: Rng>(&self, call: &Call, mut answer: Answer, rng: &mut R) -> Answer {
        if rng.random_bool(0.5) {
            return self.read(call, Version(0));
        }
        match &mut answer {
            Answer::Settings(spans) if !spans.is_empty() => {
                spans.remove(rng.random_range(0..spans.len()));
            }
            Answer::Members(delta) if !delta.rows.is_empty() => {
                delta.rows.remove(rng.random_range(0..delta.rows.len()));
            }
            _ => {}
        }
        answer
    }
}

fn has_changes(answer: &Answer) -> bool {
    match answer {
        Answer::Settings(spans) => !spans.is_empty(),
        Answer::Members(delta) => !delta.is_empty(),
        _ => false,
    }
}
