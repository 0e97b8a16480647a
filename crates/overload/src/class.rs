//! The precedence of a request among those of its service.

use cactusnotch_derive::number;

use crate::Ceiling;

/// The precedence of a request among those of its service: 0 is the most urgent.
#[number]
pub struct Class(u8);

impl Class {
    /// The largest class number; all less urgent requests belong to it.
    pub const MAX: Self = Self(3);

    /// Returns the class of `urgency` among the distinct `urgencies` of a service, which are
    /// sorted; lower values are more urgent.
    #[must_use]
    pub fn of(urgency: u8, urgencies: &[u8]) -> Self {
        let ahead = urgencies.partition_point(|&other| other < urgency);
        let number = u8::try_from(ahead).unwrap_or(u8::MAX);
        Self::numbered(number)
    }

    /// Returns the class of a number; larger ones belong to [`Class::MAX`].
    #[must_use]
    pub fn numbered(number: u8) -> Self {
        Self(number).min(Self::MAX)
    }

    /// Returns the number of the class.
    #[must_use]
    pub const fn number(self) -> u8 {
        self.0
    }

    /// Returns the part of `limit` that the class may fill if each class leaves the fraction
    /// `reserve` of it to each more urgent class.
    #[must_use]
    pub fn ceiling(self, limit: Ceiling, reserve: f64) -> Ceiling {
        let part = 1.0 - reserve * f64::from(self.0);
        Ceiling::new(limit.per_slot() * part.max(0.0))
    }
}
