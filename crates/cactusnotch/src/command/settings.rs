//! `cactusnotch settings`: reads and edits the tree of settings.

mod declare;
mod edit;
mod show;

pub(crate) use declare::check;

use std::path::PathBuf;

use bpaf::Bpaf;
use cactusnotch_options::{Url, checked};

use crate::error::Error;

/// How the platform is reached.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Platform {
    /// Address of the platform's object API
    #[bpaf(
        long("platform-url"),
        env("CACTUSNOTCH_PLATFORM_URL"),
        argument::<String>("URL"),
        parse(checked("platform-url"))
    )]
    pub(crate) url: Url,
}

/// Who edits, and why.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Authorship {
    /// Who edits, for the history
    #[bpaf(long, env("CACTUSNOTCH_AUTHOR"), argument("NAME"))]
    pub(crate) author: String,
    /// Why, for the history
    #[bpaf(long, argument("TEXT"), fallback(String::new()))]
    pub(crate) reason: String,
}

/// What to do with the settings.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(settings_options))]
pub(crate) enum Options {
    /// Show a node and what it overrides
    #[bpaf(command)]
    Get {
        #[bpaf(external)]
        platform: Platform,
        /// Print JSON instead of a table
        #[bpaf(long)]
        json: bool,
        /// Identifier of the node
        #[bpaf(positional("NODE"))]
        node: String,
    },
    /// Show every value at a node, with the node it comes from
    #[bpaf(command)]
    Effective {
        #[bpaf(external)]
        platform: Platform,
        /// Print JSON instead of a table
        #[bpaf(long)]
        json: bool,
        /// Identifier of the node
        #[bpaf(positional("NODE"))]
        node: String,
    },
    /// Show the last accepted edits
    #[bpaf(command)]
    History {
        #[bpaf(external)]
        platform: Platform,
        /// Print JSON instead of a table
        #[bpaf(long)]
        json: bool,
        /// Number of edits
        #[bpaf(long, argument("COUNT"), fallback(20), display_fallback)]
        last: usize,
    },
    /// Override a value at a node
    #[bpaf(command)]
    Set {
        #[bpaf(external)]
        platform: Platform,
        #[bpaf(external)]
        authorship: Authorship,
        /// Identifier of the node
        #[bpaf(positional("NODE"))]
        node: String,
        /// Name of the setting
        #[bpaf(positional("KEY"))]
        key: String,
        /// Value, such as 30s, 0.2, true or a name
        #[bpaf(positional("VALUE"))]
        value: String,
    },
    /// Inherit a value at a node again
    #[bpaf(command)]
    Unset {
        #[bpaf(external)]
        platform: Platform,
        #[bpaf(external)]
        authorship: Authorship,
        /// Identifier of the node
        #[bpaf(positional("NODE"))]
        node: String,
        /// Name of the setting
        #[bpaf(positional("KEY"))]
        key: String,
    },
    /// Create a node: a policy, an organisation or a model-group
    #[bpaf(command)]
    Create {
        #[bpaf(external)]
        platform: Platform,
        #[bpaf(external)]
        authorship: Authorship,
        /// Identifier of the node right above
        #[bpaf(long, argument("NODE"), fallback("root".to_owned()), display_fallback)]
        under: String,
        /// Name that people see; the identifier if not given
        #[bpaf(long, argument("NAME"), optional)]
        name: Option<String>,
        /// policy, organisation or model-group
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Identifier of the new node
        #[bpaf(positional("NODE"))]
        node: String,
    },
    /// Put a node, with all below it, under another one
    #[bpaf(command)]
    Move {
        #[bpaf(external)]
        platform: Platform,
        #[bpaf(external)]
        authorship: Authorship,
        /// Identifier of the new node right above
        #[bpaf(long, argument("NODE"))]
        under: String,
        /// Identifier of the node
        #[bpaf(positional("NODE"))]
        node: String,
    },
    /// Give a node another name
    #[bpaf(command)]
    Rename {
        #[bpaf(external)]
        platform: Platform,
        #[bpaf(external)]
        authorship: Authorship,
        /// Identifier of the node
        #[bpaf(positional("NODE"))]
        node: String,
        /// The new name
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Remove a node that has nothing below it
    #[bpaf(command)]
    Delete {
        #[bpaf(external)]
        platform: Platform,
        #[bpaf(external)]
        authorship: Authorship,
        /// Identifier of the node
        #[bpaf(positional("NODE"))]
        node: String,
    },
    /// Show what applying a declaration would change
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        platform: Platform,
        /// Delete nodes that are not declared
        #[bpaf(long)]
        prune: bool,
        /// TOML files, or directories of them
        #[bpaf(positional("PATH"), some("a declaration's PATH is missing"))]
        paths: Vec<PathBuf>,
    },
    /// Apply a declaration as one edit, whole or not at all
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        platform: Platform,
        #[bpaf(external)]
        authorship: Authorship,
        /// Delete nodes that are not declared
        #[bpaf(long)]
        prune: bool,
        /// TOML files, or directories of them
        #[bpaf(positional("PATH"), some("a declaration's PATH is missing"))]
        paths: Vec<PathBuf>,
    },
}

/// Runs a settings command.
pub(crate) fn run(options: Options) -> Result<(), Error> {
    match options {
        Options::Get {
            platform,
            json,
            node,
        } => show::get(&platform, &node, json),
        Options::Effective {
            platform,
            json,
            node,
        } => show::effective(&platform, &node, json),
        Options::History {
            platform,
            json,
            last,
        } => show::history(&platform, last, json),
        Options::Diff {
            platform,
            prune,
            paths,
        } => declare::diff(&platform, &paths, prune),
        Options::Apply {
            platform,
            authorship,
            prune,
            paths,
        } => declare::apply(&platform, &authorship, &paths, prune),
        edit => edit::run(edit),
    }
}
