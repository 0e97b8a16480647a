//! The agent's server: links from entries, and runs at the endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactusnotch_base::Clock;
use cactusnotch_group::Status;
use cactusnotch_ledger::{Attempt, Event, Ledger, Link, Request};
use cactusnotch_link::{self as link, Identity, Listener, Receiver};
use cactusnotch_member::{self as member, Record, Role};
use cactusnotch_node::Node;
use cactusnotch_telemetry::metric;
use cactusnotch_telemetry::trace::{Context, Span};
use cactusnotch_wire::{Body, Call, Dispatch};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use crate::Options;
use crate::engine::{Engine, Error};
use crate::rank::{self, Participant};
use crate::state::State;

/// The name of the agent's span of a request.
const SPAN: &str = "agent";

/// The name of the span of the call to the endpoint.
const CALL_SPAN: &str = "engine";

/// The interval at which a stop polls whether the process is deregistered.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long an entry whose link broke may take to reconnect before its runs
/// count as abandoned. Entries allow an agent the same time.
const RECONNECT_TIME: Duration = Duration::from_secs(3);

/// How long a stop waits for the platform to remove the process's record.
const DEREGISTER_TIMEOUT: Duration = Duration::from_secs(5);

/// A running agent.
#[derive(Debug)]
pub struct Server<C: Clock> {
    address: SocketAddr,
    shared: Arc<Shared<C>>,
    tasks: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared<C: Clock> {
    state: State<C>,
    engine: Engine,
    node: Arc<Node<C>>,
    participant: Arc<Participant>,
}

impl<C: Clock> Server<C> {
    /// Starts an agent on the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(options: Options, clock: C) -> Result<Self, link::Error> {
        let listener = Listener::bind(options.listen, options.node.link.clone()).await?;
        let address = listener.address();
        let ledger = Ledger::new(
            options.ledger.clone(),
            options.endpoint.clone(),
            options.node.link.identity.incarnation,
            clock.now(),
        );
        let record = record(&options, address);
        let node = Arc::new(Node::start(options.node.clone(), record, clock.clone()));
        let participant = Arc::new(Participant::default());
        let shared = Arc::new(Shared {
            node: Arc::clone(&node),
            participant: Arc::clone(&participant),
            state: State::new(ledger, options.slots, clock.clone()),
            engine: Engine::new(&options.engine),
        });
        let mut tasks = vec![
            tokio::spawn(accept(listener, Arc::clone(&shared))),
            tokio::spawn(tick(options.announce_interval, Arc::clone(&shared))),
        ];
        if let Some(profile) = options.rank.clone() {
            tasks.push(tokio::spawn(rank::follow(
                options,
                profile,
                node,
                participant,
                clock,
            )));
        }
        Ok(Self {
            address,
            shared,
            tasks,
        })
    }

    /// Returns the address on which the agent listens for links.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the status of the rank's group driver, if it runs.
    #[must_use]
    pub fn rank(&self) -> Option<Status> {
        self.shared.participant.status()
    }

    /// Waits until the endpoint has announced that it is leaving. The agent then refuses new work
    /// and must be stopped: its state does not apply to a later process of the endpoint.
    pub async fn leaving(&self) {
        self.shared.state.leaving().await;
    }

    /// Refuses new work and waits until all runs have ended.
    pub async fn drain(&self) {
        self.shared.node.leave();
        self.shared.state.step(Event::Drain);
        self.shared.state.drained().await;
    }

