//! Identifiers of connections from entries.

use cactusnotch_derive::number;
use derive_more::{Display, From, Into};

/// The number of a connection from an entry. The driver assigns the numbers
/// and never uses one twice.
#[number]
#[derive(Display, From, Into)]
#[serde(transparent)]
pub struct Link(pub u64);
