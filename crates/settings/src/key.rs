//! Keys of settings.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{KEYS, Shape, Spec, Value};

/// The key of a value; `Key::spec` describes it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(try_from = "String", into = "String")]
#[display("{}", self.spec().name)]
#[expect(
    missing_docs,
    reason = "each key is described in the table of keys, which the reference is made from"
)]
pub enum Key {
    RequestRateLimit,
    RequestRateFloor,
    ConcurrencyLimit,
    ConcurrencyFloor,
    Priority,
    Idempotent,
    KeyLifetime,
    BareKeys,
    Deadline,
    FirstTokenDeadline,
    RetryBudget,
    Routes,
    QueueBound,
    AffinityBound,
    SubsetSize,
    AddressLifetime,
    DrainTime,
    SkewWeight,
    RebalancingWeight,
    PaybackHorizon,
    WeightStoreShare,
    Model,
    Ranks,
    Experts,
    Layers,
    Endpoints,
    EndpointSelector,
    EndpointFencing,
    Adapter,
    Version,
    Role,
    AllowedOrganisations,
}

/// A name that matches no key.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("there is no key {name:?}")]
pub struct Unknown {
    /// The name as written.
    pub name: String,
}

impl Key {
    /// Returns the description of the key.
    #[must_use]
    pub fn spec(self) -> &'static Spec {
        &KEYS[self as usize]
    }

    /// Returns the type and range of the key's values.
    #[must_use]
    pub fn shape(self) -> Shape {
        self.spec().shape
    }

    /// Returns the value where no node overrides it.
    #[must_use]
    pub fn default_value(self) -> Value {
        self.spec().default.into()
    }

    /// Returns the key with the given name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        let spec = KEYS.iter().find(|spec| spec.name == name)?;
        Some(spec.key)
    }
}

impl TryFrom<String> for Key {
    type Error = Unknown;

    fn try_from(name: String) -> Result<Self, Unknown> {
        Self::named(&name).ok_or(Unknown { name })
    }
}

impl From<Key> for String {
    fn from(key: Key) -> Self {
        key.spec().name.to_owned()
    }
}
