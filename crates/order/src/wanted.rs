//! What an order asks for, and how the engine's state answers it.

/// A state that an agent wants its engine to have.
pub trait Wanted: Clone + PartialEq {
    /// What the engine reports when it is read.
    type State;

    /// Tells whether `other` concerns the same part of the engine, so that
    /// the newer of the two supersedes the older.
    fn supersedes(&self, other: &Self) -> bool;

    /// Returns how far the engine is, judged by the state it reports.
    fn progress(&self, state: &Self::State) -> Progress;

    /// Tells whether the order may be sent again after a lost reply.
    fn is_idempotent(&self) -> bool {
        true
    }
}

/// How far an engine is with a wanted state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Progress {
    /// The state is so.
    Done,
    /// The engine is at work on it.
    Underway,
    /// The engine knows nothing of it.
    Absent,
    /// The engine cannot come to this state any more.
    Impossible,
}
