//! Which runs an agent records, and which requests it refuses.

use std::time::Duration;

use cactusnotch_base::Outcome;
use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::number::{Incarnation, Sequence};
use cactusnotch_ledger::message::{Fault, Query, Reason, Repeat, Run};
use cactusnotch_ledger::{
    Age, Attempt, Command, Event, Holder, Identity, Ledger, Link, Options, Reply, Request, Terms,
    Window,
};
use uuid::Uuid;

const LINK: Link = Link(1);

struct Agent {
    ledger: Ledger,
    now: Instant,
}

fn attempt(number: u128) -> Attempt {
    Attempt(Uuid::from_u128(number))
}

fn identity(key: &str) -> Identity {
    Identity {
        organisation: "loom".into(),
        key: cactusnotch_base::outcome::Key::new(key),
    }
}

impl Agent {
    fn new(options: Options) -> Self {
        let now = clock::now();
        let ledger = Ledger::new(options, "one".into(), Incarnation(3), now);
        Self { ledger, now }
    }

    fn pass(&mut self, time: Duration) -> Vec<Command> {
        self.now += time;
        self.step(Event::Tick)
    }

    fn step(&mut self, event: Event) -> Vec<Command> {
        self.ledger.step(event, self.now)
    }

    fn window(&self) -> Window {
        let age = self.ledger.age(self.now);
        let terms = Terms {
            endpoint: "one".into(),
            incarnation: Incarnation(3),
            age,
        };
        Window {
            terms,
            start_by: age.after(Duration::from_secs(5)),
        }
    }

    fn run(&self, number: u128, key: &str) -> Run {
        Run {
            attempt: attempt(number),
            identity: identity(key),
            digest: 7,
            repeat: Repeat::Once,
            window: self.window(),
            finish_by: Age::NEVER,
            linger_ms: 1000,
        }
    }

    fn ask(&mut self, request: Request) -> Vec<Command> {
        self.step(Event::Request {
            link: LINK,
            request,
        })
    }

    fn start(&mut self, number: u128, key: &str) {
        let commands = self.ask(Request::Run(self.run(number, key)));
        assert_eq!(commands.first(), Some(&Command::Start(attempt(number))));
    }
}

fn query(number: u128, target: &Run) -> Query {
    Query {
        attempt: attempt(number),
        target: Holder {
            attempt: target.attempt,
            window: target.window.clone(),
        },
        identity: target.identity.clone(),
        digest: target.digest,
    }
}

fn refusal(commands: &[Command]) -> Option<(Outcome, Reason)> {
    commands.iter().find_map(|command| match command {
        Command::Send {
            reply: Reply::Refused {
                outcome, reason, ..
            },
            ..
        } => Some((*outcome, reason.clone())),
        _ => None,
    })
}

fn pieces(commands: &[Command]) -> Vec<u64> {
    let piece = |command: &Command| match command {
        Command::Send {
            reply: Reply::Piece { sequence, .. },
            ..
        } => Some(sequence.0),
        _ => None,
    };
    commands.iter().filter_map(piece).collect()
}

fn starts(commands: &[Command]) -> bool {
    commands.iter().any(|c| matches!(c, Command::Start(_)))
}

#[test]
fn a_tombstone_outlives_a_full_table() {
    let mut agent = Agent::new(Options {
        tombstones: 1,
        ..Options::default()
    });
    let runs: Vec<_> = (0..4).map(|n| agent.run(n, &format!("key {n}"))).collect();
    for run in &runs {
        let query = query(100 + run.attempt.0.as_u128(), run);
        let commands = agent.ask(Request::Tombstone(query));
        assert!(matches!(
            commands[..],
            [Command::Send {
                reply: Reply::Tombstoned { .. },
                ..
            }]
        ));
    }
    assert!(agent.ledger.tombstones() <= 1);
    for run in runs {
        let refused = refusal(&agent.ask(Request::Run(run)));
        assert_eq!(refused, Some((Outcome::NotRun, Reason::Tombstoned)));
    }
}

#[test]
fn a_refused_attempt_never_starts_when_its_frame_comes_again() {
    let mut agent = Agent::new(Options {
        rows: 1,
        ..Options::default()
    });
    let first = agent.run(1, "first");
    agent.start(1, "first");
    let attached = agent.run(4, "first");
    assert_eq!(refusal(&agent.ask(Request::Run(attached.clone()))), None);
    let attempt_one = attempt(1);
    let leaves = Request::Cancel {
        attempt: attempt_one,
    };
    assert_eq!(agent.ask(leaves), []);
    let run = agent.run(2, "second");
    let refused = refusal(&agent.ask(Request::Run(run.clone())));
    assert_eq!(refused, Some((Outcome::NotRun, Reason::Full)));
    let _ = agent.step(Event::Unstarted(attempt_one));
    for run in [run, first, attached] {
        assert!(!starts(&agent.ask(Request::Run(run))));
    }
    agent.start(3, "second");
}

