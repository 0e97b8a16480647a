//! Evaluations of logs for the operators' commands, without input and output.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod account;
