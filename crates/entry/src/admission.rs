//! Admission control: queues requests and admits them under organisations' caps.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactusnotch_admit::quota::{self, Exchange, Unit};
use cactusnotch_admit::{Command, Gate, Refusal, Request, Ticket, Usage};
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::{Organisation, Process};
use cactusnotch_base::number::Revision;
use cactusnotch_base::{Clock, Table};
use cactusnotch_node::{Node, View};
use cactusnotch_route::Service;
use cactusnotch_settings::resolved;
use cactusnotch_spread::Standing;
use cactusnotch_wire::Body;
use tokio::sync::broadcast::Receiver;
use tokio::sync::broadcast::error::TryRecvError;
use tokio::sync::oneshot;

use crate::Options;
use crate::caps;
use crate::problem::Problem;
use crate::queueing;
use crate::shared::Shared;

/// The requests that an endpoint may hold, as a multiple of its slots. Values
/// above one fill a freed slot without a round trip.
const SLOT_OVERCOMMIT: f64 = 1.5;

/// The interval at which queues are polled in the absence of other events.
const TICK: Duration = Duration::from_millis(50);

/// The position of a queued request: its service and its ticket there.
type Position = (Service, Ticket);

/// Receives the admission decision on a request.
type Answers<C> = oneshot::Receiver<Result<Permit<C>, Refusal>>;

#[derive(Debug)]
struct Inner<C: Clock> {
    own: Process,
    gates: Table<Service, Gate>,
    usage: Usage,
    quota: Exchange,
    waiting: Table<Position, Waiter<C>>,
    /// The demand of each organisation as last reported to the quota exchange.
    reported: Table<Organisation, u32>,
    revision: Revision,
    revisions: Receiver<Arc<View>>,
}

/// Admission control of an entry.
#[derive(Debug)]
pub(crate) struct Admission<C: Clock> {
    inner: Mutex<Inner<C>>,
}

/// Permits one request to run; released on drop.
#[derive(Debug)]
pub(crate) struct Permit<C: Clock> {
    shared: Arc<Shared<C>>,
    service: Service,
    organisation: Organisation,
}

/// The organisation of a queued request and the channel for its decision.
#[derive(Debug)]
struct Waiter<C: Clock> {
    organisation: Organisation,
    sender: oneshot::Sender<Result<Permit<C>, Refusal>>,
}

/// A decision to be sent after the lock is released: if the receiver is gone,
/// the permit is dropped on sending, and the drop takes the lock again.
struct Answer<C: Clock> {
    waiter: Waiter<C>,
    refusal: Option<Refusal>,
}

/// A queued request; removed from the queue on drop.
struct Queued<'a, C: Clock> {
    shared: &'a Arc<Shared<C>>,
    position: Position,
    organisation: &'a Organisation,
}

impl<C: Clock> Admission<C> {
    pub(crate) fn new(options: &Options, node: &Node<C>, now: Instant) -> Self {
        let identity = &options.node.link.identity;
        let quota = Exchange::new(
            identity.process.clone(),
            identity.incarnation,
            quota::Options::default(),
            now,
        );
        let inner = Inner {
            own: identity.process.clone(),
            gates: Table::new(),
            usage: Usage::default(),
            quota,
            waiting: Table::new(),
            reported: Table::new(),
            revision: Revision(0),
            revisions: node.revisions(),
        };
        Self {
            inner: Mutex::new(inner),
        }
    }

    /// Returns the number of queued requests.
    pub(crate) fn waiting(&self) -> usize {
        self.lock().waiting.len()
    }

