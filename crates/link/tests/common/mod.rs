//! Helpers shared by the tests of links.

use std::time::Duration;

use cactusnotch_base::number::Incarnation;
use cactusnotch_link::{Identity, Options, Role, Secret};

/// The secret of the tests' cluster.
const SECRET: &[u8] = b"the secret of the tests' cluster";

/// Returns the identity of the process called `name`.
fn identity(name: &str) -> Identity {
    Identity {
        process: name.into(),
        role: Role::Entry,
        host: "host-1".into(),
        data_centre: "east".into(),
        incarnation: Incarnation(1),
    }
}

/// A timeout that a loaded machine does not reach in wall-clock time.
const LONG: Duration = Duration::from_mins(1);

/// Returns the options of the process called `name`.
pub fn options(name: &str) -> Options {
    Options {
        handshake_timeout: LONG,
        idle_timeout: LONG,
        ..Options::new(identity(name), vec![Secret::new(SECRET).unwrap()])
    }
}
