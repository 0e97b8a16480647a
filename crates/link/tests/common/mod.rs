//! What the tests of links share.

use std::time::Duration;

use cactusnotch_base::number::Incarnation;
use cactusnotch_link::{Identity, Options, Role, Secret};

/// The secret of the tests' cluster.
const SECRET: &[u8] = b"the secret of the tests' cluster";

/// Returns who the process called `name` is.
fn identity(name: &str) -> Identity {
    Identity {
        process: name.into(),
        role: Role::Entry,
        host: "host-1".into(),
        data_centre: "east".into(),
        incarnation: Incarnation(1),
    }
}

/// Bounds that a busy machine doesn't reach on the wall clock.
const LONG: Duration = Duration::from_mins(1);

/// Returns options of the process called `name`.
pub fn options(name: &str) -> Options {
    Options {
        handshake_timeout: LONG,
        idle_timeout: LONG,
        ..Options::new(identity(name), vec![Secret::new(SECRET).unwrap()])
    }
}
