//! The number of a queued request.

use cactusnotch_derive::number;
use derive_more::Display;

/// The number of a request that a [`crate::Gate`] has taken in.
#[number]
#[derive(Display)]
#[serde(transparent)]
pub struct Ticket(pub(crate) u64);
