//! The revisions that a process holds.

use cactusnotch_base::number::Sequence;
use cactusnotch_objects::object::Version;

use crate::span::Span;
use crate::tail::Tail;

/// The outcome of applying a span.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It advanced the process to a later revision.
    Applied,
    /// The process already holds it.
    Known,
    /// Revisions before it are missing.
    Gap,
}

/// The revisions that a process holds: a number that never decreases, and the
/// most recent spans.
#[derive(Debug)]
pub(crate) struct Log {
    held: Sequence,
    version: Version,
    tail: Tail<Span>,
    snapshot: Option<Span>,
}

impl Log {
    pub(crate) const fn new(kept: usize) -> Self {
        Self {
            held: Sequence(0),
            version: Version(0),
            tail: Tail::new(kept),
            snapshot: None,
        }
    }

    /// Returns the newest revision held.
    pub(crate) const fn held(&self) -> Sequence {
        self.held
    }

    /// Returns the version at which the newest revision held was written.
    pub(crate) const fn version(&self) -> Version {
        self.version
    }

    /// Applies a span if it continues the revisions held.
    pub(crate) fn apply(&mut self, span: &Span) -> Outcome {
        if span.through <= self.held {
            return Outcome::Known;
        }
        if span.after > self.held {
            return Outcome::Gap;
        }
        self.held = span.through;
        self.version = self.version.max(span.version);
        if span.after == Sequence(0) {
            self.snapshot = Some(span.clone());
        }
        self.tail.push(span.clone());
        Outcome::Applied
    }

    /// Stores `snapshot` for processes that lack more than the retained spans.
    pub(crate) fn keep_snapshot(&mut self, snapshot: Span) {
        let known = self.snapshot.as_ref().map(|span| span.through);
        if snapshot.after == Sequence(0) && known < Some(snapshot.through) {
            self.snapshot = Some(snapshot);
        }
    }

    /// Returns the spans that bring a holder of `held` up to date, or none if they
    /// are not retained.
    pub(crate) fn since(&self, held: Sequence) -> Vec<Span> {
        if let Some(spans) = self.tail.since(held.0) {
            return spans.to_vec();
        }
        let Some(snapshot) = &self.snapshot else {
            return Vec::new();
        };
        let later = self.tail.since(snapshot.through.0).unwrap_or_default();
        let mut spans = vec![snapshot.clone()];
        spans.extend_from_slice(later);
        spans
    }
}
