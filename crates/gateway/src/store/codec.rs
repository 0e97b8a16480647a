//! What a platform's protocol has to say about its store.

use std::time::Duration;

use bytes::Bytes;
use cactusnotch_position::{Era, Position};
use http::uri::InvalidUri;
use http::{HeaderMap, Request};

use super::{Answer, Kind, QuarantineRecord, Unreadable};
use crate::content::Fingerprint;
use crate::peer::Entry;

/// An encoded call, or why it has no target.
#[derive(Debug)]
pub struct Call(pub Result<Request<Bytes>, InvalidUri>);

/// Encoding of calls to the store and decoding of its answers.
pub trait Codec: 'static {
    /// Encodes the call that lists objects after the name `after`. A `stale` listing may be
    /// seconds old.
    fn list(kind: Kind, after: Option<&str>, stale: bool) -> Call;

    /// Encodes the call that waits for changes after `from`.
    fn watch(kind: Kind, from: Position, wait: Duration) -> Call;

    /// Encodes the call that creates an entry's object.
    fn create(entry: &Entry) -> Call;

    /// Encodes the call that replaces an entry's object.
    fn replace(entry: &Entry) -> Call;

    /// Encodes the call that removes an entry's object.
    fn remove(host: &str) -> Call;

    /// Encodes the call that creates the record of a quarantined request.
    fn create_quarantine(record: &QuarantineRecord) -> Call;

    /// Encodes the call that removes the record of a quarantined request.
    fn remove_quarantine(fingerprint: Fingerprint) -> Call;

    /// Encodes the call that creates the record of a settled era.
    fn create_settled_era(era: Era) -> Call;

    /// Encodes the call that replaces the record of a settled era.
    fn replace_settled_era(era: Era) -> Call;

    /// Decodes the era from the headers of an answer; the first era if the store states none,
    /// `None` if it can't be decoded.
    fn era(head: &HeaderMap) -> Option<Era>;

    /// Adds an era to the headers of an answer, in the store's format.
    fn write_era(era: Era, head: &mut HeaderMap);

    /// Decodes the answer to a listing, which was given in `era`.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer as a whole can't be decoded.
    fn parse_listing(kind: Kind, era: Era, body: &[u8]) -> Result<Answer, Unreadable>;

    /// Decodes the answer to a watch, which was given in `era`.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer as a whole can't be decoded.
    fn parse_watch(kind: Kind, era: Era, body: &[u8]) -> Result<Answer, Unreadable>;
}
