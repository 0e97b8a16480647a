//! What the tests of links share.

use cactusnotch_base::number::Incarnation;
use cactusnotch_link::{Identity, Options, Role, Secret};

/// The secret of the tests' cluster.
pub const SECRET: &[u8] = b"the secret of the tests' cluster";

/// Returns who the process called `name` is.
pub fn identity(name: &str) -> Identity {
    Identity {
        process: name.into(),
        role: Role::Entry,
        host: "host-1".into(),
        data_centre: "east".into(),
        incarnation: Incarnation(1),
    }
}

/// Returns options of the process called `name`.
pub fn options(name: &str) -> Options {
    Options::new(identity(name), vec![Secret::new(SECRET).unwrap()])
}
