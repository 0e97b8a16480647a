//! Messages between the agents of a group.

use cactusnotch_base::number::{Fence, Step};
use cactusnotch_derive::message;

use crate::ballot::Ballot;
use crate::map::{Map, Switch};
use crate::proposal::{Id, Proposal};
use crate::view::{Rank, View};

/// An agent of the group in one of its parts.
#[message]
#[derive(Copy, Eq, PartialOrd, Ord, Hash)]
pub enum Peer {
    /// The agent of a rank.
    Rank(Rank),
    /// The coordinator with this fencing number; a driver sends to where it
    /// has heard it from.
    Coordinator(Fence),
}

/// A message between agents.
#[message]
#[derive(Eq, Hash)]
pub struct Message {
    /// The sender.
    pub from: Peer,
    /// The number of the view that the sender knows; zero from a coordinator.
    pub view: u64,
    /// What is said.
    pub body: Body,
}

/// What a message says.
#[message]
#[derive(Eq, Hash)]
pub enum Body {
    /// Coordinator to rank: load what `map` needs. Binds nobody.
    Prepare {
        /// The identity that the proposal will have.
        id: Id,
        /// The map.
        map: Map,
    },
    /// Rank to coordinator: the weights of the prepared map are loaded.
    Ready {
        /// The identity that the proposal will have.
        id: Id,
        /// The view of the rank.
        view: u64,
        /// The next step that the rank's engine starts.
        next: Step,
    },
    /// Coordinator to rank: vote on the proposal.
    Propose(Proposal),
    /// Rank to coordinator: the rank's vote, which never changes.
    Vote {
        /// The proposal.
        id: Id,
        /// The vote.
        vote: Vote,
    },
    /// Rank to coordinator: the engine has started a step with the new map.
    Applied {
        /// The proposal.
        id: Id,
    },
    /// A promised rank, or the coordinator, asks for the outcome.
    Query {
        /// The proposal.
        proposal: Proposal,
        /// The promises that the sender knows of.
        ballot: Ballot,
        /// Whether the sender waits for the outcome: a rank that has not
        /// promised then vetoes at once.
        urgent: bool,
    },
    /// The outcome as far as the sender knows it, announced by the
    /// coordinator or in answer to a query.
    Outcome {
        /// The proposal.
        proposal: Proposal,
        /// The outcome as far as the sender knows it.
        verdict: Verdict,
    },
    /// A new process of a rank asks what the others know in this view.
    Join(View),
    /// The answer to a join.
    Report(Report),
    /// The sender lacks the receiver's view.
    Behind,
    /// The view that the sender knows.
    View(View),
}

/// A rank's vote on a proposal.
#[message]
#[derive(Copy, Eq, Hash)]
pub enum Vote {
    /// The rank's engine waits before the hold step until the outcome is known.
    Promise,
    /// The rank never promises.
    Veto(Reason),
}

/// Why a rank vetoes.
#[message]
#[derive(Copy, Eq, Hash)]
pub enum Reason {
    /// Another proposal is open.
    Busy,
    /// The rank is in another view.
    View,
    /// The epoch does not follow the rank's, which is given.
    Epoch(Switch),
    /// The engine has come too far for the hold step, or refused to wait.
    Late,
    /// The weights are not loaded.
    Unprepared,
    /// The outcome was asked for before the rank had promised.
    Queried,
}

/// The outcome of a proposal as far as it is known.
#[message]
#[derive(Eq, Hash)]
pub enum Verdict {
    /// Not known; the promises that are known.
    Open(Ballot),
    /// Every rank promised: the map is used from the proposed step.
    Commit,
    /// The map is not used.
    Abort,
}

/// What an agent knows when a view begins; it holds for that whole view.
#[message]
#[derive(Copy, Eq, Hash)]
pub enum Report {
    /// Nothing: the agent itself asks.
    Joining,
    /// The agent has a part in the group.
    Standing(Decisions),
}

/// The decided switches that an agent with a part in the group knows.
#[message]
#[derive(Copy, Eq, Hash)]
pub struct Decisions {
    /// The map that was in force before.
    pub previous: Option<Switch>,
    /// The map in force.
    pub current: Switch,
    /// The switch that is decided and not yet in force.
    pub committed: Option<Switch>,
}

impl Decisions {
    /// Returns the switches in order.
    pub(crate) fn decided(&self) -> impl Iterator<Item = Switch> + use<> {
        let all = [self.previous, Some(self.current), self.committed];
        all.into_iter().flatten()
    }
}
