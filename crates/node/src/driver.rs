//! The driver of the spread state machine.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cactusnotch_base::Clock;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::Revision;
use cactusnotch_history::Replica;
use cactusnotch_member::{Record, Roster};
use cactusnotch_objects::http::Client;
use cactusnotch_settings::{Resolved, Tree};
use cactusnotch_spread::{
    self as spread, Answer, Call, Command, Message, Span, Standing, Status, Ticket,
};
use cactusnotch_telemetry::metric;
use cactusnotch_wire::Body;
use tokio::runtime::Handle;
use tokio::sync::{broadcast, watch};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use crate::courier::Courier;
use crate::{Options, View, calls, payload};

/// How many revisions are buffered for a slow receiver of all revisions.
const REVISIONS: usize = 64;

/// The node of a process, which keeps settings and roster up to date until it is
/// dropped.
#[derive(Debug)]
pub struct Node<C: Clock> {
    shared: Arc<Shared<C>>,
    ticks: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared<C> {
    clock: C,
    store: Client,
    courier: Courier,
    runtime: Handle,
    inner: Mutex<Inner>,
    views: watch::Sender<Arc<View>>,
    revisions: broadcast::Sender<Arc<View>>,
}

#[derive(Debug)]
struct Inner {
    spread: spread::Node,
    replica: Replica,
    /// The revisions applied in this step, oldest first.
    applied: Vec<(Revision, Arc<Tree>)>,
}

impl<C: Clock> Node<C> {
    /// Starts the node of the process that `record` describes, on the current
    /// tokio runtime.
    #[must_use]
    pub fn start(options: Options, record: Record, clock: C) -> Self {
        let seed = rand::random();
        let now = clock.now();
        let replica = Replica::new();
        let tree = Arc::new(replica.tree().clone());
        let view = view((replica.revision(), tree), &Roster::default());
        let spread = spread::Node::new(options.spread, record, options.seeds, seed, now);
        let shared = Arc::new(Shared {
            clock,
            store: Client::new(&options.platform),
            courier: Courier::new(options.link),
            runtime: Handle::current(),
            inner: Mutex::new(Inner {
                spread,
                replica,
                applied: Vec::new(),
            }),
            views: watch::Sender::new(Arc::new(view)),
            revisions: broadcast::Sender::new(REVISIONS),
        });
        let ticked = Arc::clone(&shared);
        let ticks = tokio::spawn(async move {
            let mut ticks = interval(options.tick);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                let now = ticked.clock.now();
                ticked.step(|inner| inner.spread.on_tick(now));
            }
        });
        Self { shared, ticks }
    }

    /// Handles a message that a link has received from a peer.
    pub fn receive(&self, from: &Process, message: Message) {
        let now = self.shared.clock.now();
        self.shared.step(|inner| inner.receive(from, message, now));
    }

    /// Sends a message to a process on the roster. The message is dropped if the
    /// process has no known address or its queue is full.
    pub fn send(&self, to: &Process, message: Body) {
        let address = self.shared.lock().spread.address(to);
        if let Some(address) = address {
            let _runtime = self.shared.runtime.enter();
            self.shared.courier.send(to, address, message);
        }
    }

    /// Returns the current view.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.shared.views.borrow())
    }

    /// Returns a receiver that is notified of new views.
    #[must_use]
    pub fn views(&self) -> watch::Receiver<Arc<View>> {
        self.shared.views.subscribe()
    }

    /// Returns a receiver of the view after each revision applied from now on,
    /// oldest first, whereas [`Node::views`] returns only the newest. A receiver
    /// that falls behind by more than the buffer gets the number of views that
    /// it missed. A snapshot advances over many revisions at once.
    #[must_use]
    pub fn revisions(&self) -> broadcast::Receiver<Arc<View>> {
        self.shared.revisions.subscribe()
    }

    /// Returns whether the process may serve.
    #[must_use]
    pub fn standing(&self) -> Standing {
        let now = self.shared.clock.now();
        self.shared.lock().spread.standing(now)
    }

    /// Returns the status for operators.
    #[must_use]
    pub fn status(&self) -> Status {
        let now = self.shared.clock.now();
        self.shared.lock().spread.status(now)
    }

    /// Sets the state of the process's record to leaving.
    pub fn leave(&self) {
        self.shared.lock().spread.leave();
    }

    /// Removes the process's record from the roster.
    pub fn deregister(&self) {
        self.shared.lock().spread.deregister();
    }

    /// Returns whether the platform stores the process's record in its target
    /// state.
    #[must_use]
    pub fn is_registered(&self) -> bool {
        self.shared.lock().spread.is_registered()
    }
}

