//! Keys that name the agent which remembers them.

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

/// What the keys that are tickets begin with.
pub const PREFIX: &str = "cnt1.";

/// What is signed before the payload, so that no other signature of the
/// secret is one of a ticket.
const DOMAIN: &[u8] = b"cactusnotch ticket 1";

/// The longest ticket that is looked at, in bytes.
const LIMIT: usize = 1024;

/// A key that names the agent which may run its request.
#[message]
#[derive(Eq, Hash)]
pub struct Ticket {
    /// The organisation that may use the ticket.
    pub organisation: Organisation,
    /// The agent, and an age that it had reported before the ticket's issue.
    pub terms: Terms,
    /// When the ticket was issued, in milliseconds since the Unix epoch.
    pub issued_ms: u64,
    /// When the ticket expires, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// A random number that makes the ticket unique.
    pub nonce: Uuid,
}

/// Why a ticket is refused.
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
    /// Returns what the refusal says of the request: under a forged or a
    /// foreign ticket nothing of this caller ever ran, but under an expired
    /// one it may have run before.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Forged | Self::Foreign => Outcome::NotRun,
            Self::Expired => Outcome::Unknown,
        }
    }
}

/// Signs tickets and checks them.
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
    /// Creates a signer from the secret that all entries share.
    ///
    /// # Panics
    ///
    /// Never: secrets of all lengths are taken.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        let mut keyed =
            Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes keys of all lengths");
        keyed.update(DOMAIN);
        Self { keyed }
    }

    /// Returns the ticket as a key.
    ///
    /// # Panics
    ///
    /// Never: a ticket has nothing that CBOR cannot hold.
    #[must_use]
    pub fn sign(&self, ticket: &Ticket) -> Key {
        let mut payload = Vec::new();
        ciborium::into_writer(ticket, &mut payload).expect("a ticket can be written as CBOR");
        let signature = self.keyed.clone().chain_update(&payload).finalize();
        let payload = BASE64.encode(payload);
        let signature = BASE64.encode(signature.into_bytes());
        Key::new(format!("{PREFIX}{payload}.{signature}"))
    }

    /// Returns the ticket that a key is, if it may be used by `organisation`
    /// at `wall_ms`, in milliseconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// The [`Refusal`].
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
        if text.len() > LIMIT {
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