    fn lock(&self) -> MutexGuard<'_, Inner<C>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Queues a request and waits until it is admitted.
///
/// # Errors
///
/// Refuses a request at once if its answer would miss the deadline.
pub(crate) async fn enter<C: Clock>(
    shared: &Arc<Shared<C>>,
    service: &Service,
    name: &Organisation,
    values: &resolved::Organisation,
) -> Result<Permit<C>, Problem> {
    let (receiver, position) =
        enqueue(shared, service, name, values).map_err(|refusal| refused(&refusal))?;
    let queued = Queued {
        shared,
        position,
        organisation: name,
    };
    poll(shared, service);
    let answer = receiver.await;
    drop(queued);
    match answer {
        Ok(Ok(permit)) => Ok(permit),
        Ok(Err(refusal)) => Err(refused(&refusal)),
        Err(_) => Err(Problem::unavailable("the queue was closed", TICK)),
    }
}

fn enqueue<C: Clock>(
    shared: &Arc<Shared<C>>,
    service: &Service,
    name: &Organisation,
    values: &resolved::Organisation,
) -> Result<(Answers<C>, Position), Refusal> {
    let now = shared.clock.now();
    let (headroom, run) = {
        let router = shared.router();
        (
            router.headroom(service, SLOT_OVERCOMMIT, now),
            router.service_time(service),
        )
    };
    let request = Request {
        organisation: name,
        share: u32::try_from(values.concurrency_floor.saturating_add(1)).unwrap_or(u32::MAX),
        priority: queueing::priority(values.priority),
        cost: 1.0,
        deadline: now + values.deadline,
        run,
    };
    let queue_max = queueing::queue_bound(&shared.settings(), service);
    let mut commands = Vec::new();
    let mut inner = shared.admission.lock();
    let gate = inner.gates.get_or_insert_with(service.clone(), || {
        Gate::new(cactusnotch_admit::Options {
            queue_max,
            ..cactusnotch_admit::Options::default()
        })
    });
    let ticket = gate.enqueue(&request, headroom, &mut commands, now, &mut rand::rng())?;
    let (sender, receiver) = oneshot::channel();
    let position = (service.clone(), ticket);
    let organisation = name.clone();
    let waiter = Waiter {
        organisation,
        sender,
    };
    inner.waiting.insert(position.clone(), waiter);
    let answers = inner.answers(service, commands);
    drop(inner);
    deliver(shared, service, answers);
    Ok((receiver, position))
}

/// Admits queued requests of a service up to its headroom and refuses those
/// that cannot meet their deadline.
fn poll<C: Clock>(shared: &Arc<Shared<C>>, service: &Service) {
    let now = shared.clock.now();
    let headroom = shared.router().headroom(service, SLOT_OVERCOMMIT, now);
    let (answers, messages) = {
        let mut inner = shared.admission.lock();
        // No request is admitted under a revision whose caps are not yet applied.
        inner.apply_pending_views(&shared.node);
        let answers = inner.poll(service, headroom, now);
        (answers, inner.update_demand(now))
    };
    send(shared, messages);
    deliver(shared, service, answers);
}

fn deliver<C: Clock>(shared: &Arc<Shared<C>>, service: &Service, answers: Vec<Answer<C>>) {
    for Answer { waiter, refusal } in answers {
        let answer = match refusal {
            Some(refusal) => Err(refusal),
            None => Ok(Permit {
                shared: Arc::clone(shared),
                service: service.clone(),
                organisation: waiter.organisation,
            }),
        };
        // If the caller has disconnected, the permit is dropped here.
        let _ = waiter.sender.send(answer);
    }
}

/// Polls queues and caps at an interval for as long as the entry runs.
pub(crate) async fn tick<C: Clock>(shared: Arc<Shared<C>>) {
    let mut ticks = tokio::time::interval(TICK);
    loop {
        ticks.tick().await;
        let now = shared.clock.now();
        let status = shared.node.status();
        let (services, messages) = {
            let mut inner = shared.admission.lock();
            inner.apply_pending_views(&shared.node);
            if status.standing == Standing::Serving {
                inner.quota.confirm(Revision(status.in_force.0), now);
            }
            inner.usage.tick(now);
            let services: Vec<Service> = inner.gates.keys().cloned().collect();
            (services, inner.quota.tick(now))
        };
        send(&shared, messages);
        for service in services {
            poll(&shared, &service);
        }
    }
}

/// Applies a peer's message about caps.
pub(crate) fn receive<C: Clock>(shared: &Arc<Shared<C>>, from: &Process, message: &quota::Message) {
    let now = shared.clock.now();
    let (services, messages) = {
        let mut inner = shared.admission.lock();
        let messages = inner.quota.receive(from, message, now);
        (inner.gates.keys().cloned().collect::<Vec<_>>(), messages)
    };
    send(shared, messages);
    for service in services {
        poll(shared, &service);
    }
}

fn send<C: Clock>(shared: &Shared<C>, messages: Vec<(Process, quota::Message)>) {
    for (to, message) in messages {
        shared.node.send(&to, Body::Quota(message));
    }
}

impl<C: Clock> Inner<C> {
    fn poll(&mut self, service: &Service, headroom: u32, now: Instant) -> Vec<Answer<C>> {
        let mut commands = Vec::new();
        let Some(gate) = self.gates.get_mut(service) else {
            return Vec::new();
        };
        let (usage, quota) = (&mut self.usage, &self.quota);
        let are_caps_known = self.revision > Revision(0);
        gate.poll(
            headroom,
            &mut commands,
            now,
            &mut rand::rng(),
            |organisation| {
                let allowance = quota.allowance(organisation, now);
                are_caps_known && usage.try_start(organisation, allowance, now)
            },
        );
        self.answers(service, commands)
    }

