//! Logs the holds that the own endpoint reports.

use cactusnotch_base::clock::Instant;
use cactusnotch_gateway::store;

use super::Agent;
use super::orders::{name, pass};
use crate::codec::Codec;
use crate::state::{Place, State};

impl<C: Codec, S: store::Codec> Agent<C, S> {
    /// Logs a change of the hold at the own endpoint with the last order of this agent, which
    /// shows whether that order or another one has changed it.
    pub(super) fn log_hold(&mut self, place: &Place, state: &State, now: Instant) {
        let held = state.maps.held;
        let before = std::mem::replace(&mut self.last_hold, held);
        if before == held {
            return;
        }
        let last = self.last_order.as_ref();
        tracing::info!(
            group = place.group,
            epoch = place.epoch,
            term = self.rank.member.term(),
            before,
            held,
            step = state.maps.step,
            sequence = state.sequence,
            last_order = last.map(|last| name(&last.order)),
            last_pass = last.and_then(|last| pass(&last.order)),
            last_order_age = ?last.map(|last| now.saturating_duration_since(last.at)),
            "hold changed"
        );
    }
}
