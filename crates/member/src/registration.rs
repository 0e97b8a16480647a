//! Maintenance of a process's own record in the platform.

use cactusnotch_base::clock::Instant;
use cactusnotch_base::number::Incarnation;
use cactusnotch_derive::record;
use cactusnotch_objects::object::{Condition, Version};
use rand::Rng;

use crate::backoff::Backoff;
use crate::options::Options;
use crate::record::{Record, State};
use crate::roster::Row;

/// A call to the platform for the process's own record.
#[record]
pub enum Call {
    /// Read the record.
    Find,
    /// Write the record if the condition holds.
    Put(Box<Record>, Condition),
    /// Delete the record at this version.
    Delete(Version),
}

/// The result of a call.
#[record]
pub enum Answer {
    /// The current record, returned by a read or by a write whose condition did
    /// not hold.
    Found(Option<Row>),
    /// The write or the deletion took effect, at this version.
    Written(Version),
    /// The outcome is unknown.
    Unanswered,
}

/// What the platform is known to store.
#[record]
#[derive(Copy)]
enum Stored {
    Unknown,
    Absent,
    Other(Version),
    Own(Version, State),
}

/// Maintains a process's own record in the platform.
///
/// It first reads the record of an earlier incarnation and takes a larger one.
/// Later it only overwrites its own record. After a lost reply it reads the
/// record back.
#[derive(Debug)]
pub struct Registration {
    record: Record,
    target: Option<State>,
    stored: Stored,
    written: bool,
    superseded: bool,
    pending: Option<Call>,
    backoff: Backoff,
}

impl Registration {
    /// Creates the registration of a process that is joining.
    #[must_use]
    pub const fn new(options: &Options, record: Record) -> Self {
        Self {
            target: Some(State::Joining),
            record,
            stored: Stored::Unknown,
            written: false,
            superseded: false,
            pending: None,
            backoff: Backoff::new(options.retry_min, options.retry_max),
        }
    }

    /// Returns the record that the platform should store.
    #[must_use]
    pub const fn record(&self) -> &Record {
        &self.record
    }

    /// Returns the back-off between calls, to delay the first one.
    pub const fn backoff(&mut self) -> &mut Backoff {
        &mut self.backoff
    }

    /// Sets the state that the record should have; `None` removes the record.
    pub fn set_target(&mut self, state: Option<State>) {
        self.target = state;
        self.record.state = state.unwrap_or(State::Leaving);
    }

    /// Marks the stored record as unknown, since others may have removed or
    /// replaced it.
    pub const fn invalidate(&mut self) {
        self.stored = Stored::Unknown;
    }

    /// Returns the version of the process's own record, if it is known to be
    /// stored.
    #[must_use]
    pub const fn version(&self) -> Option<Version> {
        match self.stored {
            Stored::Own(version, _) => Some(version),
            _ => None,
        }
    }

    /// Returns whether the platform stores the record in its target state.
    #[must_use]
    pub fn is_current(&self) -> bool {
        match (self.target, self.stored) {
            (Some(target), Stored::Own(_, state)) => target == state,
            (None, Stored::Absent | Stored::Other(_)) => true,
            _ => false,
        }
    }

    /// Returns how many calls have failed since the last answer.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Returns whether a later incarnation has registered the name.
    #[must_use]
    pub const fn superseded(&self) -> bool {
        self.superseded
    }

    /// Raises the incarnation above `other`, another known incarnation of this
    /// name, unless this process has already written its record.
    pub fn raise_above(&mut self, other: Incarnation) {
        if !self.written && other >= self.record.incarnation {
            self.record.incarnation = other.next();
        }
    }

    /// Returns the call to make at `now`, if one is due. No further call is
    /// returned until [`Registration::answer`] gets its answer.
    pub fn poll(&mut self, now: Instant) -> Option<Call> {
        let idle = self.is_current() || self.superseded || self.pending.is_some();
        if idle || !self.backoff.ready(now) {
            return None;
        }
        let call = self.next_call()?;
        self.written |= matches!(call, Call::Put(..));
        self.pending = Some(call.clone());
        Some(call)
    }

    fn next_call(&self) -> Option<Call> {
        let condition = match (self.stored, self.target) {
            (Stored::Unknown, _) => return Some(Call::Find),
            (Stored::Own(version, _), None) => return Some(Call::Delete(version)),
            (_, None) => return None,
            (Stored::Absent, _) => Condition::Absent,
            (Stored::Other(version) | Stored::Own(version, _), _) => Condition::Version(version),
        };
        Some(Call::Put(Box::new(self.record.clone()), condition))
    }

    /// Handles the answer to the open call.
    pub fn answer<R: Rng>(&mut self, answer: Answer, now: Instant, rng: &mut R) {
        let Some(call) = self.pending.take() else {
            return;
        };
        match (call, answer) {
            (_, Answer::Unanswered) => {
                self.stored = Stored::Unknown;
                self.backoff.fail(now, rng);
                return;
            }
            (_, Answer::Found(row)) => self.record_found(row),
            (Call::Put(record, _), Answer::Written(version)) => {
                self.stored = Stored::Own(version, record.state);
            }
            (Call::Delete(_), Answer::Written(_)) => self.stored = Stored::Absent,
            (Call::Find, Answer::Written(_)) => self.stored = Stored::Unknown,
        }
        self.backoff.succeed();
    }

    fn record_found(&mut self, row: Option<Row>) {
        let Some(Row { record, version }) = row else {
            self.stored = Stored::Absent;
            return;
        };
        let own = record.incarnation == self.record.incarnation
            && record.host == self.record.host
            && record.peers == self.record.peers;
        if own && self.written {
            self.stored = Stored::Own(version, record.state);
            return;
        }
        self.superseded = self.written && record.incarnation >= self.record.incarnation;
        self.raise_above(record.incarnation);
        self.stored = Stored::Other(version);
    }
}
