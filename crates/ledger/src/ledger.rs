//! The ledger of an agent, which decides on runs and records them.

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Endpoint;
use cactusnotch_base::number::Incarnation;

use crate::message::{Fault, Repeat};
use crate::row::{Row, State};
use crate::tombstones::Tombstones;
use crate::{Age, Attempt, Command, Event, Generations, Identity, Link, Options, Reply, Request};

/// The number of tables into which the rows of one lifetime are divided.
const PERIODS: u32 = 32;

/// The runs of an endpoint: the decisions of its agent and its record of them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ledger {
    pub(crate) options: Options,
    pub(crate) endpoint: Endpoint,
    pub(crate) incarnation: Incarnation,
    pub(crate) started: Instant,
    pub(crate) draining: bool,
    /// Whether the endpoint currently accepts no new runs.
    pub(crate) throttled: bool,
    pub(crate) running: Table<Attempt, Row>,
    /// The non-idempotent runs that have ended.
    pub(crate) once: Generations<Attempt, Row>,
    /// The idempotent runs that have ended.
    pub(crate) repeatable: Generations<Attempt, Row>,
    /// The running attempt of each non-idempotent request.
    pub(crate) running_keys: Table<u128, Attempt>,
    /// The attempt that ran each request in `once`; both expire together.
    pub(crate) ended_keys: Generations<u128, Attempt>,
    pub(crate) tombstones: Tombstones,
    /// The size of the stored answers and identities in bytes.
    pub(crate) bytes: usize,
}

impl Ledger {
    /// Creates an empty ledger for an agent that started at `now`.
    /// `incarnation` must never have been used for this endpoint before.
    #[must_use]
    pub fn new(
        options: Options,
        endpoint: Endpoint,
        incarnation: Incarnation,
        now: Instant,
    ) -> Self {
        Self {
            endpoint,
            incarnation,
            started: now,
            draining: false,
            throttled: false,
            running: Table::new(),
            once: Generations::new(options.lifetime / PERIODS),
            repeatable: Generations::new(options.repeatable_lifetime / PERIODS),
            running_keys: Table::new(),
            ended_keys: Generations::new(options.lifetime / PERIODS),
            tombstones: Tombstones::new(options.tombstones),
            bytes: 0,
            options,
        }
    }

    /// Returns the age of the agent, which it reports to entries.
    #[must_use]
    pub fn age(&self, now: Instant) -> Age {
        Age::from(now.saturating_duration_since(self.started))
    }

    /// Returns the endpoint of the agent.
    #[must_use]
    pub const fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Returns the incarnation of the agent.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether the agent refuses new runs because it is leaving.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns the number of runs in progress.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of recorded runs, in progress or ended.
    #[must_use]
    pub fn remembered(&self) -> usize {
        self.running.len() + self.once.len() + self.repeatable.len()
    }

    /// Returns the number of tombstones of given-up attempts.
    #[must_use]
    pub fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    /// Returns the size of the stored answers and identities in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Handles an event at `now` and returns the commands to execute, in order.
    ///
    /// On [`Command::Start`] the driver sends the payload of the current frame
    /// to the endpoint. The command is never returned twice for an attempt, nor
    /// for a non-idempotent key within its lifetime, unless the endpoint
    /// provably did not accept the payload.
    #[must_use]
    pub fn step(&mut self, event: Event, now: Instant) -> Vec<Command> {
        let age = self.age(now);
        // Most events are pieces, and these make nothing expire.
        let is_sweeping = !matches!(event, Event::Piece { .. });
        let mut commands = Vec::new();
        if is_sweeping {
            commands = self.sweep(age);
        }
        match event {
            Event::Request { link, request } => self.request(link, request, age, &mut commands),
            Event::LinkLost(link) => self.remove_listeners(age, |_, listener| listener == link),
            Event::Piece { attempt, data } => self.piece(attempt, &data, &mut commands),
            Event::Done(attempt) => self.end(attempt, State::Finished, age, &mut commands),
            Event::Failed(attempt) => {
                self.end(attempt, State::Broken(Fault::Failed), age, &mut commands);
            }
            Event::Unstarted(attempt) => self.unstarted(attempt, age, &mut commands),
            Event::Drain => self.draining = true,
            Event::Throttle(throttled) => self.throttled = throttled,
            Event::Tick => {}
        }
        if is_sweeping {
            commands.append(&mut self.stop_expired(age));
        }
        if self.draining && self.running.is_empty() {
            commands.push(Command::Drained);
        }
        commands
    }

