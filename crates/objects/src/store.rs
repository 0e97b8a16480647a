//! The interface to the platform's object API.

use std::time::Duration;

use derive_more::{Display, Error};

use crate::object::{Changes, Condition, Object, Path, Version};

/// A failed call to the platform.
///
/// Each variant names the step and the peer through `path` and `detail`.
#[derive(Debug, Clone, Display, Error)]
pub enum Error {
    /// The condition of a write did not hold, and nothing was written.
    #[display("write of {path}: the condition did not hold")]
    Conflict {
        /// The object of the call.
        path: Path,
        /// The current object, if it exists.
        current: Option<Box<Object>>,
    },
    /// The platform refused the call, and nothing was written.
    #[display("call for {path}: refused by the platform: {detail}")]
    Refused {
        /// The object of the call.
        path: Path,
        /// The platform's answer.
        detail: String,
    },
    /// No valid answer was received. A write may or may not have taken effect.
    #[display("call for {path}: no answer from the platform: {detail}")]
    Unanswered {
        /// The object of the call.
        path: Path,
        /// The failure of the transport or the server.
        detail: String,
    },
}

/// The platform's object API. Calls block until they are answered or time out.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads one object.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] and [`Error::Unanswered`].
    fn get(&self, path: &Path) -> Result<Option<Object>, Error>;

    /// Writes one object if `condition` holds and returns its new version.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] with the current object. After
    /// [`Error::Unanswered`] the caller must read the object to determine the
    /// effect.
    fn put(
        &self,
        path: &Path,
        value: &serde_json::Value,
        condition: Condition,
    ) -> Result<Version, Error>;

    /// Deletes one object if `condition` holds.
    ///
    /// # Errors
    ///
    /// As for [`Store::put`].
    fn delete(&self, path: &Path, condition: Condition) -> Result<(), Error>;

    /// Reads the changes in `kind` after version `after`, and waits up to `wait`
    /// for the first change. With `after` zero, reads the whole kind.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] and [`Error::Unanswered`].
    fn changes(&self, kind: &str, after: Version, wait: Duration) -> Result<Changes, Error>;
}
