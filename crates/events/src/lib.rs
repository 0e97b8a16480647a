//! Reads streams of events (`text/event-stream`) as their bytes arrive, and tells events from
//! bytes that are none.
//!
//! An endpoint in trouble may put other bytes into a stream, with or without an empty line at
//! their end. A [`Reader`] passes on complete events only, and nothing from the first byte on that
//! fits no event.

pub mod fault;
pub mod ids;
pub mod media;
pub mod reader;

mod block;
mod line;
mod text;

pub use fault::Fault;
pub use ids::Ids;
pub use reader::Reader;
