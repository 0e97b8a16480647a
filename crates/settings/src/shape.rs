//! Types of values with their ranges.

use std::time::Duration;

use derive_more::{Display, Error};
use serde_json::Value as Plain;

use crate::id::LENGTH_LIMIT;
use crate::value::MILLION;
use crate::{Route, Value};

/// The maximum number of names or routes in a list.
const LIST_LIMIT: usize = 4096;

/// The type of a value and its range, bounds included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Shape {
    /// True or false.
    #[display("boolean")]
    Boolean,
    /// A whole number.
    #[display("integer")]
    Integer {
        /// The least value.
        min: u64,
        /// The greatest value.
        max: u64,
    },
    /// A decimal number, bounds in millionths.
    #[display("decimal")]
    Fraction {
        /// The least value.
        min: u32,
        /// The greatest value.
        max: u32,
    },
    /// A duration, bounds in milliseconds.
    #[display("duration")]
    Duration {
        /// The least value.
        min: u64,
        /// The greatest value.
        max: u64,
    },
    /// One of a fixed set of words.
    #[display("choice")]
    Choice(&'static [&'static str]),
    /// Text of at most 128 bytes without control characters.
    #[display("text")]
    Text,
    /// A list of distinct names.
    #[display("list of names")]
    Names,
    /// A list of routes.
    #[display("list of routes")]
    Routes,
}

/// Why a value does not fit the type of its key.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Mismatch {
    /// The value has another type.
    #[display("expected a value of type {expected}, found {found}")]
    Type {
        /// The type of the key.
        expected: Shape,
        /// The value as written.
        found: String,
    },
    /// The value has the right type but is out of range.
    #[display("{found} is out of range: allowed is {allowed}")]
    Range {
        /// The value as written.
        found: String,
        /// What is allowed.
        allowed: String,
    },
}

impl Shape {
    /// Parses the value in its human-readable form: durations are text such as
    /// `30s`, the other types are written as in JSON.
    ///
    /// # Errors
    ///
    /// [`Mismatch`] if the value has another type or lies out of range.
    pub fn read(&self, plain: &Plain) -> Result<Value, Mismatch> {
        let value = self.typed(plain).ok_or_else(|| Mismatch::Type {
            expected: *self,
            found: plain.to_string(),
        })?;
        self.check(&value)?;
        Ok(value)
    }

    /// Parses a value from one command-line argument; lists are written as JSON.
    ///
    /// # Errors
    ///
    /// As for [`Shape::read`].
    pub fn read_text(&self, text: &str) -> Result<Value, Mismatch> {
        let is_word = matches!(self, Self::Duration { .. } | Self::Choice(_) | Self::Text);
        match serde_json::from_str(text) {
            Ok(plain) if !is_word => self.read(&plain),
            _ => self.read(&Plain::from(text)),
        }
    }

    /// Checks the type and the range of `value`.
    ///
    /// # Errors
    ///
    /// [`Mismatch`] if the value has another type or lies out of range.
    pub fn check(&self, value: &Value) -> Result<(), Mismatch> {
        match (self, value) {
            (Self::Boolean, Value::Boolean(_)) => Ok(()),
            (Self::Integer { min, max }, Value::Integer(n))
            | (Self::Duration { min, max }, Value::Duration(n)) => {
                self.within((min..=max).contains(&n), value)
            }
            (Self::Fraction { min, max }, Value::Fraction(n)) => {
                self.within((min..=max).contains(&n), value)
            }
            (Self::Choice(words), Value::Text(word)) => {
                self.within(words.contains(&word.as_str()), value)
            }
            (Self::Text, Value::Text(text)) => self.within(is_text(text), value),
            (Self::Names, Value::Names(names)) => self.within(are_names(names), value),
            (Self::Routes, Value::Routes(routes)) => check_routes(routes),
            _ => Err(Mismatch::Type {
                expected: *self,
                found: value.to_string(),
            }),
        }
    }

    /// Returns a description of the allowed values.
    #[must_use]
    pub fn range(&self) -> String {
        let between = |min: Value, max: Value| format!("{min} to {max}");
        match *self {
            Self::Boolean => "true, false".to_owned(),
            Self::Integer { min, max } => between(Value::Integer(min), Value::Integer(max)),
            Self::Fraction { min, max } => between(Value::Fraction(min), Value::Fraction(max)),
            Self::Duration { min, max } => between(Value::Duration(min), Value::Duration(max)),
            Self::Choice(words) => words.join(", "),
            Self::Text => format!("up to {LENGTH_LIMIT} bytes, no control characters"),
            Self::Names => format!("up to {LIST_LIMIT} distinct names"),
            Self::Routes => "distinct prefixes, each with endpoints".to_owned(),
        }
    }

    fn typed(&self, plain: &Plain) -> Option<Value> {
        match self {
            Self::Boolean => plain.as_bool().map(Value::Boolean),
            Self::Integer { .. } => plain.as_u64().map(Value::Integer),
            Self::Fraction { .. } => plain.as_f64().and_then(millionths).map(Value::Fraction),
            Self::Duration { .. } => plain.as_str().and_then(milliseconds).map(Value::Duration),
            Self::Choice(_) | Self::Text => plain.as_str().map(|text| Value::Text(text.to_owned())),
            Self::Names => serde_json::from_value(plain.clone()).ok().map(Value::Names),
            Self::Routes => serde_json::from_value(plain.clone())
                .ok()
                .map(Value::Routes),
        }
    }

    fn within(&self, allowed: bool, value: &Value) -> Result<(), Mismatch> {
        if allowed {
            return Ok(());
        }
        Err(Mismatch::Range {
            found: value.to_string(),
            allowed: self.range(),
        })
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is checked to lie within the range of the target"
)]
fn millionths(number: f64) -> Option<u32> {
    let scaled = (number * f64::from(MILLION)).round();
    (0.0..=f64::from(u32::MAX))
        .contains(&scaled)
        .then_some(scaled as u32)
}

fn milliseconds(text: &str) -> Option<u64> {
    let duration: Duration = humantime::parse_duration(text).ok()?;
    u64::try_from(duration.as_millis()).ok()
}

pub(crate) fn is_text(text: &str) -> bool {
    text.len() <= LENGTH_LIMIT && !text.chars().any(char::is_control)
}

fn are_names(names: &[String]) -> bool {
    let mut sorted: Vec<_> = names.iter().collect();
    sorted.sort();
    sorted.dedup();
    sorted.len() == names.len()
        && names.len() <= LIST_LIMIT
        && names.iter().all(|name| !name.is_empty() && is_text(name))
}

fn check_routes(routes: &[Route]) -> Result<(), Mismatch> {
    let refuse = |found: &Route, why: &str| {
        Err(Mismatch::Range {
            found: found.to_string(),
            allowed: why.to_owned(),
        })
    };
    for (at, route) in routes.iter().enumerate() {
        if let Some(fault) = route.fault() {
            return refuse(route, fault);
        }
        if !are_names(&route.endpoints) {
            return refuse(route, "a route's endpoints are distinct names");
        }
        if routes[..at].iter().any(|r| r.prefix == route.prefix) {
            return refuse(route, "a prefix has one route");
        }
    }
    Ok(())
}
