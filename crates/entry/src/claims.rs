//! Claims on callers' keys, recorded in the platform in batches.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_base::{Clock, Table};
use cactusnotch_claim::{Answer, Claim, Command, Event, Shard, calls, owner};
use cactusnotch_ledger::{Attempt, Link};
use cactusnotch_member::{Role, State};
use cactusnotch_objects::http::Client;
use cactusnotch_telemetry::metric;
use cactusnotch_wire::{Body, claim};
use tokio::sync::{Notify, oneshot};
use uuid::Uuid;

use crate::Options;
use crate::shared::Shared;

/// The number of shards over which keys are spread. Must be equal in all entries.
const SHARDS: u32 = 4;

/// The time within which a shard's owner must answer before this entry records
/// the claim itself.
const OWNER_TIMEOUT: Duration = Duration::from_millis(400);

/// How long an owner that did not answer is skipped.
const SUSPECT_TIME: Duration = Duration::from_secs(5);

/// The longest time between two ticks of the shards.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// The recipient of the answer to a claim.
#[derive(Debug)]
enum Waiter {
    Local(oneshot::Sender<Answer>),
    Peer(Process),
}

/// One shard and the recipients of its pending answers.
#[derive(Debug)]
struct Slot {
    shard: Shard,
    waiters: Table<Link, Waiter>,
    next_link: Link,
}

/// Claims on callers' keys.
#[derive(Debug)]
pub(crate) struct Claims {
    store: Client,
    slots: Vec<Mutex<Slot>>,
    changed: Notify,
    /// Claims forwarded to the owners of their shards and not yet answered.
    forwarded: Mutex<Table<Attempt, oneshot::Sender<Answer>>>,
    /// Owners that did not answer, and until when they are skipped.
    suspects: Mutex<Table<Process, Instant>>,
}

impl Claims {
    pub(crate) fn new(options: &Options) -> Self {
        let slot = |_| {
            Mutex::new(Slot {
                shard: Shard::new(options.claim.clone(), Uuid::new_v4()),
                waiters: Table::new(),
                next_link: Link::default(),
            })
        };
        Self {
            store: Client::new(&options.node.platform),
            slots: (0..SHARDS).map(slot).collect(),
            changed: Notify::new(),
            forwarded: Mutex::default(),
            suspects: Mutex::default(),
        }
    }

    fn slot(&self, index: u32) -> MutexGuard<'_, Slot> {
        let slot = &self.slots[index as usize];
        slot.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake(&self) -> Option<Instant> {
        let shards = 0..SHARDS;
        shards
            .filter_map(|shard| self.slot(shard).shard.wake())
            .min()
    }

    fn complete(&self, attempt: Attempt, answer: Answer) {
        let sender = lock(&self.forwarded).remove(&attempt);
        if let Some(sender) = sender {
            // The request may have ended in the meantime.
            let _ = sender.send(answer);
        }
    }

    fn is_suspect(&self, process: &Process, now: Instant) -> bool {
        let suspects = lock(&self.suspects);
        suspects.get(process).is_some_and(|until| *until > now)
    }
}

/// Claims a key and returns the result.
pub(crate) async fn claim<C: Clock>(shared: &Arc<Shared<C>>, claim: Claim) -> Answer {
    let index = owner::shard(&claim.identity, SHARDS);
    let own = &shared.options.node.link.identity.process;
    if let Some(owner) = owner_of(shared, index).filter(|owner| owner != own)
        && let Some(answer) = forward(shared, &owner, &claim).await
    {
        return answer;
    }
    let (sender, receiver) = oneshot::channel();
    submit(shared, index, claim, Waiter::Local(sender));
    receiver.await.unwrap_or(Answer::Unavailable)
}

/// Handles a peer's message about claims.
pub(crate) fn receive<C: Clock>(shared: &Arc<Shared<C>>, from: &Process, message: claim::Message) {
    match message {
        claim::Message::Ask(claim) => {
            let index = owner::shard(&claim.identity, SHARDS);
            submit(shared, index, claim, Waiter::Peer(from.clone()));
        }
        claim::Message::Answer { attempt, answer } => shared.claims.complete(attempt, answer),
    }
}

