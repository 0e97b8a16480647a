//! The account of a listing: its metrics, and what the log says of it.

use cactusnotch_base::clock::Instant;
use cactusnotch_position::Position;
use cactusnotch_telemetry::metric;

use super::Cut;
use crate::journal::millis;
use crate::store::{Answer, Error, Kind};

/// The first page that the log mentions before the listing ends. Each later line comes after
/// twice as many pages.
const PAGES_LOGGED: u32 = 16;
/// The most characters of a name in the log; names may be as long as objects.
const NAME_CHARS_MAX: usize = 80;

/// What has been read of a listing.
#[derive(Debug)]
pub(super) struct Account {
    kind: Kind,
    stale: bool,
    started: Instant,
    pages: u32,
    objects: usize,
    /// The last name on the last page.
    last: String,
}

impl Account {
    pub(super) const fn new(kind: Kind, stale: bool, now: Instant) -> Self {
        Self {
            kind,
            stale,
            started: now,
            pages: 0,
            objects: 0,
            last: String::new(),
        }
    }

    /// Returns how many pages have been read.
    pub(super) const fn pages(&self) -> u32 {
        self.pages
    }

    /// Records a page.
    pub(super) fn page(&mut self, page: &Answer, now: Instant) {
        self.pages += 1;
        self.objects += page.changes.len();
        self.last = page.changes.last().map_or_else(String::new, |change| {
            change.name.chars().take(NAME_CHARS_MAX).collect()
        });
        metrics::counter!(metric::LISTING_PAGES, "kind" => self.kind.to_string()).increment(1);
        if self.pages >= PAGES_LOGGED && self.pages.is_power_of_two() {
            tracing::info!(
                kind = %self.kind,
                stale = self.stale,
                pages = self.pages,
                objects = self.objects,
                last = self.last,
                position = %page.position,
                ms = self.ms(now),
                "listing goes on"
            );
        }
    }

    /// Records the end of the listing.
    pub(super) fn end(&self, position: Position, cut: Option<&Cut>, now: Instant) {
        let Some(cut) = cut else {
            tracing::info!(
                kind = %self.kind,
                stale = self.stale,
                pages = self.pages,
                objects = self.objects,
                %position,
                ms = self.ms(now),
                "objects listed"
            );
            return;
        };
        self.count_failure();
        tracing::warn!(
            kind = %self.kind,
            stale = self.stale,
            pages = self.pages,
            objects = self.objects,
            last = self.last,
            %position,
            %cut,
            ms = self.ms(now),
            "objects listed in part"
        );
    }

    /// Records a listing without a result.
    pub(super) fn fail(&self, error: &Error, now: Instant) {
        self.count_failure();
        if self.pages > 0 || !error.is_unavailable() {
            tracing::warn!(
                kind = %self.kind,
                stale = self.stale,
                pages = self.pages,
                objects = self.objects,
                last = self.last,
                %error,
                ms = self.ms(now),
                "objects not listed"
            );
        }
    }

    fn count_failure(&self) {
        metrics::counter!(metric::LISTINGS_FAILED, "kind" => self.kind.to_string()).increment(1);
    }

    fn ms(&self, now: Instant) -> u64 {
        millis(now.saturating_duration_since(self.started))
    }
}
