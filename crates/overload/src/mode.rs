//! The services that overload control applies to.

use std::str::FromStr;

use cactusnotch_derive::record;
use derive_more::{Display, Error};

/// The services that overload control applies to.
#[record]
#[derive(Copy, Default, Display)]
pub enum Mode {
    /// None.
    #[display("off")]
    Off,
    /// Services of ranks whose streaming requests have more than one priority.
    #[default]
    #[display("priorities")]
    Priorities,
    /// All services of ranks with streaming requests.
    #[display("all")]
    All,
}

/// A word that names no mode.
#[derive(Debug, Display, Error)]
#[display("{word:?} is none of off, priorities and all")]
pub struct Unknown {
    word: String,
}

impl Mode {
    /// Returns whether overload control applies to a service of ranks whose streaming
    /// requests have this number of distinct priorities.
    #[must_use]
    pub const fn applies(self, priorities: usize) -> bool {
        match self {
            Self::Off => false,
            Self::Priorities => priorities > 1,
            Self::All => priorities > 0,
        }
    }
}

impl FromStr for Mode {
    type Err = Unknown;

    fn from_str(word: &str) -> Result<Self, Unknown> {
        match word {
            "off" => Ok(Self::Off),
            "priorities" => Ok(Self::Priorities),
            "all" => Ok(Self::All),
            _ => Err(Unknown {
                word: word.to_owned(),
            }),
        }
    }
}