    fn request(&mut self, link: Link, request: Request, age: Age, commands: &mut Vec<Command>) {
        match request {
            Request::Run(run) => self.run(link, &run, age, commands),
            Request::Tombstone(query) => {
                let reply = self.tombstone(&query, age);
                commands.push(Command::Send { link, reply });
            }
            Request::Attach { query, after } => self.attach(link, &query, after, age, commands),
            Request::Cancel { attempt } => self.remove_listeners(age, |named, _| named == attempt),
        }
    }

    fn remove_listeners(&mut self, age: Age, is_removed: impl Fn(Attempt, Link) -> bool) {
        for (_, row) in self.running.iter_mut() {
            row.remove_listeners(age, |listener| is_removed(listener.attempt, listener.link));
        }
    }

    /// Ends expired runs and removes everything older than its lifetime.
    fn sweep(&mut self, age: Age) -> Vec<Command> {
        let commands = self.stop_expired(age);
        self.tombstones.expire(age);
        while let Some(rows) = self.once.expire(age, self.options.lifetime) {
            self.release(&rows);
        }
        while self.ended_keys.expire(age, self.options.lifetime).is_some() {}
        while let Some(rows) = self
            .repeatable
            .expire(age, self.options.repeatable_lifetime)
        {
            self.release(&rows);
        }
        commands
    }

    fn stop_expired(&mut self, age: Age) -> Vec<Command> {
        let expired: Vec<_> = self
            .running
            .iter()
            .filter_map(|(attempt, row)| Some((*attempt, row.expired(age)?)))
            .collect();
        let mut commands = Vec::new();
        for (attempt, fault) in expired {
            commands.push(Command::Stop(attempt));
            self.end(attempt, State::Broken(fault), age, &mut commands);
        }
        commands
    }

    pub(crate) fn release(&mut self, rows: &Table<Attempt, Row>) {
        for row in rows.values() {
            self.bytes -= row.answer.bytes() + row.identity.bytes();
        }
    }

    /// Returns the row of an attempt, in progress or ended.
    pub(crate) fn row(&self, attempt: Attempt) -> Option<&Row> {
        self.running
            .get(&attempt)
            .or_else(|| self.once.get(&attempt))
            .or_else(|| self.repeatable.get(&attempt))
    }

    /// Returns the attempt that started a non-idempotent request.
    pub(crate) fn runner(&self, identity: &Identity) -> Option<Attempt> {
        let fingerprint = identity.fingerprint();
        self.running_keys
            .get(&fingerprint)
            .or_else(|| self.ended_keys.get(&fingerprint))
            .copied()
    }

    /// Returns the attempt whose run answers `attempt`: `attempt` itself, or for
    /// a non-idempotent request the attempt that started the same key.
    pub(crate) fn find_run(
        &self,
        attempt: Attempt,
        identity: &Identity,
        repeat: Repeat,
    ) -> Option<Attempt> {
        if self.row(attempt).is_some() {
            return Some(attempt);
        }
        match repeat {
            Repeat::Once => self.runner(identity),
            Repeat::Idempotent => None,
        }
    }

    pub(crate) fn refuse(
        link: Link,
        attempt: Attempt,
        refusal: crate::admission::Refusal,
        commands: &mut Vec<Command>,
    ) {
        let reply = Reply::Refused {
            attempt,
            outcome: refusal.outcome,
            reason: refusal.reason,
        };
        commands.push(Command::Send { link, reply });
    }
}
