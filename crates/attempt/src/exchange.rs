//! The state machine of one request.

use cactusnotch_base::Outcome;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Endpoint;
use cactusnotch_claim::{self as claim, Claim};
use cactusnotch_ledger::message::{Repeat, Run};
use cactusnotch_ledger::{Age, Attempt, Holder, Request, Terms, Window};

use crate::intake::Intake;
use crate::{Answer, Budget, Command, Event, Mode, Options, Order, Reason};

/// When a query to an agent is sent again, and when it is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Timers {
    pub(crate) resend: Instant,
    pub(crate) until: Instant,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum State {
    /// An endpoint is being chosen.
    Routing,
    /// The key is being claimed.
    Claiming {
        resend: Instant,
    },
    /// The attempt was sent, and the agent has not accepted it yet.
    Dispatched {
        until: Instant,
    },
    /// The pieces of the answer are arriving.
    Streaming,
    /// The agent was asked to give up the holder.
    Tombstoning(Timers),
    /// The agent was asked for the pieces of the holder's run.
    Attached(Timers),
    Ended,
}

/// One request at an entry, from its arrival to its final answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Exchange {
    pub(crate) order: Order,
    pub(crate) options: Options,
    pub(crate) state: State,
    pub(crate) intake: Intake,
    /// The conversation identifier in the replies of agents.
    pub(crate) conversation: Attempt,
    /// The attempt whose run is awaited, of this or another entry.
    pub(crate) holder: Option<Holder>,
    /// The agent of the latest route, with its last reported age.
    pub(crate) route: Option<Terms>,
    /// The age of that agent at the deadline of the request.
    pub(crate) finish_by: Age,
    /// The previous holder of the key, which provably never starts.
    pub(crate) from: Option<Attempt>,
    /// The attempt that started the run whose pieces arrive here.
    pub(crate) runner: Option<Attempt>,
    pub(crate) avoid: Vec<Endpoint>,
    pub(crate) retries: u32,
    /// Whether an earlier attempt was given up although it may have run.
    pub(crate) may_have_run: bool,
}

impl Exchange {
    /// Accepts a request and returns the first commands.
    #[must_use]
    pub fn new(
        order: Order,
        options: Options,
        now: Instant,
        budget: &mut Budget,
    ) -> (Self, Vec<Command>) {
        budget.deposit();
        let mut exchange = Self {
            intake: Intake::new(order.after),
            conversation: order.conversation,
            holder: None,
            route: None,
            finish_by: Age::default(),
            from: None,
            runner: None,
            avoid: Vec::new(),
            retries: 0,
            may_have_run: false,
            state: State::Routing,
            order,
            options,
        };
        let mut commands = Vec::new();
        match &exchange.order.mode {
            Mode::Resume(holder) => {
                exchange.holder = Some(holder.clone());
                exchange.attach(now, &mut commands);
            }
            Mode::Private | Mode::Claim | Mode::Ticket(_) => exchange.choose(&mut commands),
        }
        (exchange, commands)
    }

    /// Returns when [`Event::Timer`] is due, or `None` after the end.
    #[must_use]
    pub fn wake(&self) -> Option<Instant> {
        let next = match self.state {
            State::Ended => return None,
            State::Routing | State::Streaming => self.order.deadline,
            State::Claiming { resend } => resend,
            State::Dispatched { until } => until,
            State::Tombstoning(timers) | State::Attached(timers) => timers.resend.min(timers.until),
        };
        Some(next.min(self.order.deadline))
    }

    /// Returns the conversation identifier in the replies of agents. It changes
    /// with each [`Event::Routed`].
    #[must_use]
    pub const fn conversation(&self) -> Attempt {
        self.conversation
    }

    /// Returns the attempt whose run is awaited. A caller can use it to resume
    /// at another entry.
    #[must_use]
    pub const fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// Returns whether the final answer was given, or the caller is gone.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Handles an event at `now` and returns the commands to execute, in order.
    #[must_use]
    pub fn step(&mut self, event: Event, now: Instant, budget: &mut Budget) -> Vec<Command> {
        let mut commands = Vec::new();
        if self.is_ended() {
            return commands;
        }
        if event == Event::CallerGone {
            self.release(&mut commands);
            self.state = State::Ended;
            return commands;
        }
        if now >= self.order.deadline {
            self.expire(&mut commands);
            return commands;
        }
        match event {
            Event::Routed {
                terms,
                reported_at,
                attempt,
            } => self.routed(terms, reported_at, attempt, now, &mut commands),
            Event::Unroutable if self.state == State::Routing => {
                self.refuse_unreachable(Reason::Unroutable, &mut commands);
            }
            Event::Claimed { attempt, answer } => {
                self.claimed(attempt, answer, now, &mut commands);
            }
            Event::Unsent(attempt) => self.unsent(attempt, budget, &mut commands),
            Event::Reply(reply) => self.reply(reply, now, budget, &mut commands),
            Event::LinkLost(endpoint) => self.link_lost(&endpoint, now, budget, &mut commands),
            Event::Timer => self.timer(now, budget, &mut commands),
            Event::Unroutable | Event::CallerGone => {}
        }
        commands
    }

