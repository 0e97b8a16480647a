//! The links to the agents that an entry knows.

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

/// The first wait before a lost link is dialled again.
const REDIAL_MIN: Duration = Duration::from_millis(50);

/// The longest wait before a lost link is dialled again.
const REDIAL_MAX: Duration = Duration::from_secs(2);

/// What an entry knows of one agent.
#[derive(Debug)]
struct Agent {
    address: SocketAddr,
    task: JoinHandle<()>,
    link: Option<Open>,
}

impl Agent {
    fn dial<C: Clock>(endpoint: &Endpoint, address: SocketAddr, shared: &Arc<Shared<C>>) -> Self {
        let keep = keep_link(endpoint.clone(), address, Arc::clone(shared));
        Self {
            address,
            task: tokio::spawn(keep),
            link: None,
        }
    }
}

/// A link on which the agent has stated its condition.
#[derive(Debug)]
struct Open {
    sender: Sender<Body>,
    terms: Terms,
    heard: Instant,
}

/// The links to the agents that an entry knows.
#[derive(Debug, Default)]
pub(crate) struct Agents {
    rows: Mutex<Table<Endpoint, Agent>>,
}

impl Agents {
    /// Dials the agents that are new in `wanted` and drops those that are not
    /// in it any more.
    pub(crate) fn set<C: Clock>(
        &self,
        wanted: &Table<Endpoint, SocketAddr>,
        shared: &Arc<Shared<C>>,
    ) {
        let mut rows = self.lock();
        rows.retain(|endpoint, agent| {
            let stays = wanted.get(endpoint) == Some(&agent.address);
            if !stays {
                agent.task.abort();
            }
            stays
        });
        for (endpoint, address) in wanted.iter() {
            if !rows.contains(endpoint) {
                rows.insert(endpoint.clone(), Agent::dial(endpoint, *address, shared));
            }
        }
    }

    /// Dials the agent of `endpoint` unless it is known already. The link
    /// stays until the roster or the settings change.
    pub(crate) fn reach<C: Clock>(&self, endpoint: &Endpoint, shared: &Arc<Shared<C>>) {
        let address = roster::agent(&shared.node.view(), endpoint);
        let mut rows = self.lock();
        if let Some(address) = address.filter(|_| !rows.contains(endpoint)) {
            metrics::counter!(metric::ENTRY_LINKS_BEYOND_SUBSET).increment(1);
            let agent = Agent::dial(endpoint, address, shared);
            rows.insert(endpoint.clone(), agent);
        }
    }

    /// Returns the agent's incarnation and its age when it was last heard of,
    /// and when that was.
    pub(crate) fn terms(&self, endpoint: &Endpoint) -> Option<(Terms, Instant)> {
        let rows = self.lock();
        let open = rows.get(endpoint)?.link.as_ref()?;
        Some((open.terms.clone(), open.heard))
    }

    /// Queues a message to the agent of `endpoint`; without a link, or with a
    /// full queue, it is dropped and `false` returned.
    pub(crate) fn send(&self, endpoint: &Endpoint, body: &Body) -> bool {
        let rows = self.lock();
        rows.get(endpoint)
            .and_then(|agent| agent.link.as_ref())
            .is_some_and(|open| open.sender.try_send(body).is_ok())
    }

    /// Returns how long ago each agent that has a link was heard of.
    pub(crate) fn heard(&self, now: Instant) -> Vec<(Endpoint, Option<Duration>)> {
        self.lock()
            .iter()
            .map(|(endpoint, agent)| {
                let heard = agent.link.as_ref().map(|open| open.heard);
                let ago = heard.map(|at| now.saturating_duration_since(at));
                (endpoint.clone(), ago)
            })
            .collect()
    }

    fn open(
        &self,
        endpoint: &Endpoint,
        sender: &Sender<Body>,
        stated: &Announcement,
        now: Instant,
    ) -> bool {
        let mut rows = self.lock();
        let Some(agent) = rows.get_mut(endpoint) else {
            return false;
        };
        let terms = Terms {
            endpoint: stated.endpoint.clone(),
            incarnation: stated.incarnation,
            age: stated.age,
        };
        let is_new = agent.link.is_none();
        agent.link = Some(Open {
            sender: sender.clone(),
            terms,
            heard: now,
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

/// Dials an agent again and again, and serves the link while it lasts.
async fn keep_link<C: Clock>(endpoint: Endpoint, address: SocketAddr, shared: Arc<Shared<C>>) {
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
            Err(error) => tracing::debug!(%error, %endpoint, "link to the agent not made"),
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
            Ok(Body::Announce(stated)) if stated.endpoint == *endpoint => {
                take(endpoint, sender, &stated, shared);
            }
            Ok(_) => {
                tracing::warn!(%endpoint, "link closed: not what this agent may send");
                return;
            }
            Err(error) => {
                tracing::info!(%error, %endpoint, "link to the agent failed");
                return;
            }
        }
    }
}

/// Takes an agent's statement of its endpoint's condition.
fn take<C: Clock>(
    endpoint: &Endpoint,
    sender: &Sender<Body>,
    stated: &Announcement,
    shared: &Shared<C>,
) {
    let now = shared.clock.now();
    let is_new = shared.agents.open(endpoint, sender, stated, now);
    let state = if stated.draining {
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
        slots: stated.slots,
        total: load(stated.requests),
        mine: Some(load(stated.mine)),
        sharers: stated.entries,
        age: Duration::ZERO,
    };
    let until = |millis: u32| Withheld::Until(now + Duration::from_millis(millis.into()));
    let mut router = shared.router();
    router.withhold(endpoint, stated.withheld.map(until));
    if is_new {
        router.set_state(endpoint, state);
        tracing::info!(%endpoint, %state, "link to the agent made");
    }
    router.apply_report(endpoint, &report, now);
}
