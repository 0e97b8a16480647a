//! Listings of the store's objects, which come in pages.

mod account;

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_position::Position;
use derive_more::{Display, Error};

use self::account::Account;
use crate::store::{Answer, Change, Error, Item, Kind, Unreadable};

/// The most pages of a listing. 1,300 endpoints fit even in pages of one object.
const PAGES_MAX: u32 = 4_096;
/// The most bytes of a listing that are kept: 1,300 endpoints take less than one megabyte, and
/// an agent's host has 128 MB.
const BYTES_MAX: usize = 16 << 20;
/// The time after which no further page is asked for: 1,300 endpoints come in three pages, even
/// if an answer takes a second.
const TIME_MAX: Duration = Duration::from_secs(10);
/// The most bytes of a name that a listing goes on after.
const AFTER_BYTES_MAX: usize = 2_048;

/// The objects of a kind.
#[derive(Debug)]
pub struct Listing {
    /// The objects, as the pages had them.
    pub changes: Vec<Change>,
    /// The position of the first page: a watch from there returns what has changed since.
    pub position: Position,
    /// Why objects may be missing; `None` if the listing is complete.
    pub cut: Option<Cut>,
}

impl Listing {
    /// Returns whether a watch of `kind` may continue from this listing. Of the configuration
    /// only one object is needed.
    #[must_use]
    pub fn suffices(&self, kind: Kind) -> bool {
        let is_configuration =
            |change: &Change| matches!(change.item, Ok(Some(Item::Configuration(_))));
        self.cut.is_none()
            || kind == Kind::Configuration && self.changes.iter().any(is_configuration)
    }
}

/// Why a listing has ended though the store has more objects.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Cut {
    /// A page ended with a name that the listing had already gone on after.
    #[display("page {page} ends where an earlier one did")]
    Repeated {
        /// The number of the page, from 1.
        page: u32,
    },
    /// A page had no object with a name to go on after.
    #[display("page {page} has no name to go on after")]
    Nameless {
        /// The number of the page, from 1.
        page: u32,
    },
    /// The store refused a further page, or it could not be decoded.
    #[display("page {page}: {detail}")]
    Refused {
        /// The number of the page, from 1.
        page: u32,
        /// What the store or the decoder said.
        detail: String,
    },
    /// The listing has reached its bound of pages, bytes or time.
    #[display("{pages} pages and {bytes} bytes in {time:?}")]
    Bound {
        /// The pages.
        pages: u32,
        /// The bytes that are kept of them.
        bytes: usize,
        /// The time since the first page was asked for.
        time: Duration,
    },
}

/// What follows a page.
#[derive(Debug)]
pub enum Step {
    /// Asks for another page.
    Next(Pages),
    /// The listing has ended.
    End(Result<Listing, Error>),
}

/// The pages of a listing that have been read. The listing ends whatever the store answers: each
/// page has to end with a new name, and pages, bytes and time are bounded.
#[derive(Debug)]
pub struct Pages {
    account: Account,
    started: Instant,
    /// Empty until the first page.
    changes: Vec<Change>,
    position: Option<Position>,
    /// The names that the listing has gone on after, sorted.
    passed: Vec<String>,
    after: Option<String>,
    bytes: usize,
}

impl Pages {
    /// Begins a listing.
    #[must_use]
    pub const fn new(kind: Kind, stale: bool, now: Instant) -> Self {
        Self {
            account: Account::new(kind, stale, now),
            started: now,
            changes: Vec::new(),
            position: None,
            passed: Vec::new(),
            after: None,
            bytes: 0,
        }
    }

    /// Returns the name after which the next page begins, `None` for the first page.
    #[must_use]
    pub fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// Adds the answer to the call for the next page.
    #[must_use]
    pub fn add(mut self, page: Result<Answer, Error>, now: Instant) -> Step {
        let page = match page {
            Ok(page) => page,
            Err(error) => return Step::End(self.fail(error, now)),
        };
        let position = *self.position.get_or_insert(page.position);
        if page.position.era() != position.era() {
            return Step::End(self.fail(Error::HistoryGone, now));
        }
        self.account.page(&page, now);
        self.bytes += page.changes.iter().map(bytes).sum::<usize>();
        // A listing can't go on after an object without a name.
        let named = |change: &&Change| !change.name.is_empty();
        let last = page.changes.iter().rfind(named);
        let after = last.map(|change| bounded(&change.name));
        self.changes.extend(page.changes);
        if !page.more {
            return Step::End(Ok(self.end(position, None, now)));
        }
        match self.advance(after, now) {
            Ok(()) => Step::Next(self),
            Err(cut) => Step::End(Ok(self.end(position, Some(cut), now))),
        }
    }

    /// Sets the name to go on after, if that leads to other objects.
    fn advance(&mut self, after: Option<String>, now: Instant) -> Result<(), Cut> {
        let pages = self.account.pages();
        let time = now.saturating_duration_since(self.started);
        let after = after.ok_or(Cut::Nameless { page: pages })?;
        let Err(at) = self.passed.binary_search(&after) else {
            return Err(Cut::Repeated { page: pages });
        };
        if pages >= PAGES_MAX || self.bytes >= BYTES_MAX || time >= TIME_MAX {
            let bytes = self.bytes;
            return Err(Cut::Bound { pages, bytes, time });
        }
        self.passed.insert(at, after.clone());
        self.after = Some(after);
        Ok(())
    }

    /// Ends the listing with a failed call. What was read before a refusal remains of use.
    fn fail(self, error: Error, now: Instant) -> Result<Listing, Error> {
        if let (Some(position), true) = (self.position, error.is_refusal()) {
            let (page, detail) = (self.account.pages() + 1, error.to_string());
            return Ok(self.end(position, Some(Cut::Refused { page, detail }), now));
        }
        self.account.fail(&error, now);
        Err(error)
    }

    fn end(self, position: Position, cut: Option<Cut>, now: Instant) -> Listing {
        self.account.end(position, cut.as_ref(), now);
        Listing {
            changes: self.changes,
            position,
            cut,
        }
    }
}

/// Returns the name after which a listing goes on that has read `name`. After a name that is
/// too long for a target, objects that have its first bytes in common are passed over; no server
/// has such a name.
fn bounded(name: &str) -> String {
    if name.len() <= AFTER_BYTES_MAX {
        return name.to_owned();
    }
    let mut after = name[..name.floor_char_boundary(AFTER_BYTES_MAX)].to_owned();
    after.push(char::MAX);
    after
}

/// Returns about how many bytes a change keeps.
fn bytes(change: &Change) -> usize {
    let content = match &change.item {
        Ok(Some(Item::Endpoint(endpoint))) => {
            let texts = [&endpoint.id, &endpoint.instance, &endpoint.service];
            texts.into_iter().map(String::len).sum::<usize>() + endpoint.data_centre.len()
        }
        Ok(Some(Item::Entry(entry))) => entry.host.len() + entry.data_centre.len(),
        Err(Unreadable { detail, .. }) => detail.len(),
        Ok(_) => 0,
    };
    size_of::<Change>() + change.name.len() + content
}
