//! The admission queue of one service.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Organisation;
use rand::Rng;

use crate::drain::DrainRate;
use crate::flow::{Flow, float};
use crate::lane::Waiting;
use crate::refusal::Reason;
use crate::{Command, Options, Priority, Refusal, Request, Ticket};

/// The upper bound of predicted waits.
const WAIT_MAX: Duration = Duration::from_hours(1);

/// The admission queue of one service.
///
/// Organisations are scheduled by start-time fair queueing, weighted by their
/// shares. A request is refused as soon as its response is predicted to miss
/// the deadline, on arrival or while it waits, rather than at the deadline.
#[derive(Debug)]
pub struct Gate {
    options: Options,
    flows: Table<Organisation, Flow>,
    waiting: usize,
    virtual_time: f64,
    drain: DrainRate,
    next: Ticket,
    stopping: bool,
}

impl Gate {
    /// Creates an empty gate.
    #[must_use]
    pub const fn new(options: Options) -> Self {
        Self {
            drain: DrainRate::new(options.drain_rate),
            options,
            flows: Table::new(),
            waiting: 0,
            virtual_time: 0.0,
            next: Ticket(0),
            stopping: false,
        }
    }

    /// Refuses all requests that arrive from now on.
    pub const fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns the number of waiting requests of an organisation.
    #[must_use]
    pub fn waiting(&self, organisation: &Organisation) -> usize {
        self.flows.get(organisation).map_or(0, Flow::len)
    }

    /// Returns the organisations with waiting requests, and the number of these.
    pub fn demands(&self) -> impl Iterator<Item = (&Organisation, usize)> {
        let flows = self.flows.iter().map(|(name, flow)| (name, flow.len()));
        flows.filter(|(_, waiting)| *waiting > 0)
    }

    /// Enqueues a request, to be started by [`Gate::poll`]. `free_slots` is the
    /// number of requests that the endpoints could accept now. If another
    /// request is evicted for it, a command to refuse that one is appended.
    ///
    /// # Errors
    ///
    /// Refuses a request that would miss its deadline, a request for which the
    /// queue has no space, and all requests after [`Gate::stop`].
    pub fn enqueue(
        &mut self,
        request: &Request<'_>,
        free_slots: u32,
        commands: &mut Vec<Command>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<Ticket, Refusal> {
        if self.stopping {
            return Err(self.refusal(Reason::Stopping, Duration::ZERO, rng));
        }
        let options = &self.options;
        let new_flow = || Flow::new(options.drain_rate);
        let flow = self
            .flows
            .get_or_insert_with(request.organisation.clone(), new_flow);
        flow.share = f64::from(request.share.max(1));
        let ahead = flow.lanes[request.priority.index()].queue.len();
        let wait = self.wait(request.organisation, request.priority, ahead, free_slots);
        if ahead >= self.options.lane_max {
            return Err(self.refusal(Reason::QueueFull, wait, rng));
        }
        let waiting = Waiting {
            ticket: self.next,
            cost: request.cost,
            deadline: request.deadline,
            run: request.run,
        };
        let late = waiting.lateness(wait, now);
        if !late.is_zero() {
            return Err(self.refusal(Reason::Late { late }, late, rng));
        }
        if self.waiting >= self.options.queue_max {
            let evicted = self.evict(request.organisation, wait, rng)?;
            commands.push(evicted);
        }
        self.push(request, waiting);
        Ok(waiting.ticket)
    }

    fn push(&mut self, request: &Request<'_>, waiting: Waiting) {
        self.next = Ticket(self.next.0 + 1);
        self.waiting += 1;
        if let Some(flow) = self.flows.get_mut(request.organisation) {
            if flow.is_empty() {
                flow.due = flow.due.max(self.virtual_time);
            }
            flow.push(request.priority, waiting);
        }
    }

    /// Evicts a request of the organisation with the most waiting requests
    /// relative to its share, for a new request of `organisation`. Fails if
    /// `organisation` would itself be the one with the most.
    fn evict(
        &mut self,
        organisation: &Organisation,
        wait: Duration,
        rng: &mut impl Rng,
    ) -> Result<Command, Refusal> {
        let load = |flow: &Flow, more: usize| float(flow.len() + more) / flow.share;
        let own = self
            .flows
            .get(organisation)
            .map_or(0.0, |flow| load(flow, 1));
        let most = self
            .flows
            .iter_mut()
            .max_by(|(_, a), (_, b)| load(a, 0).total_cmp(&load(b, 0)))
            .filter(|(name, flow)| *name != organisation && load(flow, 0) > own);
        let Some(evicted) = most.and_then(|(_, flow)| flow.pop_last()) else {
            return Err(self.refusal(Reason::OverShare, wait, rng));
        };
        self.waiting -= 1;
        let refusal = self.refusal(Reason::OverShare, wait, rng);
        Ok(Command::Refuse(evicted.ticket, refusal))
    }

    /// Removes a request whose caller has disconnected. Returns whether it was
    /// still waiting, in which case it has not run and never will.
    pub fn cancel(&mut self, organisation: &Organisation, ticket: Ticket) -> bool {
        let Some(flow) = self.flows.get_mut(organisation) else {
            return false;
        };
        let before = flow.len();
        for lane in &mut flow.lanes {
            lane.queue.retain(|waiting| waiting.ticket != ticket);
        }
        let removed = before - flow.len();
        self.waiting -= removed;
        removed > 0
    }

    /// Starts up to `free_slots` requests in scheduling order, and refuses those
    /// that are now predicted to miss their deadline.
    ///
    /// `may_start` is called before a request of an organisation is started and
    /// must count the request if it returns `true`.
    pub fn poll(
        &mut self,
        free_slots: u32,
        commands: &mut Vec<Command>,
        now: Instant,
        rng: &mut impl Rng,
        mut may_start: impl FnMut(&Organisation) -> bool,
    ) {
        let waited = self.waiting > 0;
        let mut started = 0;
        for (_, flow) in self.flows.iter_mut() {
            flow.limited = false;
        }
        while started < free_slots {
            let Some(ticket) = self.start_next(&mut may_start, now) else {
                break;
            };
            commands.push(Command::Start(ticket));
            started += 1;
        }
        self.drain
            .observe(started, waited, self.options.window, now);
        self.refuse_late(free_slots - started, commands, now, rng);
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, flow| !flow.is_empty() || flow.due > virtual_time);
    }

