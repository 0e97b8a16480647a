//! The result of submitting an edit.

use cactusnotch_base::number::Revision;
use derive_more::Display;

use crate::Refusal;

/// The result of submitting an edit.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Verdict {
    /// The edit is in the history, exactly once.
    #[display("accepted as revision {revision}")]
    Accepted {
        /// The position of the edit.
        revision: Revision,
    },
    /// The edit is not in the history, and no delayed write of it by any process
    /// can still take effect. Only a concurrent or later submission can still
    /// add the edit, if it was invalid when it was validated.
    #[display("refused: {_0}")]
    Refused(Refusal),
    /// The platform could not be reached. This submission added nothing to the
    /// history; earlier submissions of the same edit may have.
    #[display("not accepted: {detail}")]
    Unavailable {
        /// The last error.
        detail: String,
    },
    /// The edit may be in the history or may still be added. Submitting it again
    /// with the same identity resolves this.
    #[display("unknown, perhaps revision {revision}: {detail}")]
    Unknown {
        /// The revision under which it was written.
        revision: Revision,
        /// The last error.
        detail: String,
    },
}