/// Ticks the shards when they are due, for as long as the entry runs.
pub(crate) async fn tick<C: Clock>(shared: Arc<Shared<C>>) {
    loop {
        let now = shared.clock.now();
        let wake = shared.claims.wake().unwrap_or(now + IDLE_INTERVAL);
        tokio::select! {
            () = tokio::time::sleep(wake.remaining()) => {}
            () = shared.claims.changed.notified() => {}
        }
        for index in 0..SHARDS {
            step(&shared, index, Event::Tick);
        }
    }
}

/// Returns the owner of a shard among the serving entries that are not
/// suspected.
fn owner_of<C: Clock>(shared: &Shared<C>, index: u32) -> Option<Process> {
    let now = shared.clock.now();
    let view = shared.node.view();
    let live: Vec<Process> = view
        .roster
        .iter()
        .filter(|record| record.role == Role::Entry && record.state == State::Serving)
        .map(|record| record.process.clone())
        .filter(|process| !shared.claims.is_suspect(process, now))
        .collect();
    owner::owner(index, &live).cloned()
}

async fn forward<C: Clock>(shared: &Shared<C>, owner: &Process, claim: &Claim) -> Option<Answer> {
    let attempt = claim.holder.attempt;
    let (sender, receiver) = oneshot::channel();
    lock(&shared.claims.forwarded).insert(attempt, sender);
    let message = claim::Message::Ask(claim.clone());
    shared.node.send(owner, Body::Claim(message));
    let answer = tokio::time::timeout(OWNER_TIMEOUT, receiver).await;
    lock(&shared.claims.forwarded).remove(&attempt);
    if let Ok(answer) = answer {
        return answer.ok();
    }
    metrics::counter!(metric::ENTRY_CLAIM_OWNER_TIMEOUTS).increment(1);
    let until = shared.clock.now() + SUSPECT_TIME;
    lock(&shared.claims.suspects).insert(owner.clone(), until);
    None
}

fn submit<C: Clock>(shared: &Arc<Shared<C>>, index: u32, claim: Claim, waiter: Waiter) {
    let link = {
        let mut slot = shared.claims.slot(index);
        let link = slot.next_link;
        slot.next_link = Link(link.0 + 1);
        slot.waiters.insert(link, waiter);
        link
    };
    step(shared, index, Event::Ask { link, claim });
    shared.claims.changed.notify_one();
}

fn step<C: Clock>(shared: &Arc<Shared<C>>, index: u32, event: Event) {
    let commands = {
        let mut slot = shared.claims.slot(index);
        slot.shard
            .step(event, shared.clock.now(), shared.clock.wall())
    };
    for command in commands {
        execute(shared, index, command);
    }
}

fn execute<C: Clock>(shared: &Arc<Shared<C>>, index: u32, command: Command) {
    match command {
        Command::Put { number, batch } => {
            metrics::counter!(metric::ENTRY_CLAIM_BATCHES).increment(1);
            call(shared, index, move |store| {
                Some(calls::put(store, index, number, &batch))
            });
        }
        Command::List { after } => {
            call(shared, index, move |store| {
                Some(calls::list(store, index, after))
            });
        }
        Command::Delete { number } => call(shared, index, move |store| {
            if let Err(error) = calls::delete(store, index, number) {
                tracing::debug!(%error, "obsolete batch of claims not deleted");
            }
            None
        }),
        Command::Answer {
            link,
            attempt,
            answer,
        } => {
            let waiter = shared.claims.slot(index).waiters.remove(&link);
            match waiter {
                // The request may have ended in the meantime.
                Some(Waiter::Local(sender)) => drop(sender.send(answer)),
                Some(Waiter::Peer(peer)) => {
                    let message = claim::Message::Answer { attempt, answer };
                    shared.node.send(&peer, Body::Claim(message));
                }
                None => {}
            }
        }
    }
}

/// Runs a blocking store call on the blocking pool and feeds its result to the
/// shard.
fn call<C: Clock>(
    shared: &Arc<Shared<C>>,
    index: u32,
    call: impl FnOnce(&Client) -> Option<Event> + Send + 'static,
) {
    let shared = Arc::clone(shared);
    tokio::task::spawn_blocking(move || {
        if let Some(event) = call(&shared.claims.store) {
            step(&shared, index, event);
            shared.claims.changed.notify_one();
        }
    });
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
