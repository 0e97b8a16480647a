//! Shared values with their hash, and packets in flight.

use std::hash::{Hash, Hasher};
use std::rc::Rc;

use cactusnotch_base::number::Fence;
use cactusnotch_order::{Answer, Order};
use cactusnotch_switch::engine::{Action, State};
use cactusnotch_switch::{Message, coordinator, rank};
use xxhash_rust::xxh3::Xxh3;

fn digest<T: Hash>(value: &T) -> u64 {
    let mut hasher = Xxh3::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// A shared value with its hash.
#[derive(Debug, Clone)]
pub struct Hashed<T> {
    value: Rc<T>,
    pub hash: u64,
}

impl<T: Hash + Clone> Hashed<T> {
    pub fn new(value: T) -> Self {
        let hash = digest(&value);
        let value = Rc::new(value);
        Self { value, hash }
    }

    pub fn get(&self) -> &T {
        &self.value
    }

    pub fn change<R>(&mut self, change: impl FnOnce(&mut T) -> R) -> R {
        let result = change(Rc::make_mut(&mut self.value));
        self.hash = digest(&*self.value);
        result
    }
}

/// A packet in flight. Agents and coordinators are given by their index.
#[derive(Debug, Clone, Hash)]
pub enum Packet {
    Agent(usize, rank::Event),
    Message(usize, Sender, Message),
    Coordinator(usize, coordinator::Event),
    Order(usize, Order<Action>),
    Read(usize, Fence),
    Answer(usize, Answer<State>),
}

/// The process that sent a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Sender {
    Agent(usize),
    Coordinator(usize),
}
