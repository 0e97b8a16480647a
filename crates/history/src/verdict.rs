//! What became of a submitted edit.

use cactusnotch_base::number::Revision;
use derive_more::Display;

use crate::Refusal;

/// What became of a submitted edit.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Verdict {
    /// The edit is in the order, once.
    #[display("accepted as revision {revision}")]
    Accepted {
        /// Its place.
        revision: Revision,
    },
    /// The edit is not accepted: it is not in the order, and no write of it
    /// that is still on its way can come into it, by whomever it was made.
    /// Only a submission that runs at the same time or begins later can
    /// still bring in an edit that was not valid when it was judged.
    #[display("refused: {_0}")]
    Refused(Refusal),
    /// The order could not be reached. This submission brought nothing into
    /// it; of earlier ones of the same edit it says nothing.
    #[display("not accepted: {detail}")]
    Unavailable {
        /// What went wrong last.
        detail: String,
    },
    /// The edit may be in the order or still come into it. Submitting it
    /// again, with the same identity, settles this.
    #[display("unknown, perhaps revision {revision}: {detail}")]
    Unknown {
        /// The place that it was written to.
        revision: Revision,
        /// What went wrong last.
        detail: String,
    },
}
