//! The course of one request.

use cactusnotch_base::Outcome;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Endpoint;
use cactusnotch_claim::{self as claim, Claim};
use cactusnotch_ledger::message::{Repeat, Run};
use cactusnotch_ledger::{Age, Attempt, Holder, Request, Terms, Window};

use crate::intake::Intake;
use crate::{Answer, Budget, Command, Event, Mode, Options, Order, Reason};

/// When a question to an agent is sent again, and when it is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Patience {
    pub(crate) resend: Instant,
    pub(crate) until: Instant,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum State {
    /// An endpoint is to be chosen.
    Routing,
    /// The key is being claimed.
    Claiming {
        resend: Instant,
    },
    /// The attempt was sent, and the agent has not accepted it yet.
    Dispatched {
        until: Instant,
    },
    /// The pieces come.
    Streaming,
    /// The agent was asked to give the holder up.
    Tombstoning(Patience),
    /// The agent was asked for the pieces of the holder's run.
    Attached(Patience),
    Ended,
}

/// One request at an entry, from its arrival to its final answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Exchange {
    pub(crate) order: Order,
    pub(crate) options: Options,
    pub(crate) state: State,
    pub(crate) intake: Intake,
    /// The name by which agents reply to us.
    pub(crate) conversation: Attempt,
    /// The attempt whose run we wait for, ours or another entry's.
    pub(crate) holder: Option<Holder>,
    /// The agent of the latest route, at its latest known age.
    pub(crate) route: Option<Terms>,
    /// The age of that agent at the deadline.
    pub(crate) finish_by: Age,
    /// The attempt that held the key and provably never starts.
    pub(crate) from: Option<Attempt>,
    /// The attempt that started the run whose pieces we get.
    pub(crate) runner: Option<Attempt>,
    pub(crate) avoid: Vec<Endpoint>,
    pub(crate) retries: u32,
    /// Whether an attempt of ours was given up that may have run.
    pub(crate) doubt: bool,
}

impl Exchange {
    /// Takes a request on and returns what is to be done first.
    #[must_use]
    pub fn new(
        order: Order,
        options: Options,
        now: Instant,
        budget: &mut Budget,
    ) -> (Self, Vec<Command>) {
        budget.earn();
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
            doubt: false,
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

    /// Returns when [`Event::Timer`] is due, or nothing after the end.
    #[must_use]
    pub fn wake(&self) -> Option<Instant> {
        let next = match self.state {
            State::Ended => return None,
            State::Routing | State::Streaming => self.order.deadline,
            State::Claiming { resend } => resend,
            State::Dispatched { until } => until,
            State::Tombstoning(patience) | State::Attached(patience) => {
                patience.resend.min(patience.until)
            }
        };
        Some(next.min(self.order.deadline))
    }

    /// Returns the name by which agents reply to this exchange; it changes
    /// with each [`Event::Routed`].
    #[must_use]
    pub const fn conversation(&self) -> Attempt {
        self.conversation
    }

    /// Returns the attempt whose run is waited for, which a caller may name
    /// to resume at another entry.
    #[must_use]
    pub const fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// Tells whether the final answer was given, or nobody waits for it.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Takes one event at `now` and returns what is to be done, in order.
    #[must_use]
    pub fn step(&mut self, event: Event, now: Instant, budget: &mut Budget) -> Vec<Command> {
        let mut commands = Vec::new();
        if self.is_ended() {
            return commands;
        }
        if event == Event::CallerGone {
            self.withdraw(&mut commands);
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
                self.unreached(Reason::Unroutable, &mut commands);
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
        let grant = match &self.order.mode {
            Mode::Ticket(grant) => grant.clone(),
            Mode::Private | Mode::Claim | Mode::Resume(_) => terms.clone(),
        };
        if (&grant.endpoint, grant.incarnation) != (&terms.endpoint, terms.incarnation) {
            return self.refuse(Outcome::Unknown, Reason::Replaced, commands);
        }
        let holder = Holder {
            attempt,
            window: Window {
                start_by: terms.age.after(self.options.start),
                terms: grant,
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

    /// Claims the key; doing it again for the same holder does no harm.
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

    /// The agent of a ticket that cannot be reached may have run the request
    /// when it was sent before.
    fn unreached(&mut self, reason: Reason, commands: &mut Vec<Command>) {
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
            Mode::Ticket(_) => self.unreached(Reason::Unsent, commands),
            Mode::Private | Mode::Claim | Mode::Resume(_) => {
                self.dead(Reason::Unsent, budget, commands);
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

    /// Tells the caller that it gets no whole answer.
    pub(crate) fn refuse(&mut self, outcome: Outcome, reason: Reason, commands: &mut Vec<Command>) {
        let outcome = if self.doubt {
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
