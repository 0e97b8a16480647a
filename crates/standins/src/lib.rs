//! Stand-ins of the outside systems that cactusnotch meets.
//!
//! Each stand-in runs in the process that starts it, listens on the loopback
//! interface and stops when it is dropped. `docs/design/standins.md` says what
//! each one claims, and `docs/PLATFORM.md` and `docs/ENGINE.md` what it speaks.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod engine;
pub mod hosts;
pub mod objects;
pub mod proxy;
pub mod ranks;
pub mod service;
pub mod weights;

mod past;
mod runner;
mod sync;
mod web;
