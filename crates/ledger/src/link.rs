//! Connections from entries.

use cactusnotch_derive::number;
use derive_more::{Display, From, Into};

/// One connection from an entry; the driver numbers them and never uses a
/// number twice.
#[number]
#[derive(Display, From, Into)]
#[serde(transparent)]
pub struct Link(pub u64);
