//! What the kernel holds for a peer when the process ends.

use cactusnotch_tcp::Monitor;

use super::Delivery;

/// Has the kernel keep the rest of responses for the peer if the process ends before the peer has
/// read them.
pub(super) struct Remainder<'a> {
    pub(super) delivery: &'a Delivery,
    pub(super) monitor: &'a Monitor,
}

impl Drop for Remainder<'_> {
    fn drop(&mut self) {
        let open = self.delivery.open.borrow();
        let handed_over = open.iter().filter(|response| response.is_handed_over.get());
        if let Some(due) = handed_over.filter_map(|response| response.due.get()).max() {
            self.monitor.keep_for(due.remaining());
        }
    }
}
