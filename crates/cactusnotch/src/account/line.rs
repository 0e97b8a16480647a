//! A line of a JSON log.

use std::time::{Duration, SystemTime};

use cactusnotch_derive::record;
use derive_more::{Display, Error};
use serde_json::{Map, Value};

/// Why a line could not be read.
#[record]
#[derive(Display, Error)]
pub enum Unreadable {
    /// It is no JSON object.
    #[display("not a JSON object")]
    NotAnObject,
    /// It has no message.
    #[display("no message")]
    NoMessage,
    /// It has no valid timestamp, as the count of dropped lines.
    #[display("no valid timestamp: {message}")]
    NoTimestamp {
        /// The message.
        message: String,
    },
}

/// A line of a JSON log.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// When it was written, since the start of 1970.
    pub at: Duration,
    /// What happened.
    pub message: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line.
    ///
    /// # Errors
    ///
    /// Returns the part that is missing or invalid.
    pub fn parse(bytes: &[u8]) -> Result<Self, Unreadable> {
        let fields: Map<String, Value> =
            serde_json::from_slice(bytes).map_err(|_| Unreadable::NotAnObject)?;
        let message = fields.get("message").and_then(Value::as_str);
        let message = message.ok_or(Unreadable::NoMessage)?.to_owned();
        let stamp = fields.get("timestamp").and_then(Value::as_str);
        let time = stamp.and_then(|stamp| humantime::parse_rfc3339(stamp).ok());
        let at = time.and_then(|time| time.duration_since(SystemTime::UNIX_EPOCH).ok());
        match at {
            Some(at) => Ok(Self {
                at,
                message,
                fields,
            }),
            None => Err(Unreadable::NoTimestamp { message }),
        }
    }

    /// Returns the id of the request, empty if there is none.
    #[must_use]
    pub fn id(&self) -> String {
        self.text("id").unwrap_or_default().to_owned()
    }

    /// Returns a field that is text.
    #[must_use]
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Returns a field that is a number.
    #[must_use]
    pub fn number(&self, field: &str) -> Option<f64> {
        self.fields.get(field)?.as_f64()
    }

    /// Returns a field that is true or false.
    #[must_use]
    pub fn flag(&self, field: &str) -> Option<bool> {
        self.fields.get(field)?.as_bool()
    }

    /// Returns a field that is a time in milliseconds.
    #[must_use]
    pub fn time(&self, field: &str) -> Option<Duration> {
        self.fields.get(field)?.as_u64().map(Duration::from_millis)
    }

    /// Returns a field that is a part of the slots: a fraction, or whole hundredths.
    #[must_use]
    pub fn ratio(&self, field: &str) -> Option<f64> {
        let value = self.fields.get(field)?;
        let hundredths = value.is_u64().then_some(100.0);
        Some(value.as_f64()? / hundredths.unwrap_or(1.0))
    }
}
