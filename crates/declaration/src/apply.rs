//! Submitting a declaration as one edit.

use cactusnotch_history::{Verdict, Writer, reader};
use cactusnotch_objects::Store;
use derive_more::{Display, Error, From};

use crate::{Declaration, Difference, Mismatch, Options};

/// Why a declaration was not submitted.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, From)]
pub enum Error {
    /// The newest revision could not be read.
    #[display("{_0}")]
    Behind(reader::Error),
    /// The kind of a node differs from the declared one.
    #[display("{_0}")]
    Kind(Mismatch),
}

/// Compares `declaration` with the newest revision and submits the difference
/// as one atomic edit. Returns `None` if there is no difference.
///
/// After [`Verdict::Unknown`] the call can be repeated: if the edit was accepted,
/// there is no difference any more.
///
/// # Errors
///
/// [`Error`] if no edit was submitted.
pub fn apply<S: Store>(
    writer: &mut Writer<S>,
    declaration: &Declaration,
    options: &Options,
    author: &str,
    reason: &str,
) -> Result<Option<Verdict>, Error> {
    writer.sync()?;
    let base = writer.replica().revision();
    let difference = Difference::new(writer.replica().tree(), declaration, options)?;
    let edit = difference.edit(author, reason, base);
    Ok(edit.map(|edit| writer.submit(&edit)))
}
