//! What a gate tells its driver to do.

use cactusnotch_derive::record;

use crate::{Refusal, Ticket};

/// What a [`crate::Gate`] tells its driver to do.
#[record]
pub enum Command {
    /// Run the request now.
    Start(Ticket),
    /// Refuse the request now; it has not run.
    Refuse(Ticket, Refusal),
}
