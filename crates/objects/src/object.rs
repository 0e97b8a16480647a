//! Objects of the platform, their versions and changes.

use cactusnotch_derive::{identifier, message, number, record};
use derive_more::{Display, From, Into};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

/// The version of an object, or of the whole store; it only grows.
#[number]
#[derive(Display, From, Into)]
#[serde(transparent)]
pub struct Version(pub u64);

/// The path of an object.
#[identifier]
#[derive(Display)]
#[display("{kind}/{name}")]
pub struct Path {
    /// The kind of the object, such as `revision` or `lease`.
    pub kind: String,
    /// The name of the object within its kind.
    pub name: String,
}

impl Path {
    /// Creates the path of object `name` of `kind`.
    pub fn new(kind: impl Into<String>, name: impl Into<String>) -> Self {
        Self {
            kind: kind.into(),
            name: name.into(),
        }
    }
}

/// An object as stored by the platform.
#[message]
#[serde(from = "Encoded")]
pub struct Object {
    /// The path of the object.
    pub path: Path,
    /// The version of its last write, above zero.
    pub version: Version,
    /// The value, at most a megabyte as JSON; null if it is nested too deeply or has a number
    /// that is too large.
    pub value: Value,
}

/// An object whose value is not decoded, so that an odd value spoils no other object of a list.
#[derive(Deserialize)]
struct Encoded {
    path: Path,
    version: Version,
    value: Box<RawValue>,
}

impl From<Encoded> for Object {
    fn from(encoded: Encoded) -> Self {
        let Encoded {
            path,
            version,
            value,
        } = encoded;
        let value = serde_json::from_str(value.get()).unwrap_or_else(|error| {
            tracing::warn!(%path, %version, %error, "object's value could not be decoded");
            Value::Null
        });
        Self {
            path,
            version,
            value,
        }
    }
}

/// The condition under which a write takes effect.
#[record]
#[derive(Copy)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object exists at this version.
    Version(Version),
    /// No condition: the last writer wins.
    Always,
}

/// The changes in a kind since a version.
#[message]
pub struct Changes {
    /// The version up to which `objects` and `removed` are complete.
    pub version: Version,
    /// The objects written since, each at its latest version.
    pub objects: Vec<Object>,
    /// The names of the objects deleted since.
    pub removed: Vec<String>,
}
