//! What is tried, and what may happen.

use cactusnotch_ledger::message::Repeat;

/// The faults that may still happen.
#[derive(Debug, Clone, Copy, Default, Hash)]
pub struct Faults {
    pub lost_frames: u8,
    pub doubled_frames: u8,
    pub lost_links: u8,
    pub killed_entries: u8,
    pub killed_agents: u8,
    pub platform: u8,
    pub advances: u8,
    pub drains: u8,
}

/// What is tried.
#[derive(Debug, Clone, Hash)]
pub struct Setup {
    pub ticket: bool,
    pub repeat: Repeat,
    pub pieces: u64,
    pub faults: Faults,
    /// Whether the platform heeds the condition that a number be absent.
    pub conditional: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Done,
    /// The effect takes place, and the reply is lost.
    ReplyLost,
    /// The reply is lost, and the effect takes place at any later time.
    Delayed,
    /// The platform is down.
    Down,
}

#[derive(Debug, Clone)]
pub enum Action {
    /// The caller sends the request again, to the other entry.
    Resend,
    /// The entry takes an agent as it is, or as it was before it was replaced.
    Route(usize, bool),
    Deliver(usize),
    Lose(usize),
    /// The entry finds that it has no connection for a run.
    Unsend(usize),
    Double(usize),
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

/// A kind of faults, and a step that allows one more of it.
pub type Kind = (&'static str, fn(&mut Faults));

/// The kinds of faults.
pub const KINDS: [Kind; 7] = [
    ("lost frame", |faults| faults.lost_frames += 1),
    ("doubled frame", |faults| faults.doubled_frames += 1),
    ("lost link", |faults| faults.lost_links += 1),
    ("killed entry", |faults| faults.killed_entries += 1),
    ("killed agent", |faults| faults.killed_agents += 1),
    ("platform", |faults| faults.platform += 1),
    ("drain", |faults| faults.drains += 1),
];
