//! A writer of the log of one shard.

use std::time::{Duration, SystemTime};

use cactusnotch_base::clock::Instant;
use cactusnotch_ledger::{Attempt, Link};
use uuid::Uuid;

use crate::batch::{Batch, Entry, Id};
use crate::event::Written;
use crate::log::{Effect, Log};
use crate::{Answer, Claim, Command, Event, Options, Record};

/// The maximum number of old batches deleted for each appended batch.
const TRIMMED_PER_BATCH: usize = 2;

/// A claim without an answer so far.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Waiting {
    link: Link,
    record: Record,
    since: Instant,
}

/// The pending call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Call {
    Put { sent: Instant },
    List { sent: Instant },
}

/// A batch whose write is unconfirmed, with the claims that wait for it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Flight {
    number: u64,
    batch: Batch,
    waiting: Vec<Waiting>,
}

/// A writer of the log of one shard.
///
/// Any number of entries may write the same shard concurrently. Safety depends
/// on the log alone; the assignment of a preferred writer only reduces races.
/// A claim is granted only after its batch was confirmed to be in the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Shard {
    options: Options,
    writer: Uuid,
    count: u64,
    log: Log,
    /// When the end of the log was last confirmed: the send time of that call.
    confirmed_at: Option<Instant>,
    waiting: Vec<Waiting>,
    flight: Option<Flight>,
    call: Option<Call>,
    /// The earliest time of the next call after a failure.
    not_before: Option<Instant>,
    backoff: Duration,
}

impl Shard {
    /// Creates a writer that has not read the log yet. `writer` is a random
    /// identifier that was never used by another writer.
    #[must_use]
    pub fn new(options: Options, writer: Uuid) -> Self {
        Self {
            log: Log::new(&options),
            backoff: options.backoff,
            writer,
            count: 0,
            confirmed_at: None,
            waiting: Vec::new(),
            flight: None,
            call: None,
            not_before: None,
            options,
        }
    }

