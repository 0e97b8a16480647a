//! Settings that the processes of cactusnotch share, checked at start.
//!
//! Every setting is a flag and an environment variable. The variable's name is
//! the flag's in capitals with the prefix `CACTUSNOTCH_`; the flag takes
//! precedence. An invalid value is refused with a message that names the flag,
//! the value and the allowed values.
//!
//! ```
//! use bpaf::{Bpaf, Parser};
//! use cactusnotch_options::{Common, checked, common};
//! use std::net::SocketAddr;
//!
//! #[derive(Debug, Bpaf)]
//! #[bpaf(options)]
//! struct Options {
//!     #[bpaf(external)]
//!     common: Common,
//!     /// Where callers connect
//!     #[bpaf(long, env("CACTUSNOTCH_LISTEN"), argument::<String>("IP:PORT"), parse(checked("listen")))]
//!     listen: SocketAddr,
//! }
//! # let _ = options();
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod common;
mod links;
mod logs;
pub mod secrets;
mod url;
pub mod value;

pub use common::{Common, common};
pub use links::{Links, links};
pub use logs::{Logs, logs};
pub use secrets::{Secrets, secrets};
pub use url::Url;
pub use value::{Value, checked};
