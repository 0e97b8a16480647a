//! What a link carries.

use cactusnotch_admit::quota;
use cactusnotch_derive::message;
use cactusnotch_ledger::Reply;
use cactusnotch_spread::Message;

use crate::{Announcement, Dispatch, claim, group};

/// What a link carries.
#[message]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// An entry asks something of an agent about a request.
    Dispatch(Box<Dispatch>),
    /// An agent replies about a request.
    Reply(Reply),
    /// An agent states its endpoint's condition.
    Announce(Announcement),
    /// A process tells a peer of the settings and the roster.
    Spread(Message),
    /// An entry tells another one about claims of keys.
    Claim(claim::Message),
    /// An entry tells another one about organisations' caps.
    Quota(quota::Message),
    /// An agent tells another one of its group of ranks.
    Group(group::Message),
}
