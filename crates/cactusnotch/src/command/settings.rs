//! `cactusnotch settings`: the tree of settings, read and edited.

use bpaf::Bpaf;

use crate::error::Error;

/// What to do with the settings.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(settings_options))]
pub(crate) enum Options {
    /// Show the last accepted edits
    #[bpaf(command)]
    History,
}

/// Runs a settings command.
pub(crate) fn run(_options: Options) -> Result<(), Error> {
    Ok(())
}
