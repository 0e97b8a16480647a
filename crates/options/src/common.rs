//! Settings that every process has.

use std::time::{SystemTime, UNIX_EPOCH};

use bpaf::Bpaf;
use cactusnotch_base::name::{DataCentre, Host, Process, Region};
use cactusnotch_base::number::Incarnation;
use cactusnotch_link::{self as link, Identity, Role};

use crate::{Links, Logs, Secrets, Url, checked, links, logs, secrets};

/// Settings that every process has.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
#[bpaf(generate(common))]
pub struct Common {
    /// Name of the host that the process runs on
    #[bpaf(
        long,
        env("CACTUSNOTCH_HOST"),
        argument::<String>("NAME"),
        parse(checked("host"))
    )]
    pub host: Host,
    /// Data centre of the host
    #[bpaf(
        long("data-centre"),
        env("CACTUSNOTCH_DATA_CENTRE"),
        argument::<String>("NAME"),
        parse(checked("data-centre"))
    )]
    pub data_centre: DataCentre,
    /// Region of the data centre
    #[bpaf(
        long,
        env("CACTUSNOTCH_REGION"),
        argument::<String>("NAME"),
        parse(checked("region"))
    )]
    pub region: Region,
    /// Number of this life of the process, above those of its predecessors;
    /// the start time in milliseconds if not given
    #[bpaf(
        long,
        env("CACTUSNOTCH_INCARNATION"),
        argument::<String>("NUMBER"),
        parse(checked("incarnation")),
        optional
    )]
    pub incarnation: Option<Incarnation>,
    /// Address of the platform's object API
    #[bpaf(
        long("platform-url"),
        env("CACTUSNOTCH_PLATFORM_URL"),
        argument::<String>("URL"),
        parse(checked("platform-url"))
    )]
    pub platform: Url,
    /// The cluster's secrets.
    #[bpaf(external)]
    pub secrets: Secrets,
    /// Settings of logs and metrics.
    #[bpaf(external)]
    pub logs: Logs,
    /// Settings of the links between processes.
    #[bpaf(external)]
    pub links: Links,
}

impl Common {
    /// Returns the identity of the process called `process`. The incarnation
    /// defaults to the wall-clock time `started` in milliseconds.
    #[must_use]
    pub fn identity(&self, process: Process, role: Role, started: SystemTime) -> Identity {
        Identity {
            process,
            role,
            host: self.host.clone(),
            data_centre: self.data_centre.clone(),
            incarnation: self.incarnation.unwrap_or_else(|| since_epoch(started)),
        }
    }

    /// Returns the link options of the process with `identity`.
    #[must_use]
    pub fn link(&self, identity: Identity) -> link::Options {
        self.links.link(identity, &self.secrets.list)
    }
}

fn since_epoch(time: SystemTime) -> Incarnation {
    let elapsed = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