    /// Returns the number of retained keys.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.log.keys()
    }

    /// Returns when [`Event::Tick`] is due, or `None` if no claim waits and no
    /// retry is due.
    #[must_use]
    pub fn wake(&self) -> Option<Instant> {
        let in_flight = self.flight.iter().flat_map(|flight| &flight.waiting);
        let oldest = in_flight
            .chain(&self.waiting)
            .map(|claim| claim.since)
            .min();
        let given_up = oldest.map(|since| since + self.options.time_budget);
        if self.call.is_some() {
            return given_up;
        }
        let flush = match &self.flight {
            Some(_) => self.not_before,
            None => self.flush_at(),
        };
        [given_up, flush].into_iter().flatten().min()
    }

    /// Handles an event at `now`, which is `wall` by the wall clock, and returns
    /// the commands to execute, in order.
    #[must_use]
    pub fn step(&mut self, event: Event, now: Instant, wall: SystemTime) -> Vec<Command> {
        let wall_ms = milliseconds(wall);
        let mut commands = Vec::new();
        self.log.expire(wall_ms, &self.options);
        match event {
            Event::Ask { link, claim } => self.ask(link, &claim, now, &mut commands),
            Event::Put(written) => self.written(written, now, wall_ms, &mut commands),
            Event::Listed { version, entries } => self.listed(version, entries, &mut commands),
            Event::Unlisted => self.fail(now),
            Event::Tick => {}
        }
        self.give_up(now, &mut commands);
        self.call(now, wall_ms, &mut commands);
        commands
    }

    fn ask(&mut self, link: Link, claim: &Claim, now: Instant, commands: &mut Vec<Command>) {
        let claim = Waiting {
            link,
            record: Record::from(claim),
            since: now,
        };
        match answer_from(&self.log, &claim.record) {
            Some(answer) => commands.push(answer_to(&claim, answer)),
            None if self.waiting.len() >= self.options.queue => {
                commands.push(answer_to(&claim, Answer::Unavailable));
            }
            None => self.waiting.push(claim),
        }
    }

    fn written(
        &mut self,
        written: Written,
        now: Instant,
        wall_ms: u64,
        commands: &mut Vec<Command>,
    ) {
        let Some(Call::Put { sent }) = self.call.take() else {
            return;
        };
        match written {
            Written::Created(version) if self.is_reliable(now) => {
                self.backoff = self.options.backoff;
                self.confirmed_at = Some(sent);
                if let Some(flight) = self.flight.take() {
                    self.log.append(&flight.batch, version);
                    self.waiting.splice(0..0, flight.waiting);
                }
                self.answer_waiting(commands);
                self.trim(wall_ms, commands);
            }
            Written::Refused => {
                self.requeue();
                self.fail(now);
            }
            Written::Created(_) | Written::Conflict => self.confirmed_at = None,
            Written::Unanswered => {
                self.confirmed_at = None;
                self.fail(now);
            }
        }
    }

    fn trim(&mut self, wall_ms: u64, commands: &mut Vec<Command>) {
        for _ in 0..TRIMMED_PER_BATCH {
            if let Some(number) = self.log.trim(wall_ms, &self.options) {
                commands.push(Command::Delete { number });
            }
        }
    }

    fn listed(&mut self, version: u64, entries: Vec<Entry>, commands: &mut Vec<Command>) {
        let Some(Call::List { sent }) = self.call.take() else {
            return;
        };
        self.backoff = self.options.backoff;
        self.confirmed_at = Some(sent);
        let appended = self.log.extend(version, entries);
        if let Some(flight) = &self.flight {
            let recorded = appended
                .iter()
                .any(|entry| entry.batch.id == flight.batch.id);
            if recorded || self.log.next != flight.number || flight.waiting.is_empty() {
                self.requeue();
            }
        }
        self.answer_waiting(commands);
    }

    /// Returns the claims of the batch in flight to the queue. Those that are in
    /// the log are then answered from it.
    fn requeue(&mut self) {
        if let Some(flight) = self.flight.take() {
            self.waiting.splice(0..0, flight.waiting);
        }
    }

    fn fail(&mut self, now: Instant) {
        self.call = None;
        self.not_before = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(self.options.backoff_limit);
    }

    /// Answers the claims whose outcome is determined by the log.
    fn answer_waiting(&mut self, commands: &mut Vec<Command>) {
        let log = &self.log;
        self.waiting.retain(|claim| {
            let answer = answer_from(log, &claim.record);
            let waits = answer.is_none();
            commands.extend(answer.map(|answer| answer_to(claim, answer)));
            waits
        });
    }

    /// Refuses the claims whose time budget is exhausted. A claim in flight may
    /// still be recorded, but it is never granted after this.
    fn give_up(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let time_budget = self.options.time_budget;
        let mut keep = |claim: &Waiting| {
            let waits = now < claim.since + time_budget;
            if !waits {
                commands.push(answer_to(claim, Answer::Unavailable));
            }
            waits
        };
        self.waiting.retain(&mut keep);
        if let Some(flight) = &mut self.flight {
            flight.waiting.retain(&mut keep);
        }
    }

    /// Issues the next call to the platform, if one is due.
    fn call(&mut self, now: Instant, wall_ms: u64, commands: &mut Vec<Command>) {
        let backing_off = self.not_before.is_some_and(|then| now < then);
        let due = self.flight.is_some() || self.flush_at().is_some_and(|then| now >= then);
        if self.call.is_some() || backing_off || !due {
            return;
        }
        self.not_before = None;
        if !self.is_reliable(now) {
            return self.list(now, commands);
        }
        if self.flight.is_none() {
            self.flight = Some(self.batch(wall_ms));
        }
        if let Some(flight) = &self.flight {
            self.call = Some(Call::Put { sent: now });
            commands.push(Command::Put {
                number: flight.number,
                batch: flight.batch.clone(),
            });
        }
    }

    fn list(&mut self, now: Instant, commands: &mut Vec<Command>) {
        self.call = Some(Call::List { sent: now });
        commands.push(Command::List {
            after: self.log.version,
        });
    }

    /// Returns whether the last observed end of the log may still be used for a
    /// write. Another writer may have appended since; the write then conflicts.
    fn is_reliable(&self, now: Instant) -> bool {
        self.confirmed_at.is_some_and(|confirmed_at| {
            now.saturating_duration_since(confirmed_at) < self.options.log_validity()
        })
    }

    /// Returns when the waiting claims are to be written.
    fn flush_at(&self) -> Option<Instant> {
        let oldest = self.waiting.iter().map(|claim| claim.since).min()?;
        let full = self.waiting.len() >= self.options.batch;
        let flush_at = if full {
            oldest
        } else {
            oldest + self.options.window
        };
        Some(flush_at.max(self.not_before.unwrap_or(flush_at)))
    }

    /// Removes the claims of the next batch from the queue, one for each key.
    fn batch(&mut self, wall_ms: u64) -> Flight {
        self.count += 1;
        let mut in_flight: Vec<Waiting> = Vec::new();
        let mut later = Vec::new();
        let mut fingerprints = cactusnotch_base::Table::new();
        for claim in std::mem::take(&mut self.waiting) {
            let fingerprint = claim.record.fingerprint;
            if in_flight.len() < self.options.batch
                && fingerprints.insert(fingerprint, ()).is_none()
            {
                in_flight.push(claim);
            } else {
                later.push(claim);
            }
        }
        self.waiting = later;
        let id = Id {
            writer: self.writer,
            count: self.count,
        };
        let records = in_flight.iter().map(|claim| claim.record.clone()).collect();
        Flight {
            number: self.log.next,
            batch: Batch {
                id,
                made_ms: wall_ms,
                records,
            },
            waiting: in_flight,
        }
    }
}

/// Returns the answer to a claim if the log determines it without a write.
fn answer_from(log: &Log, record: &Record) -> Option<Answer> {
    match log.effect(record) {
        Effect::Granted => None,
        Effect::Unchanged => Some(Answer::Granted),
        Effect::Rejected(held) if held.digest != record.digest => Some(Answer::Mismatch),
        Effect::Rejected(held) => Some(Answer::Held(held.holder.clone())),
    }
}

fn answer_to(claim: &Waiting, answer: Answer) -> Command {
    let attempt: Attempt = claim.record.holder.attempt;
    Command::Answer {
        link: claim.link,
        attempt,
        answer,
    }
}

pub(crate) fn milliseconds(wall: SystemTime) -> u64 {
    let since = wall
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
