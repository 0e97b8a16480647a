//! What an entry believes of one endpoint.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::endpoint::Endpoint;
use crate::pace::Slowdown;
use crate::peer::Load;

/// How long an agent's word on passes counts; agents repeat it four times a
/// second.
pub(crate) const REPORT_TIME: Duration = Duration::from_millis(1_500);
/// The time after which an endpoint whose agent is not heard any more gets no work while
/// others take some: its host is frozen, cut off or gone, and without reports it would
/// look idle. Three reports in a row are lost in one of 40,000 cases where one in 30 is.
pub(crate) const UNRESPONSIVE_TIME: Duration = Duration::from_millis(800);
/// How long a rank's agent is looked for: agents answer a subscription at once, and a
/// group that forms refuses all it gets for 0.6 s, which only its agents tell.
const AGENT_WAIT_TIME: Duration = Duration::from_secs(2);

/// An endpoint with what the entry believes of it.
#[derive(Debug, Clone)]
pub(crate) struct Row {
    pub(crate) endpoint: Endpoint,
    /// Whether this entry has chosen it of a large service, or uses all.
    pub(crate) used: bool,
    /// How long a pass of its group takes, and when that was told.
    pass: Option<(Duration, Instant)>,
    /// How slow it is, as told with the pass.
    pace: Slowdown,
    /// Whether its group takes requests, as told with the pass.
    open: bool,
    /// Until when its agent is looked for, if it has not been heard.
    agent_awaited_until: Option<Instant>,
    /// A registration of an earlier start, which is taken at that time unless the known life
    /// registers itself again.
    pub(crate) earlier_start: Option<(Endpoint, Instant)>,
    /// Until when it is used though the store no longer names it.
    pub(crate) missing_until: Option<Instant>,
    /// Whether this entry shares a limit that it names.
    pub(crate) shares_limit: bool,
}

impl Row {
    /// Creates the row of an endpoint that was not known; `ranked` says whether it is
    /// a rank of a group, whose agent tells how it is, and `used` whether this entry sends
    /// requests there.
    pub(crate) fn new(endpoint: Endpoint, ranked: bool, used: bool, now: Instant) -> Self {
        Self {
            endpoint,
            used,
            pass: None,
            pace: Slowdown::default(),
            open: true,
            agent_awaited_until: ranked.then(|| now + AGENT_WAIT_TIME),
            earlier_start: None,
            missing_until: None,
            shares_limit: false,
        }
    }

    /// Takes the endpoint's newest registration.
    pub(crate) fn register(&mut self, endpoint: Endpoint) {
        self.endpoint = endpoint;
        self.earlier_start = None;
        self.missing_until = None;
    }

    /// Tells whether a load is not of this life: of one before, whose word is late, or of
    /// one whose registration is still on its way.
    pub(crate) fn is_of_other_incarnation(&self, load: &Load) -> bool {
        let told = load.born.zip(self.endpoint.born);
        told.is_some_and(|(told, known)| told != known)
    }

    /// Takes what its agent tells.
    pub(crate) fn apply_load(&mut self, load: &Load, now: Instant) {
        let endpoint = self.endpoint.id.as_str();
        if self.open != load.open {
            tracing::info!(endpoint, open = load.open, "group has opened or broken");
        }
        if self.pace != load.pace {
            let (before, pace) = (self.pace.factor(), load.pace.factor());
            tracing::info!(endpoint, before, pace, "endpoint has another pace");
        }
        self.pass = Some((Duration::from_millis(load.pass.into()), now));
        self.pace = load.pace;
        self.open = load.open;
        self.agent_awaited_until = None;
    }

    /// Returns how long a pass of its group takes, if that was told lately.
    pub(crate) fn pass(&self, now: Instant) -> Option<Duration> {
        let (pass, at) = self.pass?;
        (now.saturating_duration_since(at) < REPORT_TIME).then_some(pass)
    }

    /// Tells whether it should get nothing while others have room: it is slow, or its
    /// passes are longer than the longest pause of streams that are on time.
    pub(crate) fn is_late(&self, pause: Option<Duration>, now: Instant) -> bool {
        let pass = self.pass(now).zip(pause);
        self.pace.is_slow() || pass.is_some_and(|(pass, pause)| pass > pause)
    }

    /// Tells whether it is so slow that its streams should go on elsewhere.
    pub(crate) fn straggles(&self, now: Instant) -> bool {
        self.pace.is_straggler() && self.pass(now).is_some()
    }

    /// Tells whether it is known not to serve: its group is broken, or its agent has been
    /// heard before and is silent.
    pub(crate) fn is_lost(&self, now: Instant) -> bool {
        let silent = |at| now.saturating_duration_since(at) > UNRESPONSIVE_TIME;
        !self.open || self.pass.is_some_and(|(_, at)| silent(at))
    }

    /// Tells whether this entry sends requests there.
    pub(crate) const fn is_used(&self) -> bool {
        self.used || self.shares_limit
    }

    /// Tells whether its agent is looked for.
    pub(crate) fn is_awaiting_agent(&self, now: Instant) -> bool {
        self.is_used() && self.agent_awaited_until.is_some_and(|until| until > now)
    }
}
