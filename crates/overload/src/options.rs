//! The operators' settings of overload control.

use std::time::Duration;

use crate::{Ceiling, Mode};

/// The operators' settings of overload control.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// The services that it applies to.
    pub mode: Mode,
    /// The fraction of the limit that each class leaves to each more urgent one.
    pub class_reserve: f64,
    /// The longest wait of a first attempt; `None` for what its target leaves.
    pub longest_wait: Option<Duration>,
    /// The upper bound of the limit of each group.
    pub group_ceiling: Ceiling,
}

impl Options {
    /// The default of [`Options::class_reserve`]. Slots are held for about 1.5 s, so this
    /// fraction becomes free within the time that a more urgent caller can wait.
    pub const CLASS_RESERVE: f64 = 0.04;
    /// The greatest [`Options::class_reserve`]: it leaves the fourth class a tenth.
    pub const CLASS_RESERVE_MAX: f64 = 0.3;
}

impl Default for Options {
    fn default() -> Self {
        Self {
            mode: Mode::default(),
            class_reserve: Self::CLASS_RESERVE,
            longest_wait: None,
            group_ceiling: Ceiling::FULL,
        }
    }
}
