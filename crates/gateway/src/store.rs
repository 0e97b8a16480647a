//! The client of the platform's store, used by entries and agents.

mod codec;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use cactusnotch_base::clock;
use cactusnotch_derive::record;
use cactusnotch_position::eras::Observation;
use cactusnotch_position::{Era, Eras, Position};
use derive_more::{Display, Error};
use http::StatusCode;
use http::uri::InvalidUri;

pub use self::codec::{Call, Codec};
use crate::channel;
use crate::client::Client;
use crate::content::Fingerprint;
use crate::listing::{Cut, Listing, Pages, Step};
use crate::peer::Entry;
use crate::{Configuration, Endpoint};

/// Timeout for connecting to the store, which is in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout for a call that does not wait for changes. The store answers in milliseconds;
/// sixty times as long is still within this.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of an answer, in bytes: an object has at most a megabyte, and a page about as
/// much on top.
const ANSWER_MAX: usize = 4 << 20;

/// A kind of objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Kind {
    /// The operators' configuration.
    #[display("configuration")]
    Configuration,
    /// Endpoints, which register themselves.
    #[display("endpoints")]
    Endpoints,
    /// Entries, which register themselves, and the records that they write for each other.
    #[display("entries")]
    Entries,
    /// The data centres that operators have evacuated.
    #[display("evacuations")]
    Evacuations,
}

/// The content of an object.
#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    /// The operators' configuration.
    Configuration(Box<Configuration>),
    /// An endpoint.
    Endpoint(Endpoint),
    /// An entry.
    Entry(Entry),
    /// The record of a quarantined request.
    QuarantineRecord(QuarantineRecord),
    /// The record of the latest era in which an entry has confirmed the configuration.
    SettledEra(Era),
    /// The evacuation of the data centre that the object is named after.
    Evacuation,
}

/// The record of a request or a part of prompts that is quarantined because it crashes
/// endpoints.
#[record]
pub struct QuarantineRecord {
    /// Fingerprint of the content that all attempts of the request have in common, or of the
    /// part.
    pub fingerprint: Fingerprint,
    /// Fingerprints of the parts that a request must have as well to be kept from endpoints.
    pub companions: Vec<Fingerprint>,
    /// The end of the quarantine, in wall-clock time: the record outlives any monotonic
    /// clock, and an error of seconds in an hour is harmless.
    pub until: SystemTime,
}

/// A change of an object.
#[derive(Debug)]
pub struct Change {
    /// The object's name.
    pub name: String,
    /// Its content, `None` if it was removed, or an error if it can't be read.
    pub item: Result<Option<Item>, Unreadable>,
}

/// An object or an answer that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{kind}: {detail}")]
pub struct Unreadable {
    /// The kind of objects that was read.
    pub kind: Kind,
    /// The decoder's message.
    pub detail: String,
}

/// The store's answer to a listing or a watch.
#[derive(Debug)]
pub struct Answer {
    /// The objects or changes, in order.
    pub changes: Vec<Change>,
    /// The position up to which they are complete.
    pub position: Position,
    /// Whether more objects follow on another page.
    pub more: bool,
}

/// A decoded answer to a watch with its encoded form.
#[derive(Debug)]
pub struct WatchAnswer {
    /// The answer.
    pub answer: Answer,
    /// The body as the store encoded it, for forwarding to other entries.
    pub body: Bytes,
}

/// A failed call to the store.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// There was no answer; the call may have taken effect.
    #[display("{_0}")]
    Channel(channel::Error),
    /// The store refused the call.
    #[display("the store refused the call with {_0}")]
    Refused(#[error(not(source))] StatusCode),
    /// The changes after the given position are no longer available.
    #[display("the store no longer has the changes after the given position")]
    HistoryGone,
    /// The call has an invalid target, so it was not made.
    #[display("the call's target is invalid: {_0}")]
    Target(InvalidUri),
    /// The answer can't be decoded.
    #[display("unreadable answer: {_0}")]
    Unreadable(Unreadable),
    /// The listing lacks objects that the store has.
    #[display("the listing is incomplete: {_0}")]
    Cut(Cut),
    /// The listing is older than what other entries have reported of the store.
    #[display("the listing is older than reports of other entries")]
    Outdated,
    /// The answer's era can't be decoded, so its positions can't be ordered.
    #[display("the answer's era can't be read")]
    EraUnreadable,
    /// The answer is of an era that has ended; its content may have been lost.
    #[display("the answer is of an era of the store that has ended")]
    EraEnded,
}

impl Error {
    /// Returns whether the store gave no answer, or served no call at all.
    #[must_use]
    pub fn is_unavailable(&self) -> bool {
        match self {
            Self::Channel(_) => true,
            Self::Refused(status) => is_unavailable(*status),
            _ => false,
        }
    }

    /// Returns whether only this call failed: the store is there.
    #[must_use]
    pub fn is_refusal(&self) -> bool {
        match self {
            Self::Refused(status) => !is_unavailable(*status),
            Self::Unreadable(_) | Self::Target(_) | Self::Cut(_) | Self::Outdated => true,
            Self::Channel(_) | Self::HistoryGone | Self::EraUnreadable | Self::EraEnded => false,
        }
    }
}

fn is_unavailable(status: StatusCode) -> bool {
    status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS
}

