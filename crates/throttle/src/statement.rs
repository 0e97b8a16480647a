//! What an endpoint says of itself in the head of an answer.

use std::time::Duration;

use crate::Rate;

/// A value in the head of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Stated<T> {
    /// The head has none.
    #[default]
    Nothing,
    /// The head has this one.
    Value(T),
    /// The head has one that means nothing.
    Unreadable,
}

/// What an endpoint says of itself in the head of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Statement {
    /// The requests that it takes from all entries together, for as long as it says so.
    pub limit: Stated<Rate>,
    /// How long it wants no request from this entry, said as it turns one away.
    pub rest: Stated<Duration>,
    /// Whether it takes no new requests since it is about to leave.
    pub leaving: bool,
}
