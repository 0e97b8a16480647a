//! Parts of the order of edits as the payload of spans.

use bytes::Bytes;
use cactusnotch_base::number::{Revision, Sequence};
use cactusnotch_history::{Entry, Offer, Snapshot};
use cactusnotch_objects::object::Version;
use cactusnotch_spread::Span;
use derive_more::{Display, Error};

/// A payload that is not a valid part of the order of edits.
#[derive(Debug, Display, Error)]
#[display("payload of revision {through}: {detail}")]
pub(crate) struct Error {
    through: Sequence,
    detail: String,
}

/// Returns the span that carries one entry.
pub(crate) fn entry(entry: Entry, version: Version) -> Span {
    let through = entry.revision;
    Span {
        after: Sequence(through.0.saturating_sub(1)),
        through: Sequence(through.0),
        version,
        payload: encode(&Offer::Entries(vec![entry])),
    }
}

/// Returns the span that carries the state after a revision.
pub(crate) fn snapshot(snapshot: Snapshot, version: Version) -> Span {
    let Revision(through) = snapshot.revision;
    Span {
        after: Sequence(0),
        through: Sequence(through),
        version,
        payload: encode(&Offer::Snapshot(Box::new(snapshot))),
    }
}

/// Decodes the payload of a span.
///
/// # Errors
///
/// Fails if the payload cannot be decoded, or its revisions differ from the
/// bounds of the span.
pub(crate) fn read(span: &Span) -> Result<Offer, Error> {
    let fail = |detail: String| Error {
        through: span.through,
        detail,
    };
    let offer = ciborium::from_reader(span.payload.as_ref()).map_err(|e| fail(e.to_string()))?;
    let (after, through) = bounds(&offer).ok_or_else(|| fail("contains no entries".to_owned()))?;
    if (after, through) != (span.after.0, span.through.0) {
        return Err(fail(format!(
            "bounds {after} to {through} differ from those of the span"
        )));
    }
    Ok(offer)
}

fn bounds(offer: &Offer) -> Option<(u64, u64)> {
    match offer {
        Offer::Entries(entries) => {
            let (first, last) = (entries.first()?, entries.last()?);
            Some((first.revision.0.checked_sub(1)?, last.revision.0))
        }
        Offer::Snapshot(snapshot) => Some((0, snapshot.revision.0)),
    }
}

fn encode(offer: &Offer) -> Bytes {
    let mut payload = Vec::new();
    ciborium::into_writer(offer, &mut payload).expect("parts of the order are encodable");
    Bytes::from(payload)
}
