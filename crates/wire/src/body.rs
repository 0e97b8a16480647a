//! The messages that a link carries.

use cactusnotch_admit::quota;
use cactusnotch_derive::message;
use cactusnotch_ledger::Reply;
use cactusnotch_spread::Message;

use crate::{Announcement, Dispatch, claim, group};

/// A message on a link.
#[message]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// From an entry to an agent, about a request.
    Dispatch(Box<Dispatch>),
    /// From an agent to an entry, about a request.
    Reply(Reply),
    /// From an agent, on every link: the state and load of its endpoint.
    Announce(Announcement),
    /// Between processes, about the settings and the roster.
    Spread(Message),
    /// Between entries, about claims on keys.
    Claim(claim::Message),
    /// Between entries, about organisations' caps.
    Quota(quota::Message),
    /// Between the agents of a group of ranks.
    Group(group::Message),
}
