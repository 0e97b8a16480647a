//! A request at an endpoint, from its selection to the end of the response.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::name;
use cactusnotch_route::{Attempt, attempt::End};
use cactusnotch_telemetry::metric;

use crate::admission::Forecast;
use crate::crash::BrokenRun;
use crate::fleet::Snapshot;
use crate::journal::millis;
use crate::knowledge::SharedState;
use crate::waiting;

/// How long after its first piece a run is considered harmless: twice the longest forward
/// pass at which streams are on time. Requests that crash endpoints do so within 50 ms of
/// the start of the run.
const HARMLESS_AFTER: Duration = Duration::from_millis(250);

/// A request counted at an endpoint until this is dropped.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) shared: Rc<SharedState>,
    /// The id of the request, for the log.
    pub(crate) id: Option<String>,
    pub(crate) service: String,
    pub(crate) address: SocketAddr,
    pub(crate) attempt: Attempt,
    pub(crate) end: End,
    pub(crate) pieces: u32,
    /// The prediction at the time the endpoint was selected.
    pub(crate) forecast: Forecast,
    /// The group of ranks that was drawn for it, if its service is under overload control.
    pub(crate) snapshot: Option<Snapshot>,
    /// When the request was sent; `None` before.
    pub(crate) sent: Option<Instant>,
    /// The time from sending to the first piece.
    pub(crate) first: Option<Duration>,
    /// Since when pieces have come for so long that the run counts as harmless unless its
    /// connection breaks soon.
    pub(crate) lived: Option<Instant>,
    /// The waiting queue that the start and the end of the run are reported to.
    pub(crate) line: Option<waiting::Key>,
}

impl Running {
    /// Reports the start of the run to the waiting queue, and later its end.
    pub(crate) fn track(&mut self, line: waiting::Key, now: Instant) {
        self.shared.waiting.record_start(&line, now);
        self.line = Some(line);
    }

    /// Records a piece of the response.
    pub(crate) fn record_piece(&mut self, now: Instant) {
        self.pieces += 1;
        if self.pieces == 1 {
            self.first = self.sent.map(|sent| now.saturating_duration_since(sent));
            self.shared
                .fleet
                .borrow_mut()
                .first_piece(&self.service, &mut self.attempt, now);
        }
    }

    /// Returns whether a piece that arrives now shows that no part of the prompt crashes the
    /// endpoint. The pieces before a crash may be received late and together, so that one piece
    /// long after the first is not enough.
    pub(crate) fn is_harmless(&mut self, now: Instant) -> bool {
        let Some(first) = self.sent.zip(self.first).map(|(sent, first)| sent + first) else {
            return false;
        };
        let later = |since: Instant| now.saturating_duration_since(since) > HARMLESS_AFTER;
        if let Some(lived) = self.lived {
            return later(lived);
        }
        self.lived = later(first).then_some(now);
        false
    }

    /// Records that the response is complete.
    pub(crate) const fn record_complete(&mut self) {
        self.end = End::Answered {
            pieces: self.pieces,
        };
    }

    /// Records that the endpoint failed.
    pub(crate) const fn record_failure(&mut self) {
        self.end = End::Failed;
    }

    /// Returns the run to be probed for a crash after its connection broke; `None` if it
    /// had sent data for so long that it is not the cause of a crash.
    pub(crate) fn broken_run(&self, now: Instant) -> Option<BrokenRun> {
        let sent = self.sent?;
        let given = self.first.map(|first| sent + first);
        if given.is_some_and(|given| now.saturating_duration_since(given) > HARMLESS_AFTER) {
            return None;
        }
        Some(BrokenRun {
            endpoint: self.endpoint().as_str().to_owned(),
            address: self.address,
            sent,
        })
    }

    /// Logs the predicted and the actual times of the run.
    fn log(&self, now: Instant) {
        let Some(sent) = self.sent else {
            return;
        };
        let snapshot = self.snapshot.as_ref();
        tracing::info!(
            id = self.id,
            endpoint = self.endpoint().as_str(),
            fill = self.forecast.utilisation,
            group = snapshot.map(|snapshot| snapshot.group.as_str()),
            group_fill = snapshot.map(|snapshot| snapshot.fill),
            limit = snapshot.map(|snapshot| snapshot.limit.per_slot()),
            limit_age_ms = snapshot.and_then(|snapshot| snapshot.limit_age.map(millis)),
            pass_ms = self.forecast.pass_time.map(millis),
            wait_ms = millis(self.forecast.slot_wait),
            forecast_ms = millis(self.forecast.first),
            first_ms = self.first.map(millis),
            ms = millis(now.saturating_duration_since(sent)),
            "send ended"
        );
        if let Some(first) = self.first {
            let error = first.abs_diff(self.forecast.first);
            metrics::histogram!(metric::GATEWAY_FORECAST_ERROR).record(error);
        }
    }

    /// Returns the endpoint.
    pub(crate) const fn endpoint(&self) -> &name::Endpoint {
        self.attempt.endpoint()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let now = clock::now();
        self.log(now);
        let mut fleet = self.shared.fleet.borrow_mut();
        fleet.finish(&self.service, &self.attempt, self.end, now);
        drop(fleet);
        if let Some(line) = &self.line {
            let ran = self.sent.map(|sent| now.saturating_duration_since(sent));
            self.shared.waiting.record_end(line, ran, now);
        }
    }
}