    /// Removes the next request in scheduling order among the organisations that
    /// may start one.
    fn start_next(
        &mut self,
        may_start: &mut impl FnMut(&Organisation) -> bool,
        now: Instant,
    ) -> Option<Ticket> {
        loop {
            let ready = |flow: &Flow| !flow.limited && !flow.is_empty();
            let (name, flow) = self
                .flows
                .iter_mut()
                .filter(|(_, flow)| ready(flow))
                .min_by(|(_, a), (_, b)| a.due.total_cmp(&b.due))?;
            if !may_start(name) {
                flow.limited = true;
                flow.drain.observe(0, true, self.options.window, now);
                continue;
            }
            let waiting = flow.pop()?;
            flow.drain.observe(1, true, self.options.window, now);
            self.virtual_time = flow.due;
            flow.due += waiting.cost / flow.share;
            self.waiting -= 1;
            return Some(waiting.ticket);
        }
    }

    /// Refuses the requests that are now predicted to miss their deadline.
    fn refuse_late(
        &mut self,
        free_slots: u32,
        commands: &mut Vec<Command>,
        now: Instant,
        rng: &mut impl Rng,
    ) {
        let mut overdue = Vec::new();
        for (name, flow) in self.flows.iter() {
            for priority in Priority::ALL {
                let queue = &flow.lanes[priority.index()].queue;
                let mut index = 0;
                for waiting in queue {
                    let late = waiting.lateness(self.wait(name, priority, index, free_slots), now);
                    if late.is_zero() {
                        index += 1;
                    } else {
                        overdue.push((name.clone(), waiting.ticket, late));
                    }
                }
            }
        }
        for (name, ticket, late) in overdue {
            self.cancel(&name, ticket);
            let refusal = self.refusal(Reason::Late { late }, late, rng);
            commands.push(Command::Refuse(ticket, refusal));
        }
    }

    /// Predicts the wait of the request at `index` of a lane.
    fn wait(
        &self,
        organisation: &Organisation,
        priority: Priority,
        index: usize,
        free_slots: u32,
    ) -> Duration {
        let Some(flow) = self.flows.get(organisation) else {
            return Duration::ZERO;
        };
        let served = flow.served_until(priority, index);
        let (ahead, rate) = if flow.limited {
            (served, flow.drain.rate())
        } else {
            let busy = self.flows.values().filter(|flow| !flow.is_empty());
            let shares: f64 = busy.map(|flow| flow.share).sum();
            let by_share = served * (shares / flow.share).max(1.0);
            let ahead = by_share.min(float(self.waiting + 1)) - f64::from(free_slots);
            (ahead, self.drain.rate())
        };
        let wait = Duration::try_from_secs_f64(ahead.max(0.0) / rate);
        wait.unwrap_or(WAIT_MAX).min(WAIT_MAX)
    }

    /// Creates a refusal that asks the caller to retry after `wait`, with jitter of
    /// up to the same time again to spread the retries of refused callers.
    fn refusal(&self, reason: Reason, wait: Duration, rng: &mut impl Rng) -> Refusal {
        let wait = wait.clamp(self.options.retry_min, self.options.retry_max);
        Refusal {
            reason,
            retry_after: wait.mul_f64(rng.random_range(1.0..2.0)),
        }
    }
}