impl<C: Clock> Drop for Node<C> {
    fn drop(&mut self) {
        self.ticks.abort();
    }
}

impl<C: Clock> Shared<C> {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs one step of the state machine and executes its commands.
    fn step(self: &Arc<Self>, step: impl FnOnce(&mut Inner) -> Vec<Command>) {
        let mut inner = self.lock();
        let commands = step(&mut inner);
        let mut roster_changed = false;
        for command in commands {
            match command {
                Command::Send { to, message } => {
                    if let Some(address) = inner.spread.address(&to) {
                        let _runtime = self.runtime.enter();
                        self.courier.send(&to, address, Body::Spread(message));
                    }
                }
                Command::Call { ticket, call } => self.call(&inner, ticket, call),
                // The replica applied it before it was passed to the state machine.
                Command::Apply(_) => {}
                Command::Roster => roster_changed = true,
            }
        }
        let mut applied = std::mem::take(&mut inner.applied);
        if let Some(newest) = applied.pop() {
            let has_receivers = self.revisions.receiver_count() > 0;
            for earlier in applied.into_iter().filter(|_| has_receivers) {
                let view = view(earlier, inner.spread.roster());
                let _ = self.revisions.send(Arc::new(view));
            }
            let view = Arc::new(view(newest, inner.spread.roster()));
            let _ = self.revisions.send(Arc::clone(&view));
            self.views.send_replace(view);
        } else if roster_changed {
            let roster = Arc::new(inner.spread.roster().clone());
            self.views.send_modify(|view| {
                *view = Arc::new(View {
                    roster,
                    ..View::clone(view)
                });
            });
        }
    }

    /// Makes a call on a blocking thread and handles its answer.
    fn call(self: &Arc<Self>, inner: &Inner, ticket: Ticket, call: Call) {
        let own = inner.spread.record().clone();
        let held = inner.replica.revision();
        let shared = Arc::clone(self);
        self.runtime.spawn_blocking(move || {
            let answer = calls::perform(&shared.store, &own, held, call);
            let now = shared.clock.now();
            shared.step(|inner| inner.answer(ticket, answer, now));
        });
    }
}

impl Inner {
    /// Handles a peer's message. A revision that the replica rejects is dropped,
    /// so that each revision that the state machine holds is in force.
    fn receive(&mut self, from: &Process, message: Message, now: Instant) -> Vec<Command> {
        match &message {
            Message::Span(span) if !self.apply(span) => Vec::new(),
            _ => self.spread.on_message(from, message, now),
        }
    }

    /// Handles the platform's answer. If the replica rejects a revision, the
    /// revisions before it are applied and the answer counts as failed.
    fn answer(&mut self, ticket: Ticket, answer: Answer, now: Instant) -> Vec<Command> {
        let Answer::Settings(mut spans) = answer else {
            return self.spread.on_answer(ticket, answer, now);
        };
        let refused = spans.iter().position(|span| !self.apply(span));
        let Some(refused) = refused else {
            let answer = Answer::Settings(spans);
            return self.spread.on_answer(ticket, answer, now);
        };
        spans.truncate(refused);
        let mut commands = Vec::new();
        for span in spans {
            commands.extend(self.spread.on_accepted(span, now));
        }
        commands.extend(self.spread.on_answer(ticket, Answer::Unanswered, now));
        commands
    }

    /// Applies a span if it continues the replica's revision. Returns false if the
    /// replica rejects it; spans already held or after a gap return true.
    fn apply(&mut self, span: &Span) -> bool {
        let held = self.replica.revision().0;
        if span.through.0 <= held || span.after.0 > held {
            return true;
        }
        let offer = match payload::read(span) {
            Ok(offer) => offer,
            Err(error) => {
                tracing::error!(%error, "revision could not be decoded");
                return false;
            }
        };
        let verdict = self.replica.offer(&offer);
        if verdict.is_held() {
            metrics::gauge!(metric::NODE_REVISION).set(precise(span.through.0));
            tracing::info!(revision = %span.through, "settings in force in this process");
            let tree = Arc::new(self.replica.tree().clone());
            self.applied.push((self.replica.revision(), tree));
        } else {
            tracing::error!(refused = %verdict, through = %span.through, "revision was rejected");
        }
        verdict.is_held()
    }
}

fn view((revision, tree): (Revision, Arc<Tree>), roster: &Roster) -> View {
    View {
        revision,
        settings: Arc::new(Resolved::new(&tree)),
        tree,
        roster: Arc::new(roster.clone()),
    }
}

/// Converts a count to a gauge's value; counts stay far below 2⁵³, so no
/// precision is lost.
#[allow(clippy::cast_precision_loss)]
const fn precise(count: u64) -> f64 {
    count as f64
}
