//! `cactusnotch status`: shows the status of an entry.

use cactusnotch_entry::Status;

use crate::command::{fetch, print_json};
use crate::error::Error;
use crate::options::Query;

/// Prints the entry's status.
pub(crate) fn run(query: &Query) -> Result<(), Error> {
    let status: Status = fetch(&format!("http://{}/status", query.entry))?;
    if query.json {
        return print_json(&status);
    }
    print!("{status}");
    Ok(())
}
