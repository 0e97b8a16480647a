//! The eras of a store, as observed by one process.

use std::cell::Cell;

use cactusnotch_base::clock::Instant;
use tokio::sync::Notify;

use crate::era::Era;

/// How the era of an answer of the store relates to the current era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The answer belongs to the current era.
    Current,
    /// The answer belongs to a newer era: the store was restored from an older copy.
    Newer,
    /// The answer belongs to an era that has ended, so its content may have been lost.
    Ended,
}

#[derive(Debug, Clone, Copy)]
struct Current {
    era: Era,
    /// When this process first observed the era, or received a report of it.
    first_seen: Instant,
    /// Since when the store is known to serve calls in the era. An unavailable store may refuse
    /// calls in its new era, and cannot be written to until it serves.
    serving: Option<Instant>,
    /// Whether the era may have begun recently, so that some of the data lost with the earlier
    /// era may not have been rewritten.
    may_be_unsettled: bool,
}

/// The eras of a store, as observed by one process. Only the store's own answers end an era;
/// a report by another process is only a reason to query the store.
#[derive(Debug, Default)]
pub struct Eras {
    current: Cell<Option<Current>>,
    /// The last era reported by another process, with the time of the report.
    reported: Cell<Option<(Era, Instant)>>,
    /// Whether the store must be queried because of that report.
    unconfirmed: Cell<bool>,
    changed: Notify,
}

impl Eras {
    /// Records the era named in an answer of the store.
    pub fn observe(&self, era: Era, now: Instant) -> Observation {
        self.unconfirmed.set(false);
        let known = self.current.get();
        match known {
            Some(known) if era < known.era => return Observation::Ended,
            Some(known) if era == known.era => return Observation::Current,
            _ => {}
        }
        let reported = self.reported.get().filter(|(reported, _)| *reported == era);
        self.current.set(Some(Current {
            era,
            first_seen: reported.map_or(now, |(_, at)| at),
            serving: None,
            may_be_unsettled: known.is_some() || era > Era::default(),
        }));
        let Some(known) = known else {
            return Observation::Current;
        };
        tracing::warn!(
            era = era.0,
            before = known.era.0,
            "store came back from an older copy"
        );
        self.changed.notify_waiters();
        Observation::Newer
    }

    /// Records that the store has served a call in the current era. If another process reported
    /// this era earlier, the time of that report counts.
    pub fn record_served(&self, now: Instant) {
        let current = self.current.get();
        let Some(known) = current.filter(|known| known.serving.is_none()) else {
            return;
        };
        let reported = self
            .reported
            .get()
            .filter(|(reported, _)| *reported == known.era);
        let serving = Some(reported.map_or(now, |(_, at)| at));
        self.current.set(Some(Current { serving, ..known }));
    }

    /// Records that the store serves again after an outage. If the era is unsettled, the data
    /// lost at its beginning can be rewritten only from now on.
    pub fn record_return(&self, now: Instant) {
        if let Some(known) = self.current.get().filter(|known| known.may_be_unsettled) {
            let serving = known.serving.max(Some(now));
            self.current.set(Some(Current { serving, ..known }));
        }
    }

    /// Records a report by another process that it was served in `era`. The era is unconfirmed
    /// until the store is queried.
    pub fn record_report(&self, era: Era, now: Instant) {
        let is_repeated = self
            .reported
            .get()
            .is_some_and(|(reported, _)| reported == era);
        if era <= self.current() || is_repeated {
            return;
        }
        tracing::info!(
            era = era.0,
            known = self.current().0,
            "another process knows a newer era of the store"
        );
        self.reported.set(Some((era, now)));
        self.unconfirmed.set(true);
        self.changed.notify_waiters();
    }

    /// Marks `era` as settled: it has lasted long enough for the data lost with the earlier era
    /// to be rewritten. Returns true if it is the current era and was unsettled.
    pub fn settle(&self, era: Era) -> bool {
        let current = self.current.get();
        let Some(known) = current.filter(|known| known.era == era && known.may_be_unsettled) else {
            return false;
        };
        self.current.set(Some(Current {
            may_be_unsettled: false,
            ..known
        }));
        true
    }

    /// Returns whether the store must be queried because another process reported a newer era.
    #[must_use]
    pub const fn is_unconfirmed(&self) -> bool {
        self.unconfirmed.get()
    }

    /// Returns the newest era.
    #[must_use]
    pub fn current(&self) -> Era {
        self.current
            .get()
            .map_or_else(Era::default, |known| known.era)
    }

    /// Returns since when the store is known to serve in the current era, if the era is
    /// unsettled: the store may have been restored from an older copy recently.
    #[must_use]
    pub fn unsettled_since(&self) -> Option<Instant> {
        let known = self.current.get()?;
        let since = known.serving.unwrap_or(known.first_seen);
        known.may_be_unsettled.then_some(since)
    }

    /// Waits until a newer era is observed or reported.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
