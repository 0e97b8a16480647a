//! Scheduled events of the simulation.

use cactusnotch_spread::{Answer, Call, Message, Ticket};

use super::Micros;

#[derive(Debug, Clone)]
pub enum Event {
    Tick,
    Message(usize, Message),
    Answer(Ticket, Answer),
    Call(Ticket, Call),
}

#[derive(Debug)]
pub struct Due {
    pub at: Micros,
    pub order: u64,
    pub to: usize,
    pub instance: u64,
    pub event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}
