//! Runs a lease against the platform and a clock.

use cactusnotch_base::Clock;
use cactusnotch_base::number::Fence;
use cactusnotch_objects::object::{Condition, Object, Path};
use cactusnotch_objects::{Store, store};
use derive_more::{Display, Error};
use rand::Rng;

use crate::call::{Answer, Call, Found};
use crate::guard::Guard;
use crate::lease::Lease;
use crate::record::Record;

/// A call for a lease failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The platform refused the call or gave no answer.
    #[display("lease: {source}")]
    Platform {
        /// The platform's error, which names the lease's object.
        source: store::Error,
    },
    /// The lease's object does not hold a lease.
    #[display("lease {path}: the object does not hold a lease: {source}")]
    Malformed {
        /// The lease's object.
        path: Path,
        /// The decoder's error.
        source: serde_json::Error,
    },
}

/// Runs a lease against the platform and a clock. Calls block.
#[derive(Debug)]
pub struct Driver<S, C, R> {
    store: S,
    clock: C,
    rng: R,
    path: Path,
    lease: Lease,
}

impl<S: Store, C: Clock, R: Rng> Driver<S, C, R> {
    /// Creates the driver of `lease`, whose object in the platform is called
    /// `name`.
    pub fn new(store: S, clock: C, rng: R, name: &str, lease: Lease) -> Self {
        let path = Path::new(Record::KIND, name);
        Self {
            store,
            clock,
            rng,
            path,
            lease,
        }
    }

    /// Returns the lease, to acquire or release it.
    pub const fn lease(&mut self) -> &mut Lease {
        &mut self.lease
    }

    /// Returns the right to act, unless it is not held or has expired.
    #[must_use]
    pub fn check(&self) -> Option<Guard> {
        self.lease.check(self.clock.now())
    }

    /// Raises the fencing number; see [`Lease::raise_fence`].
    pub fn raise_fence(&mut self, fence: Fence) {
        self.lease.raise_fence(fence);
    }

    /// Makes the call that is due, if there is one, and returns whether it did.
    /// It must be called periodically, and again at once while it returns
    /// `true`.
    ///
    /// # Errors
    ///
    /// [`Error::Platform`] if the call failed and [`Error::Malformed`] if the
    /// object is not a lease; in both cases the next call waits for its pause.
    pub fn tick(&mut self) -> Result<bool, Error> {
        let Some((ticket, call)) = self.lease.poll(self.clock.now()) else {
            return Ok(false);
        };
        let outcome = self.call(&call);
        let (answer, result) = match outcome {
            Ok(answer) => (answer, Ok(true)),
            Err(error) => (failure(&error), Err(error)),
        };
        let now = self.clock.now();
        self.lease.answer(ticket, answer, now, &mut self.rng);
        result
    }

    fn call(&self, call: &Call) -> Result<Answer, Error> {
        match call {
            Call::Get => {
                let object = self.store.get(&self.path).map_err(platform)?;
                self.found(object).map(Answer::Read)
            }
            Call::Put { record, condition } => self.put(record, *condition),
        }
    }

    fn put(&self, record: &Record, condition: Condition) -> Result<Answer, Error> {
        let value = serde_json::to_value(record).map_err(|e| self.malformed(e))?;
        match self.store.put(&self.path, &value, condition) {
            Ok(version) => Ok(Answer::Written(version)),
            Err(store::Error::Conflict { current, .. }) => self
                .found(current.map(|object| *object))
                .map(Answer::Conflict),
            Err(error) => Err(platform(error)),
        }
    }

    fn found(&self, object: Option<Object>) -> Result<Option<Found>, Error> {
        let Some(object) = object else {
            return Ok(None);
        };
        let record = serde_json::from_value(object.value).map_err(|e| self.malformed(e))?;
        Ok(Some(Found {
            version: object.version,
            record,
        }))
    }

    fn malformed(&self, source: serde_json::Error) -> Error {
        Error::Malformed {
            path: self.path.clone(),
            source,
        }
    }
}

const fn platform(source: store::Error) -> Error {
    Error::Platform { source }
}

/// Returns the answer that `error` implies. After a malformed answer, the
/// effect of a write is unknown.
const fn failure(error: &Error) -> Answer {
    match error {
        Error::Platform {
            source: store::Error::Refused { .. },
        } => Answer::Refused,
        _ => Answer::Unanswered,
    }
}
