//! The state of an agent: its ledger, its links and its runs.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::{Clock, Table};
use cactusnotch_ledger::{Attempt, Command, Event, Ledger, Link, Reply};
use cactusnotch_link::{Role, Sender};
use cactusnotch_telemetry::metric;
use cactusnotch_throttle::Headers;
use cactusnotch_wire::{Announcement, Body};
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::throttle::Throttle;

/// A link from an entry.
#[derive(Debug)]
struct Peer {
    sender: Sender<Body>,
    /// The number of active runs that were requested over this link.
    runs: u32,
}

/// A run at the endpoint.
#[derive(Debug)]
struct Run {
    link: Link,
    task: Option<AbortHandle>,
}

#[derive(Debug)]
struct Inner {
    ledger: Ledger,
    peers: Table<Link, Peer>,
    runs: Table<Attempt, Run>,
    next_link: Link,
    slots: u32,
    throttle: Throttle,
}

/// The state of an agent: its ledger, its links and its runs.
///
/// One lock serializes all events, which keeps the replies to an entry in the
/// order in which the ledger produced them.
#[derive(Debug, Clone)]
pub(crate) struct State<C> {
    clock: C,
    inner: Arc<Mutex<Inner>>,
    drained: watch::Sender<bool>,
    /// Whether the endpoint has announced that it is leaving.
    leaving: watch::Sender<bool>,
}

impl<C: Clock> State<C> {
    pub(crate) fn new(ledger: Ledger, slots: u32, clock: C) -> Self {
        let inner = Inner {
            throttle: Throttle::new(ledger.endpoint(), clock.now()),
            ledger,
            peers: Table::new(),
            runs: Table::new(),
            next_link: Link::default(),
            slots,
        };
        Self {
            clock,
            inner: Arc::new(Mutex::new(inner)),
            drained: watch::Sender::new(false),
            leaving: watch::Sender::new(false),
        }
    }

    /// Returns the clock.
    pub(crate) const fn clock(&self) -> &C {
        &self.clock
    }

    /// Registers a link, sends it an announcement and returns its number.
    pub(crate) fn open(&self, sender: Sender<Body>) -> Link {
        let mut inner = self.lock();
        let link = inner.next_link;
        inner.next_link = Link(link.0 + 1);
        inner.peers.insert(link, Peer { sender, runs: 0 });
        let announcement = self.announcement(&inner, link);
        inner.send(link, &Body::Announce(announcement));
        link
    }

    /// Removes a broken link.
    pub(crate) fn close(&self, link: Link) {
        self.lock().peers.remove(&link);
    }

    /// Applies one event and returns the attempt to start, if any.
    pub(crate) fn step(&self, event: Event) -> Option<Attempt> {
        let mut inner = self.lock();
        let was_draining = inner.ledger.is_draining();
        let arrival = match &event {
            Event::Request { link, .. } => Some(*link),
            _ => None,
        };
        let start = self.apply(&mut inner, event, arrival);
        if inner.ledger.is_draining() != was_draining {
            self.announce_to_all(&mut inner);
        }
        start
    }

