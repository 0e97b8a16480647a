//! The messages of the exchange of quota.

use cactusnotch_base::number::{Incarnation, Sequence};
use cactusnotch_derive::message;

use crate::quota::Key;

/// A message of the exchange of quota.
///
/// The field names are short on the wire, since these messages are frequent.
#[message]
pub enum Message {
    /// From a borrower to a lender.
    #[serde(rename = "a")]
    Ask {
        /// The incarnation of the borrower.
        #[serde(rename = "i")]
        incarnation: Incarnation,
        /// What the borrower holds and wants, by cap.
        #[serde(rename = "a")]
        asks: Vec<Ask>,
    },
    /// From a lender to a borrower.
    #[serde(rename = "g")]
    Grant {
        /// The incarnation of the borrower, copied from its ask.
        #[serde(rename = "i")]
        incarnation: Incarnation,
        /// The answers.
        #[serde(rename = "g")]
        grants: Vec<Grant>,
    },
}

/// A borrower's request to a lender for quota of one cap.
#[message]
pub struct Ask {
    /// The cap.
    #[serde(rename = "k")]
    pub key: Key,
    /// The number of the ask; a higher number supersedes it.
    #[serde(rename = "n")]
    pub number: Sequence,
    /// The maximum that the borrower keeps using without a further grant. It
    /// has dropped the remainder.
    #[serde(rename = "h")]
    pub holds: u32,
    /// The amount that the borrower wants. An ask for zero gets no answer.
    #[serde(rename = "w")]
    pub wants: u32,
}

/// A lender's answer to an [`Ask`].
#[message]
pub struct Grant {
    /// The number of the ask, which identifies the cap.
    #[serde(rename = "n")]
    pub number: Sequence,
    /// The amount that the borrower may use until one lease after it sent the ask.
    #[serde(rename = "a")]
    pub amount: u32,
    /// The amount to which the borrower should shrink as its requests end, since
    /// other borrowers want a part.
    #[serde(rename = "t")]
    pub target: u32,
}
