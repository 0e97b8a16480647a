//! One hop of a request.

use cactusnotch_base::Clock;
use cactusnotch_base::clock::Instant;
use rand::Rng;

use crate::trace::{Context, id};

/// The target under which spans are logged.
pub const TARGET: &str = "cactusnotch::span";

/// The outcome of a span that was dropped without [`Span::finish`].
const DROPPED: &str = "dropped";

/// One hop of a request, written to the log when it ends.
///
/// A span is a plain value, not bound to a thread or a task, so a hop may start
/// in one place and end in another. It is written as one event with
/// its name, `trace_id`, `span_id`, `parent_id`, `duration_us` and `outcome`,
/// if its trace is sampled.
#[derive(Debug)]
pub struct Span<C: Clock> {
    name: &'static str,
    context: Context,
    parent: Option<id::Span>,
    clock: C,
    start: Instant,
    outcome: &'static str,
}

impl<C: Clock> Span<C> {
    /// Starts the root span of a trace with `context`.
    pub fn root(name: &'static str, context: Context, clock: C) -> Self {
        Self {
            name,
            context,
            parent: None,
            start: clock.now(),
            clock,
            outcome: DROPPED,
        }
    }

    /// Starts a child span of `parent`, which may belong to another process.
    pub fn child(name: &'static str, parent: &Context, random: &mut impl Rng, clock: C) -> Self {
        let mut span = Self::root(name, parent.child(random), clock);
        span.parent = Some(parent.span_id);
        span
    }

    /// Returns the context to propagate with the request. The next hop's span
    /// records this one as its parent.
    #[must_use]
    pub const fn context(&self) -> Context {
        self.context
    }

    /// Ends the span with `outcome`, such as `ok` or `not-run`.
    pub fn finish(mut self, outcome: &'static str) {
        self.outcome = outcome;
    }
}

impl<C: Clock> Drop for Span<C> {
    fn drop(&mut self) {
        if !self.context.sampled {
            return;
        }
        let duration = self.clock.now().saturating_duration_since(self.start);
        let parent = self.parent.map(|parent| parent.to_string());
        tracing::info!(
            target: TARGET,
            name = self.name,
            trace_id = %self.context.trace_id,
            span_id = %self.context.span_id,
            parent_id = parent,
            duration_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX),
            outcome = self.outcome,
        );
    }
}
