//! Hands what was estimated and measured on to the group's next epoch.

use super::Coordinator;
use super::limit::Limit;
use crate::former::Former;
use crate::measured::Measured;

impl Coordinator {
    /// Starts from the demand and the measurements of a former epoch, if it is of the same
    /// group.
    pub(crate) fn resume(&mut self, former: Former) {
        if former.group == self.place.group {
            self.demand.resume(former.estimate);
            self.measured = former.measured;
        }
    }

    /// Returns whether the first map will be planned from the demand of a former epoch.
    pub(crate) const fn has_former_demand(&self) -> bool {
        self.demand.has_former()
    }

    /// Returns the demand and the measurements for the group's next epoch.
    pub(crate) fn into_former(self) -> Former {
        let shift_skew = self.demand.shift_skew();
        let measured = self
            .limit
            .map(Limit::into_controller)
            .map(|controller| Measured {
                controller,
                shift_skew,
            });
        Former {
            group: self.place.group,
            estimate: self.demand.into_estimate(),
            measured,
        }
    }
}
