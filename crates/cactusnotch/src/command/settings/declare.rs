//! The commands for declarations in version control.

use std::path::PathBuf;

use cactusnotch_declaration::{self as declaration, Declaration, Difference, Source, source};

use super::edit::{report, writer};
use super::show::read;
use super::{Authorship, Platform};
use crate::error::Error;

/// Checks a declaration without a connection.
pub(crate) fn check(paths: &[PathBuf]) -> Result<(), Error> {
    load(paths)?;
    println!("in order");
    Ok(())
}

/// Prints what applying a declaration would change.
pub(crate) fn diff(platform: &Platform, paths: &[PathBuf], prune: bool) -> Result<(), Error> {
    let declaration = load(paths)?;
    let replica = read(platform)?;
    let options = declaration::Options { prune };
    let difference = Difference::new(replica.tree(), &declaration, &options)
        .map_err(Error::at("comparing with the settings"))?;
    print!("{difference}");
    Ok(())
}

/// Applies a declaration as one edit.
pub(crate) fn apply(
    platform: &Platform,
    authorship: &Authorship,
    paths: &[PathBuf],
    prune: bool,
) -> Result<(), Error> {
    let declaration = load(paths)?;
    let mut writer = writer(platform)?;
    let options = declaration::Options { prune };
    let verdict = declaration::apply(
        &mut writer,
        &declaration,
        &options,
        &authorship.author,
        &authorship.reason,
    )
    .map_err(Error::at("applying the declaration"))?;
    if let Some(verdict) = verdict {
        return report(&verdict);
    }
    println!("nothing to change");
    Ok(())
}

fn load(paths: &[PathBuf]) -> Result<Declaration, Error> {
    let mut sources: Vec<Source> = Vec::new();
    for path in paths {
        let step = format!("reading {}", path.display());
        sources.extend(source::read(path).map_err(Error::at(&step))?);
    }
    Declaration::check(&sources).map_err(Error::at("checking the declaration"))
}
