//! What a leader under overload control had estimated and measured before its group formed
//! again.

use crate::estimate::Estimate;
use crate::measured::Measured;

/// What a leader under overload control had estimated and measured before its group formed
/// again.
#[derive(Debug)]
pub(crate) struct Former {
    /// The group.
    pub(crate) group: String,
    pub(crate) estimate: Estimate,
    pub(crate) measured: Measured,
}
