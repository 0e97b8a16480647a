//! Identifiers, clocks and sorted tables shared by the crates of cactusnotch.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod clock;
pub mod name;
pub mod number;
pub mod outcome;
pub mod table;

pub use clock::Clock;
pub use outcome::Outcome;
pub use table::Table;
