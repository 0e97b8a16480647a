//! The stored form of a claim.

use cactusnotch_base::name::Endpoint;
use cactusnotch_base::number::Incarnation;
use cactusnotch_derive::message;
use cactusnotch_ledger::{Age, Attempt, Holder, Terms, Window};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::Claim;

/// A claim as stored in the platform, with a hash in place of the key.
#[message]
#[derive(Eq, Hash)]
#[serde(from = "Compact", into = "Compact")]
pub struct Record {
    /// The hash of the request's identity.
    pub fingerprint: Uuid,
    /// A hash of the payload.
    pub digest: u64,
    /// The attempt, and the only agent that may start it.
    pub holder: Holder,
    /// The previous holder of the key, which provably never starts.
    pub from: Option<Attempt>,
}

impl From<&Claim> for Record {
    fn from(claim: &Claim) -> Self {
        Self {
            fingerprint: Uuid::from_u128(claim.identity.fingerprint()),
            digest: claim.digest,
            holder: claim.holder.clone(),
            from: claim.from,
        }
    }
}

/// A record serialized as a JSON array without field names, to keep the log
/// small.
#[derive(Serialize, Deserialize)]
struct Compact(
    Uuid,
    u64,
    Attempt,
    Option<Attempt>,
    Endpoint,
    Incarnation,
    Age,
    Age,
);

impl From<Compact> for Record {
    fn from(compact: Compact) -> Self {
        let Compact(fingerprint, digest, attempt, from, endpoint, incarnation, age, start_by) =
            compact;
        let terms = Terms {
            endpoint,
            incarnation,
            age,
        };
        let window = Window { terms, start_by };
        Self {
            fingerprint,
            digest,
            holder: Holder { attempt, window },
            from,
        }
    }
}

impl From<Record> for Compact {
    fn from(record: Record) -> Self {
        let Holder { attempt, window } = record.holder;
        Self(
            record.fingerprint,
            record.digest,
            attempt,
            record.from,
            window.terms.endpoint,
            window.terms.incarnation,
            window.terms.age,
            window.start_by,
        )
    }
}
