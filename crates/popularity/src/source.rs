//! The state kept for each rank.

use cactusnotch_base::number::Incarnation;

use crate::report::Report;
use crate::speed::Speed;
use crate::window::Window;

/// The state of one rank as a source of reports.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Source {
    incarnation: Incarnation,
    window: Window,
    pub(crate) speed: Speed,
}

impl Source {
    /// Records a report and returns whether it is new.
    pub(crate) fn admit(&mut self, report: &Report) -> bool {
        if report.incarnation < self.incarnation {
            return false;
        }
        if report.incarnation > self.incarnation {
            *self = Self {
                incarnation: report.incarnation,
                ..Self::default()
            };
        }
        self.window.admit(report.sequence)
    }
}
