//! The expert map: which ranks hold each expert, and how its traffic is split.

use cactusnotch_derive::message;
use cactusnotch_popularity::{Cell, Rank, Shape, Share};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::replica::Replica;

/// Why rows of replicas do not form a valid expert map.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The number of rows differs from the number of cells of the shape.
    #[display("the map has {rows} rows, but {shape} need {}", shape.cells())]
    Rows {
        /// The number of rows.
        rows: usize,
        /// The shape of the map.
        shape: Shape,
    },
    /// An expert has no replica.
    #[display("{cell} has no replica")]
    Missing {
        /// The expert.
        cell: Cell,
    },
    /// An expert's replicas are not sorted by rank, or name a rank twice.
    #[display("the replicas of {cell} are not sorted by rank")]
    Order {
        /// The expert.
        cell: Cell,
    },
    /// The shares of an expert's replicas do not add up to [`Share::WHOLE`].
    #[display("the shares of {cell} add up to {sum} instead of {}", Share::WHOLE)]
    Shares {
        /// The expert.
        cell: Cell,
        /// The sum of the shares.
        sum: u32,
    },
    /// A rank holds more experts of a layer than it has slots.
    #[display("rank {rank} holds {held} experts of layer {layer} but has {slots} slots")]
    Slots {
        /// The rank.
        rank: Rank,
        /// The layer.
        layer: u16,
        /// The experts of the layer that the rank holds.
        held: usize,
        /// The slots that the rank has for the layer.
        slots: usize,
    },
}

/// Which ranks hold each expert of each layer, and how its traffic is split.
///
/// Every expert has at least one replica, the replicas of an expert are on
/// distinct ranks in rank order, and their shares add up to [`Share::WHOLE`].
/// A map that violates this cannot be built or deserialized.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Unchecked", into = "Unchecked")]
pub struct Map {
    shape: Shape,
    rows: Vec<Vec<Replica>>,
}

/// The serialized form of a map, before validation.
#[message]
struct Unchecked {
    shape: Shape,
    rows: Vec<Vec<Replica>>,
}

impl Map {
    /// Creates a map from one row of replicas for each cell of `shape`, layer
    /// by layer.
    ///
    /// # Errors
    ///
    /// Returns an error if a row is missing, empty or unsorted, or if its
    /// shares do not add up.
    pub fn new(shape: Shape, rows: Vec<Vec<Replica>>) -> Result<Self, Error> {
        let map = Self { shape, rows };
        if map.rows.len() != shape.cells() {
            let rows = map.rows.len();
            return Err(Error::Rows { rows, shape });
        }
        map.cells()
            .try_for_each(|(cell, row)| check_row(cell, row))?;
        Ok(map)
    }

    /// Returns the layers and experts that the map covers.
    #[must_use]
    pub const fn shape(&self) -> Shape {
        self.shape
    }

    /// Returns the replicas of an expert in rank order, or none if the model
    /// has no such expert.
    #[must_use]
    pub fn replicas(&self, cell: Cell) -> &[Replica] {
        self.shape
            .index(cell)
            .map_or(&[][..], |at| self.rows[at].as_slice())
    }

    /// Returns each expert with its replicas, layer by layer.
    ///
    /// # Panics
    ///
    /// Never, because a shape has at most `u16::MAX` layers and experts.
    pub fn cells(&self) -> impl Iterator<Item = (Cell, &[Replica])> {
        let shape = self.shape;
        (0..shape.layers)
            .flat_map(move |layer| (0..shape.experts).map(move |expert| Cell { layer, expert }))
            .zip(self.rows.iter().map(Vec::as_slice))
    }

    /// Returns the experts that `rank` holds.
    pub fn experts_on(&self, rank: Rank) -> impl Iterator<Item = Cell> {
        self.cells()
            .filter(move |(_, row)| position(row, rank).is_ok())
            .map(|(cell, _)| cell)
    }

    /// Returns whether `rank` holds the expert.
    #[must_use]
    pub fn holds(&self, rank: Rank, cell: Cell) -> bool {
        position(self.replicas(cell), rank).is_ok()
    }

    /// Returns a 64-bit hash of the content, which is the same on every host.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(&self.shape.layers.to_le_bytes());
        hash.update(&self.shape.experts.to_le_bytes());
        for row in &self.rows {
            hash.update(&(row.len() as u64).to_le_bytes());
            for replica in row {
                hash.update(&replica.rank.0.to_le_bytes());
                hash.update(&replica.share.0.to_le_bytes());
            }
        }
        hash.digest()
    }

    /// Checks that no rank holds more experts of a layer than `slots`.
    ///
    /// # Errors
    ///
    /// Returns the first rank and layer with too many experts.
    pub fn check_slots(&self, slots: usize) -> Result<(), Error> {
        let ranks = self.rows.iter().flatten().map(|r| r.rank.index() + 1);
        let mut held = vec![0; ranks.max().unwrap_or(0)];
        for layer in 0..self.shape.layers {
            held.fill(0);
            for replica in self.rows[self.shape.layer(layer)].iter().flatten() {
                held[replica.rank.index()] += 1;
                let held = held[replica.rank.index()];
                if held > slots {
                    let rank = replica.rank;
                    return Err(Error::Slots {
                        rank,
                        layer,
                        held,
                        slots,
                    });
                }
            }
        }
        Ok(())
    }
}

impl TryFrom<Unchecked> for Map {
    type Error = Error;

    fn try_from(unchecked: Unchecked) -> Result<Self, Error> {
        Self::new(unchecked.shape, unchecked.rows)
    }
}

impl From<Map> for Unchecked {
    fn from(map: Map) -> Self {
        let Map { shape, rows } = map;
        Self { shape, rows }
    }
}

pub(crate) fn position(row: &[Replica], rank: Rank) -> Result<usize, usize> {
    row.binary_search_by_key(&rank, |replica| replica.rank)
}

fn check_row(cell: Cell, row: &[Replica]) -> Result<(), Error> {
    if row.is_empty() {
        return Err(Error::Missing { cell });
    }
    if !row.is_sorted_by(|a, b| a.rank < b.rank) {
        return Err(Error::Order { cell });
    }
    let sum = row.iter().map(|replica| u32::from(replica.share.0)).sum();
    if sum != u32::from(Share::WHOLE.0) {
        return Err(Error::Shares { cell, sum });
    }
    Ok(())
}