    pub(crate) fn choose(&mut self, commands: &mut Vec<Command>) {
        self.state = State::Routing;
        let only = match &self.order.mode {
            Mode::Ticket(terms) => Some(terms.endpoint.clone()),
            Mode::Private | Mode::Claim | Mode::Resume(_) => None,
        };
        commands.push(Command::Route {
            only,
            avoid: self.avoid.clone(),
        });
    }

    fn routed(
        &mut self,
        terms: Terms,
        reported_at: Instant,
        attempt: Attempt,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        if self.state != State::Routing {
            return;
        }
        let left = self.order.deadline.saturating_duration_since(reported_at);
        self.finish_by = terms.age.after(left);
        let bound = match &self.order.mode {
            Mode::Ticket(bound) => bound.clone(),
            Mode::Private | Mode::Claim | Mode::Resume(_) => terms.clone(),
        };
        if (&bound.endpoint, bound.incarnation) != (&terms.endpoint, terms.incarnation) {
            return self.refuse(Outcome::Unknown, Reason::Replaced, commands);
        }
        let holder = Holder {
            attempt,
            window: Window {
                start_by: terms.age.after(self.options.start),
                terms: bound,
            },
        };
        self.conversation = attempt;
        self.route = Some(terms);
        self.holder = Some(holder.clone());
        if self.order.mode != Mode::Claim || self.order.repeat == Repeat::Idempotent {
            return self.dispatch(&holder, now, commands);
        }
        self.claim(&holder, now, commands);
    }

    /// Claims the key. Repeating the claim for the same holder is harmless.
    pub(crate) fn claim(&mut self, holder: &Holder, now: Instant, commands: &mut Vec<Command>) {
        self.state = State::Claiming {
            resend: now + self.options.claim,
        };
        commands.push(Command::Claim(Claim {
            identity: self.order.identity.clone(),
            digest: self.order.digest,
            holder: holder.clone(),
            from: self.from,
        }));
    }

    /// Refuses a request whose agent can't be reached. The agent of a ticket may
    /// have run the request when it was sent earlier.
    fn refuse_unreachable(&mut self, reason: Reason, commands: &mut Vec<Command>) {
        let outcome = match self.order.mode {
            Mode::Ticket(_) => Outcome::Unknown,
            Mode::Private | Mode::Claim | Mode::Resume(_) => Outcome::NotRun,
        };
        self.refuse(outcome, reason, commands);
    }

    fn unsent(&mut self, attempt: Attempt, budget: &mut Budget, commands: &mut Vec<Command>) {
        let dispatched = matches!(self.state, State::Dispatched { .. });
        if !dispatched || attempt != self.conversation {
            return;
        }
        match self.order.mode {
            Mode::Ticket(_) => self.refuse_unreachable(Reason::Unsent, commands),
            Mode::Private | Mode::Claim | Mode::Resume(_) => {
                self.on_not_run(Reason::Unsent, budget, commands);
            }
        }
    }

    fn claimed(
        &mut self,
        attempt: Attempt,
        answer: claim::Answer,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        if !matches!(self.state, State::Claiming { .. }) || attempt != self.conversation {
            return;
        }
        let Some(own) = self.holder.clone() else {
            return;
        };
        match answer {
            claim::Answer::Granted => self.dispatch(&own, now, commands),
            claim::Answer::Held(holder) => {
                self.holder = Some(holder);
                self.attach(now, commands);
            }
            claim::Answer::Mismatch => self.refuse(Outcome::NotRun, Reason::Mismatch, commands),
            claim::Answer::Unavailable => {
                self.refuse(Outcome::NotRun, Reason::Unavailable, commands);
            }
        }
    }

    fn dispatch(&mut self, own: &Holder, now: Instant, commands: &mut Vec<Command>) {
        let Some(route) = &self.route else { return };
        let run = Run {
            attempt: own.attempt,
            identity: self.order.identity.clone(),
            digest: self.order.digest,
            repeat: self.order.repeat,
            window: own.window.clone(),
            finish_by: self.finish_by,
            linger_ms: self.order.linger_ms,
        };
        commands.push(Command::Send {
            endpoint: route.endpoint.clone(),
            request: Request::Run(run),
        });
        self.state = State::Dispatched {
            until: now + self.options.accept,
        };
    }

    /// Ends the exchange without a complete answer.
    pub(crate) fn refuse(&mut self, outcome: Outcome, reason: Reason, commands: &mut Vec<Command>) {
        let outcome = if self.may_have_run {
            Outcome::Unknown
        } else {
            outcome
        };
        self.finish(
            Answer::Refused {
                outcome,
                reason,
                retry_after: self.options.retry_after,
            },
            commands,
        );
    }

    pub(crate) fn finish(&mut self, answer: Answer, commands: &mut Vec<Command>) {
        self.state = State::Ended;
        commands.push(Command::Finish(answer));
    }
}
