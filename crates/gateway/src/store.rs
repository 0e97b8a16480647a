//! The platform's store as an entry or an agent uses it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use cactusnotch_base::clock;
use cactusnotch_derive::record;
use cactusnotch_position::eras::Seen;
use cactusnotch_position::{Era, Eras, Position};
use derive_more::{Display, Error};
use http::{HeaderMap, Request, StatusCode};

use crate::channel;
use crate::client::Client;
use crate::content::Fingerprint;
use crate::peer::Entry;
use crate::{Configuration, Endpoint};

/// The longest time to connect to the store; it stands in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// The longest time for a call that does not wait for changes. The store
/// answers in milliseconds; sixty times as slow is within this.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest answer that is read: an object has at most a megabyte, and a
/// page about as much again.
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
    /// Entries, which register themselves, and what they keep for each other.
    #[display("entries")]
    Entries,
    /// The data centres that operators have emptied.
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
    /// A record that a request is held.
    QuarantineRecord(QuarantineRecord),
    /// The record of the newest era in which an entry has proved the configuration.
    SettledEra(Era),
    /// The object's name is that of a data centre which operators have emptied.
    Evacuation,
}

/// A record that a request is kept from endpoints, since it ends them.
#[record]
#[derive(Copy)]
pub struct QuarantineRecord {
    /// What all attempts of the request have in common.
    pub content: Fingerprint,
    /// Until when, by the time of day: the record outlives all steady clocks, and some
    /// seconds more or less of an hour matter to nobody.
    pub until: SystemTime,
}

/// A change of an object.
#[derive(Debug)]
pub struct Change {
    /// The object's name.
    pub name: String,
    /// Its content, `None` if it is gone, or why it can't be read.
    pub item: Result<Option<Item>, Unreadable>,
}

/// Why an object or an answer can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{kind}: {detail}")]
pub struct Unreadable {
    /// What was to be read.
    pub kind: Kind,
    /// What is wrong with it.
    pub detail: String,
}

/// What the store answered to a listing or a watch.
#[derive(Debug)]
pub struct Answer {
    /// The objects or changes in order.
    pub changes: Vec<Change>,
    /// The position up to which they are complete.
    pub position: Position,
    /// Whether more objects follow the last of these.
    pub more: bool,
}

/// How calls to the store are written and its answers read.
pub trait Codec: 'static {
    /// Writes the call that lists objects after the name `after`. A `stale`
    /// listing may be seconds old.
    fn list(kind: Kind, after: Option<&str>, stale: bool) -> Request<Bytes>;

    /// Writes the call that waits for changes after `from`.
    fn watch(kind: Kind, from: Position, wait: Duration) -> Request<Bytes>;

    /// Writes the call that creates an entry's object.
    fn create(entry: &Entry) -> Request<Bytes>;

    /// Writes the call that replaces an entry's object.
    fn replace(entry: &Entry) -> Request<Bytes>;

    /// Writes the call that removes an entry's object.
    fn remove(host: &str) -> Request<Bytes>;

    /// Writes the call that creates the record of a held request.
    fn create_quarantine(record: &QuarantineRecord) -> Request<Bytes>;

    /// Writes the call that removes the record of a held request.
    fn remove_quarantine(content: Fingerprint) -> Request<Bytes>;

    /// Writes the call that creates the record of a settled era.
    fn create_settled_era(era: Era) -> Request<Bytes>;

    /// Writes the call that replaces the record of a settled era.
    fn replace_settled_era(era: Era) -> Request<Bytes>;

    /// Reads the era that the store states in the head of an answer, the first one if it
    /// states none; `None` if that can't be read.
    fn era(head: &HeaderMap) -> Option<Era>;

    /// Writes an era into the head of an answer, as the store does.
    fn write_era(era: Era, head: &mut HeaderMap);

    /// Reads the answer to a listing, which was given in `era`.
    ///
    /// # Errors
    ///
    /// Returns why the whole answer can't be read.
    fn parse_listing(kind: Kind, era: Era, body: &[u8]) -> Result<Answer, Unreadable>;

    /// Reads the answer to a watch, which was given in `era`.
    ///
    /// # Errors
    ///
    /// Returns why the whole answer can't be read.
    fn parse_watch(kind: Kind, era: Era, body: &[u8]) -> Result<Answer, Unreadable>;
}

/// An answer to a watch, and how it was written.
#[derive(Debug)]
pub struct WatchAnswer {
    /// The answer.
    pub answer: Answer,
    /// The answer as the store wrote it, for others that need the same.
    pub body: Bytes,
}

/// Why a call to the store failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// There was no answer; the call may have been done.
    #[display("{_0}")]
    Channel(channel::Error),
    /// The store refused the call.
    #[display("the store refused the call with {_0}")]
    Refused(#[error(not(source))] StatusCode),
    /// The changes since the revision are no longer there.
    #[display("the store no longer has the changes since then")]
    HistoryGone,
    /// The answer can't be read.
    #[display("unreadable answer: {_0}")]
    Unreadable(Unreadable),
    /// The answer's era can't be read, so that nothing in it has a place.
    #[display("the answer's era can't be read")]
    EraUnreadable,
    /// The answer is of an era that has ended: what it says may be gone.
    #[display("the answer is of an era of the store that has ended")]
    EraEnded,
}

/// A connection to the store, opened when it is needed.
#[derive(Debug)]
pub struct Store<C> {
    client: Client,
    eras: Rc<Eras>,
    codec: std::marker::PhantomData<C>,
}

