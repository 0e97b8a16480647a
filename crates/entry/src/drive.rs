//! Drives one request by executing the commands of its exchange.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactusnotch_attempt::{Answer, Command, Event, Exchange, Order};
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Endpoint;
use cactusnotch_base::number::Sequence;
use cactusnotch_base::{Clock, Outcome};
use cactusnotch_ledger::{Attempt, Request, Terms};
use cactusnotch_route::attempt::End;
use cactusnotch_route::{self as route, Service};
use cactusnotch_telemetry::metric;
use cactusnotch_telemetry::trace::Span;
use cactusnotch_wire::{Body, Call, Dispatch};
use tokio::sync::mpsc;
use uuid::Uuid;

use crate::admission::Permit;
use crate::claims;
use crate::mailbox;
use crate::output::Output;
use crate::shared::Shared;

/// The outcome of a request whose caller disconnected.
const CALLER_GONE: &str = "caller-gone";

/// The interval at which a link that is being opened is polled.
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How many times a link that is being opened is polled.
const LINK_POLLS_MAX: u32 = 30;

/// A request that is ready to be driven.
#[derive(Debug)]
pub(crate) struct Job<C: Clock> {
    /// Held until the request has ended.
    #[expect(dead_code, reason = "it is released on drop")]
    pub(crate) permit: Permit<C>,
    pub(crate) order: Order,
    pub(crate) service: Service,
    pub(crate) tokens: u32,
    pub(crate) prefix: Vec<u64>,
    pub(crate) call: Call,
    pub(crate) span: Span<C>,
}

/// A request with its exchange and its state in the entry.
#[derive(Debug)]
struct Drive<C: Clock> {
    shared: Arc<Shared<C>>,
    job: Job<C>,
    exchange: Exchange,
    sender: mpsc::Sender<Event>,
    conversation: Option<Attempt>,
    routed: Option<route::Attempt>,
    pieces: u32,
    started: Instant,
    output: Output,
    /// The outcome of the request, for its span and its counter.
    outcome: &'static str,
}

/// Drives a request from its arrival to its end.
pub(crate) async fn run<C: Clock>(shared: Arc<Shared<C>>, job: Job<C>, output: Output) {
    let now = shared.clock.now();
    let (exchange, commands) = Exchange::new(
        job.order.clone(),
        shared.options.attempt.clone(),
        now,
        &mut shared.budget(),
    );
    let (sender, mut events) = mpsc::channel(mailbox::DEPTH);
    let mut drive = Drive {
        shared,
        job,
        exchange,
        sender,
        conversation: None,
        routed: None,
        pieces: 0,
        started: now,
        output,
        outcome: CALLER_GONE,
    };
    drive.execute(commands).await;
    while let Some(wake) = drive.exchange.wake() {
        let event = tokio::select! {
            event = events.recv() => event.unwrap_or(Event::Timer),
            () = tokio::time::sleep(wake.remaining()) => Event::Timer,
            () = drive.output.closed() => Event::CallerGone,
        };
        let commands = drive.step(event);
        drive.execute(commands).await;
    }
    drive.finish_route(End::Inconclusive);
    drive.close_mailbox();
    metrics::counter!(metric::ENTRY_REQUESTS, "outcome" => drive.outcome).increment(1);
    drive.job.span.finish(drive.outcome);
}

impl<C: Clock> Drive<C> {
    fn now(&self) -> Instant {
        self.shared.clock.now()
    }

    fn step(&mut self, event: Event) -> Vec<Command> {
        let now = self.now();
        self.exchange.step(event, now, &mut self.shared.budget())
    }

    /// Executes commands, and those that follow from their events.
    async fn execute(&mut self, commands: Vec<Command>) {
        let mut queue = std::collections::VecDeque::from(commands);
        while let Some(command) = queue.pop_front() {
            let follow = match command {
                Command::Route { only, avoid } => Some(self.route(only.as_ref(), &avoid).await),
                Command::Claim(claim) => {
                    self.claim(claim);
                    None
                }
                Command::Send { endpoint, request } => self.send(&endpoint, request),
                Command::Piece { sequence, data } => self.piece(sequence, data).await,
                Command::Finish(answer) => {
                    self.finish(answer).await;
                    None
                }
            };
            if let Some(event) = follow {
                queue.extend(self.step(event));
            }
        }
    }

