//! Traces of requests across processes, in the W3C trace context format.

mod context;
pub mod id;
mod span;

pub use context::{Context, Error, HEADER};
pub use span::{Span, TARGET};
