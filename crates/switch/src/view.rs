//! The membership view of a group, as recorded on the platform.

use cactusnotch_base::name::Process;
use cactusnotch_base::number::Incarnation;
use cactusnotch_derive::{message, number};
use derive_more::Display;

use crate::map::Switch;

/// The position of a rank in its group.
#[number]
#[derive(Display)]
#[serde(transparent)]
pub struct Rank(pub u16);

/// The agent process that represents a rank.
#[message]
#[derive(Eq, Hash)]
pub struct Seat {
    /// The number of the view in which the process took the seat.
    pub incarnation: Incarnation,
    /// The process.
    pub process: Process,
}

/// The platform object of a group: its seats, and the map with which it restarts
/// if no rank with decided switches is left.
///
/// An agent takes its seat by a conditional update, which makes views totally
/// ordered by their number.
#[message]
#[derive(Eq, Hash)]
pub struct View {
    /// The number of times that the group has started from `base`.
    pub generation: u64,
    /// The number of the view, incremented by each new seat and generation.
    pub number: u64,
    /// The map with which the next generation starts.
    pub base: Switch,
    /// The seats by rank.
    pub seats: Vec<Option<Seat>>,
}

impl View {
    /// Creates the first view of a group of `size` ranks with all seats free.
    #[must_use]
    pub fn new(size: u16, base: Switch) -> Self {
        Self {
            generation: 0,
            number: 0,
            base,
            seats: vec![None; usize::from(size)],
        }
    }

    /// Returns the number of ranks.
    #[must_use]
    pub fn size(&self) -> usize {
        self.seats.len()
    }

    /// Returns the seat of a rank, if it is taken.
    #[must_use]
    pub fn seat(&self, rank: Rank) -> Option<&Seat> {
        self.seats.get(usize::from(rank.0))?.as_ref()
    }

    /// Returns the ranks in order.
    pub fn ranks(&self) -> impl Iterator<Item = Rank> + use<> {
        let size = u16::try_from(self.size()).unwrap_or(u16::MAX);
        (0..size).map(Rank)
    }

    /// Returns the next view, in which `process` holds the seat of `rank`.
    #[must_use]
    pub(crate) fn with_seat(&self, rank: Rank, process: &Process) -> Self {
        let mut view = self.clone();
        view.number += 1;
        let seat = Seat {
            incarnation: Incarnation(view.number),
            process: process.clone(),
        };
        if let Some(place) = view.seats.get_mut(usize::from(rank.0)) {
            *place = Some(seat);
        }
        view
    }

    /// Returns the next view, which starts a generation from `base`.
    #[must_use]
    pub(crate) fn with_generation(&self) -> Self {
        Self {
            generation: self.generation + 1,
            number: self.number + 1,
            ..self.clone()
        }
    }
}
