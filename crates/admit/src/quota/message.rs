//! What entries say to each other about caps.

use cactusnotch_base::number::{Incarnation, Sequence};
use cactusnotch_derive::message;

use crate::quota::Key;

/// What entries say to each other about caps.
///
/// The field names are short on the wire, since these messages are many.
#[message]
pub enum Message {
    /// From a borrower to a home.
    #[serde(rename = "a")]
    Ask {
        /// The life of the borrower.
        #[serde(rename = "i")]
        incarnation: Incarnation,
        /// What it holds and wants.
        #[serde(rename = "a")]
        asks: Vec<Ask>,
    },
    /// From a home to a borrower.
    #[serde(rename = "g")]
    Grant {
        /// The life of the borrower in its ask.
        #[serde(rename = "i")]
        incarnation: Incarnation,
        /// The answers.
        #[serde(rename = "g")]
        grants: Vec<Grant>,
    },
}

/// A borrower's statement of what it holds of a home and what it wants.
#[message]
pub struct Ask {
    /// The cap.
    #[serde(rename = "k")]
    pub key: Key,
    /// The number of the ask; a later one supersedes it.
    #[serde(rename = "n")]
    pub number: Sequence,
    /// The most that the borrower goes on using without a further grant. It
    /// has dropped the rest.
    #[serde(rename = "h")]
    pub holds: u32,
    /// How much it has use for. Nothing is answered to an ask for nothing.
    #[serde(rename = "w")]
    pub wants: u32,
}

/// A home's answer to an [`Ask`].
#[message]
pub struct Grant {
    /// The number of the ask, which names the cap.
    #[serde(rename = "n")]
    pub number: Sequence,
    /// What the borrower may use, for the lease from when it asked.
    #[serde(rename = "a")]
    pub amount: u32,
    /// To what the borrower should shrink as its work ends, since others
    /// want their part.
    #[serde(rename = "t")]
    pub target: u32,
}
