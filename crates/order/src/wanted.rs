//! The states that orders ask for, and the engine's progress towards them.

/// A state that an agent wants its engine to have.
pub trait Wanted: Clone + PartialEq {
    /// The state that the engine reports when it is read.
    type State;

    /// Returns whether `other` concerns the same part of the engine, in which
    /// case the newer of the two supersedes the older.
    fn supersedes(&self, other: &Self) -> bool;

    /// Returns the engine's progress, given the state that it reports.
    fn progress(&self, state: &Self::State) -> Progress;

    /// Returns whether the order may be sent again after a lost reply.
    fn is_idempotent(&self) -> bool {
        true
    }
}

/// An engine's progress towards a wanted state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Progress {
    /// The engine has the state.
    Done,
    /// The engine is working on it.
    Underway,
    /// The engine's state does not show it.
    Absent,
    /// The engine can no longer reach the state.
    Impossible,
}
