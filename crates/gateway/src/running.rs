//! A request at an endpoint, from the choice to the end of its answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::name;
use cactusnotch_route::{Attempt, attempt::End};
use cactusnotch_telemetry::metric;

use crate::admission::Forecast;
use crate::crash::Cut;
use crate::journal::millis;
use crate::knowledge::SharedState;

/// How long after its first piece a run has shown that it does no harm: two passes of the
/// longest that streams on time allow. Endpoints that a request ends do so 50 ms after they
/// begin to run it.
const HARMLESS: Duration = Duration::from_millis(250);

/// An endpoint that holds the request, counted there until it is dropped.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) shared: Rc<SharedState>,
    /// The request's id, for the log.
    pub(crate) id: Option<String>,
    pub(crate) service: String,
    pub(crate) address: SocketAddr,
    pub(crate) attempt: Attempt,
    pub(crate) end: End,
    pub(crate) pieces: u32,
    /// What was expected when the endpoint was chosen.
    pub(crate) forecast: Forecast,
    /// When it was sent, if it was.
    pub(crate) sent: Option<Instant>,
    /// How long its first piece took.
    pub(crate) first: Option<Duration>,
}

impl Running {
    /// Notes a piece of the answer.
    pub(crate) fn piece(&mut self, now: Instant) {
        self.pieces += 1;
        if self.pieces == 1 {
            self.first = self.sent.map(|sent| now.saturating_duration_since(sent));
            self.shared
                .fleet
                .borrow_mut()
                .first_piece(&self.service, &mut self.attempt, now);
        }
    }

    /// Notes that the answer is whole.
    pub(crate) const fn whole(&mut self) {
        self.end = End::Answered {
            pieces: self.pieces,
        };
    }

    /// Notes that the endpoint failed.
    pub(crate) const fn failed(&mut self) {
        self.end = End::Failed;
    }

    /// Returns what there is to be examined when the connection of this run has broken: had
    /// it given something for a while, it would not be what ends its endpoint.
    pub(crate) fn cut(&self, now: Instant) -> Option<Cut> {
        let sent = self.sent?;
        let given = self.first.map(|first| sent + first);
        if given.is_some_and(|given| now.saturating_duration_since(given) > HARMLESS) {
            return None;
        }
        Some(Cut {
            endpoint: self.endpoint().as_str().to_owned(),
            address: self.address,
            sent,
        })
    }

    /// Writes the line that compares what was expected with what came.
    fn log(&self, now: Instant) {
        let Some(sent) = self.sent else {
            return;
        };
        tracing::info!(
            id = self.id,
            endpoint = self.endpoint().as_str(),
            fill = self.forecast.fill,
            pass_ms = self.forecast.pass.map(millis),
            wait_ms = millis(self.forecast.wait),
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
    }
}