    /// Applies the headers of the endpoint's answer to a call made at `sent`. `ran` states whether
    /// the endpoint accepted the call.
    pub(crate) fn apply_headers(&self, headers: &Headers, ran: bool, sent: Instant) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if inner.throttle.apply_headers(headers, ran, sent, now) {
            self.announce_to_all(&mut inner);
        }
        drop(inner);
        if headers.leaving && !self.leaving.send_replace(true) {
            tracing::info!("endpoint says that it leaves");
            self.step(Event::Drain);
        }
    }

    /// Waits until the endpoint has announced that it is leaving.
    pub(crate) async fn leaving(&self) {
        // `self` owns the sender, so the wait cannot fail.
        let _ = self.leaving.subscribe().wait_for(|leaving| *leaving).await;
    }

    /// Announces the endpoint's state on every link.
    pub(crate) fn announce(&self) {
        self.announce_to_all(&mut self.lock());
    }

    /// Stores the handle that aborts the run of an attempt.
    pub(crate) fn running(&self, attempt: Attempt, task: AbortHandle) {
        match self.lock().runs.get_mut(&attempt) {
            Some(run) => run.task = Some(task),
            // The run has already ended or been stopped.
            None => task.abort(),
        }
    }

    /// Waits until all runs have ended after a drain.
    pub(crate) async fn drained(&self) {
        // `self` owns the sender, so the wait cannot fail.
        let _ = self.drained.subscribe().wait_for(|drained| *drained).await;
    }

    fn apply(&self, inner: &mut Inner, event: Event, arrival: Option<Link>) -> Option<Attempt> {
        if let Event::LinkLost(link) = event {
            inner.peers.remove(&link);
        }
        let ended = match event {
            Event::Done(attempt) | Event::Failed(attempt) | Event::Unstarted(attempt) => {
                Some(attempt)
            }
            _ => None,
        };
        let mut start = None;
        let now = self.clock.now();
        let mut commands = Vec::new();
        if arrival.is_some() {
            let throttled = inner.throttle.withheld(now).is_some();
            commands = inner.ledger.step(Event::Throttle(throttled), now);
        }
        commands.append(&mut inner.ledger.step(event, now));
        for command in commands {
            match command {
                Command::Send { link, reply } => inner.reply(link, reply),
                Command::Start(attempt) => {
                    start = Some(attempt);
                    inner.start_run(attempt, arrival.unwrap_or_default());
                    if inner.throttle.record_start(now) {
                        self.announce_to_all(inner);
                    }
                }
                Command::Stop(attempt) => inner.abort_run(attempt),
                Command::Drained => {
                    self.drained.send_replace(true);
                }
            }
        }
        if let Some(attempt) = ended {
            inner.end_run(attempt);
        }
        start
    }

    fn announce_to_all(&self, inner: &mut Inner) {
        let links: Vec<Link> = inner.peers.keys().copied().collect();
        for link in links {
            let announcement = self.announcement(inner, link);
            inner.send(link, &Body::Announce(announcement));
        }
    }

    fn announcement(&self, inner: &Inner, link: Link) -> Announcement {
        let now = self.clock.now();
        Announcement {
            endpoint: inner.ledger.endpoint().clone(),
            incarnation: inner.ledger.incarnation(),
            age: inner.ledger.age(now),
            draining: inner.ledger.is_draining(),
            withheld: inner.throttle.withheld(now).map(millis),
            slots: inner.slots,
            requests: u32::try_from(inner.ledger.running()).unwrap_or(u32::MAX),
            mine: inner.peers.get(&link).map_or(0, |peer| peer.runs),
            entries: inner.entries(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Returns the number of links from entries.
    fn entries(&self) -> u32 {
        let peers = self.peers.values();
        let entries = peers.filter(|peer| peer.sender.peer().role == Role::Entry);
        u32::try_from(entries.count()).unwrap_or(u32::MAX)
    }

    fn reply(&mut self, link: Link, reply: Reply) {
        self.send(link, &Body::Reply(reply));
    }

    /// Queues a message. A link whose queue is full is dropped, and its reader
    /// reports the loss.
    fn send(&mut self, link: Link, body: &Body) {
        let Some(peer) = self.peers.get(&link) else {
            return;
        };
        if peer.sender.try_send(body).is_err() {
            metrics::counter!(metric::AGENT_LINKS_OVERRUN).increment(1);
            self.peers.remove(&link);
        }
    }

    fn start_run(&mut self, attempt: Attempt, link: Link) {
        self.runs.insert(attempt, Run { link, task: None });
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.runs += 1;
        }
    }

    fn end_run(&mut self, attempt: Attempt) -> Option<Run> {
        let run = self.runs.remove(&attempt)?;
        if let Some(peer) = self.peers.get_mut(&run.link) {
            peer.runs -= 1;
        }
        Some(run)
    }

    fn abort_run(&mut self, attempt: Attempt) {
        if let Some(task) = self.end_run(attempt).and_then(|run| run.task) {
            task.abort();
        }
    }
}

/// Converts a time to whole milliseconds, at least one.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX).max(1)
}
