//! The commands that show settings.

use std::time::Duration;

use cactusnotch_history::{Listing, Reader, Replica};
use cactusnotch_objects::http::{Client, Options};
use cactusnotch_settings::Id;
use serde_json::{Map, Value, json};

use super::Platform;
use crate::command::print_json;
use crate::error::Error;

/// The timeout of a call to the platform.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a client of the platform.
pub(crate) fn client(platform: &Platform) -> Client {
    Client::new(&Options {
        base: platform.url.as_str().to_owned(),
        timeout: TIMEOUT,
    })
}

/// Reads the newest revision.
pub(crate) fn read(platform: &Platform) -> Result<Replica, Error> {
    let mut reader = Reader::new(client(platform), Replica::new());
    reader.sync().map_err(Error::at("reading the settings"))?;
    Ok(reader.replica().clone())
}

/// Prints a node and its overrides.
pub(crate) fn get(platform: &Platform, node: &str, json: bool) -> Result<(), Error> {
    let replica = read(platform)?;
    let tree = replica.tree();
    let id = Id::new(node);
    let found = tree
        .node(&id)
        .ok_or_else(|| Error::new("reading the node", format!("there is no node {node:?}")))?;
    let overrides: Map<String, Value> = found
        .overrides
        .iter()
        .map(|(key, value)| (key.spec().name.to_owned(), value.plain()))
        .collect();
    if json {
        return print_json(&json!({
            "node": id,
            "kind": found.kind,
            "name": found.name,
            "parent": found.parent,
            "overrides": overrides,
            "revision": replica.revision(),
        }));
    }
    println!("{id} ({}), {}", tree.path(&id), found.kind);
    for (key, value) in &overrides {
        println!("{key} = {value}");
    }
    Ok(())
}

/// Prints every effective value at a node and the node that sets it.
pub(crate) fn effective(platform: &Platform, node: &str, json: bool) -> Result<(), Error> {
    let replica = read(platform)?;
    let listing = replica.tree().listing(&Id::new(node));
    let listing = listing.map_err(Error::at("reading the node"))?;
    if json {
        return print_json(&listing);
    }
    print!("{listing}");
    Ok(())
}

/// Prints the last accepted edits.
pub(crate) fn history(platform: &Platform, last: usize, json: bool) -> Result<(), Error> {
    let replica = read(platform)?;
    let listing = Listing::new(&replica, last, cactusnotch_base::clock::wall());
    if json {
        return print_json(&listing);
    }
    print!("{listing}");
    Ok(())
}
