//! Organisations' caps that hold over all entries without a central counter.
//!
//! A cap is divided among a few home entries of the organisation, chosen from
//! the roster. An entry that has work for the organisation borrows from the
//! homes, itself included if it is one. A home counts a loan before it says
//! so, a borrower drops what it holds before it says so, and a loan ends
//! earlier on the borrower's clock than on the home's. So the sum of what the
//! entries hold never exceeds the cap, whatever messages are lost, repeated or
//! late; what a lost message leaves unused comes back when the loan ends.

pub mod exchange;
pub mod message;
pub mod options;
pub mod unit;

mod account;
mod borrower;
mod homes;
mod lender;
mod plan;
mod purse;

pub use exchange::Exchange;
pub use message::{Ask, Grant, Message};
pub use options::Options;
pub use plan::Cap;
pub use unit::{Key, Unit};
