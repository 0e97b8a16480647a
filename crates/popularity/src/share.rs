//! A share of an expert's traffic.

use cactusnotch_derive::number;
use derive_more::Display;

/// A share of an expert's traffic, in units of 1 / [`Share::WHOLE`].
#[number]
#[derive(Display)]
#[serde(transparent)]
pub struct Share(pub u16);

impl Share {
    /// All the traffic of an expert.
    pub const WHOLE: Self = Self(1 << 15);

    /// Returns the share as a fraction between 0 and 1.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::WHOLE.0)
    }
}
