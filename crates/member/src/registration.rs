//! Keeping a process's own record in the platform.

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

/// How a call ended.
#[record]
pub enum Answer {
    /// A read, or a write whose condition did not hold, brought the record as
    /// it stands.
    Found(Option<Row>),
    /// The write or the deletion took effect, at this version.
    Written(Version),
    /// Nothing is known.
    Unanswered,
}

/// What the platform holds, as far as is known.
#[record]
#[derive(Copy)]
enum Known {
    Nothing,
    Absent,
    Other(Version),
    Own(Version, State),
}

/// Keeps a process's own record in the platform.
///
/// It first reads the record of an earlier life and takes a larger
/// incarnation; later it writes only over its own record. After a lost reply
/// it reads back.
#[derive(Debug)]
pub struct Registration {
    record: Record,
    wanted: Option<State>,
    known: Known,
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
            wanted: Some(State::Joining),
            record,
            known: Known::Nothing,
            written: false,
            superseded: false,
            pending: None,
            backoff: Backoff::new(options.retry_min, options.retry_max),
        }
    }

    /// Returns the record as it is wanted.
    #[must_use]
    pub const fn record(&self) -> &Record {
        &self.record
    }

    /// Returns the pauses between calls, to hold the first one back.
    pub const fn backoff(&mut self) -> &mut Backoff {
        &mut self.backoff
    }

    /// Wants the record to say `state`, or to be gone.
    pub fn want(&mut self, state: Option<State>) {
        self.wanted = state;
        self.record.state = state.unwrap_or(State::Leaving);
    }

    /// Notes that the record may have been removed or replaced by others.
    pub const fn doubt(&mut self) {
        self.known = Known::Nothing;
    }

    /// Returns the version of the own record, if it is known to stand.
    #[must_use]
    pub const fn version(&self) -> Option<Version> {
        match self.known {
            Known::Own(version, _) => Some(version),
            _ => None,
        }
    }

    /// Tells whether the platform holds what is wanted.
    #[must_use]
    pub fn settled(&self) -> bool {
        match (self.wanted, self.known) {
            (Some(wanted), Known::Own(_, state)) => wanted == state,
            (None, Known::Absent | Known::Other(_)) => true,
            _ => false,
        }
    }

    /// Returns how many calls have failed since the last answer.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Tells whether a later life has taken the name.
    #[must_use]
    pub const fn superseded(&self) -> bool {
        self.superseded
    }

    /// Takes an incarnation larger than `other`, a life of this name that is
    /// known from elsewhere, unless this life was registered already.
    pub fn exceed(&mut self, other: Incarnation) {
        if !self.written && other >= self.record.incarnation {
            self.record.incarnation = other.next();
        }
    }

    /// Returns the call to make at `now`. Its answer must come before the
    /// next call is asked for.
    pub fn poll(&mut self, now: Instant) -> Option<Call> {
        let idle = self.settled() || self.superseded || self.pending.is_some();
        if idle || !self.backoff.ready(now) {
            return None;
        }
        let call = self.decide()?;
        self.written |= matches!(call, Call::Put(..));
        self.pending = Some(call.clone());
        Some(call)
    }

    fn decide(&self) -> Option<Call> {
        let condition = match (self.known, self.wanted) {
            (Known::Nothing, _) => return Some(Call::Find),
            (Known::Own(version, _), None) => return Some(Call::Delete(version)),
            (_, None) => return None,
            (Known::Absent, _) => Condition::Absent,
            (Known::Other(version) | Known::Own(version, _), _) => Condition::Version(version),
        };
        Some(Call::Put(Box::new(self.record.clone()), condition))
    }

    /// Takes in the answer to the call that is open.
    pub fn answer<R: Rng>(&mut self, answer: Answer, now: Instant, rng: &mut R) {
        let Some(call) = self.pending.take() else {
            return;
        };
        match (call, answer) {
            (_, Answer::Unanswered) => {
                self.known = Known::Nothing;
                self.backoff.fail(now, rng);
                return;
            }
            (_, Answer::Found(row)) => self.found(row),
            (Call::Put(record, _), Answer::Written(version)) => {
                self.known = Known::Own(version, record.state);
            }
            (Call::Delete(_), Answer::Written(_)) => self.known = Known::Absent,
            (Call::Find, Answer::Written(_)) => self.known = Known::Nothing,
        }
        self.backoff.succeed();
    }

    fn found(&mut self, row: Option<Row>) {
        let Some(Row { record, version }) = row else {
            self.known = Known::Absent;
            return;
        };
        let own = record.incarnation == self.record.incarnation
            && record.host == self.record.host
            && record.peers == self.record.peers;
        if own && self.written {
            self.known = Known::Own(version, record.state);
            return;
        }
        self.superseded = self.written && record.incarnation >= self.record.incarnation;
        self.exceed(record.incarnation);
        self.known = Known::Other(version);
    }
}
