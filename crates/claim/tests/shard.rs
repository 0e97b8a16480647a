//! Concurrent writers of one log on a platform that fails.

use std::time::{Duration, SystemTime};

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::number::Incarnation;
use cactusnotch_base::outcome::Key;
use cactusnotch_claim::batch::{Batch, Entry};
use cactusnotch_claim::event::Written;
use cactusnotch_claim::{Answer, Claim, Command, Event, Options, Shard};
use cactusnotch_ledger::{Age, Attempt, Holder, Identity, Link, Terms, Window};
use uuid::Uuid;

/// A platform that stores one log, and the simulated time.
struct Platform {
    log: Vec<Entry>,
    version: u64,
    now: Instant,
    wall: SystemTime,
}

/// The result of a call.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Done,
    ReplyLost,
    Down,
}

fn claim(number: u128, key: &str) -> Claim {
    let terms = Terms {
        endpoint: "one".into(),
        incarnation: Incarnation(1),
        age: Age(0),
    };
    let window = Window {
        terms,
        start_by: Age(5000),
    };
    Claim {
        identity: Identity {
            organisation: "loom".into(),
            key: Key::new(key),
        },
        digest: 7,
        holder: Holder {
            attempt: Attempt(Uuid::from_u128(number)),
            window,
        },
        from: None,
    }
}

impl Platform {
    fn new() -> Self {
        Self {
            log: Vec::new(),
            version: 0,
            now: clock::now(),
            wall: SystemTime::UNIX_EPOCH + Duration::from_hours(500_000),
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.wall += time;
    }

    fn create(&mut self, number: u64, batch: Batch) -> Written {
        if self.log.iter().any(|entry| entry.number == number) {
            return Written::Conflict;
        }
        self.version += 1;
        let version = self.version;
        self.log.push(Entry {
            number,
            version,
            batch,
        });
        Written::Created(version)
    }

    /// Steps a shard until it has no pending call, and returns its answers.
    fn settle(&mut self, shard: &mut Shard, event: Event, fates: &[Fate]) -> Vec<Answer> {
        let mut fates = fates.iter().copied();
        let mut answers = Vec::new();
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for command in shard.step(event, self.now, self.wall) {
                let fate = fates.clone().next().unwrap_or(Fate::Done);
                match command {
                    Command::Put { number, batch } => {
                        fates.next();
                        let written = match fate {
                            Fate::Down => Written::Unanswered,
                            Fate::Done | Fate::ReplyLost => self.create(number, batch),
                        };
                        events.push(Event::Put(match fate {
                            Fate::Done => written,
                            Fate::ReplyLost | Fate::Down => Written::Unanswered,
                        }));
                    }
                    Command::List { after } => {
                        let newer = self.log.iter().filter(|entry| entry.version > after);
                        events.push(Event::Listed {
                            version: self.version,
                            entries: newer.cloned().collect(),
                        });
                    }
                    Command::Delete { number } => self.log.retain(|e| e.number != number),
                    Command::Answer { answer, .. } => answers.push(answer),
                }
            }
        }
        answers
    }

    fn ask(&mut self, shard: &mut Shard, claim: Claim, fates: &[Fate]) -> Vec<Answer> {
        let link = Link(1);
        let mut answers = self.settle(shard, Event::Ask { link, claim }, fates);
        self.pass(Options::default().window);
        answers.extend(self.settle(shard, Event::Tick, fates));
        answers
    }
}

fn shard(number: u128) -> Shard {
    Shard::new(Options::default(), Uuid::from_u128(number))
}

#[test]
fn a_lost_reply_is_settled_by_reading_back() {
    let mut platform = Platform::new();
    let mut writer = shard(1);
    let asked = platform.ask(&mut writer, claim(1, "key"), &[Fate::ReplyLost]);
    assert_eq!(asked, []);
    platform.pass(Options::default().backoff);
    let answers = platform.settle(&mut writer, Event::Tick, &[]);
    assert_eq!(answers, [Answer::Granted]);
    assert_eq!(platform.log.len(), 1);
}

#[test]
fn a_claim_is_refused_while_the_platform_is_down_and_granted_later() {
    let mut platform = Platform::new();
    let mut writer = shard(1);
    let fates = [Fate::Down; 2];
    assert_eq!(platform.ask(&mut writer, claim(1, "key"), &fates), []);
    platform.pass(Options::default().time_budget);
    let answers = platform.settle(&mut writer, Event::Tick, &fates);
    assert_eq!(answers, [Answer::Unavailable]);
    let answers = platform.ask(&mut writer, claim(2, "key"), &[]);
    assert_eq!(answers, [Answer::Granted]);
}

#[test]
fn a_key_is_moved_only_from_the_attempt_that_holds_it() {
    let mut platform = Platform::new();
    let (mut one, mut two) = (shard(1), shard(2));
    let first = claim(1, "key");
    platform.ask(&mut one, first.clone(), &[]);
    let held = Answer::Held(first.holder.clone());
    assert_eq!(platform.ask(&mut two, claim(2, "key"), &[]), [held]);
    let mut other = claim(2, "key");
    other.digest = 8;
    assert_eq!(platform.ask(&mut two, other, &[]), [Answer::Mismatch]);
    let mut moved = claim(3, "key");
    moved.from = Some(first.holder.attempt);
    assert_eq!(
        platform.ask(&mut two, moved.clone(), &[]),
        [Answer::Granted]
    );
    let mut again = claim(4, "key");
    again.from = Some(first.holder.attempt);
    let held = Answer::Held(moved.holder);
    assert_eq!(platform.ask(&mut one, again, &[]), [held]);
}

#[test]
fn a_batch_created_under_a_deleted_number_does_not_count() {
    let mut platform = Platform::new();
    let mut paused = shard(1);
    platform.ask(&mut paused, claim(1, "early"), &[]);
    // The writer is paused after it issued its next batch and before the
    // platform receives it.
    let link = Link(1);
    let late = claim(2, "key");
    let event = Event::Ask { link, claim: late };
    assert_eq!(paused.step(event, platform.now, platform.wall), []);
    platform.pass(Options::default().window);
    let put = paused.step(Event::Tick, platform.now, platform.wall);
    let [Command::Put { number, batch }] = &put[..] else {
        panic!("expected one batch, got {put:?}");
    };
    // Another writer takes over and later deletes that number.
    let mut owner = shard(2);
    platform.ask(&mut owner, claim(3, "other"), &[]);
    for round in 0..4 {
        platform.pass(Options::default().lifetime / 2);
        platform.ask(&mut owner, claim(10 + round, &format!("{round}")), &[]);
    }
    let granted = platform.ask(&mut owner, claim(4, "key"), &[]);
    assert_eq!(granted, [Answer::Granted]);
    assert!(platform.log.iter().all(|entry| entry.number != *number));
    let written = platform.create(*number, batch.clone());
    assert!(matches!(written, Written::Created(_)));
    let answers = platform.settle(&mut paused, Event::Put(written), &[]);
    assert_eq!(answers, [Answer::Unavailable]);
    let expected = Answer::Held(claim(4, "key").holder);
    let mut late_reader = shard(3);
    assert_eq!(
        platform.ask(&mut late_reader, claim(5, "key"), &[]),
        [expected]
    );
}
