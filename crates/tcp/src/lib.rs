//! TCP connections that tell a peer that reads slowly from a peer that is gone.
//!
//! `TCP_USER_TIMEOUT` closes a connection whose peer doesn't acknowledge data, and also one
//! whose peer acknowledges every window probe but has no room for data. [`Monitor`] reads the
//! kernel's figures of a connection and extends the time-out while the peer answers
//! ([`Liveness`]). How long a peer that answers may take to read is decided by the owner of the
//! connection.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod figures;
mod liveness;
mod monitor;
mod options;
mod stream;

pub use figures::Figures;
pub use liveness::Liveness;
pub use monitor::{CHECK_INTERVAL, Monitor};
pub use options::{connect, listen, tune};
pub use stream::Stream;
