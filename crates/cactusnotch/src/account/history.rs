//! What happened to groups, and when.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_derive::record;

use super::cause::Surroundings;

/// How long before the leader detects a shift of demand passes may already be longer, and
/// how long after it they still are: a new map is in force within 0.6 s.
const SHIFT_BEFORE: Duration = Duration::from_millis(300);
const SHIFT_AFTER: Duration = Duration::from_millis(600);
/// How far from a gap the lines on a new map or a slow rank may be written.
const MARGIN: Duration = Duration::from_millis(100);
/// The time within which entries notice that a group is broken.
const BROKEN_AFTER: Duration = Duration::from_secs(1);

/// What happened.
#[record]
#[derive(Copy)]
pub enum Event {
    /// Demand shifted to other experts.
    Shift,
    /// The group was held for a new map, or the map came in force.
    Map,
    /// The group broke.
    Broken,
    /// A rank is slow.
    Slow,
    /// No rank is slow.
    Even,
}

/// The events of each group, in the order of their times.
#[derive(Debug, Default)]
pub struct History(Table<String, Vec<(Duration, Event)>>);

impl History {
    /// Records an event that is not earlier than those recorded before.
    pub fn record(&mut self, group: &str, at: Duration, event: Event) {
        let events = self.0.get_or_insert_with(group.to_owned(), Vec::new);
        events.push((at, event));
    }

    /// Returns what happened to a group around a gap from `begun` to `end`.
    #[must_use]
    pub fn around(&self, group: &str, begun: Duration, end: Duration) -> Surroundings {
        let events = self.0.get(group).map_or(&[][..], Vec::as_slice);
        let happened = |event: Event, before: Duration, after: Duration| {
            let within = begun.saturating_sub(before)..=end + after;
            let mut times = events.iter().filter(|(_, known)| *known == event);
            times.any(|(at, _)| within.contains(at))
        };
        let paces = |event: &&(Duration, Event)| matches!(event.1, Event::Slow | Event::Even);
        let last = events.iter().filter(paces).rfind(|(at, _)| *at <= begun);
        let was_slow = last.is_some_and(|(_, event)| *event == Event::Slow);
        Surroundings {
            shift: happened(Event::Shift, SHIFT_AFTER, SHIFT_BEFORE),
            map: happened(Event::Map, MARGIN, MARGIN),
            broken: happened(Event::Broken, MARGIN, BROKEN_AFTER),
            slow: was_slow || happened(Event::Slow, Duration::ZERO, MARGIN),
            fill: None,
            limit: None,
        }
    }
}