impl<C: Codec> Store<C> {
    /// Creates a client of the store at `address`, which takes the eras of its answers into
    /// `eras`.
    #[must_use]
    pub const fn new(address: SocketAddr, eras: Rc<Eras>) -> Self {
        Self {
            client: Client::new(address, CONNECT_TIMEOUT, ANSWER_MAX),
            eras,
            codec: std::marker::PhantomData,
        }
    }

    /// Lists all objects of a kind, with the position that the list shows.
    ///
    /// # Errors
    ///
    /// Returns why a call failed; [`Error::HistoryGone`] if the store came back from an older
    /// copy between two pages.
    pub async fn list(&mut self, kind: Kind, stale: bool) -> Result<Answer, Error> {
        let mut whole = self.page(kind, None, stale).await?;
        while whole.more {
            // One without a name can't be continued from.
            let named = |change: &&Change| !change.name.is_empty();
            let after = whole.changes.iter().rfind(named);
            let Some(after) = after.map(|change| change.name.clone()) else {
                let detail = "a page without a name to go on from".to_owned();
                return Err(Error::Unreadable(Unreadable { kind, detail }));
            };
            let page = self.page(kind, Some(&after), stale).await?;
            if page.position.era() != whole.position.era() {
                return Err(Error::HistoryGone);
            }
            // Changes between two pages are seen by a watch from the first.
            whole.more = page.more && !page.changes.is_empty();
            whole.changes.extend(page.changes);
        }
        Ok(whole)
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
    /// Returns why the call failed; [`Error::HistoryGone`] asks for a new
    /// listing.
    pub async fn watch(
        &mut self,
        kind: Kind,
        from: Position,
        wait: Duration,
    ) -> Result<WatchAnswer, Error> {
        let watched = self
            .watched(kind, C::watch(kind, from, wait), wait + CALL_TIMEOUT)
            .await?;
        // The same revision stands for another change there.
        if watched.answer.position.era() != from.era() {
            return Err(Error::HistoryGone);
        }
        Ok(watched)
    }

    /// Asks another entry, which this client leads to, for the store's last answer on `kind`
    /// that it hands out, in whichever era that was given.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub async fn fetch_cached(&mut self, kind: Kind) -> Result<WatchAnswer, Error> {
        let call = C::watch(kind, Position::default(), Duration::ZERO);
        self.watched(kind, call, CALL_TIMEOUT).await
    }

    async fn watched(
        &mut self,
        kind: Kind,
        call: Request<Bytes>,
        limit: Duration,
    ) -> Result<WatchAnswer, Error> {
        let (era, body) = self.call(call, limit).await?;
        let answer = C::parse_watch(kind, era, &body).map_err(Error::Unreadable)?;
        Ok(WatchAnswer { answer, body })
    }

    /// Makes an entry known, also if a former one stands there.
    ///
    /// # Errors
    ///
    /// Returns why it could not be made known; it may be known all the same.
    pub async fn register(&mut self, entry: &Entry) -> Result<(), Error> {
        self.put(C::create(entry), C::replace(entry)).await
    }

    /// Writes the record of an era in which an entry has proved the configuration.
    ///
    /// # Errors
    ///
    /// Returns why it could not be written; it may be written all the same.
    pub async fn write_settled_era(&mut self, era: Era) -> Result<(), Error> {
        self.put(C::create_settled_era(era), C::replace_settled_era(era))
            .await
    }

    /// Creates an object, or replaces the one that stands there.
    async fn put(&mut self, create: Request<Bytes>, replace: Request<Bytes>) -> Result<(), Error> {
        match self.call(create, CALL_TIMEOUT).await {
            Err(Error::Refused(StatusCode::CONFLICT)) => {
                self.call(replace, CALL_TIMEOUT).await.map(drop)
            }
            result => result.map(drop),
        }
    }

    /// Removes an entry.
    ///
    /// # Errors
    ///
    /// Returns why it could not be removed; it may be removed all the same.
    pub async fn deregister(&mut self, host: &str) -> Result<(), Error> {
        self.call(C::remove(host), CALL_TIMEOUT).await.map(drop)
    }

    /// Writes the record of a held request.
    ///
    /// # Errors
    ///
    /// Returns why it could not be written; it may be written all the same.
    pub async fn create_quarantine(&mut self, record: &QuarantineRecord) -> Result<(), Error> {
        self.call(C::create_quarantine(record), CALL_TIMEOUT)
            .await
            .map(drop)
    }

    /// Removes the record of a held request.
    ///
    /// # Errors
    ///
    /// Returns why it could not be removed; it may be removed all the same.
    pub async fn remove_quarantine(&mut self, content: Fingerprint) -> Result<(), Error> {
        self.call(C::remove_quarantine(content), CALL_TIMEOUT)
            .await
            .map(drop)
    }

    /// Makes a call; returns the body of a success and the era in which it was given.
    async fn call(
        &mut self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<(Era, Bytes), Error> {
        let answer = self.client.call(request, limit).await;
        let answer = answer.map_err(Error::Channel)?;
        let era = C::era(answer.headers()).ok_or(Error::EraUnreadable)?;
        let (now, status) = (clock::now(), answer.status());
        if self.eras.see(era, now) == Seen::Ended {
            return Err(Error::EraEnded);
        }
        let is_unavailable = status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS;
        if !is_unavailable {
            self.eras.serve(now);
        }
        match status {
            status if status.is_success() => Ok((era, answer.into_body())),
            StatusCode::GONE => Err(Error::HistoryGone),
            status => Err(Error::Refused(status)),
        }
    }
}