    async fn route(&mut self, only: Option<&Endpoint>, avoid: &[Endpoint]) -> Event {
        self.finish_route(End::Failed);
        let terms = match only {
            Some(endpoint) => self.wait_for_link(endpoint).await,
            None => self.choose(avoid),
        };
        match terms {
            Some((terms, reported_at)) => Event::Routed {
                terms,
                reported_at,
                attempt: Attempt(Uuid::new_v4()),
            },
            None => Event::Unroutable,
        }
    }

    /// Returns the terms of the only agent that may run the request. Dials it
    /// and waits briefly if there is no link yet.
    async fn wait_for_link(&self, endpoint: &Endpoint) -> Option<(Terms, Instant)> {
        for _ in 0..LINK_POLLS_MAX {
            let terms = self.shared.agents.terms(endpoint);
            if terms.is_some() {
                return terms;
            }
            self.shared.agents.ensure_dialled(endpoint, &self.shared);
            tokio::time::sleep(LINK_POLL_INTERVAL).await;
        }
        self.shared.agents.terms(endpoint)
    }

    fn choose(&mut self, avoid: &[Endpoint]) -> Option<(Terms, Instant)> {
        let request = route::Request {
            service: &self.job.service,
            tokens: self.job.tokens,
            prefix: &self.job.prefix,
            tried: avoid,
            may_probe: true,
            allowed_data_centres: None,
            group: None,
        };
        let now = self.now();
        let mut router = self.shared.router();
        let choice = router.choose(&request, now, &mut rand::rng()).ok()?;
        let terms = self.shared.agents.terms(&choice.endpoint)?;
        self.routed = Some(router.start(&choice, &request, now));
        Some(terms)
    }

    fn claim(&self, claim: cactusnotch_claim::Claim) {
        let shared = Arc::clone(&self.shared);
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let attempt = claim.holder.attempt;
            let answer = claims::claim(&shared, claim).await;
            // The request may have ended in the meantime.
            let _ = sender.send(Event::Claimed { attempt, answer }).await;
        });
    }

    fn send(&mut self, endpoint: &Endpoint, request: Request) -> Option<Event> {
        let attempt = request.attempt();
        self.open_mailbox(attempt, endpoint);
        let is_run = matches!(request, Request::Run(_));
        let call = is_run.then(|| self.job.call.clone());
        let body = Body::Dispatch(Box::new(Dispatch {
            request,
            call,
            trace: Some(self.job.span.context().to_string()),
        }));
        if self.shared.agents.send(endpoint, &body) {
            return None;
        }
        if is_run {
            return Some(Event::Unsent(attempt));
        }
        // The exchange repeats a query until its timeout.
        self.shared.agents.ensure_dialled(endpoint, &self.shared);
        None
    }

    /// Directs the replies of a conversation to this request.
    fn open_mailbox(&mut self, conversation: Attempt, endpoint: &Endpoint) {
        if self.conversation != Some(conversation) {
            self.close_mailbox();
        }
        self.conversation = Some(conversation);
        let sender = self.sender.clone();
        self.shared
            .mailboxes
            .open(conversation, endpoint.clone(), sender);
    }

    fn close_mailbox(&mut self) {
        if let Some(conversation) = self.conversation.take() {
            self.shared.mailboxes.close(conversation);
        }
    }

    async fn piece(&mut self, sequence: Sequence, data: Bytes) -> Option<Event> {
        self.pieces += 1;
        let now = self.now();
        if self.pieces == 1 {
            let waited = now.saturating_duration_since(self.started);
            metrics::histogram!(metric::ENTRY_FIRST_PIECE).record(waited);
        }
        if let Some(routed) = &mut self.routed {
            self.shared.router().first_piece(routed, now);
        }
        let is_accepted = self.output.piece(sequence, data).await;
        (!is_accepted).then_some(Event::CallerGone)
    }

    async fn finish(&mut self, answer: Answer) {
        self.outcome = match &answer {
            Answer::Whole { .. } => "ok",
            Answer::Refused { outcome, .. } => label(*outcome),
        };
        let end = match &answer {
            Answer::Whole { .. } => End::Answered {
                pieces: self.pieces,
            },
            Answer::Refused { .. } => End::Inconclusive,
        };
        self.finish_route(end);
        self.output.finish(answer).await;
    }

    fn finish_route(&mut self, end: End) {
        if let Some(routed) = self.routed.take() {
            let now = self.now();
            self.shared.router().finish(&routed, end, now);
        }
    }
}

fn label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    }
}
