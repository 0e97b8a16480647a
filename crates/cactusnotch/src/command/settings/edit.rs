//! The commands that edit one node.

use cactusnotch_history::{self as history, Replica, Verdict, Writer};
use cactusnotch_objects::http::Client;
use cactusnotch_settings::{Edit, Id, Key, Kind, Operation};

use super::show::{client, read};
use super::{Authorship, Options, Platform};
use crate::error::Error;

/// Submits the edit that a command stands for.
pub(crate) fn run(options: Options) -> Result<(), Error> {
    match options {
        Options::Set {
            platform,
            authorship,
            node,
            key,
            value,
        } => {
            let key = named(&key)?;
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
            let key = named(&key)?;
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
        // The commands that do not edit are run elsewhere.
        _ => Ok(()),
    }
}

/// Returns a writer that holds the newest revision.
pub(crate) fn writer(platform: &Platform) -> Result<Writer<Client>, Error> {
    let replica: Replica = read(platform)?;
    Ok(Writer::new(
        client(platform),
        replica,
        history::Options::default(),
    ))
}

/// Prints what became of an edit.
pub(crate) fn tell(verdict: &Verdict) -> Result<(), Error> {
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
    tell(&writer.submit(&edit))
}

fn named(key: &str) -> Result<Key, Error> {
    Key::named(key).ok_or_else(|| {
        let detail = format!("there is no setting {key:?}; docs/operators/settings-reference.md");
        Error::new("reading the key", detail)
    })
}
