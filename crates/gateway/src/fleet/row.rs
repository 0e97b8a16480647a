//! The cached state of one endpoint.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_route as route;

use crate::endpoint::Endpoint;
use crate::pace::Slowdown;
use crate::peer::Load;

/// How long a reported pass duration is valid; agents send four reports per second.
pub(crate) const REPORT_TIME: Duration = Duration::from_millis(1_500);
/// Time without a report after which an endpoint gets no requests while others can take
/// them: its host is suspended, cut off or gone, and without reports it would appear idle.
/// If one datagram in 30 is lost, three reports in a row are lost in one of 40,000 cases.
pub(crate) const UNRESPONSIVE_TIME: Duration = Duration::from_millis(800);
/// How long the first report of a rank's agent is awaited. Agents answer a subscription at
/// once, and only they report that a group is still forming, which refuses all requests for
/// 0.6 s.
const AGENT_WAIT_TIME: Duration = Duration::from_secs(2);

/// An endpoint with its cached state.
#[derive(Debug, Clone)]
pub(crate) struct Row {
    pub(crate) endpoint: Endpoint,
    /// Whether this entry sends requests there: it uses all endpoints of the service, or has
    /// chosen this one for its subset.
    pub(crate) used: bool,
    /// The duration of its group's passes, with the time of the report.
    pass: Option<(Duration, Instant)>,
    /// Its slowdown, as reported with the pass duration.
    slowdown: Slowdown,
    /// Its group of ranks.
    pub(crate) group: route::Group,
    /// The requests of other entries, as reported with the pass duration.
    pub(crate) others: u32,
    /// Whether its group accepts requests, as reported with the pass duration.
    open: bool,
    /// Until when the first report of its agent is awaited, `None` once one was received.
    agent_awaited_until: Option<Instant>,
    /// A deferred registration of an earlier start, with the time at which it is accepted
    /// unless the cached incarnation registers again.
    pub(crate) earlier_start: Option<(Endpoint, Instant)>,
    /// Until when it stays in use although it is missing from the store.
    pub(crate) missing_until: Option<Instant>,
    /// Whether this entry has an allotment of its rate limit.
    pub(crate) shares_limit: bool,
}

impl Row {
    /// Creates the row of a new endpoint. `ranked` states whether it is a rank of a group,
    /// whose agent reports its state, and `used` whether this entry sends requests there.
    pub(crate) fn new(endpoint: Endpoint, ranked: bool, used: bool, now: Instant) -> Self {
        Self {
            endpoint,
            used,
            pass: None,
            slowdown: Slowdown::default(),
            group: route::Group::default(),
            others: 0,
            open: true,
            agent_awaited_until: ranked.then(|| now + AGENT_WAIT_TIME),
            earlier_start: None,
            missing_until: None,
            shares_limit: false,
        }
    }

    /// Applies the endpoint's latest registration.
    pub(crate) fn register(&mut self, endpoint: Endpoint) {
        self.endpoint = endpoint;
        self.earlier_start = None;
        self.missing_until = None;
    }

    /// Returns whether a load report is of another incarnation: of an earlier one if the
    /// report is late, or of a later one whose registration has not arrived yet.
    pub(crate) fn is_of_other_incarnation(&self, load: &Load) -> bool {
        let reported = load.born.zip(self.endpoint.born);
        reported.is_some_and(|(reported, known)| reported != known)
    }

    /// Applies the load report of its agent.
    pub(crate) fn apply_load(&mut self, load: &Load, now: Instant) {
        let endpoint = self.endpoint.id.as_str();
        if self.open != load.open {
            tracing::info!(endpoint, open = load.open, "group has opened or broken");
        }
        if self.slowdown != load.pace {
            let (before, pace) = (self.slowdown.factor(), load.pace.factor());
            tracing::info!(endpoint, before, pace, "endpoint has another pace");
        }
        self.pass = Some((Duration::from_millis(load.pass.into()), now));
        self.slowdown = load.pace;
        self.open = load.open;
        self.agent_awaited_until = None;
    }

    /// Returns the duration of its group's passes, if it was reported recently.
    pub(crate) fn pass(&self, now: Instant) -> Option<Duration> {
        let (pass, at) = self.pass?;
        (now.saturating_duration_since(at) < REPORT_TIME).then_some(pass)
    }

    /// Returns the age of the last load report while that counts: it is recent, and its group
    /// accepts requests.
    pub(crate) fn report_age(&self, now: Instant) -> Option<Duration> {
        let (_, at) = self.pass?;
        let age = now.saturating_duration_since(at);
        (self.open && age <= UNRESPONSIVE_TIME).then_some(age)
    }

    /// Returns whether its group accepts requests, as last reported.
    pub(crate) const fn is_open(&self) -> bool {
        self.open
    }

    /// Returns whether it should get no requests while others have room: it is slow, or its
    /// passes are longer than the longest event gap that its streams accept.
    pub(crate) fn should_be_avoided(&self, max_event_gap: Option<Duration>, now: Instant) -> bool {
        let pass = self.pass(now).zip(max_event_gap);
        self.slowdown.is_slow() || pass.is_some_and(|(pass, gap)| pass > gap)
    }

    /// Returns whether it is so slow that its streams should move elsewhere.
    pub(crate) fn straggles(&self, now: Instant) -> bool {
        self.slowdown.is_straggler() && self.pass(now).is_some()
    }

    /// Returns whether it is known to be out of service: its group is broken, or its agent
    /// has reported before and is now unresponsive.
    pub(crate) fn is_lost(&self, now: Instant) -> bool {
        let is_overdue = |at| now.saturating_duration_since(at) > UNRESPONSIVE_TIME;
        !self.open || self.pass.is_some_and(|(_, at)| is_overdue(at))
    }

    /// Returns whether this entry sends requests there.
    pub(crate) const fn is_used(&self) -> bool {
        self.used || self.shares_limit
    }

    /// Returns whether the first report of its agent is awaited.
    pub(crate) fn is_awaiting_agent(&self, now: Instant) -> bool {
        self.is_used() && self.agent_awaited_until.is_some_and(|until| until > now)
    }
}
