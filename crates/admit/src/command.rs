//! The commands of a gate to its driver.

use cactusnotch_derive::record;

use crate::{Refusal, Ticket};

/// A command of a [`crate::Gate`] to its driver.
#[record]
pub enum Command {
    /// Run the request now.
    Start(Ticket),
    /// Refuse the request now; it has not run.
    Refuse(Ticket, Refusal),
}
