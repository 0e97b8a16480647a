//! The configuration of a search, its faults and its actions.

use cactusnotch_ledger::message::Repeat;

/// The number of faults of each kind that may still occur.
#[derive(Debug, Clone, Copy, Default, Hash)]
pub struct Faults {
    pub lost_frames: u8,
    pub duplicated_frames: u8,
    pub lost_links: u8,
    pub killed_entries: u8,
    pub killed_agents: u8,
    pub platform: u8,
    pub advances: u8,
    pub drains: u8,
}

/// The configuration of a search.
#[derive(Debug, Clone, Hash)]
pub struct Setup {
    pub ticket: bool,
    pub repeat: Repeat,
    pub pieces: u64,
    pub faults: Faults,
    /// Whether the platform checks the condition that a number is absent.
    pub conditional: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Done,
    /// The call takes effect, but the reply is lost.
    ReplyLost,
    /// The reply is lost, and the call takes effect at any later time.
    Delayed,
    /// The platform is down.
    Down,
}

#[derive(Debug, Clone)]
pub enum Action {
    /// The caller sends the request again, to the other entry.
    Resend,
    /// The entry chooses an agent, with its current or its initial terms.
    Route(usize, bool),
    Deliver(usize),
    Lose(usize),
    /// The entry has no connection on which to send a run.
    Unsend(usize),
    Duplicate(usize),
    Engine(usize),
    Call(usize, Fate),
    /// A delayed write takes effect.
    Land(usize),
    KillEntry(usize),
    KillAgent(usize),
    LoseLink(usize, usize),
    Drain(usize),
    Advance,
}

/// A kind of fault, and a function that allows one more of it.
pub type Kind = (&'static str, fn(&mut Faults));

/// The kinds of faults.
pub const KINDS: [Kind; 7] = [
    ("lost frame", |faults| faults.lost_frames += 1),
    ("duplicated frame", |faults| faults.duplicated_frames += 1),
    ("lost link", |faults| faults.lost_links += 1),
    ("killed entry", |faults| faults.killed_entries += 1),
    ("killed agent", |faults| faults.killed_agents += 1),
    ("platform", |faults| faults.platform += 1),
    ("drain", |faults| faults.drains += 1),
];
