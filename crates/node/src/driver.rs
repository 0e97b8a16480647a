//! The driver of the spread decision.

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

/// How many revisions are kept for a slow receiver of them all.
const REVISIONS: usize = 64;

/// The node of a process, which follows settings and roster while it lives.
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
    /// The revisions of this step, oldest first.
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
        let ticking = Arc::clone(&shared);
        let ticks = tokio::spawn(async move {
            let mut ticks = interval(options.tick);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                let now = ticking.clock.now();
                ticking.step(|inner| inner.spread.on_tick(now));
            }
        });
        Self { shared, ticks }
    }

    /// Takes in a message that came from a peer by a link.
    pub fn receive(&self, from: &Process, message: Message) {
        let now = self.shared.clock.now();
        self.shared.step(|inner| inner.receive(from, message, now));
    }

    /// Sends a message to a process on the roster, or drops it.
    pub fn send(&self, to: &Process, message: Body) {
        let address = self.shared.lock().spread.address(to);
        if let Some(address) = address {
            let _runtime = self.shared.runtime.enter();
            self.shared.courier.send(to, address, message);
        }
    }

    /// Returns what the process knows now.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.shared.views.borrow())
    }

    /// Returns a receiver that is told of every new view.
    #[must_use]
    pub fn views(&self) -> watch::Receiver<Arc<View>> {
        self.shared.views.subscribe()
    }

    /// Returns a receiver of the view after each revision that comes into
    /// force from now on, oldest first, where [`Node::views`] gives only the
    /// newest. A receiver that falls far behind is told how many it missed; a
    /// snapshot leads over many revisions at once.
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

    /// Returns what the node can tell operators.
    #[must_use]
    pub fn status(&self) -> Status {
        let now = self.shared.clock.now();
        self.shared.lock().spread.status(now)
    }

    /// Says in the process's record that it is leaving.
    pub fn leave(&self) {
        self.shared.lock().spread.leave();
    }

    /// Takes the process's record off the roster.
    pub fn deregister(&self) {
        self.shared.lock().spread.deregister();
    }

    /// Tells whether the platform holds the process's record as it is wanted.
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

    /// Lets the decision take one step and carries its commands out.
    fn step(self: &Arc<Self>, step: impl FnOnce(&mut Inner) -> Vec<Command>) {
        let mut inner = self.lock();
        let commands = step(&mut inner);
        let mut is_roster_new = false;
        for command in commands {
            match command {
                Command::Send { to, message } => {
                    if let Some(address) = inner.spread.address(&to) {
                        let _runtime = self.runtime.enter();
                        self.courier.send(&to, address, Body::Spread(message));
                    }
                }
                Command::Call { ticket, call } => self.call(&inner, ticket, call),
                // The replica took it before the decision was told of it.
                Command::Apply(_) => {}
                Command::Roster => is_roster_new = true,
            }
        }
        let mut applied = std::mem::take(&mut inner.applied);
        if let Some(newest) = applied.pop() {
            let is_wanted = self.revisions.receiver_count() > 0;
            for earlier in applied.into_iter().filter(|_| is_wanted) {
                let view = view(earlier, inner.spread.roster());
                let _ = self.revisions.send(Arc::new(view));
            }
            let view = Arc::new(view(newest, inner.spread.roster()));
            let _ = self.revisions.send(Arc::clone(&view));
            self.views.send_replace(view);
        } else if is_roster_new {
            let roster = Arc::new(inner.spread.roster().clone());
            self.views.send_modify(|view| {
                *view = Arc::new(View {
                    roster,
                    ..View::clone(view)
                });
            });
        }
    }

    /// Makes a call on a thread of its own and takes its answer in.
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
    /// Takes in a peer's message, but no revision that the replica refuses:
    /// what the decision counts as held is in force.
    fn receive(&mut self, from: &Process, message: Message, now: Instant) -> Vec<Command> {
        match &message {
            Message::Span(span) if !self.apply(span) => Vec::new(),
            _ => self.spread.on_message(from, message, now),
        }
    }

    /// Takes in the platform's answer. If the replica refuses a revision of
    /// it, those before it count, and the answer does not.
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

    /// Puts a span in force if it leads on; returns whether the replica holds it
    /// or lacks what comes before it.
    fn apply(&mut self, span: &Span) -> bool {
        let held = self.replica.revision().0;
        if span.through.0 <= held || span.after.0 > held {
            return true;
        }
        let offer = match payload::read(span) {
            Ok(offer) => offer,
            Err(error) => {
                tracing::error!(%error, "a revision is not understood");
                return false;
            }
        };
        let taken = self.replica.offer(&offer);
        if taken.is_held() {
            metrics::gauge!(metric::NODE_REVISION).set(precise(span.through.0));
            tracing::info!(revision = %span.through, "settings in force in this process");
            let tree = Arc::new(self.replica.tree().clone());
            self.applied.push((self.replica.revision(), tree));
        } else {
            tracing::error!(refused = %taken, through = %span.through, "a revision was not applied");
        }
        taken.is_held()
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

/// Returns a count as a gauge's value; counts stay far below the precision.
#[allow(clippy::cast_precision_loss)]
const fn precise(count: u64) -> f64 {
    count as f64
}
