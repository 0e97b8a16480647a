//! The waiting requests of one organisation.

use crate::Priority;
use crate::drain::DrainRate;
use crate::lane::{Lane, Waiting};

/// The waiting requests of one organisation, scheduled by start-time fair
/// queueing over the priorities.
#[derive(Debug, Clone)]
pub(crate) struct Flow {
    pub(crate) share: f64,
    /// The gate's virtual time at which the next request is due.
    pub(crate) due: f64,
    /// Whether the organisation's allowance prevented a start at the last poll.
    pub(crate) limited: bool,
    pub(crate) drain: DrainRate,
    pub(crate) lanes: [Lane; Priority::ALL.len()],
    virtual_time: f64,
}

impl Flow {
    pub(crate) fn new(drain: f64) -> Self {
        Self {
            share: 1.0,
            due: 0.0,
            limited: false,
            drain: DrainRate::new(drain),
            lanes: Default::default(),
            virtual_time: 0.0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.lanes.iter().map(|lane| lane.queue.len()).sum()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.lanes.iter().all(|lane| lane.queue.is_empty())
    }

    /// Appends a request to its priority's lane.
    pub(crate) fn push(&mut self, priority: Priority, waiting: Waiting) {
        let lane = &mut self.lanes[priority.index()];
        if lane.queue.is_empty() {
            lane.due = lane.due.max(self.virtual_time);
        }
        lane.queue.push_back(waiting);
    }

    /// Removes the next request in scheduling order.
    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        let priority = self.next_priority()?;
        let lane = &mut self.lanes[priority.index()];
        let waiting = lane.queue.pop_front()?;
        self.virtual_time = lane.due;
        lane.due += waiting.cost / priority.weight();
        Some(waiting)
    }

    fn next_priority(&self) -> Option<Priority> {
        let lane = |p: &Priority| &self.lanes[p.index()];
        let waiting = Priority::ALL
            .into_iter()
            .filter(|p| !lane(p).queue.is_empty());
        waiting.min_by(|a, b| lane(a).due.total_cmp(&lane(b).due))
    }

    /// Removes the latest request of the lowest priority.
    pub(crate) fn pop_last(&mut self) -> Option<Waiting> {
        let mut lanes = self.lanes.iter_mut().rev();
        lanes.find_map(|lane| lane.queue.pop_back())
    }

    /// Returns how many of the organisation's requests are served up to and
    /// including the one at `index` of the lane, by the priorities' weights.
    pub(crate) fn served_until(&self, priority: Priority, index: usize) -> f64 {
        let own = float(index + 1);
        let served = |other: &Priority| {
            let waiting = float(self.lanes[other.index()].queue.len());
            waiting.min(own * other.weight() / priority.weight())
        };
        let others = Priority::ALL.iter().filter(|&&other| other != priority);
        own + others.map(served).sum::<f64>()
    }
}

/// Converts a number of requests, which is always far below `u32::MAX`.
pub(crate) fn float(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