    /// Stops the agent without interrupting requests, and removes it from the
    /// roster if the platform answers in time.
    pub async fn stop(&self) {
        self.drain().await;
        self.shared.node.deregister();
        let settled = async {
            while !self.shared.node.is_registered() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(DEREGISTER_TIMEOUT, settled)
            .await
            .is_err()
        {
            tracing::warn!("the platform did not remove the process's record in time");
        }
    }
}

impl<C: Clock> Drop for Server<C> {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn record(options: &Options, peers: SocketAddr) -> Record {
    let identity = &options.node.link.identity;
    Record {
        process: identity.process.clone(),
        role: Role::Agent,
        host: identity.host.clone(),
        data_centre: identity.data_centre.clone(),
        region: options.region.clone(),
        peers: options.advertise.unwrap_or(peers),
        callers: None,
        endpoint: Some(options.endpoint.clone()),
        incarnation: identity.incarnation,
        state: member::State::Joining,
    }
}

async fn accept<C: Clock>(mut listener: Listener<Body>, shared: Arc<Shared<C>>) {
    while let Some(accepted) = listener.accept().await {
        match accepted {
            Ok(link) => {
                let peer = link.peer().clone();
                let (sender, receiver) = link.split();
                let number = shared.state.open(sender);
                tracing::debug!(%peer, link = %number, "link opened");
                tokio::spawn(serve(number, peer, receiver, Arc::clone(&shared)));
            }
            Err(error) => tracing::warn!(%error, "link refused"),
        }
    }
}

async fn tick<C: Clock>(period: Duration, shared: Arc<Shared<C>>) {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.state.step(Event::Tick);
        shared.state.announce();
    }
}

/// Handles the messages of a peer until its link ends.
async fn serve<C: Clock>(
    link: Link,
    peer: Identity,
    mut receiver: Receiver<Body>,
    shared: Arc<Shared<C>>,
) {
    while let Some(received) = receiver.recv().await {
        match received {
            Ok(Body::Dispatch(message)) => dispatch(link, *message, &shared),
            Ok(Body::Spread(message)) => shared.node.receive(&peer.process, message),
            Ok(Body::Group(message)) => shared.participant.receive(&peer.process, message),
            Ok(_) => {
                tracing::warn!(%link, "link closed: message not allowed from this peer");
                break;
            }
            Err(error) => {
                tracing::info!(%error, %link, "link lost");
                break;
            }
        }
    }
    shared.state.close(link);
    // The entry dials again at once if only the connection broke.
    tokio::time::sleep(RECONNECT_TIME).await;
    shared.state.step(Event::LinkLost(link));
}

fn dispatch<C: Clock>(link: Link, message: Dispatch, shared: &Arc<Shared<C>>) {
    let Dispatch {
        request,
        call,
        trace,
    } = message;
    let key = match &request {
        Request::Run(run) => run.identity.key.as_str().to_owned(),
        _ => String::new(),
    };
    let event = Event::Request { link, request };
    let Some(attempt) = shared.state.step(event) else {
        return;
    };
    let Some(call) = call else {
        shared.state.step(Event::Unstarted(attempt));
        return;
    };
    let task = tokio::spawn(run(attempt, key, call, trace, Arc::clone(shared)));
    shared.state.running(attempt, task.abort_handle());
}

/// Runs one attempt and reports its outcome to the ledger.
async fn run<C: Clock>(
    attempt: Attempt,
    key: String,
    call: Call,
    trace: Option<String>,
    shared: Arc<Shared<C>>,
) {
    let span = shared.span(trace.as_deref());
    let (event, outcome) = match relay(attempt, &key, &call, span.context(), &shared).await {
        Ok(()) => (Event::Done(attempt), "ok"),
        Err(error @ Error::Unstarted { .. }) => {
            tracing::debug!(%error, %attempt, "run refused by the endpoint");
            (Event::Unstarted(attempt), "not-run")
        }
        Err(error @ Error::Failed { .. }) => {
            tracing::info!(%error, %attempt, "run failed");
            (Event::Failed(attempt), "unknown")
        }
    };
    shared.state.step(event);
    metrics::counter!(metric::AGENT_RUNS, "outcome" => outcome).increment(1);
    span.finish(outcome);
}

async fn relay<C: Clock>(
    attempt: Attempt,
    key: &str,
    call: &Call,
    parent: Context,
    shared: &Shared<C>,
) -> Result<(), Error> {
    let span = Span::child(
        CALL_SPAN,
        &parent,
        &mut rand::rng(),
        shared.state.clock().clone(),
    );
    let trace = span.context().to_string();
    let sent = shared.state.clock().now();
    let reply = shared.engine.call(attempt, key, call, &trace).await?;
    let ran = reply.answer.is_ok();
    shared.state.apply_headers(&reply.headers, ran, sent);
    let mut answer = reply.answer?;
    while let Some(data) = answer.next().await? {
        shared.state.step(Event::Piece { attempt, data });
    }
    span.finish("ok");
    Ok(())
}

impl<C: Clock> Shared<C> {
    /// Starts the agent's span of a request, as a child of the entry's.
    fn span(&self, header: Option<&str>) -> Span<C> {
        let mut random = rand::rng();
        let parent = Context::from_header(header, &mut random, false);
        Span::child(SPAN, &parent, &mut random, self.state.clock().clone())
    }
}
