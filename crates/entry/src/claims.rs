//! Claims of callers' keys, recorded in the platform in batches.

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

/// The shards over which keys are spread. All entries must agree on it.
const SHARDS: u32 = 4;

/// How long a shard's owner may take to answer before this entry records the
/// claim itself.
const OWNER_PATIENCE: Duration = Duration::from_millis(400);

/// How long an owner that did not answer is passed over.
const OWNER_SUSPECT: Duration = Duration::from_secs(5);

/// How long a shard sleeps that waits for nothing.
const IDLE: Duration = Duration::from_secs(1);

/// Where the answer to a claim goes.
#[derive(Debug)]
enum Waiter {
    Here(oneshot::Sender<Answer>),
    Peer(Process),
}

/// One shard with those who wait for its answers.
#[derive(Debug)]
struct Desk {
    shard: Shard,
    waiters: Table<Link, Waiter>,
    next: Link,
}

/// Claims of callers' keys.
#[derive(Debug)]
pub(crate) struct Claims {
    store: Client,
    desks: Vec<Mutex<Desk>>,
    changed: Notify,
    /// Claims that were passed on to the owners of their shards.
    asked: Mutex<Table<Attempt, oneshot::Sender<Answer>>>,
    /// The owners that did not answer, and until when they are passed over.
    suspects: Mutex<Table<Process, Instant>>,
}

impl Claims {
    pub(crate) fn new(options: &Options) -> Self {
        let desk = |_| {
            Mutex::new(Desk {
                shard: Shard::new(options.claim.clone(), Uuid::new_v4()),
                waiters: Table::new(),
                next: Link::default(),
            })
        };
        Self {
            store: Client::new(&options.node.platform),
            desks: (0..SHARDS).map(desk).collect(),
            changed: Notify::new(),
            asked: Mutex::default(),
            suspects: Mutex::default(),
        }
    }

    fn desk(&self, index: u32) -> MutexGuard<'_, Desk> {
        let desk = &self.desks[index as usize];
        desk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake(&self) -> Option<Instant> {
        let shards = 0..SHARDS;
        shards
            .filter_map(|shard| self.desk(shard).shard.wake())
            .min()
    }

    fn answered(&self, attempt: Attempt, answer: Answer) {
        let waiting = lock(&self.asked).remove(&attempt);
        if let Some(waiting) = waiting {
            // The request may have ended in the meantime.
            let _ = waiting.send(answer);
        }
    }

    fn is_suspect(&self, process: &Process, now: Instant) -> bool {
        let suspects = lock(&self.suspects);
        suspects.get(process).is_some_and(|until| *until > now)
    }
}

/// Claims a key and returns what became of it.
pub(crate) async fn claim<C: Clock>(shared: &Arc<Shared<C>>, claim: Claim) -> Answer {
    let index = owner::shard(&claim.identity, SHARDS);
    let own = &shared.options.node.link.identity.process;
    if let Some(owner) = owner_of(shared, index).filter(|owner| owner != own)
        && let Some(answer) = ask_peer(shared, &owner, &claim).await
    {
        return answer;
    }
    let (sender, receiver) = oneshot::channel();
    ask(shared, index, claim, Waiter::Here(sender));
    receiver.await.unwrap_or(Answer::Unavailable)
}

/// Takes in what a peer says about claims.
pub(crate) fn receive<C: Clock>(shared: &Arc<Shared<C>>, from: &Process, message: claim::Message) {
    match message {
        claim::Message::Ask(claim) => {
            let index = owner::shard(&claim.identity, SHARDS);
            ask(shared, index, claim, Waiter::Peer(from.clone()));
        }
        claim::Message::Answer { attempt, answer } => shared.claims.answered(attempt, answer),
    }
}

/// Lets the shards do what is due, for as long as the entry runs.
pub(crate) async fn tick<C: Clock>(shared: Arc<Shared<C>>) {
    loop {
        let now = shared.clock.now();
        let wake = shared.claims.wake().unwrap_or(now + IDLE);
        tokio::select! {
            () = tokio::time::sleep(wake.remaining()) => {}
            () = shared.claims.changed.notified() => {}
        }
        for index in 0..SHARDS {
            step(&shared, index, Event::Tick);
        }
    }
}

/// Returns the entry that is asked first for a shard.
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

async fn ask_peer<C: Clock>(shared: &Shared<C>, owner: &Process, claim: &Claim) -> Option<Answer> {
    let attempt = claim.holder.attempt;
    let (sender, receiver) = oneshot::channel();
    lock(&shared.claims.asked).insert(attempt, sender);
    let message = claim::Message::Ask(claim.clone());
    shared.node.send(owner, Body::Claim(message));
    let answer = tokio::time::timeout(OWNER_PATIENCE, receiver).await;
    lock(&shared.claims.asked).remove(&attempt);
    if let Ok(answer) = answer {
        return answer.ok();
    }
    metrics::counter!(metric::ENTRY_CLAIM_OWNER_TIMEOUTS).increment(1);
    let until = shared.clock.now() + OWNER_SUSPECT;
    lock(&shared.claims.suspects).insert(owner.clone(), until);
    None
}

fn ask<C: Clock>(shared: &Arc<Shared<C>>, index: u32, claim: Claim, waiter: Waiter) {
    let link = {
        let mut desk = shared.claims.desk(index);
        let link = desk.next;
        desk.next = Link(link.0 + 1);
        desk.waiters.insert(link, waiter);
        link
    };
    step(shared, index, Event::Ask { link, claim });
    shared.claims.changed.notify_one();
}

fn step<C: Clock>(shared: &Arc<Shared<C>>, index: u32, event: Event) {
    let commands = {
        let mut desk = shared.claims.desk(index);
        desk.shard
            .step(event, shared.clock.now(), shared.clock.wall())
    };
    for command in commands {
        carry_out(shared, index, command);
    }
}

fn carry_out<C: Clock>(shared: &Arc<Shared<C>>, index: u32, command: Command) {
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
                tracing::debug!(%error, "old batch of claims not deleted");
            }
            None
        }),
        Command::Answer {
            link,
            attempt,
            answer,
        } => {
            let waiter = shared.claims.desk(index).waiters.remove(&link);
            match waiter {
                // The request may have ended in the meantime.
                Some(Waiter::Here(sender)) => drop(sender.send(answer)),
                Some(Waiter::Peer(peer)) => {
                    let message = claim::Message::Answer { attempt, answer };
                    shared.node.send(&peer, Body::Claim(message));
                }
                None => {}
            }
        }
    }
}

/// Makes a blocking call on a thread of its own and takes its result in.
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
