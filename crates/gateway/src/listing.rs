//! The account of a listing: its metrics, and what the log says of it.

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_telemetry::metric;

use crate::journal::millis;
use crate::store::{Answer, Error, Kind};

/// The first page that the log mentions before the listing ends. Each later line comes after
/// twice as many pages.
const PAGES_LOGGED: u32 = 16;
/// The most characters of a name in the log; names may be as long as objects.
const NAME_CHARS_MAX: usize = 80;

/// What has been read of a listing.
#[derive(Debug)]
pub(crate) struct Account {
    kind: Kind,
    stale: bool,
    started: Instant,
    pages: u32,
    objects: usize,
    /// The last name on the last page.
    last: String,
}

impl Account {
    pub(crate) fn new(kind: Kind, stale: bool) -> Self {
        Self {
            kind,
            stale,
            started: clock::now(),
            pages: 0,
            objects: 0,
            last: String::new(),
        }
    }

    /// Records a page.
    pub(crate) fn page(&mut self, page: &Answer) {
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
                ms = millis(self.started.elapsed()),
                "listing goes on"
            );
        }
    }

    /// Records the end of the listing.
    pub(crate) fn end(&self, result: &Result<Answer, Error>) {
        let Self { kind, stale, .. } = *self;
        let (pages, objects, ms) = (self.pages, self.objects, millis(self.started.elapsed()));
        match result {
            Ok(listing) => {
                let position = listing.position;
                tracing::info!(%kind, stale, pages, objects, %position, ms, "objects listed");
            }
            Err(error) => {
                metrics::counter!(metric::LISTINGS_FAILED, "kind" => kind.to_string()).increment(1);
                let last = self.last.as_str();
                if self.pages > 0 || !error.is_unavailable() {
                    tracing::warn!(%kind, stale, pages, objects, last, %error, ms, "objects not listed");
                }
            }
        }
    }
}
