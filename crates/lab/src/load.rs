//! An open-loop load tool: requests start when the plan says, whatever became
//! of those before, and each answer is checked against what the engine makes
//! for it.

mod caller;
mod cpu;
mod lengths;
mod options;
mod plan;
mod report;
mod run;
mod targets;

pub use caller::{Error, Streamer};
pub use cpu::Cpu;
pub use lengths::Lengths;
pub use options::Options;
pub use plan::{Arrival, Plan};
pub use report::{Report, Second};
pub use run::run;
pub use targets::{Policy, Targets};
