//! What entries say to each other about caps.

use cactusnotch_base::number::{Incarnation, Sequence};
use cactusnotch_derive::message;

use crate::quota::Key;

/// What entries say to each other about caps.
#[message]
pub enum Message {
    /// From a borrower to a home.
    Ask(Vec<Ask>),
    /// From a home to a borrower.
    Grant(Vec<Grant>),
}

/// A borrower's statement of what it holds of a home and what it wants.
#[message]
pub struct Ask {
    /// The cap.
    pub key: Key,
    /// The life of the borrower.
    pub incarnation: Incarnation,
    /// The number of the ask; a later one supersedes it.
    pub number: Sequence,
    /// The most that the borrower goes on using without a further grant. It
    /// has dropped the rest.
    pub holds: u32,
    /// How much it has use for.
    pub wants: u32,
}

/// A home's answer to an [`Ask`].
#[message]
pub struct Grant {
    /// The cap.
    pub key: Key,
    /// The borrower's life in the ask.
    pub incarnation: Incarnation,
    /// The number of the ask.
    pub number: Sequence,
    /// What the borrower may use, for the lease from when it asked.
    pub amount: u32,
    /// To what the borrower should shrink as its work ends, since others
    /// want their part.
    pub target: u32,
}
