//! Traces of requests across processes, by the W3C's trace context.

mod context;
pub mod id;
mod span;

pub use context::{Context, Error, HEADER};
pub use span::{Span, TARGET};