#[test]
fn keys_are_forgotten_after_their_lifetime_and_then_refused() {
    let mut agent = Agent::new(Options::default());
    let run = agent.run(1, "key");
    let query = query(2, &run);
    agent.start(1, "key");
    let _ = agent.step(Event::Done(attempt(1)));
    let _ = agent.pass(Duration::from_secs(14 * 60 + 59));
    let attach = |query: &Query| Request::Attach {
        query: query.clone(),
        after: Sequence(0),
    };
    assert_eq!(refusal(&agent.ask(attach(&query))), None);
    let _ = agent.pass(Duration::from_mins(1));
    assert_eq!(agent.ledger.remembered(), 0);
    assert_eq!(agent.ledger.bytes(), 0);
    for request in [Request::Run(run), attach(&query), Request::Tombstone(query)] {
        let refused = refusal(&agent.ask(request));
        assert_eq!(refused, Some((Outcome::Unknown, Reason::Forgotten)));
    }
}

#[test]
fn frames_for_another_agent_or_too_late_are_refused() {
    let mut agent = Agent::new(Options::default());
    let mut elsewhere = agent.run(1, "key");
    elsewhere.window.terms.endpoint = "two".into();
    let mut replaced = agent.run(1, "key");
    replaced.window.terms.incarnation = Incarnation(2);
    let late = agent.run(2, "key");
    let _ = agent.pass(Duration::from_secs(6));
    let expected = [
        (elsewhere, Outcome::Unknown, Reason::Elsewhere),
        (replaced, Outcome::Unknown, Reason::Replaced(Incarnation(3))),
        (late, Outcome::NotRun, Reason::Late),
    ];
    for (run, outcome, reason) in expected {
        let refused = refusal(&agent.ask(Request::Run(run)));
        assert_eq!(refused, Some((outcome, reason)));
    }
}

#[test]
fn a_second_attempt_of_a_key_gets_the_pieces_of_the_first() {
    let mut agent = Agent::new(Options::default());
    agent.start(1, "key");
    for _ in 0..3 {
        let _ = agent.step(Event::Piece {
            attempt: attempt(1),
            data: "wool".into(),
        });
    }
    let run = agent.run(2, "key");
    let attached = agent.ask(Request::Run(run.clone()));
    assert!(!starts(&attached));
    assert_eq!(pieces(&attached), [1, 2, 3]);
    let mut other = agent.run(3, "key");
    other.digest = 8;
    let refused = refusal(&agent.ask(Request::Run(other)));
    assert_eq!(refused, Some((Outcome::NotRun, Reason::Mismatch)));
    let _ = agent.step(Event::Done(attempt(1)));
    let query = query(4, &run);
    let after = Sequence(2);
    let resumed = agent.ask(Request::Attach { query, after });
    assert_eq!(pieces(&resumed), [3]);
    let end = Reply::End {
        attempt: attempt(4),
        total: Sequence(3),
    };
    assert_eq!(
        resumed.last(),
        Some(&Command::Send {
            link: LINK,
            reply: end
        })
    );
}

#[test]
fn a_run_without_listeners_is_stopped_after_its_linger_time() {
    let mut agent = Agent::new(Options::default());
    agent.start(1, "key");
    let _ = agent.step(Event::LinkLost(LINK));
    assert_eq!(agent.pass(Duration::from_millis(999)), []);
    let commands = agent.pass(Duration::from_millis(1));
    assert_eq!(commands, [Command::Stop(attempt(1))]);
    let commands = agent.ask(Request::Run(agent.run(2, "key")));
    let broken = Reply::Broken {
        attempt: attempt(2),
        fault: Fault::Cancelled,
    };
    assert_eq!(
        commands.last(),
        Some(&Command::Send {
            link: LINK,
            reply: broken
        })
    );
}

#[test]
fn a_leaving_agent_refuses_new_work_and_serves_what_runs() {
    let mut agent = Agent::new(Options::default());
    agent.start(1, "key");
    assert_eq!(agent.step(Event::Drain), []);
    let refused = refusal(&agent.ask(Request::Run(agent.run(2, "other"))));
    assert_eq!(refused, Some((Outcome::NotRun, Reason::Draining)));
    assert_eq!(refusal(&agent.ask(Request::Run(agent.run(3, "key")))), None);
    let commands = agent.step(Event::Done(attempt(1)));
    assert_eq!(commands.last(), Some(&Command::Drained));
}

#[test]
fn a_throttled_agent_refuses_new_work_until_it_takes_it_again() {
    let mut agent = Agent::new(Options::default());
    agent.start(1, "key");
    assert_eq!(agent.step(Event::Throttle(true)), []);
    let refused = refusal(&agent.ask(Request::Run(agent.run(2, "other"))));
    assert_eq!(refused, Some((Outcome::NotRun, Reason::Throttled)));
    // The run was admitted before.
    assert_eq!(refusal(&agent.ask(Request::Run(agent.run(3, "key")))), None);
    assert_eq!(agent.step(Event::Throttle(false)), []);
    agent.start(4, "third");
}

#[test]
fn answers_are_kept_within_the_bytes_and_runs_are_remembered_all_the_same() {
    let mut agent = Agent::new(Options {
        bytes: 10_000,
        answer_bytes: 4_000,
        ..Options::default()
    });
    for number in 0..20 {
        let key = format!("key {number}");
        agent.start(number, &key);
        for _ in 0..10 {
            let data = vec![0; 500].into();
            let attempt = attempt(number);
            let _ = agent.step(Event::Piece { attempt, data });
            assert!(agent.ledger.bytes() <= 10_000);
        }
        let _ = agent.step(Event::Done(attempt(number)));
    }
    let refused = refusal(&agent.ask(Request::Run(agent.run(99, "key 0"))));
    assert_eq!(refused, Some((Outcome::Unknown, Reason::Dropped)));
}
