//! The state that a node tracks for a peer.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::number::Sequence;
use cactusnotch_objects::object::Version;

use crate::message::Summary;
use crate::report::Report;

/// Data that was sent to a peer, and when.
#[derive(Debug, Clone, Copy)]
struct Offer<N> {
    through: N,
    at: Instant,
}

/// The state that a node tracks for a peer.
#[derive(Debug)]
pub(crate) struct Peer {
    /// Since when messages of the peer are expected.
    pub(crate) since: Instant,
    /// When the last message of the peer arrived.
    pub(crate) last_seen: Option<Instant>,
    /// When the peer was last pinged.
    pub(crate) pinged: Option<Instant>,
    /// When others were last asked to ping the peer.
    pub(crate) relayed: Option<Instant>,
    /// The stamp of the peer's last ping, which reports answer.
    pub(crate) last_stamp: Option<u64>,
    /// Whether the peer has caught up since it started.
    pub(crate) caught_up: bool,
    /// The send time of the last ping that the peer answered.
    pub(crate) answered: Option<Instant>,
    /// The newest revision that the peer has reported to hold.
    pub(crate) held: Sequence,
    /// The version of the peer's roster.
    pub(crate) roster: Version,
    /// The peer's last report, with the time at which it was requested.
    pub(crate) report: Option<(Report, Instant)>,
    /// Since when the peer has lacked the newest revision or been unresponsive.
    pub(crate) behind_since: Option<Instant>,
    spans: Option<Offer<Sequence>>,
    deltas: Option<Offer<Version>>,
}

impl Peer {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            since: now,
            last_seen: None,
            pinged: None,
            relayed: None,
            last_stamp: None,
            caught_up: false,
            answered: None,
            held: Sequence(0),
            roster: Version(0),
            report: None,
            behind_since: None,
            spans: None,
            deltas: None,
        }
    }

    /// Records the peer's summary. The values may decrease, since a restarted
    /// peer holds less than before.
    pub(crate) const fn record_summary(&mut self, summary: &Summary) {
        self.held = summary.held;
        self.roster = summary.roster;
        self.caught_up = summary.caught_up;
    }

    /// Returns the time since the peer's last message, but at most the time since
    /// [`Peer::since`].
    pub(crate) fn idle_time(&self, now: Instant) -> Duration {
        let last = self.last_seen.unwrap_or(self.since).max(self.since);
        now.saturating_duration_since(last)
    }

    /// Returns whether the peer was pinged less than `every` ago.
    pub(crate) fn pinged_within(&self, every: Duration, now: Instant) -> bool {
        within(self.pinged, every, now)
    }

    /// Returns whether others were asked to ping the peer less than `every` ago.
    pub(crate) fn relayed_within(&self, every: Duration, now: Instant) -> bool {
        within(self.relayed, every, now)
    }

    /// Returns the revision that the peer holds once what was sent less than
    /// `repeat` ago has arrived.
    pub(crate) fn expected(&self, repeat: Duration, now: Instant) -> Sequence {
        let offered = self
            .spans
            .filter(|offer| within(Some(offer.at), repeat, now));
        offered.map_or(self.held, |offer| offer.through.max(self.held))
    }

    /// Returns the version of the roster that the peer holds once what was sent
    /// less than `repeat` ago has arrived.
    pub(crate) fn expected_roster(&self, repeat: Duration, now: Instant) -> Version {
        let offered = self
            .deltas
            .filter(|offer| within(Some(offer.at), repeat, now));
        offered.map_or(self.roster, |offer| offer.through.max(self.roster))
    }

    /// Records that revisions up to `through` were sent.
    pub(crate) const fn offer(&mut self, through: Sequence, at: Instant) {
        self.spans = Some(Offer { through, at });
    }

    /// Records that the roster up to `through` was sent.
    pub(crate) const fn offer_roster(&mut self, through: Version, at: Instant) {
        self.deltas = Some(Offer { through, at });
    }

    /// Discards the record of what was sent, since the peer requests it again.
    pub(crate) const fn clear_offers(&mut self) {
        self.spans = None;
        self.deltas = None;
    }
}

fn within(at: Option<Instant>, every: Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < every)
}
