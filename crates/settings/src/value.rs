//! Values of settings.

use std::fmt;
use std::time::Duration;

use cactusnotch_derive::identifier;

use crate::Route;

/// The number of millionths in 1.
pub(crate) const MILLION: u32 = 1_000_000;

/// A typed value. It contains no floating-point number, so it survives any
/// number of encodings unchanged.
#[identifier]
#[serde(rename_all = "kebab-case")]
pub enum Value {
    /// True or false.
    Boolean(bool),
    /// A whole number.
    Integer(u64),
    /// A decimal number, in millionths.
    Fraction(u32),
    /// A duration, in milliseconds.
    Duration(u64),
    /// Text.
    Text(String),
    /// A list of names.
    Names(Vec<String>),
    /// Routes of plain services.
    Routes(Vec<Route>),
}

impl Value {
    /// Returns the value in its human-readable JSON or TOML form: durations as
    /// text such as `30s`, fractions as decimal numbers.
    #[must_use]
    pub fn plain(&self) -> serde_json::Value {
        match self {
            Self::Boolean(value) => (*value).into(),
            Self::Integer(value) => (*value).into(),
            Self::Fraction(millionths) => decimal(*millionths).into(),
            Self::Duration(_) => self.to_string().into(),
            Self::Text(value) => value.as_str().into(),
            Self::Names(names) => names.as_slice().into(),
            Self::Routes(routes) => routes.iter().map(plain_route).collect(),
        }
    }

    /// Returns the Boolean, if it is one.
    #[must_use]
    pub const fn as_boolean(&self) -> Option<bool> {
        match self {
            Self::Boolean(value) => Some(*value),
            _ => None,
        }
    }

    /// Returns the whole number, if it is one.
    #[must_use]
    pub const fn as_integer(&self) -> Option<u64> {
        match self {
            Self::Integer(value) => Some(*value),
            _ => None,
        }
    }

    /// Returns the decimal number, if it is one.
    #[must_use]
    pub fn as_fraction(&self) -> Option<f64> {
        match self {
            Self::Fraction(millionths) => Some(decimal(*millionths)),
            _ => None,
        }
    }

    /// Returns the duration, if it is one.
    #[must_use]
    pub const fn as_duration(&self) -> Option<Duration> {
        match self {
            Self::Duration(milliseconds) => Some(Duration::from_millis(*milliseconds)),
            _ => None,
        }
    }

    /// Returns the text, if it is one.
    #[must_use]
    pub fn as_text(&self) -> Option<&str> {
        match self {
            Self::Text(value) => Some(value),
            _ => None,
        }
    }

    /// Returns the names, if it is a list of names.
    #[must_use]
    pub fn as_names(&self) -> Option<&[String]> {
        match self {
            Self::Names(names) => Some(names),
            _ => None,
        }
    }

    /// Returns the routes, if it is a list of routes.
    #[must_use]
    pub fn as_routes(&self) -> Option<&[Route]> {
        match self {
            Self::Routes(routes) => Some(routes),
            _ => None,
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Boolean(value) => value.fmt(f),
            Self::Integer(value) => value.fmt(f),
            Self::Fraction(millionths) => decimal(*millionths).fmt(f),
            Self::Duration(milliseconds) => {
                humantime::format_duration(Duration::from_millis(*milliseconds)).fmt(f)
            }
            Self::Text(value) if value.is_empty() => f.write_str("(empty)"),
            Self::Text(value) => f.write_str(value),
            Self::Names(names) if names.is_empty() => f.write_str("(none)"),
            Self::Names(names) => f.write_str(&names.join(", ")),
            Self::Routes(routes) if routes.is_empty() => f.write_str("(none)"),
            Self::Routes(routes) => {
                let routes: Vec<_> = routes.iter().map(ToString::to_string).collect();
                f.write_str(&routes.join("; "))
            }
        }
    }
}

fn decimal(millionths: u32) -> f64 {
    f64::from(millionths) / f64::from(MILLION)
}

fn plain_route(route: &Route) -> serde_json::Value {
    serde_json::json!({
        "prefix": route.prefix,
        "endpoints": route.endpoints,
        "repeatable": route.repeatable,
    })
}
