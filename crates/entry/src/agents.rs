//! The links from an entry to the agents of its subset of endpoints.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Endpoint;
use cactusnotch_base::{Clock, Table};
use cactusnotch_ledger::Terms;
use cactusnotch_link::{Receiver, Sender, dial};
use cactusnotch_route::{Report, State, Withheld};
use cactusnotch_telemetry::metric;
use cactusnotch_wire::{Announcement, Body};
use tokio::task::JoinHandle;

use crate::roster;
use crate::shared::Shared;

/// The shortest wait before a lost link is dialled again.
const REDIAL_MIN: Duration = Duration::from_millis(50);

/// The longest wait before a lost link is dialled again.
const REDIAL_MAX: Duration = Duration::from_secs(2);

/// The connection to one agent.
#[derive(Debug)]
struct Agent {
    address: SocketAddr,
    task: JoinHandle<()>,
    link: Option<Open>,
}

impl Agent {
    fn dial<C: Clock>(endpoint: &Endpoint, address: SocketAddr, shared: &Arc<Shared<C>>) -> Self {
        let task = maintain_link(endpoint.clone(), address, Arc::clone(shared));
        Self {
            address,
            task: tokio::spawn(task),
            link: None,
        }
    }
}

/// An open link on which the agent has sent at least one announcement.
#[derive(Debug)]
struct Open {
    sender: Sender<Body>,
    terms: Terms,
    last_seen: Instant,
}

/// The links to agents, by endpoint.
#[derive(Debug, Default)]
pub(crate) struct Agents {
    rows: Mutex<Table<Endpoint, Agent>>,
}

impl Agents {
    /// Dials the agents that `wanted` adds and closes the links to those that
    /// it no longer lists.
    pub(crate) fn set<C: Clock>(
        &self,
        wanted: &Table<Endpoint, SocketAddr>,
        shared: &Arc<Shared<C>>,
    ) {
        let mut rows = self.lock();
        rows.retain(|endpoint, agent| {
            let is_kept = wanted.get(endpoint) == Some(&agent.address);
            if !is_kept {
                agent.task.abort();
            }
            is_kept
        });
        for (endpoint, address) in wanted.iter() {
            if !rows.contains(endpoint) {
                rows.insert(endpoint.clone(), Agent::dial(endpoint, *address, shared));
            }
        }
    }

    /// Dials the agent of `endpoint` unless it already has a link or a dial in
    /// progress. The link is kept until the roster or the settings change.
    pub(crate) fn ensure_dialled<C: Clock>(&self, endpoint: &Endpoint, shared: &Arc<Shared<C>>) {
        let address = roster::agent(&shared.node.view(), endpoint);
        let mut rows = self.lock();
        if let Some(address) = address.filter(|_| !rows.contains(endpoint)) {
            metrics::counter!(metric::ENTRY_LINKS_BEYOND_SUBSET).increment(1);
            let agent = Agent::dial(endpoint, address, shared);
            rows.insert(endpoint.clone(), agent);
        }
    }

    /// Returns the agent's incarnation and age from its last announcement, and
    /// the time when that was received.
    pub(crate) fn terms(&self, endpoint: &Endpoint) -> Option<(Terms, Instant)> {
        let rows = self.lock();
        let open = rows.get(endpoint)?.link.as_ref()?;
        Some((open.terms.clone(), open.last_seen))
    }

    /// Queues a message to the agent of `endpoint`. Drops it and returns
    /// `false` if there is no link or its queue is full.
    pub(crate) fn send(&self, endpoint: &Endpoint, body: &Body) -> bool {
        let rows = self.lock();
        rows.get(endpoint)
            .and_then(|agent| agent.link.as_ref())
            .is_some_and(|open| open.sender.try_send(body).is_ok())
    }

