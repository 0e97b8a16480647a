//! The most recent pieces of a stream, retained for repairs.

/// A piece that advances a holder from one number to another.
pub(crate) trait Piece {
    /// Returns the number after which the piece is complete.
    fn after(&self) -> u64;

    /// Returns the number up to which the piece is complete.
    fn through(&self) -> u64;

    /// Returns the approximate size on the wire, in bytes.
    fn cost(&self) -> usize;
}

/// The most recent pieces of a stream, in order.
#[derive(Debug)]
pub(crate) struct Tail<P> {
    pieces: Vec<P>,
    kept: usize,
}

impl<P: Piece> Tail<P> {
    pub(crate) const fn new(kept: usize) -> Self {
        Self {
            pieces: Vec::new(),
            kept,
        }
    }

    /// Adds a piece that ends after all others.
    pub(crate) fn push(&mut self, piece: P) {
        if self.pieces.len() >= self.kept.max(1) {
            self.pieces.remove(0);
        }
        self.pieces.push(piece);
    }

    /// Returns the pieces after `held`, or `None` if not all of them are
    /// retained.
    pub(crate) fn since(&self, held: u64) -> Option<&[P]> {
        let from = self.pieces.partition_point(|piece| piece.through() <= held);
        let missing = &self.pieces[from..];
        match missing.first() {
            Some(first) if first.after() > held => None,
            _ => Some(missing),
        }
    }
}

/// Returns the approximate size of `pieces` on the wire, in bytes.
pub(crate) fn cost<P: Piece>(pieces: &[P]) -> usize {
    pieces.iter().map(Piece::cost).sum()
}
