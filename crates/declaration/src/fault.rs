//! Errors of a declaration, with their positions.

use std::fmt;

use cactusnotch_derive::record;
use derive_more::{Display, Error};
use serde::Serialize;

/// A position in a declaration.
#[record]
#[derive(Serialize, Display)]
#[display("{file}:{line}")]
pub struct Place {
    /// The file.
    pub file: String,
    /// The line, counted from one.
    pub line: usize,
}

/// A violation of a rule by a declaration.
#[record]
#[derive(Serialize, Display)]
#[display("{place}: {rule}: {message}")]
pub struct Fault {
    /// The position.
    #[serde(flatten)]
    pub place: Place,
    /// The name of the rule.
    pub rule: &'static str,
    /// The error message.
    pub message: String,
}

/// All violations of rules by a declaration, displayed one per line.
#[record]
#[derive(Serialize, Error)]
#[serde(transparent)]
pub struct Faults {
    /// The violations, in the order of files and lines.
    #[error(not(source))]
    pub faults: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, fault) in self.faults.iter().enumerate() {
            if at > 0 {
                writeln!(f)?;
            }
            fault.fmt(f)?;
        }
        Ok(())
    }
}
