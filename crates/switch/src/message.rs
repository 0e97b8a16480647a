//! Messages between the agents of a group.

use cactusnotch_base::number::{Fence, Step};
use cactusnotch_derive::message;

use crate::ballot::Ballot;
use crate::map::{Map, Switch};
use crate::proposal::{Id, Proposal};
use crate::view::{Rank, View};

/// An agent of the group in one of its roles.
#[message]
#[derive(Copy, Eq, PartialOrd, Ord, Hash)]
pub enum Peer {
    /// The agent of a rank.
    Rank(Rank),
    /// The coordinator with this fencing number. A driver sends to the address
    /// from which it last received a message of that coordinator.
    Coordinator(Fence),
}

/// A message between agents.
#[message]
#[derive(Eq, Hash)]
pub struct Message {
    /// The sender.
    pub from: Peer,
    /// The number of the sender's view; zero from a coordinator.
    pub view: u64,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[message]
#[derive(Eq, Hash)]
pub enum Body {
    /// Coordinator to rank: load the experts of `map`. Not binding.
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
        /// The next step that the rank's engine will start.
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
    /// A rank that has promised, or the coordinator, asks for the outcome.
    Query {
        /// The proposal.
        proposal: Proposal,
        /// The promises that the sender has observed.
        ballot: Ballot,
        /// Whether the sender is blocked on the outcome. A rank that has not
        /// promised then vetoes at once.
        urgent: bool,
    },
    /// The outcome from the sender's point of view, announced by the coordinator
    /// or in answer to a query.
    Outcome {
        /// The proposal.
        proposal: Proposal,
        /// The outcome from the sender's point of view.
        verdict: Verdict,
    },
    /// A new process of a rank asks the others for their decided switches in
    /// this view.
    Join(View),
    /// The answer to a join.
    Report(Report),
    /// The sender's view is older than the receiver's.
    Behind,
    /// The sender's view.
    View(View),
}

/// A rank's vote on a proposal.
#[message]
#[derive(Copy, Eq, Hash)]
pub enum Vote {
    /// The rank's engine does not start the hold step until the outcome is
    /// known.
    Promise,
    /// The rank will never promise this proposal.
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
    /// The proposed epoch does not follow that of the rank's current map, which
    /// is given.
    Epoch(Switch),
    /// The engine has passed the hold step, or refused to hold it.
    Late,
    /// The weights are not loaded.
    Unprepared,
    /// The outcome was queried before the rank had promised.
    Queried,
}

/// The outcome of a proposal, from one agent's point of view.
#[message]
#[derive(Eq, Hash)]
pub enum Verdict {
    /// Undecided; the promises observed so far.
    Open(Ballot),
    /// Every rank promised: the map is used from the proposed step.
    Commit,
    /// The map is not used.
    Abort,
}

/// An agent's decided switches at the start of a view. The report stays valid
/// for the whole view.
#[message]
#[derive(Copy, Eq, Hash)]
pub enum Report {
    /// None: the agent is joining as well.
    Joining,
    /// Those of an active agent.
    Standing(Decisions),
}

/// The decided switches of an active agent.
#[message]
#[derive(Copy, Eq, Hash)]
pub struct Decisions {
    /// The map that was in force before `current`.
    pub previous: Option<Switch>,
    /// The map in force.
    pub current: Switch,
    /// The switch that is committed but not yet in force.
    pub committed: Option<Switch>,
}

impl Decisions {
    /// Returns the switches in order.
    pub(crate) fn decided(&self) -> impl Iterator<Item = Switch> + use<> {
        let all = [self.previous, Some(self.current), self.committed];
        all.into_iter().flatten()
    }
}
