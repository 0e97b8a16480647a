//! The ledger of an agent with the connections and runs around it.

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

use crate::needs::Needs;

/// A link from an entry.
#[derive(Debug)]
struct Peer {
    sender: Sender<Body>,
    /// The runs that came by this link and go on.
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
    needs: Needs,
}

/// The ledger of an agent with the connections and runs around it.
///
/// Every event passes through the one lock, so that the replies to an entry
/// leave in the order in which the ledger made them.
#[derive(Debug, Clone)]
pub(crate) struct State<C> {
    clock: C,
    inner: Arc<Mutex<Inner>>,
    drained: watch::Sender<bool>,
    /// Whether the endpoint has said that it leaves.
    leaving: watch::Sender<bool>,
}

impl<C: Clock> State<C> {
    pub(crate) fn new(ledger: Ledger, slots: u32, clock: C) -> Self {
        let inner = Inner {
            needs: Needs::new(ledger.endpoint(), clock.now()),
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

    /// Takes a link from an entry on and returns its number.
    pub(crate) fn open(&self, sender: Sender<Body>) -> Link {
        let mut inner = self.lock();
        let link = inner.next_link;
        inner.next_link = Link(link.0 + 1);
        inner.peers.insert(link, Peer { sender, runs: 0 });
        let announcement = self.announcement(&inner, link);
        inner.send(link, &Body::Announce(announcement));
        link
    }

    /// Sends nothing more on a link that broke.
    pub(crate) fn close(&self, link: Link) {
        self.lock().peers.remove(&link);
    }

    /// Takes one event and returns the attempt that is to be started, if any.
    pub(crate) fn step(&self, event: Event) -> Option<Attempt> {
        let mut inner = self.lock();
        let was_draining = inner.ledger.is_draining();
        let arrival = match &event {
            Event::Request { link, .. } => Some(*link),
            _ => None,
        };
        let start = self.take(&mut inner, event, arrival);
        if inner.ledger.is_draining() != was_draining {
            self.announce_to_all(&mut inner);
        }
        start
    }

    /// Takes what the endpoint says of itself in its answer to a call made at `sent`, which it
    /// `ran` or not.
    pub(crate) fn take_statement(&self, statement: &Headers, ran: bool, sent: Instant) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if inner.needs.take(statement, ran, sent, now) {
            self.announce_to_all(&mut inner);
        }
        drop(inner);
        if statement.leaving && !self.leaving.send_replace(true) {
            tracing::info!("endpoint says that it leaves");
            self.step(Event::Drain);
        }
    }

    /// Waits until the endpoint has said that it leaves.
    pub(crate) async fn leaving(&self) {
        // The sender lives in `self`, so the wait cannot fail.
        let _ = self.leaving.subscribe().wait_for(|leaving| *leaving).await;
    }

    /// Tells every entry the endpoint's condition.
    pub(crate) fn announce(&self) {
        self.announce_to_all(&mut self.lock());
    }

    /// Keeps the handle by which the run of an attempt is stopped.
    pub(crate) fn running(&self, attempt: Attempt, task: AbortHandle) {
        match self.lock().runs.get_mut(&attempt) {
            Some(run) => run.task = Some(task),
            // The run has ended or was stopped already.
            None => task.abort(),
        }
    }

    /// Waits until all runs have ended after a drain.
    pub(crate) async fn drained(&self) {
        // The sender lives in `self`, so the wait cannot fail.
        let _ = self.drained.subscribe().wait_for(|drained| *drained).await;
    }

    fn take(&self, inner: &mut Inner, event: Event, arrival: Option<Link>) -> Option<Attempt> {
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
            let throttled = inner.needs.withheld(now).is_some();
            commands = inner.ledger.step(Event::Throttle(throttled), now);
        }
        commands.append(&mut inner.ledger.step(event, now));
        for command in commands {
            match command {
                Command::Send { link, reply } => inner.reply(link, reply),
                Command::Start(attempt) => {
                    start = Some(attempt);
                    inner.begin(attempt, arrival.unwrap_or_default());
                    if inner.needs.start(now) {
                        self.announce_to_all(inner);
                    }
                }
                Command::Stop(attempt) => inner.stop(attempt),
                Command::Drained => {
                    self.drained.send_replace(true);
                }
            }
        }
        if let Some(attempt) = ended {
            inner.end(attempt);
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
            withheld: inner.needs.withheld(now).map(millis),
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
    /// Returns the number of entries that have a link.
    fn entries(&self) -> u32 {
        let peers = self.peers.values();
        let entries = peers.filter(|peer| peer.sender.peer().role == Role::Entry);
        u32::try_from(entries.count()).unwrap_or(u32::MAX)
    }

    fn reply(&mut self, link: Link, reply: Reply) {
        self.send(link, &Body::Reply(reply));
    }

    /// Queues a message; a link that takes no more is closed, and its reader
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

    fn begin(&mut self, attempt: Attempt, link: Link) {
        self.runs.insert(attempt, Run { link, task: None });
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.runs += 1;
        }
    }

    fn end(&mut self, attempt: Attempt) -> Option<Run> {
        let run = self.runs.remove(&attempt)?;
        if let Some(peer) = self.peers.get_mut(&run.link) {
            peer.runs -= 1;
        }
        Some(run)
    }

    fn stop(&mut self, attempt: Attempt) {
        if let Some(task) = self.end(attempt).and_then(|run| run.task) {
            task.abort();
        }
    }
}

/// Returns a time in whole milliseconds, at least one.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX).max(1)
}
