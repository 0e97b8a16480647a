//! Hands what was estimated and measured on to the group's next epoch.

use super::Coordinator;
use crate::former::Former;
use crate::measured::Measured;

impl Coordinator {
    /// Keeps the demand and the measurements of a former epoch, if it is of the same group,
    /// until requests are limited. Without overload control they have no effect.
    pub(crate) fn resume(&mut self, former: Former) {
        self.former = Some(former).filter(|former| former.group == self.place.group);
    }

    /// Returns whether the first map will be planned from the demand of a former epoch.
    pub(crate) const fn has_former_demand(&self) -> bool {
        self.demand.has_former()
    }

    /// Returns the demand and the measurements for the group's next epoch, `None` without
    /// overload control.
    pub(crate) fn into_former(self) -> Option<Former> {
        let controller = self.limit?.into_controller();
        let shift_skew = self.demand.shift_skew();
        Some(Former {
            group: self.place.group,
            estimate: self.demand.into_estimate(),
            measured: Measured {
                controller,
                shift_skew,
            },
        })
    }
}
