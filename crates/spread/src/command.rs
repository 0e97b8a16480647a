//! What a node asks its driver to do.

use std::time::Duration;

use cactusnotch_base::name::Process;
use cactusnotch_derive::record;
use cactusnotch_member::{Delta, registration};
use cactusnotch_objects::object::Version;

use crate::message::Message;
use crate::span::Span;

/// The number of a call, which its answer brings back.
#[record]
#[derive(Copy, PartialOrd, Ord)]
pub struct Ticket(pub(crate) u64);

/// A call to the platform.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// Read the revisions written after `after`, and wait for the first.
    Settings {
        /// The version of the newest revision held; zero asks for a snapshot
        /// and what follows it.
        after: Version,
        /// How long to wait; zero for a plain read.
        wait: Duration,
    },
    /// Read the members written or removed after `after`, and wait for the
    /// first.
    Members {
        /// The version of the roster held; zero asks for the whole roster.
        after: Version,
        /// How long to wait; zero for a plain read.
        wait: Duration,
    },
    /// Read or write the process's own record.
    Own(registration::Call),
    /// Delete the record of a process that has been dead for long, if it
    /// still stands at this version.
    Expire {
        /// The process.
        process: Process,
        /// The version of its record.
        version: Version,
    },
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The revisions written since, in order, complete up to the read.
    Settings(Vec<Span>),
    /// The members written or removed since; see [`Delta::from_changes`].
    Members(Delta),
    /// How a call for the own record ended.
    Own(registration::Answer),
    /// An expired record was deleted or has changed.
    Expired,
    /// The call failed or nothing is known of it.
    Unanswered,
}

/// What a node asks its driver to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Send a message to a peer.
    Send {
        /// The peer; see [`Node::address`](crate::Node::address).
        to: Process,
        /// The message.
        message: Message,
    },
    /// Call the platform and hand in the answer with the ticket.
    Call {
        /// The number of the call.
        ticket: Ticket,
        /// The call.
        call: Call,
    },
    /// Put a revision into force in this process. Spans come in order.
    Apply(Span),
    /// The roster changed; see [`Node::roster`](crate::Node::roster).
    Roster,
}