/// A client of the store, which connects on demand.
#[derive(Debug)]
pub struct Store<C> {
    client: Client,
    eras: Rc<Eras>,
    codec: std::marker::PhantomData<C>,
}

impl<C: Codec> Store<C> {
    /// Creates a client of the store at `address`, which records the eras of its answers in
    /// `eras`.
    #[must_use]
    pub const fn new(address: SocketAddr, eras: Rc<Eras>) -> Self {
        Self {
            client: Client::new(address, CONNECT_TIMEOUT, ANSWER_MAX),
            eras,
            codec: std::marker::PhantomData,
        }
    }

    /// Lists the objects of a kind. The listing is complete unless it was cut.
    ///
    /// # Errors
    ///
    /// Returns an error if a call failed, unless the store refused a page but the first;
    /// [`Error::HistoryGone`] if the store was restored from an older copy between two pages.
    pub async fn list(&mut self, kind: Kind, stale: bool) -> Result<Listing, Error> {
        let mut pages = Pages::new(kind, stale, clock::now());
        loop {
            let page = self.page(kind, pages.after(), stale).await;
            match pages.add(page, clock::now()) {
                Step::Next(next) => pages = next,
                Step::End(result) => return result,
            }
        }
    }

    async fn page(
        &mut self,
        kind: Kind,
        after: Option<&str>,
        stale: bool,
    ) -> Result<Answer, Error> {
        let (era, body) = self.call(C::list(kind, after, stale), CALL_TIMEOUT).await?;
        C::parse_listing(kind, era, &body).map_err(Error::Unreadable)
    }

    /// Waits at most `wait` for changes after `from`.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed; after [`Error::HistoryGone`] a new listing is
    /// needed.
    pub async fn watch(
        &mut self,
        kind: Kind,
        from: Position,
        wait: Duration,
    ) -> Result<WatchAnswer, Error> {
        let watched = self
            .watched(kind, C::watch(kind, from, wait), wait + CALL_TIMEOUT)
            .await?;
        // The same revision denotes another change in another era.
        if watched.answer.position.era() != from.era() {
            return Err(Error::HistoryGone);
        }
        Ok(watched)
    }

    /// Fetches the store's last answer on `kind` that another entry, at this client's
    /// address, has cached. It may be of any era.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry has no answer or the call failed.
    pub async fn fetch_cached(&mut self, kind: Kind) -> Result<WatchAnswer, Error> {
        let call = C::watch(kind, Position::default(), Duration::ZERO);
        self.watched(kind, call, CALL_TIMEOUT).await
    }

    async fn watched(
        &mut self,
        kind: Kind,
        call: Call,
        timeout: Duration,
    ) -> Result<WatchAnswer, Error> {
        let (era, body) = self.call(call, timeout).await?;
        let answer = C::parse_watch(kind, era, &body).map_err(Error::Unreadable)?;
        Ok(WatchAnswer { answer, body })
    }

    /// Registers an entry, replacing an earlier registration.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed; the registration may have taken effect.
    pub async fn register(&mut self, entry: &Entry) -> Result<(), Error> {
        self.put(C::create(entry), C::replace(entry)).await
    }

    /// Writes the record of an era in which an entry has confirmed the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed; the record may have been written.
    pub async fn write_settled_era(&mut self, era: Era) -> Result<(), Error> {
        self.put(C::create_settled_era(era), C::replace_settled_era(era))
            .await
    }

    /// Creates an object, or replaces an existing one.
    async fn put(&mut self, create: Call, replace: Call) -> Result<(), Error> {
        match self.call(create, CALL_TIMEOUT).await {
            Err(Error::Refused(StatusCode::CONFLICT)) => {
                self.call(replace, CALL_TIMEOUT).await.map(drop)
            }
            result => result.map(drop),
        }
    }

    /// Removes the registration of an entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed; the registration may have been removed.
    pub async fn deregister(&mut self, host: &str) -> Result<(), Error> {
        self.call(C::remove(host), CALL_TIMEOUT).await.map(drop)
    }

    /// Creates the record of a quarantined request.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed; the record may have been written.
    pub async fn create_quarantine(&mut self, record: &QuarantineRecord) -> Result<(), Error> {
        self.call(C::create_quarantine(record), CALL_TIMEOUT)
            .await
            .map(drop)
    }

    /// Removes the record of a quarantined request.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed; the record may have been removed.
    pub async fn remove_quarantine(&mut self, fingerprint: Fingerprint) -> Result<(), Error> {
        self.call(C::remove_quarantine(fingerprint), CALL_TIMEOUT)
            .await
            .map(drop)
    }

    /// Makes a call; returns the body of a successful answer and its era.
    async fn call(&mut self, request: Call, timeout: Duration) -> Result<(Era, Bytes), Error> {
        let request = request.0.map_err(Error::Target)?;
        let answer = self.client.call(request, timeout).await;
        let answer = answer.map_err(Error::Channel)?;
        let era = C::era(answer.headers()).ok_or(Error::EraUnreadable)?;
        let (now, status) = (clock::now(), answer.status());
        if self.eras.observe(era, now) == Observation::Ended {
            return Err(Error::EraEnded);
        }
        if !is_unavailable(status) {
            self.eras.record_served(now);
        }
        match status {
            status if status.is_success() => Ok((era, answer.into_body())),
            StatusCode::GONE => Err(Error::HistoryGone),
            status => Err(Error::Refused(status)),
        }
    }
}
