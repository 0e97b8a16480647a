//! Sends orders to one engine.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::number::{Fence, Incarnation};
use cactusnotch_derive::{message, record};

use crate::order::{Order, Reply, number};
use crate::wanted::{Progress, Wanted};

/// Whether an engine checks fencing numbers.
#[message]
#[derive(Copy, Eq, Hash)]
pub enum Fencing {
    /// The engine refuses an order with a smaller number than it has seen.
    Checked,
    /// The engine ignores the number. The sender then waits until the former
    /// holder's lease has expired, and reads the engine before and after each
    /// order.
    Ignored,
}

/// The options of a [`Sender`].
#[record]
#[derive(Copy, Hash)]
pub struct Options {
    /// Whether the engine checks fencing numbers.
    pub fencing: Fencing,
    /// How long the former holder may continue to send.
    pub lease: Duration,
    /// The time limit for an answer, and the interval at which work underway is
    /// read.
    pub retry: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            fencing: Fencing::Checked,
            lease: Duration::from_secs(10),
            retry: Duration::from_millis(50),
        }
    }
}

/// An input of a sender.
#[record]
pub enum Event<W: Wanted> {
    /// A state is wanted; older wanted states that it supersedes are dropped.
    Want(W),
    /// The engine's state must be read, whether or not work is left.
    Refresh,
    /// The engine answered an order or a read.
    Answer {
        /// The fencing number that is answered.
        fence: Fence,
        /// Whether the order was accepted.
        reply: Reply,
    },
    /// The time of the last [`Command::Wake`] has passed.
    Wake,
}

/// An output of a sender, for its driver to carry out.
#[record]
pub enum Command<W> {
    /// Send the order to the engine.
    Send(Order<W>),
    /// Read the engine's state and return it in an answer with this number.
    Read(Fence),
    /// Wake the sender after this time; replaces an earlier wake-up.
    Wake(Duration),
    /// A wanted state is settled.
    Settled(W, Settlement),
}

/// How a wanted state was settled.
#[record]
#[derive(Copy)]
pub enum Settlement {
    /// The engine reports that it has the state.
    Done,
    /// The engine refused it, or can no longer reach it.
    Refused,
    /// The order is not idempotent and was sent, but the engine's state does
    /// not show it: whether it took effect, or will do so later, is unknown.
    Unknown,
    /// A newer sender has taken over the engine: this one must stop.
    Superseded,
}

#[record]
#[derive(Hash)]
struct Entry<W> {
    wanted: W,
    sent: bool,
    /// Whether a superseded order may still arrive. The engine's state is not
    /// conclusive then until this order has been sent after it.
    superseding_sent: bool,
}

#[record]
#[derive(Copy, Hash)]
enum Flight {
    Idle,
    Waiting,
    Reading(Fence),
    Ordering(Fence),
}

/// Sends orders to one engine, with one order in flight at a time.
#[record]
#[derive(Hash)]
pub struct Sender<W> {
    options: Options,
    incarnation: Incarnation,
    sends_from: Option<Instant>,
    sequence: u32,
    flight: Flight,
    fresh: bool,
    refresh: bool,
    stopped: bool,
    entries: Vec<Entry<W>>,
}

impl<W: Wanted> Sender<W> {
    /// Creates the sender of agent `incarnation`, which took over at `now`.
    ///
    /// `takeover` is whether a former holder may still send.
    #[must_use]
    pub fn new(options: Options, incarnation: Incarnation, takeover: bool, now: Instant) -> Self {
        let waits = takeover && options.fencing == Fencing::Ignored;
        Self {
            options,
            incarnation,
            sends_from: waits.then(|| now + options.lease),
            sequence: 0,
            flight: Flight::Idle,
            fresh: false,
            refresh: false,
            stopped: false,
            entries: Vec::new(),
        }
    }

