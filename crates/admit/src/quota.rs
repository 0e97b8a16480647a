//! Caps on organisations, enforced over all entries without a central counter.
//!
//! A cap is divided among a few entries, the lenders, which are chosen from the
//! roster by the organisation. An entry with work for the organisation borrows
//! quota from the lenders, including itself if it is one. A lender counts lent
//! quota before it sends the grant, a borrower drops returned quota before it
//! sends the ask, and lent quota expires earlier on the borrower's clock than
//! on the lender's. The quota held by all entries therefore never exceeds the
//! cap, even if messages are lost, repeated or late. Quota left unused by a lost
//! message becomes available again when it expires.

pub mod exchange;
pub mod message;
pub mod options;
pub mod unit;

mod account;
mod balance;
mod borrower;
mod lender;
mod lenders;
mod plan;

pub use exchange::Exchange;
pub use message::{Ask, Grant, Message};
pub use options::Options;
pub use plan::Cap;
pub use unit::{Key, Unit};
