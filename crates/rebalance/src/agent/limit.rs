//! Reports the limit of the group's running requests.

use cactusnotch_base::clock::Instant;
use cactusnotch_gateway::store;
use cactusnotch_overload::{Ceiling, Change};
use cactusnotch_telemetry::metric;

use super::Agent;
use super::sockets::Sockets;
use crate::codec::Codec;
use crate::state::Place;

/// Overheads are logged in milliseconds for the square root of the number of requests.
const MILLISECONDS_PER_SECOND: f64 = 1_000.0;

impl<C: Codec, S: store::Codec> Agent<C, S> {
    /// Sends the load to entries at once if the limit has fallen by 5% or more since they
    /// got it.
    pub(super) fn report_lower_limit(&mut self, sockets: &Sockets, now: Instant) {
        let Some(load) = &mut self.last_load else {
            return;
        };
        let (Some(group), Some(sent)) = (&load.group, load.limit) else {
            return;
        };
        let member = &self.rank.member;
        let limit = member.fallen_limit(&group.name, group.epoch, sent, now);
        if limit.is_some() {
            load.limit = limit;
            self.send_load(sockets);
        }
    }
}

/// Records the limit that the leader states, and logs a change of it.
pub(super) fn record(place: &Place, limit: Option<Ceiling>, change: Option<&Change>) {
    if let Some(limit) = limit {
        metrics::gauge!(metric::GROUP_LIMIT).set(limit.per_slot());
    }
    let Some(change) = change else {
        return;
    };
    let (pass_ms, pass_age_ms) = change
        .pass
        .map(|(pass, age)| (pass.as_millis(), age.as_millis()))
        .unzip();
    tracing::info!(
        group = place.group,
        limit = change.limit.per_slot(),
        skew = change.skew,
        overhead_ms = change.overhead * MILLISECONDS_PER_SECOND,
        pass_ms,
        pass_age_ms,
        fill = change.fill,
        "limit of the group changed"
    );
}
