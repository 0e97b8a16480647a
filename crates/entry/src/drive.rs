//! The course of one request: the exchange's commands carried out.

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

/// What the span says of a request whose caller went away.
const GONE: &str = "caller-gone";

/// How often a link that is being made is looked at.
const REACH_GLANCE: Duration = Duration::from_millis(10);

/// How many times a link that is being made is looked at.
const REACH_GLANCES: u32 = 30;

/// A request that is ready to be driven.
#[derive(Debug)]
pub(crate) struct Job<C: Clock> {
    /// Held until the request has ended.
    #[expect(dead_code, reason = "it is given back when it is dropped")]
    pub(crate) permit: Permit<C>,
    pub(crate) order: Order,
    pub(crate) service: Service,
    pub(crate) tokens: u32,
    pub(crate) prefix: Vec<u64>,
    pub(crate) call: Call,
    pub(crate) span: Span<C>,
}

/// The request with its decision and its place in the entry's tables.
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
    /// How the request ended, for its span.
    ended: &'static str,
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
        ended: GONE,
    };
    drive.carry_out(commands).await;
    while let Some(wake) = drive.exchange.wake() {
        let event = tokio::select! {
            event = events.recv() => event.unwrap_or(Event::Timer),
            () = tokio::time::sleep(wake.remaining()) => Event::Timer,
            () = drive.output.closed() => Event::CallerGone,
        };
        let commands = drive.step(event);
        drive.carry_out(commands).await;
    }
    drive.finish_route(End::Inconclusive);
    drive.hang_up();
    metrics::counter!(metric::ENTRY_REQUESTS, "outcome" => drive.ended).increment(1);
    drive.job.span.finish(drive.ended);
}

impl<C: Clock> Drive<C> {
    fn now(&self) -> Instant {
        self.shared.clock.now()
    }

    fn step(&mut self, event: Event) -> Vec<Command> {
        let now = self.now();
        self.exchange.step(event, now, &mut self.shared.budget())
    }

    /// Carries commands out, and those that follow from them at once.
    async fn carry_out(&mut self, commands: Vec<Command>) {
        let mut waiting = std::collections::VecDeque::from(commands);
        while let Some(command) = waiting.pop_front() {
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
                waiting.extend(self.step(event));
            }
        }
    }

    async fn route(&mut self, only: Option<&Endpoint>, avoid: &[Endpoint]) -> Event {
        self.finish_route(End::Failed);
        let terms = match only {
            Some(endpoint) => self.reached(endpoint).await,
            None => self.choose(avoid),
        };
        match terms {
            Some((terms, heard)) => Event::Routed {
                terms,
                heard,
                attempt: Attempt(Uuid::new_v4()),
            },
            None => Event::Unroutable,
        }
    }

    /// Returns the terms of the one agent that may run the request, after a
    /// short wait for a link if there is none yet.
    async fn reached(&self, endpoint: &Endpoint) -> Option<(Terms, Instant)> {
        for _ in 0..REACH_GLANCES {
            let terms = self.shared.agents.terms(endpoint);
            if terms.is_some() {
                return terms;
            }
            self.shared.agents.reach(endpoint, &self.shared);
            tokio::time::sleep(REACH_GLANCE).await;
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
        self.converse(attempt, endpoint);
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
        // A question is asked again until its time is up.
        self.shared.agents.reach(endpoint, &self.shared);
        None
    }

    /// Lets the replies of a conversation come to this request.
    fn converse(&mut self, conversation: Attempt, endpoint: &Endpoint) {
        if self.conversation != Some(conversation) {
            self.hang_up();
        }
        self.conversation = Some(conversation);
        let sender = self.sender.clone();
        self.shared
            .mailboxes
            .open(conversation, endpoint.clone(), sender);
    }

    fn hang_up(&mut self) {
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
        let is_taken = self.output.piece(sequence, data).await;
        (!is_taken).then_some(Event::CallerGone)
    }

    async fn finish(&mut self, answer: Answer) {
        self.ended = match &answer {
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
