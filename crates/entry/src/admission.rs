//! Which requests an entry lets in, and when.

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
use crate::shared::Shared;
use crate::terms;

/// How many times as many requests as it has slots an endpoint may hold, so
/// that a slot that gets free is filled at once.
const AHEAD: f64 = 1.5;

/// How often the queues are looked at without any other reason.
const TICK: Duration = Duration::from_millis(50);

/// The place of a request in the queue of its service.
type Place = (Service, Ticket);

/// Where the answer to a request arrives.
type Answers<C> = oneshot::Receiver<Result<Permit<C>, Refusal>>;

#[derive(Debug)]
struct Inner<C: Clock> {
    me: Process,
    gates: Table<Service, Gate>,
    usage: Usage,
    quota: Exchange,
    waiting: Table<Place, Waiter<C>>,
    /// The organisations that the exchange of caps was told of.
    told: Table<Organisation, u32>,
    revision: Revision,
    revisions: Receiver<Arc<View>>,
}

/// Which requests an entry lets in, and when.
#[derive(Debug)]
pub(crate) struct Admission<C: Clock> {
    inner: Mutex<Inner<C>>,
}

/// The right of one request to run, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Permit<C: Clock> {
    shared: Arc<Shared<C>>,
    service: Service,
    organisation: Organisation,
}

/// A request that waits, and where its answer goes.
#[derive(Debug)]
struct Waiter<C: Clock> {
    organisation: Organisation,
    sender: oneshot::Sender<Result<Permit<C>, Refusal>>,
}

/// An answer that is sent once the tables are unlocked: a permit that nobody
/// takes any more is given back then.
struct Answer<C: Clock> {
    waiter: Waiter<C>,
    refusal: Option<Refusal>,
}

/// A request in the queue, taken out when it is dropped.
struct Waiting<'a, C: Clock> {
    shared: &'a Arc<Shared<C>>,
    place: Place,
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
            me: identity.process.clone(),
            gates: Table::new(),
            usage: Usage::default(),
            quota,
            waiting: Table::new(),
            told: Table::new(),
            revision: Revision(0),
            revisions: node.revisions(),
        };
        Self {
            inner: Mutex::new(inner),
        }
    }

    /// Returns the number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.lock().waiting.len()
    }

    fn lock(&self) -> MutexGuard<'_, Inner<C>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits until a request may run.
///
/// # Errors
///
/// Refuses a request at once if its answer would come late.
pub(crate) async fn enter<C: Clock>(
    shared: &Arc<Shared<C>>,
    service: &Service,
    name: &Organisation,
    values: &resolved::Organisation,
) -> Result<Permit<C>, Problem> {
    let (receiver, place) =
        arrive(shared, service, name, values).map_err(|refusal| refused(&refusal))?;
    let waiting = Waiting {
        shared,
        place,
        organisation: name,
    };
    poll(shared, service);
    let answer = receiver.await;
    drop(waiting);
    match answer {
        Ok(Ok(permit)) => Ok(permit),
        Ok(Err(refusal)) => Err(refused(&refusal)),
        Err(_) => Err(Problem::unavailable("the queue was closed", TICK)),
    }
}

fn arrive<C: Clock>(
    shared: &Arc<Shared<C>>,
    service: &Service,
    name: &Organisation,
    values: &resolved::Organisation,
) -> Result<(Answers<C>, Place), Refusal> {
    let now = shared.clock.now();
    let (room, run) = {
        let router = shared.router();
        (
            router.headroom(service, AHEAD, now),
            router.service_time(service),
        )
    };
    let request = Request {
        organisation: name,
        share: u32::try_from(values.concurrency_floor.saturating_add(1)).unwrap_or(u32::MAX),
        priority: terms::priority(values.priority),
        cost: 1.0,
        deadline: now + values.deadline,
        run,
    };
    let queue_max = terms::queue_bound(&shared.settings(), service);
    let mut commands = Vec::new();
    let mut inner = shared.admission.lock();
    let gate = inner.gates.get_or_insert_with(service.clone(), || {
        Gate::new(cactusnotch_admit::Options {
            queue_max,
            ..cactusnotch_admit::Options::default()
        })
    });
    let ticket = gate.enqueue(&request, room, &mut commands, now, &mut rand::rng())?;
    let (sender, receiver) = oneshot::channel();
    let place = (service.clone(), ticket);
    let organisation = name.clone();
    let waiter = Waiter {
        organisation,
        sender,
    };
    inner.waiting.insert(place.clone(), waiter);
    let answers = inner.answers(service, commands);
    drop(inner);
    deliver(shared, service, answers);
    Ok((receiver, place))
}

