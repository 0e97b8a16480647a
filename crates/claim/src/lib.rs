//! Agreement on the one attempt that holds the key of a non-idempotent
//! request.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod answer;
mod claim;

pub use answer::Answer;
pub use claim::Claim;
