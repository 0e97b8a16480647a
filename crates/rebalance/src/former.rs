//! What a leader had estimated and measured before its group formed again.

use crate::estimate::Estimate;
use crate::measured::Measured;

/// What a leader had estimated and measured before its group formed again.
#[derive(Debug)]
pub(crate) struct Former {
    /// The group.
    pub(crate) group: String,
    pub(crate) estimate: Estimate,
    /// The measurements for the limit, under overload control.
    pub(crate) measured: Option<Measured>,
}
