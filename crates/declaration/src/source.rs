//! Source files of declarations.

use std::path::Path;
use std::{fs, io};

use cactusnotch_derive::record;

/// The extension of the files that are read from a directory.
const EXTENSION: &str = "toml";

/// The text of one file.
#[record]
pub struct Source {
    /// The file's name, for messages.
    pub file: String,
    /// The text.
    pub text: String,
}

/// Reads a file, or the `.toml` files of a directory in the order of their
/// names.
///
/// # Errors
///
/// Any error of the file system.
pub fn read(path: &Path) -> io::Result<Vec<Source>> {
    if !path.is_dir() {
        return Ok(vec![read_file(path)?]);
    }
    let mut files = Vec::new();
    for entry in fs::read_dir(path)? {
        let file = entry?.path();
        if file
            .extension()
            .is_some_and(|extension| extension == EXTENSION)
        {
            files.push(file);
        }
    }
    files.sort();
    files.iter().map(|file| read_file(file)).collect()
}

fn read_file(path: &Path) -> io::Result<Source> {
    Ok(Source {
        file: path.display().to_string(),
        text: fs::read_to_string(path)?,
    })
}
