//! The identifier of a queued request.

use cactusnotch_derive::number;
use derive_more::Display;

/// The identifier of a request in the queue of a [`crate::Gate`].
#[number]
#[derive(Display)]
#[serde(transparent)]
pub struct Ticket(pub(crate) u64);