    /// Returns whether no state is wanted and nothing is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.entries.is_empty() && self.flight == Flight::Idle && !self.refresh
    }

    /// Returns the states that are wanted and not settled, oldest first.
    pub fn pending(&self) -> impl Iterator<Item = &W> {
        self.entries.iter().map(|entry| &entry.wanted)
    }

    /// Handles `event` at `now`; `state` is the engine's state that came with
    /// an [`Event::Answer`].
    ///
    /// An answer to anything but the order or read in flight is dropped: it is
    /// late, and its state may be out of date.
    pub fn step(
        &mut self,
        event: Event<W>,
        state: Option<&W::State>,
        now: Instant,
    ) -> Vec<Command<W>> {
        let mut commands = Vec::new();
        if self.stopped {
            return commands;
        }
        match event {
            Event::Want(wanted) => self.want(wanted),
            Event::Refresh => self.refresh = true,
            Event::Answer { fence, reply } => self.answered(fence, reply, state, &mut commands),
            Event::Wake => self.wake(),
        }
        self.advance(now, &mut commands);
        commands
    }

    fn want(&mut self, wanted: W) {
        if self.entries.iter().any(|entry| entry.wanted == wanted) {
            return;
        }
        let superseded = |entry: &Entry<W>| wanted.supersedes(&entry.wanted);
        let superseding_sent = self
            .entries
            .iter()
            .any(|entry| superseded(entry) && (entry.sent || entry.superseding_sent));
        self.entries.retain(|entry| !superseded(entry));
        self.entries.push(Entry {
            wanted,
            sent: false,
            superseding_sent,
        });
    }

    /// Returns whether the order or read in flight has this number.
    #[must_use]
    pub fn awaits(&self, fence: Fence) -> bool {
        self.flight == Flight::Reading(fence) || self.flight == Flight::Ordering(fence)
    }

    fn answered(
        &mut self,
        fence: Fence,
        reply: Reply,
        state: Option<&W::State>,
        commands: &mut Vec<Command<W>>,
    ) {
        let Some(state) = state.filter(|_| self.awaits(fence)) else {
            return;
        };
        let ordered = self.flight == Flight::Ordering(fence);
        self.flight = Flight::Idle;
        self.refresh = false;
        self.fresh = true;
        if reply == Reply::Fenced {
            self.stop(commands);
            return;
        }
        if ordered && reply == Reply::Refused {
            self.refuse_head(state, commands);
        }
        if ordered && self.options.fencing == Fencing::Ignored {
            self.refresh = true;
            return;
        }
        self.settle(state, commands);
        if ordered && self.entries.first().is_some_and(|entry| entry.sent) {
            self.wait(commands);
        }
    }

    /// Stops waiting for the answer in flight and reads back the effect of an
    /// order.
    fn wake(&mut self) {
        self.flight = Flight::Idle;
        self.refresh |= self.entries.first().is_some_and(|entry| entry.sent);
    }

    fn wait(&mut self, commands: &mut Vec<Command<W>>) {
        self.flight = Flight::Waiting;
        commands.push(Command::Wake(self.options.retry));
    }

    fn stop(&mut self, commands: &mut Vec<Command<W>>) {
        self.stopped = true;
        for entry in std::mem::take(&mut self.entries) {
            commands.push(Command::Settled(entry.wanted, Settlement::Superseded));
        }
    }

    fn refuse_head(&mut self, state: &W::State, commands: &mut Vec<Command<W>>) {
        let refused =
            |entry: &Entry<W>| entry.sent && entry.wanted.progress(state) != Progress::Done;
        if self.entries.first().is_some_and(refused) {
            let entry = self.entries.remove(0);
            commands.push(Command::Settled(entry.wanted, Settlement::Refused));
        }
    }

    /// Settles the head of the queue and the entries that follow, while the
    /// engine's state is conclusive.
    fn settle(&mut self, state: &W::State, commands: &mut Vec<Command<W>>) {
        while let Some(entry) = self.entries.first() {
            if entry.superseding_sent && !entry.sent {
                return;
            }
            let settlement = match entry.wanted.progress(state) {
                Progress::Done => Settlement::Done,
                Progress::Impossible => Settlement::Refused,
                Progress::Absent if entry.sent && !entry.wanted.is_idempotent() => {
                    Settlement::Unknown
                }
                Progress::Underway => {
                    self.wait(commands);
                    return;
                }
                Progress::Absent => return,
            };
            let entry = self.entries.remove(0);
            commands.push(Command::Settled(entry.wanted, settlement));
        }
    }
    fn advance(&mut self, now: Instant, commands: &mut Vec<Command<W>>) {
        if self.stopped || self.flight != Flight::Idle {
            return;
        }
        if let Some(sends_from) = self.sends_from.filter(|sends_from| *sends_from > now) {
            commands.push(Command::Wake(sends_from - now));
            return;
        }
        self.sends_from = None;
        if self.refresh || self.must_read_first() {
            self.read(commands);
        } else {
            self.send(commands);
        }
    }

    fn must_read_first(&self) -> bool {
        self.options.fencing == Fencing::Ignored && !self.fresh && !self.entries.is_empty()
    }

    fn read(&mut self, commands: &mut Vec<Command<W>>) {
        let fence = self.next_number();
        self.flight = Flight::Reading(fence);
        commands.push(Command::Read(fence));
        commands.push(Command::Wake(self.options.retry));
    }

    fn send(&mut self, commands: &mut Vec<Command<W>>) {
        let fence = self.next_number();
        let Some(entry) = self.entries.first_mut() else {
            return;
        };
        entry.sent = true;
        let wanted = entry.wanted.clone();
        self.fresh = false;
        self.flight = Flight::Ordering(fence);
        commands.push(Command::Send(Order { fence, wanted }));
        commands.push(Command::Wake(self.options.retry));
    }

    fn next_number(&mut self) -> Fence {
        self.sequence += 1;
        number(self.incarnation, self.sequence)
    }
}