    /// Returns the time since the last announcement of each agent, `None` for
    /// an agent without an open link.
    pub(crate) fn last_seen(&self, now: Instant) -> Vec<(Endpoint, Option<Duration>)> {
        self.lock()
            .iter()
            .map(|(endpoint, agent)| {
                let last_seen = agent.link.as_ref().map(|open| open.last_seen);
                let ago = last_seen.map(|at| now.saturating_duration_since(at));
                (endpoint.clone(), ago)
            })
            .collect()
    }

    fn open(
        &self,
        endpoint: &Endpoint,
        sender: &Sender<Body>,
        announcement: &Announcement,
        now: Instant,
    ) -> bool {
        let mut rows = self.lock();
        let Some(agent) = rows.get_mut(endpoint) else {
            return false;
        };
        let terms = Terms {
            endpoint: announcement.endpoint.clone(),
            incarnation: announcement.incarnation,
            age: announcement.age,
        };
        let is_new = agent.link.is_none();
        agent.link = Some(Open {
            sender: sender.clone(),
            terms,
            last_seen: now,
        });
        is_new
    }

    fn close(&self, endpoint: &Endpoint) {
        if let Some(agent) = self.lock().get_mut(endpoint) {
            agent.link = None;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table<Endpoint, Agent>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Dials an agent, serves the link until it closes, and redials with
/// exponential back-off.
async fn maintain_link<C: Clock>(endpoint: Endpoint, address: SocketAddr, shared: Arc<Shared<C>>) {
    let mut wait = REDIAL_MIN;
    loop {
        match dial::<Body>(address, &shared.options.node.link).await {
            Ok(link) => {
                wait = REDIAL_MIN;
                let (sender, receiver) = link.split();
                serve(&endpoint, &sender, receiver, &shared).await;
                shared.agents.close(&endpoint);
                shared.router().set_state(&endpoint, State::Unreachable);
                shared.mailboxes.link_lost(&endpoint);
                tracing::info!(%endpoint, "link to the agent lost");
            }
            Err(error) => tracing::debug!(%error, %endpoint, "link to the agent not opened"),
        }
        tokio::time::sleep(wait.mul_f64(rand::random_range(0.5..1.0))).await;
        wait = (wait * 2).min(REDIAL_MAX);
    }
}

async fn serve<C: Clock>(
    endpoint: &Endpoint,
    sender: &Sender<Body>,
    mut receiver: Receiver<Body>,
    shared: &Shared<C>,
) {
    while let Some(received) = receiver.recv().await {
        match received {
            Ok(Body::Reply(reply)) => shared.mailboxes.deliver(endpoint, reply),
            Ok(Body::Announce(announcement)) if announcement.endpoint == *endpoint => {
                apply_announcement(endpoint, sender, &announcement, shared);
            }
            Ok(_) => {
                tracing::warn!(%endpoint, "link closed: message not allowed from this agent");
                return;
            }
            Err(error) => {
                tracing::info!(%error, %endpoint, "link to the agent failed");
                return;
            }
        }
    }
}

/// Applies an agent's announcement of its endpoint's state and load.
fn apply_announcement<C: Clock>(
    endpoint: &Endpoint,
    sender: &Sender<Body>,
    announcement: &Announcement,
    shared: &Shared<C>,
) {
    let now = shared.clock.now();
    let is_new = shared.agents.open(endpoint, sender, announcement, now);
    let state = if announcement.draining {
        State::Leaving
    } else {
        State::Serving
    };
    let load = |requests| cactusnotch_route::Load {
        requests,
        backlog: 0,
    };
    let report = Report {
        state,
        slots: announcement.slots,
        total: load(announcement.requests),
        surcharge: 0,
        mine: Some(load(announcement.mine)),
        sharers: announcement.entries,
        age: Duration::ZERO,
    };
    let until = |millis: u32| Withheld::Until(now + Duration::from_millis(millis.into()));
    let mut router = shared.router();
    router.withhold(endpoint, announcement.withheld.map(until));
    if is_new {
        router.set_state(endpoint, state);
        tracing::info!(%endpoint, %state, "link to the agent opened");
    }
    router.apply_report(endpoint, &report, now);
}
