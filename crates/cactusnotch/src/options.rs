//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use cactusnotch_options::checked;

use crate::command::account::{self, account_options};
use crate::command::entry::{self, entry_options};
use crate::command::platform::{self, platform_options};
use crate::command::settings::{self, settings_options};

/// Load balancer for expert-parallel model groups: the entry, and the
/// operators' commands
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
#[expect(
    clippy::large_enum_variant,
    reason = "a process creates only one value"
)]
pub(crate) enum Command {
    /// Run an entry, to which callers connect
    #[bpaf(command)]
    Entry(#[bpaf(external(entry_options))] entry::Options),
    /// Run an entry on the users' platform, which calls endpoints directly
    #[bpaf(command)]
    Gateway(#[bpaf(external(platform_options))] platform::Options),
    /// Run the agent beside a model server on the users' platform
    #[bpaf(command)]
    Rebalance(#[bpaf(external(platform_options))] platform::Options),
    /// Show the settings in force, endpoints, groups and drains
    #[bpaf(command)]
    Status(#[bpaf(external(query))] Query),
    /// Show the addresses that callers may use
    #[bpaf(command)]
    Addresses(#[bpaf(external(query))] Query),
    /// Account for late and refused streams from the logs of entries and agents
    #[bpaf(command)]
    Account(#[bpaf(external(account_options))] account::Options),
    /// Check a declaration of settings, without a connection
    #[bpaf(command)]
    Check {
        /// TOML files, or directories of them
        #[bpaf(positional("PATH"), some("a declaration's PATH is missing"))]
        paths: Vec<PathBuf>,
    },
    /// Read and edit the tree of settings
    #[bpaf(command)]
    Settings(#[bpaf(external(settings_options))] settings::Options),
}

/// A question to an entry.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Query {
    /// Operators' address of any entry; for `addresses` its callers' address
    #[bpaf(
        long,
        env("CACTUSNOTCH_ENTRY"),
        argument::<String>("IP:PORT"),
        parse(checked("entry"))
    )]
    pub(crate) entry: SocketAddr,
    /// Print JSON instead of a table
    #[bpaf(long)]
    pub(crate) json: bool,
}
