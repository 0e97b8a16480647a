//! Signed keys that name the agent which may run their request.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD as BASE64;
use cactusnotch_base::Outcome;
use cactusnotch_base::name::Organisation;
use cactusnotch_base::outcome::Key;
use cactusnotch_derive::message;
use cactusnotch_ledger::Terms;
use derive_more::{Display, Error};
use hmac::{Hmac, Mac as _};
use sha2::Sha256;
use uuid::Uuid;

/// The prefix of keys that are tickets.
pub const PREFIX: &str = "cnt1.";

/// The domain separator signed before the payload, so that no other signature
/// made with the secret is valid for a ticket.
const DOMAIN: &[u8] = b"cactusnotch ticket 1";

/// The maximum length of a ticket in bytes; longer keys are not parsed.
const LENGTH_MAX: usize = 1024;

/// A signed key that names the agent which may run its request.
#[message]
#[derive(Eq, Hash)]
pub struct Ticket {
    /// The organisation that may use the ticket.
    pub organisation: Organisation,
    /// The agent, with an age that it reported before the ticket was issued.
    pub terms: Terms,
    /// When the ticket was issued, in milliseconds since the Unix epoch.
    pub issued_ms: u64,
    /// When the ticket expires, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// A random number that makes the ticket unique.
    pub nonce: Uuid,
}

/// The reason for refusing a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Error)]
pub enum Refusal {
    /// The ticket was not signed with the secret.
    #[display("ticket: the signature does not fit")]
    Forged,
    /// The ticket belongs to another organisation.
    #[display("ticket: issued to another organisation")]
    Foreign,
    /// The ticket has expired.
    #[display("ticket: expired")]
    Expired,
}

impl Refusal {
    /// Returns the outcome of the refused request. With a forged or foreign
    /// ticket no request of this caller ever ran; with an expired ticket the
    /// request may have run earlier.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Forged | Self::Foreign => Outcome::NotRun,
            Self::Expired => Outcome::Unknown,
        }
    }
}

/// Signs and verifies tickets.
#[derive(Clone)]
pub struct Signer {
    keyed: Hmac<Sha256>,
}

impl std::fmt::Debug for Signer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Signer").finish_non_exhaustive()
    }
}

impl Signer {
    /// Creates a signer from the secret shared by all entries.
    ///
    /// # Panics
    ///
    /// Never panics: HMAC accepts secrets of any length.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        let mut keyed =
            Hmac::<Sha256>::new_from_slice(secret).expect("HMAC accepts keys of any length");
        keyed.update(DOMAIN);
        Self { keyed }
    }

    /// Signs the ticket and returns it as a key.
    ///
    /// # Panics
    ///
    /// Never panics: every ticket can be serialized as CBOR.
    #[must_use]
    pub fn sign(&self, ticket: &Ticket) -> Key {
        let mut payload = Vec::new();
        ciborium::into_writer(ticket, &mut payload).expect("a ticket can be serialized as CBOR");
        let signature = self.keyed.clone().chain_update(&payload).finalize();
        let payload = BASE64.encode(payload);
        let signature = BASE64.encode(signature.into_bytes());
        Key::new(format!("{PREFIX}{payload}.{signature}"))
    }

    /// Verifies that `key` is a ticket that `organisation` may use at `wall_ms`,
    /// in milliseconds since the Unix epoch, and returns the ticket.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the ticket is forged, foreign or expired.
    pub fn check(
        &self,
        key: &Key,
        organisation: &Organisation,
        wall_ms: u64,
    ) -> Result<Ticket, Refusal> {
        let ticket = self.open(key.as_str()).ok_or(Refusal::Forged)?;
        if ticket.organisation != *organisation {
            return Err(Refusal::Foreign);
        }
        if wall_ms >= ticket.expires_ms {
            return Err(Refusal::Expired);
        }
        Ok(ticket)
    }

    fn open(&self, text: &str) -> Option<Ticket> {
        if text.len() > LENGTH_MAX {
            return None;
        }
        let (payload, signature) = text.strip_prefix(PREFIX)?.split_once('.')?;
        let payload = BASE64.decode(payload).ok()?;
        let signature = BASE64.decode(signature).ok()?;
        let keyed = self.keyed.clone().chain_update(&payload);
        keyed.verify_slice(&signature).ok()?;
        ciborium::from_reader(payload.as_slice()).ok()
    }
}
