//! Following the history on a store.

use std::time::Duration;

use cactusnotch_objects::Store;
use cactusnotch_objects::object::Version;
use derive_more::{Display, Error};

use crate::{Answer, Catchup, Fetched, Replica, Reply, Step, perform};

/// The reason why a replica could not be brought up to date. The replica is
/// unchanged, or at a later revision.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The platform did not answer.
    #[display("following the order of edits: {detail}")]
    Unavailable {
        /// What went wrong.
        detail: String,
    },
    /// The entries of the platform don't continue the history of the replica.
    #[display("following the order of edits: {answer}")]
    Broken {
        /// The result of applying them to the replica.
        #[error(not(source))]
        answer: Answer,
    },
}

/// Follows the history on a store.
#[derive(Debug, Clone)]
pub struct Reader<S> {
    store: S,
    replica: Replica,
    version: Version,
}

impl<S: Store> Reader<S> {
    /// Creates a reader that starts from the state of `replica`.
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

    /// Returns the reader's replica, for applying offers of peers.
    pub const fn replica_mut(&mut self) -> &mut Replica {
        &mut self.replica
    }

    /// Lists all entries and brings the replica up to date, in two or three
    /// calls.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`] if a call got no answer or the entries can't be
    /// applied.
    pub fn sync(&mut self) -> Result<Answer, Error> {
        self.follow(Version(0), Duration::ZERO)
    }

    /// Waits up to `wait` for new entries and applies them: one call, and a
    /// second one if there are any.
    ///
    /// If a watch skips an entry, the gap is detected with the next entry and
    /// closed by listing. A caller should also call [`Reader::sync`]
    /// periodically, since no further entry may follow.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`] if a call got no answer or the entries can't be
    /// applied.
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
        let answer = apply(&mut self.replica, &fetched)?;
        self.version = fetched.version;
        Ok(answer)
    }
}

/// Executes `catchup` on `store` and returns its result, blocking until it is
/// complete.
///
/// # Errors
///
/// Returns [`Error::Unavailable`] if a call got no answer.
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
    apply(replica, &fetched)
}

fn apply(replica: &mut Replica, fetched: &Fetched) -> Result<Answer, Error> {
    let answer = replica.apply(fetched);
    if answer.is_held() {
        return Ok(answer);
    }
    Err(Error::Broken { answer })
}