/// Starts what may start of a service and refuses what is hopeless.
fn poll<C: Clock>(shared: &Arc<Shared<C>>, service: &Service) {
    let now = shared.clock.now();
    let room = shared.router().headroom(service, AHEAD, now);
    let (answers, messages) = {
        let mut inner = shared.admission.lock();
        // No request starts under a revision whose caps are not known here.
        inner.follow_all(&shared.node);
        let answers = inner.poll(service, room, now);
        (answers, inner.demand(now))
    };
    post(shared, messages);
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
        // If the caller has gone away, the permit is dropped here.
        let _ = waiter.sender.send(answer);
    }
}

/// Keeps queues and caps going for as long as the entry runs.
pub(crate) async fn tick<C: Clock>(shared: Arc<Shared<C>>) {
    let mut ticks = tokio::time::interval(TICK);
    loop {
        ticks.tick().await;
        let now = shared.clock.now();
        let status = shared.node.status();
        let (services, messages) = {
            let mut inner = shared.admission.lock();
            inner.follow_all(&shared.node);
            if status.standing == Standing::Serving {
                inner.quota.confirm(Revision(status.in_force.0), now);
            }
            inner.usage.tick(now);
            let services: Vec<Service> = inner.gates.keys().cloned().collect();
            (services, inner.quota.tick(now))
        };
        post(&shared, messages);
        for service in services {
            poll(&shared, &service);
        }
    }
}

/// Takes in what a peer says about caps.
pub(crate) fn receive<C: Clock>(shared: &Arc<Shared<C>>, from: &Process, message: &quota::Message) {
    let now = shared.clock.now();
    let (services, messages) = {
        let mut inner = shared.admission.lock();
        let messages = inner.quota.receive(from, message, now);
        (inner.gates.keys().cloned().collect::<Vec<_>>(), messages)
    };
    post(shared, messages);
    for service in services {
        poll(shared, &service);
    }
}

fn post<C: Clock>(shared: &Shared<C>, messages: Vec<(Process, quota::Message)>) {
    for (to, message) in messages {
        shared.node.send(&to, Body::Quota(message));
    }
}

impl<C: Clock> Inner<C> {
    fn poll(&mut self, service: &Service, room: u32, now: Instant) -> Vec<Answer<C>> {
        let mut commands = Vec::new();
        let Some(gate) = self.gates.get_mut(service) else {
            return Vec::new();
        };
        let (usage, quota) = (&mut self.usage, &self.quota);
        let are_caps_known = self.revision > Revision(0);
        gate.poll(room, &mut commands, now, &mut rand::rng(), |organisation| {
            let allowance = quota.allowance(organisation, now);
            are_caps_known && usage.try_start(organisation, allowance, now)
        });
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
                tracing::error!("a request was started that does not wait");
            }
        }
        answers
    }

    /// Tells the exchange what each capped organisation uses and wants, and
    /// returns what it asks for.
    fn demand(&mut self, now: Instant) -> Vec<(Process, quota::Message)> {
        let mut queued: Table<Organisation, u32> =
            self.told.keys().map(|name| (name.clone(), 0)).collect();
        for (name, count) in self.gates.values().flat_map(Gate::demands) {
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            *queued.get_or_insert_with(name.clone(), || 0) += count;
        }
        let mut messages = Vec::new();
        for (organisation, queued) in queued.iter() {
            let running = self.usage.running(organisation);
            let wanted = running.saturating_add(*queued);
            // A start uses a rate up at once: nothing of it stays in use.
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
                self.told.remove(organisation);
            } else {
                self.told.insert(organisation.clone(), wanted);
            }
        }
        messages
    }

    /// Takes the caps of each newer revision in order: of one that is missed
    /// nothing would be lent until a newer one is confirmed.
    fn follow_all(&mut self, node: &Node<C>) {
        if self.revision == Revision(0) {
            self.follow(&node.view());
        }
        loop {
            match self.revisions.try_recv() {
                Ok(view) => self.follow(&view),
                Err(TryRecvError::Lagged(missed)) => {
                    tracing::warn!(missed, "caps of revisions were missed");
                }
                Err(TryRecvError::Empty | TryRecvError::Closed) => return,
            }
        }
    }

    /// Takes the caps of a newer revision. The first one waits until the
    /// roster names this entry: a list from before would name no homes.
    fn follow(&mut self, view: &View) {
        let is_first = self.revision == Revision(0);
        if view.revision <= self.revision || is_first && view.roster.get(&self.me).is_none() {
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

impl<C: Clock> Drop for Waiting<'_, C> {
    fn drop(&mut self) {
        let mut inner = self.shared.admission.lock();
        let answered = inner.waiting.remove(&self.place).is_none();
        let (service, ticket) = &self.place;
        if !answered && let Some(gate) = inner.gates.get_mut(service) {
            gate.cancel(self.organisation, *ticket);
        }
    }
}
