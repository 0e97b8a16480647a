//! What a key says of itself, and which way it goes.

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

/// The version of a UUID that begins with its time.
const TIMED_VERSION: usize = 7;

/// What a key says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// It is a signed ticket.
    Ticket,
    /// It is a UUID of version 7, made at this time by the caller's clock.
    Timed(SystemTime),
    /// It says nothing of its age.
    Bare,
}

impl Kind {
    /// Returns what `key` says of itself.
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

/// Whether keys are taken that do not say how old they are.
///
/// A bare key is remembered for the lifetime of keys since it was first used.
/// Used again after that it cannot be told from a new one, and runs. Where
/// that must not be, bare keys are refused.
#[number]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Bare {
    /// They are taken, and run again if used again after their lifetime.
    #[display("accept")]
    Accept,
    /// They are refused.
    #[default]
    #[display("refuse")]
    Refuse,
}

/// How the agent that may run a request is found.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Mode {
    /// The key is claimed.
    Claim,
    /// The ticket names the agent.
    Ticket(Terms),
}

/// Why a key is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Error, From)]
pub enum Refusal {
    /// The key does not say how old it is.
    #[display("key: neither a ticket nor a UUID of version 7")]
    Bare,
    /// The key is older than keys are remembered.
    #[display("key: older than keys are remembered")]
    Stale,
    /// The key claims to be made in the future.
    #[display("key: made in the future")]
    Early,
    /// The ticket is refused.
    #[from]
    Ticket(ticket::Refusal),
}

impl Refusal {
    /// Returns what the refusal says of the request: one whose key was good
    /// at another time may have run then.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Bare => Outcome::NotRun,
            Self::Stale | Self::Early => Outcome::Unknown,
            Self::Ticket(refusal) => refusal.outcome(),
        }
    }
}

/// Returns the way of a key of a non-idempotent request that came at `wall`.
///
/// # Errors
///
/// The [`Refusal`] of a key that is forged, foreign, too old, or bare where
/// bare keys are refused.
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