    fn answers(&mut self, service: &Service, commands: Vec<Command>) -> Vec<Answer<C>> {
        let mut answers = Vec::new();
        for command in commands {
            let (ticket, refusal) = match command {
                Command::Start(ticket) => (ticket, None),
                Command::Refuse(ticket, refusal) => (ticket, Some(refusal)),
            };
            if let Some(waiter) = self.waiting.remove(&(service.clone(), ticket)) {
                answers.push(Answer { waiter, refusal });
            } else if refusal.is_none() {
                tracing::error!("admitted request is not in the queue");
            }
        }
        answers
    }

    /// Reports each capped organisation's usage and demand to the quota
    /// exchange, and returns the exchange's requests to peers.
    fn update_demand(&mut self, now: Instant) -> Vec<(Process, quota::Message)> {
        let mut queued: Table<Organisation, u32> =
            self.reported.keys().map(|name| (name.clone(), 0)).collect();
        for (name, count) in self.gates.values().flat_map(Gate::demands) {
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            *queued.get_or_insert_with(name.clone(), || 0) += count;
        }
        let mut messages = Vec::new();
        for (organisation, queued) in queued.iter() {
            let running = self.usage.running(organisation);
            let wanted = running.saturating_add(*queued);
            // A start consumes its unit of the rate at once, so none stays in use.
            let starts = self.usage.rate(organisation, now).saturating_add(*queued);
            let demands = [
                (Unit::Concurrency, running, wanted),
                (Unit::Rate, 0, starts),
            ];
            for (unit, used, wanted) in demands {
                let organisation = organisation.clone();
                let key = quota::Key { organisation, unit };
                self.quota.set_demand(&key, used, wanted, now);
                if *queued > 0 {
                    messages.extend(self.quota.ask(&key, now));
                }
            }
            let wanted = wanted.max(starts);
            if wanted == 0 {
                self.reported.remove(organisation);
            } else {
                self.reported.insert(organisation.clone(), wanted);
            }
        }
        messages
    }

    /// Applies the caps of all pending revisions in order. After a missed
    /// revision, peers lend no quota until a newer one is confirmed.
    fn apply_pending_views(&mut self, node: &Node<C>) {
        if self.revision == Revision(0) {
            self.apply_view(&node.view());
        }
        loop {
            match self.revisions.try_recv() {
                Ok(view) => self.apply_view(&view),
                Err(TryRecvError::Lagged(missed)) => {
                    tracing::warn!(missed, "revisions missed; their caps were not applied");
                }
                Err(TryRecvError::Empty | TryRecvError::Closed) => return,
            }
        }
    }

    /// Applies the caps of a newer revision. The first one is deferred until
    /// the roster lists this entry: an earlier roster would yield no lenders.
    fn apply_view(&mut self, view: &View) {
        let is_first = self.revision == Revision(0);
        if view.revision <= self.revision || is_first && view.roster.get(&self.own).is_none() {
            return;
        }
        self.revision = view.revision;
        let (entries, caps) = (caps::entries(view), caps::all(view));
        self.quota.set_caps(view.revision, &entries, caps);
    }
}

fn refused(refusal: &Refusal) -> Problem {
    Problem::unavailable(refusal.reason.to_string(), refusal.retry_after)
}

impl<C: Clock> Drop for Permit<C> {
    fn drop(&mut self) {
        self.shared
            .admission
            .lock()
            .usage
            .finish(&self.organisation);
        poll(&self.shared, &self.service);
    }
}

impl<C: Clock> Drop for Queued<'_, C> {
    fn drop(&mut self) {
        let mut inner = self.shared.admission.lock();
        let answered = inner.waiting.remove(&self.position).is_none();
        let (service, ticket) = &self.position;
        if !answered && let Some(gate) = inner.gates.get_mut(service) {
            gate.cancel(self.organisation, *ticket);
        }
    }
}
