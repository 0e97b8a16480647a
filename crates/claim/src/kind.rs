//! The kinds of keys, and the mode by which each kind is handled.

use std::time::{Duration, SystemTime};

use cactusnotch_base::Outcome;
use cactusnotch_base::name::Organisation;
use cactusnotch_base::outcome::Key;
use cactusnotch_derive::number;
use cactusnotch_ledger::Terms;
use derive_more::{Display, Error, From};
use uuid::Uuid;

use crate::ticket::{self, Signer};
use crate::{Options, ticket::PREFIX};

/// The UUID version that begins with a timestamp.
const TIMED_VERSION: usize = 7;

/// The kind of a key, determined from its text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// A signed ticket.
    Ticket,
    /// A UUID of version 7, created at this time by the caller's clock.
    Timed(SystemTime),
    /// A key without a timestamp.
    Bare,
}

impl Kind {
    /// Returns the kind of `key`.
    #[must_use]
    pub fn of(key: &Key) -> Self {
        if key.as_str().starts_with(PREFIX) {
            return Self::Ticket;
        }
        Uuid::try_parse(key.as_str())
            .ok()
            .filter(|uuid| uuid.get_version_num() == TIMED_VERSION)
            .and_then(|uuid| uuid.get_timestamp())
            .map_or(Self::Bare, |timestamp| {
                let (seconds, nanos) = timestamp.to_unix();
                Self::Timed(SystemTime::UNIX_EPOCH + Duration::new(seconds, nanos))
            })
    }
}

/// Whether keys without a timestamp are accepted.
///
/// A bare key is retained for the lifetime of keys, counted from its first
/// use. If it is used again later, it can't be distinguished from a new key
/// and its request runs again. Refuse bare keys where this is unacceptable.
#[number]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Bare {
    /// Accepts them. A key that is reused after its lifetime runs again.
    #[display("accept")]
    Accept,
    /// Refuses them.
    #[default]
    #[display("refuse")]
    Refuse,
}

/// How the agent that may run a request is determined.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Mode {
    /// The key is claimed in the platform.
    Claim,
    /// The ticket names the agent.
    Ticket(Terms),
}

/// The reason for refusing a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Error, From)]
pub enum Refusal {
    /// The key carries no timestamp.
    #[display("key: neither a ticket nor a UUID of version 7")]
    Bare,
    /// The key is older than the lifetime of keys.
    #[display("key: older than keys are remembered")]
    Stale,
    /// The timestamp of the key is in the future.
    #[display("key: made in the future")]
    Early,
    /// The ticket is not accepted.
    #[from]
    Ticket(ticket::Refusal),
}

impl Refusal {
    /// Returns the outcome of the refused request. If its key was valid at
    /// another time, the request may have run then.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Bare => Outcome::NotRun,
            Self::Stale | Self::Early => Outcome::Unknown,
            Self::Ticket(refusal) => refusal.outcome(),
        }
    }
}

/// Returns the mode for the key of a non-idempotent request received at `wall`.
///
/// # Errors
///
/// Returns a [`Refusal`] if the key is forged, foreign, too old or too early,
/// or if it is bare and bare keys are refused.
pub fn mode(
    key: &Key,
    organisation: &Organisation,
    signer: &Signer,
    bare: Bare,
    options: &Options,
    wall: SystemTime,
) -> Result<Mode, Refusal> {
    match Kind::of(key) {
        Kind::Ticket => {
            let ticket = signer.check(key, organisation, crate::shard::milliseconds(wall))?;
            Ok(Mode::Ticket(ticket.terms))
        }
        Kind::Timed(made) if made + options.lifetime <= wall => Err(Refusal::Stale),
        Kind::Timed(made) if made > wall + options.skew => Err(Refusal::Early),
        Kind::Bare if bare == Bare::Refuse => Err(Refusal::Bare),
        Kind::Timed(_) | Kind::Bare => Ok(Mode::Claim),
    }
}
