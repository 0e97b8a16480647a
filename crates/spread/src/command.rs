//! Commands of a node to its driver.

use std::time::Duration;

use cactusnotch_base::name::Process;
use cactusnotch_derive::record;
use cactusnotch_member::{Delta, registration};
use cactusnotch_objects::object::Version;

use crate::message::Message;
use crate::span::Span;

/// The number of a call, which its answer repeats.
#[record]
#[derive(Copy, PartialOrd, Ord)]
pub struct Ticket(pub(crate) u64);

/// A call to the platform.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// Read the revisions written after `after`; wait if there is none.
    Settings {
        /// The version of the newest revision held; zero asks for a snapshot
        /// and what follows it.
        after: Version,
        /// How long to wait; zero for a plain read.
        wait: Duration,
    },
    /// Read the members written or removed after `after`; wait if there is
    /// none.
    Members {
        /// The version of the roster held; zero asks for the whole roster.
        after: Version,
        /// How long to wait; zero for a plain read.
        wait: Duration,
    },
    /// Read or write the process's own record.
    Own(registration::Call),
    /// Delete the record of a process that has been dead for the expiry time,
    /// if the record still has this version.
    Expire {
        /// The process.
        process: Process,
        /// The version of its record.
        version: Version,
    },
}

/// The result of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The revisions written since, in order and complete up to the time of
    /// the read.
    Settings(Vec<Span>),
    /// The members written or removed since; see [`Delta::from_changes`].
    Members(Delta),
    /// The result of a call for the process's own record.
    Own(registration::Answer),
    /// An expired record was deleted or has changed.
    Expired,
    /// The call failed or its outcome is unknown.
    Unanswered,
}

/// A command of a node to its driver.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Send a message to a peer.
    Send {
        /// The peer; see [`Node::address`](crate::Node::address).
        to: Process,
        /// The message.
        message: Message,
    },
    /// Call the platform and pass the answer to
    /// [`Node::on_answer`](crate::Node::on_answer) with the ticket.
    Call {
        /// The number of the call.
        ticket: Ticket,
        /// The call.
        call: Call,
    },
    /// Apply a revision in this process. Spans come in order.
    Apply(Span),
    /// The roster changed; see [`Node::roster`](crate::Node::roster).
    Roster,
}
