//! `cactusnotch addresses`: lists the addresses for callers.

use serde_json::Value;

use crate::command::{fetch, print_json};
use crate::error::Error;
use crate::options::Query;

/// Prints the addresses that the entry announces to callers.
pub(crate) fn run(query: &Query) -> Result<(), Error> {
    let list: Value = fetch(&format!("http://{}/v1/addresses", query.entry))?;
    if query.json {
        return print_json(&list);
    }
    println!("{:<22} DATA CENTRE", "ADDRESS");
    for row in list["addresses"].as_array().into_iter().flatten() {
        let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
        println!("{:<22} {}", text("address"), text("data_centre"));
    }
    println!("kept for at most {} s", list["lifetime_seconds"]);
    Ok(())
}
