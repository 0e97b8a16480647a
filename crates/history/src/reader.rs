//! Following the order on a store.

use std::time::Duration;

use cactusnotch_objects::Store;
use cactusnotch_objects::object::Version;
use derive_more::{Display, Error};

use crate::{Answer, Catchup, Fetched, Replica, Reply, Step, perform};

/// Why a replica could not be brought up to date. It stays as it was, or has
/// gone forward.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The platform did not answer.
    #[display("following the order of edits: {detail}")]
    Unavailable {
        /// What went wrong.
        detail: String,
    },
    /// The platform's entries do not follow on what the replica holds.
    #[display("following the order of edits: {answer}")]
    Broken {
        /// What the replica made of them.
        #[error(not(source))]
        answer: Answer,
    },
}

/// Follows the order on a store.
#[derive(Debug, Clone)]
pub struct Reader<S> {
    store: S,
    replica: Replica,
    version: Version,
}

impl<S: Store> Reader<S> {
    /// Creates a reader that starts from what `replica` holds.
    #[must_use]
    pub const fn new(store: S, replica: Replica) -> Self {
        Self {
            store,
            replica,
            version: Version(0),
        }
    }

    /// Returns the reader's replica.
    #[must_use]
    pub const fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the reader's replica, to offer it what peers sent.
    pub const fn replica_mut(&mut self) -> &mut Replica {
        &mut self.replica
    }

    /// Lists all entries and brings the replica up to date, in two or three
    /// calls.
    ///
    /// # Errors
    ///
    /// As [`Error`] says.
    pub fn sync(&mut self) -> Result<Answer, Error> {
        self.follow(Version(0), Duration::ZERO)
    }

    /// Waits up to `wait` for new entries and takes them in: one call, and a
    /// second one if there are any.
    ///
    /// A watch that skipped an entry is noticed at the next one, and made
    /// good by listing; a caller calls [`Reader::sync`] now and then for the
    /// case that there is none.
    ///
    /// # Errors
    ///
    /// As [`Error`] says.
    pub fn watch(&mut self, wait: Duration) -> Result<Answer, Error> {
        match self.follow(self.version, wait) {
            Err(Error::Broken {
                answer: Answer::Gap { .. },
            }) => self.sync(),
            result => result,
        }
    }

    fn follow(&mut self, after: Version, wait: Duration) -> Result<Answer, Error> {
        let catchup = Catchup::after(self.replica.revision(), after, wait);
        let fetched = fetch(&self.store, catchup)?;
        let answer = take(&mut self.replica, &fetched)?;
        self.version = fetched.version;
        Ok(answer)
    }
}

/// Carries out `catchup` on `store` and returns what it found, blocking until
/// that is complete.
///
/// # Errors
///
/// [`Error::Unavailable`] if a call got no answer.
pub fn fetch<S: Store>(store: &S, mut catchup: Catchup) -> Result<Fetched, Error> {
    let mut call = catchup.start();
    loop {
        let reply = match perform(store, &call) {
            Reply::Lost { detail } | Reply::Failed { detail } => {
                return Err(Error::Unavailable { detail });
            }
            reply => reply,
        };
        match catchup.step(reply) {
            Step::Call(next) => call = next,
            Step::Done(fetched) => return Ok(fetched),
        }
    }
}

/// Brings `replica` up to date from `store`.
pub(crate) fn sync<S: Store>(store: &S, replica: &mut Replica) -> Result<Answer, Error> {
    let fetched = fetch(store, Catchup::new(replica.revision()))?;
    take(replica, &fetched)
}

fn take(replica: &mut Replica, fetched: &Fetched) -> Result<Answer, Error> {
    let answer = replica.take(fetched);
    if answer.is_held() {
        return Ok(answer);
    }
    Err(Error::Broken { answer })
}
