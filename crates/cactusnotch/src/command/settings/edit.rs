//! The commands that edit a single node.

use cactusnotch_history::{self as history, Replica, Verdict, Writer};
use cactusnotch_objects::http::Client;
use cactusnotch_settings::{Edit, Id, Key, Kind, Operation};

use super::show::{client, read};
use super::{Authorship, Options, Platform};
use crate::error::Error;

/// Submits the edit of a command.
pub(crate) fn run(options: Options) -> Result<(), Error> {
    match options {
        Options::Set {
            platform,
            authorship,
            node,
            key,
            value,
        } => {
            let key = key_named(&key)?;
            let value = key.shape().read_text(&value);
            let value = value.map_err(Error::at("reading the value"))?;
            let node = Id::new(node);
            submit(&platform, &authorship, Operation::Set { node, key, value })
        }
        Options::Unset {
            platform,
            authorship,
            node,
            key,
        } => {
            let key = key_named(&key)?;
            let node = Id::new(node);
            submit(&platform, &authorship, Operation::Unset { node, key })
        }
        Options::Create {
            platform,
            authorship,
            under,
            name,
            kind,
            node,
        } => {
            let kind = Kind::named(&kind).ok_or_else(|| {
                let allowed = "policy, organisation or model-group";
                Error::new("reading the kind", format!("{kind:?}; allowed: {allowed}"))
            })?;
            let operation = Operation::Create {
                name: name.unwrap_or_else(|| node.clone()),
                node: Id::new(node),
                parent: Id::new(under),
                kind,
            };
            submit(&platform, &authorship, operation)
        }
        Options::Move {
            platform,
            authorship,
            under,
            node,
        } => {
            let (node, parent) = (Id::new(node), Id::new(under));
            submit(&platform, &authorship, Operation::Move { node, parent })
        }
        Options::Rename {
            platform,
            authorship,
            node,
            name,
        } => {
            let node = Id::new(node);
            submit(&platform, &authorship, Operation::Rename { node, name })
        }
        Options::Delete {
            platform,
            authorship,
            node,
        } => {
            let node = Id::new(node);
            submit(&platform, &authorship, Operation::Delete { node })
        }
        // The other commands are dispatched by the parent module.
        _ => Ok(()),
    }
}

/// Returns a writer at the newest revision.
pub(crate) fn writer(platform: &Platform) -> Result<Writer<Client>, Error> {
    let replica: Replica = read(platform)?;
    Ok(Writer::new(
        client(platform),
        replica,
        history::Options::default(),
    ))
}

/// Prints the verdict on an edit.
pub(crate) fn report(verdict: &Verdict) -> Result<(), Error> {
    match verdict {
        Verdict::Accepted { .. } => {
            println!("{verdict}");
            Ok(())
        }
        _ => Err(Error::new("edit", verdict)),
    }
}

fn submit(platform: &Platform, authorship: &Authorship, operation: Operation) -> Result<(), Error> {
    let mut writer = writer(platform)?;
    let edit = Edit::new(
        authorship.author.as_str(),
        authorship.reason.as_str(),
        writer.replica().revision(),
        vec![operation],
    );
    report(&writer.submit(&edit))
}

fn key_named(key: &str) -> Result<Key, Error> {
    Key::named(key).ok_or_else(|| {
        let detail = format!("there is no setting {key:?}; docs/operators/settings-reference.md");
        Error::new("reading the key", detail)
    })
}
