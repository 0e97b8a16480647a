//! The eras of a store, as one process sees them.

use std::cell::Cell;

use cactusnotch_base::clock::Instant;
use tokio::sync::Notify;

use crate::era::Era;

/// What an answer of the store says of its era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// It is of the newest era.
    Current,
    /// It is of a newer era than all before: the store came back from an older copy.
    Newer,
    /// It is of an era that has ended, so that what it says may be gone.
    Ended,
}

#[derive(Debug, Clone, Copy)]
struct Current {
    era: Era,
    /// When this process heard of it first.
    heard: Instant,
    /// Since when the store serves in it, as far as that is known: one that is away refuses
    /// calls in its new era already, and nobody can write to it.
    serving: Option<Instant>,
    /// Whether it may have begun shortly before, so that not all that is gone with the era
    /// before has been written again.
    may_be_young: bool,
}

/// The eras of a store, as one process sees them. Only the store's own answers end an era;
/// what others tell is a reason to ask the store.
#[derive(Debug, Default)]
pub struct Eras {
    current: Cell<Option<Current>>,
    /// What another process has told last, and when.
    told: Cell<Option<(Era, Instant)>>,
    /// Whether the store is to be asked for the sake of that.
    unconfirmed: Cell<bool>,
    changed: Notify,
}

impl Eras {
    /// Takes the era that an answer of the store names.
    pub fn observe(&self, era: Era, now: Instant) -> Observation {
        self.unconfirmed.set(false);
        let known = self.current.get();
        match known {
            Some(known) if era < known.era => return Observation::Ended,
            Some(known) if era == known.era => return Observation::Current,
            _ => {}
        }
        let told = self.told.get().filter(|(told, _)| *told == era);
        self.current.set(Some(Current {
            era,
            heard: told.map_or(now, |(_, at)| at),
            serving: None,
            may_be_young: known.is_some() || era > Era::default(),
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

    /// Takes that the store has served a call in the current era. Another process may have
    /// told before that it was served in it.
    pub fn record_served(&self, now: Instant) {
        let current = self.current.get();
        let Some(known) = current.filter(|known| known.serving.is_none()) else {
            return;
        };
        let told = self.told.get().filter(|(told, _)| *told == known.era);
        let serving = Some(told.map_or(now, |(_, at)| at));
        self.current.set(Some(Current { serving, ..known }));
    }

    /// Takes that the store serves again after an outage: what it lost when an era began that
    /// is young still can be written again from now on.
    pub fn record_return(&self, now: Instant) {
        if let Some(known) = self.current.get().filter(|known| known.may_be_young) {
            let serving = known.serving.max(Some(now));
            self.current.set(Some(Current { serving, ..known }));
        }
    }

    /// Takes that another process was served in `era`, which is in doubt until the store is asked.
    pub fn record_report(&self, era: Era, now: Instant) {
        let is_told = self.told.get().is_some_and(|(told, _)| told == era);
        if era <= self.current() || is_told {
            return;
        }
        tracing::info!(
            era = era.0,
            known = self.current().0,
            "another process knows a newer era of the store"
        );
        self.told.set(Some((era, now)));
        self.unconfirmed.set(true);
        self.changed.notify_waiters();
    }

    /// Takes that `era` is known to have lasted so long that what was lost with the era before
    /// has been written again; returns whether that was not known of the current one.
    pub fn settle(&self, era: Era) -> bool {
        let current = self.current.get();
        let Some(known) = current.filter(|known| known.era == era && known.may_be_young) else {
            return false;
        };
        self.current.set(Some(Current {
            may_be_young: false,
            ..known
        }));
        true
    }

    /// Tells whether the store is to be asked, since another process knows a newer era.
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

    /// Returns since when the store is known to serve in this era, if it may have come back
    /// from an older copy shortly before.
    #[must_use]
    pub fn unsettled_since(&self) -> Option<Instant> {
        let known = self.current.get()?;
        let since = known.serving.unwrap_or(known.heard);
        known.may_be_young.then_some(since)
    }

    /// Waits until the store has come back from an older copy, or may have.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
