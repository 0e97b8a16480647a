//! The load tool, the quick start and the tests over whole systems.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod caller;
pub mod check;
pub mod cluster;
mod failure;
pub mod faults;
mod figures;
pub mod injector;
pub mod load;
pub mod operator;
pub mod process;
pub mod ranks;
pub mod site;
mod transcript;
pub mod trial;

pub use caller::Caller;
pub use cluster::Cluster;
pub use failure::Failure;
pub use figures::Figures;
pub use injector::Injector;
pub use operator::Operator;
pub use process::Process;
pub use ranks::Ranks;
pub use site::Site;
