//! Ranks in lock-step, and the weight store they load from.

mod wait;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_base::number::{Epoch, Fence, Sequence, Step};
use cactusnotch_order::{Answer, Reply};
use cactusnotch_placement::{Cell, Map, Rank, Replica, Report, Shape, Share};
use cactusnotch_standins::engine::Fencing;
use cactusnotch_standins::ranks::{self, Command, Group, Options};
use cactusnotch_standins::weights::{self, Weights};
use cactusnotch_switch::engine::{Action, Expert, State};
use cactusnotch_switch::map::{Map as Name, Switch};
use wait::{LONG, until};

const SHAPE: Shape = Shape {
    layers: 2,
    experts: 6,
};
const RANKS: [Rank; 3] = [Rank(0), Rank(1), Rank(2)];

fn options() -> Options {
    Options {
        step: Duration::from_millis(1),
        load_time: Duration::from_millis(1),
        ..Options::new(3, SHAPE)
    }
}

fn command(order: Action) -> Command {
    Command {
        fence: Fence(1),
        order,
        content: None,
        release: None,
    }
}

fn order(group: &Group, rank: Rank, command: &Command) -> Answer<State> {
    let url = format!("http://{}/orders", group.addresses()[rank.index()]);
    let call = ureq::post(url)
        .config()
        .http_status_as_error(false)
        .build()
        .send_json(command);
    call.unwrap().body_mut().read_json().unwrap()
}

/// Returns the first map with an added half replica of the first expert.
fn next_map() -> Map {
    let old = ranks::spread(3, SHAPE);
    let mut rows: Vec<Vec<Replica>> = old.cells().map(|(_, row)| row.to_vec()).collect();
    let half = Share(Share::WHOLE.0 / 2);
    rows[0] = [Rank(0), Rank(1)]
        .map(|rank| Replica { rank, share: half })
        .to_vec();
    Map::new(SHAPE, rows).unwrap()
}

fn named(epoch: u64, map: &Map, from: Step) -> Switch {
    let map = Name {
        epoch: Epoch(epoch),
        digest: map.digest(),
    };
    Switch { map, from }
}

fn use_map(group: &Group, rank: Rank, switch: Switch, map: &Map) -> Answer<State> {
    let content = Some(map.clone());
    order(
        group,
        rank,
        &Command {
            content,
            release: Some(switch.from),
            ..command(Action::Use(switch))
        },
    )
}

/// Orders the weights that `map` needs and waits until they are there.
fn load(group: &Group, rank: Rank, map: &Map) {
    let experts: Vec<Expert> = map
        .experts_on(rank)
        .map(|Cell { layer, expert }| Expert { layer, expert })
        .collect();
    for expert in &experts {
        assert_eq!(
            order(group, rank, &command(Action::Load(*expert))).reply,
            Reply::Taken
        );
    }
    until(|| {
        let loaded = group.state(rank).experts;
        experts.iter().all(|expert| loaded.contains(expert))
    });
}

/// Holds `rank` at the first step that it has not started.
fn hold(group: &Group, rank: Rank) -> Step {
    let mut step = group.state(rank).next;
    while order(group, rank, &command(Action::Hold(step))).reply == Reply::Refused {
        step = group.state(rank).next.next();
    }
    step
}

#[test]
fn no_rank_steps_past_a_hold() {
    let group = Group::start(&options()).unwrap();
    let held = hold(&group, Rank(1));
    until(|| group.state(Rank(0)).next > held && group.state(Rank(2)).next > held);
    assert_eq!((group.step(), group.state(Rank(1)).next), (held, held));
    let late = order(&group, Rank(0), &command(Action::Hold(held)));
    assert_eq!((late.reply, late.state.next), (Reply::Refused, held.next()));
    order(&group, Rank(1), &command(Action::Release(held)));
    assert!(group.wait_for(held.next(), LONG));
    let maps: Vec<_> = group
        .log(Rank(1))
        .iter()
        .map(|entry| entry.map.epoch)
        .collect();
    assert!(maps.iter().all(|epoch| *epoch == Epoch(1)));
}

#[test]
fn all_ranks_switch_at_the_step_and_a_lone_switch_shows() {
    let store = Weights::start(&weights::Options::default()).unwrap();
    let group = Group::start(&Options {
        weights: Some(store.address()),
        ..options()
    })
    .unwrap();
    let map = next_map();
    load(&group, Rank(1), &map);
    assert_eq!(store.counts().served, 1);
    let from = RANKS
        .iter()
        .map(|rank| hold(&group, *rank))
        .max()
        .unwrap()
        .next();
    let switch = named(2, &map, from);
    for rank in RANKS {
        assert_eq!(use_map(&group, rank, switch, &map).reply, Reply::Taken);
        assert_eq!(use_map(&group, rank, switch, &map).reply, Reply::Taken);
    }
    for rank in RANKS {
        for held in group.state(rank).holds {
            order(&group, rank, &command(Action::Release(held)));
        }
    }
    assert!(group.wait_for(from.next(), LONG));
    for rank in RANKS {
        for entry in group.log(rank) {
            assert_eq!(entry.map.epoch == Epoch(2), entry.step >= from, "{entry:?}");
        }
    }
    assert_eq!(group.mixed(), []);
    let used = Expert {
        layer: 0,
        expert: 0,
    };
    let needed = order(&group, Rank(1), &command(Action::Unload(used)));
    assert_eq!(needed.reply, Reply::Refused);
    let lone = hold(&group, Rank(2));
    let old = ranks::spread(3, SHAPE);
    use_map(&group, Rank(2), named(3, &old, lone), &old);
    assert!(group.wait_for(lone, LONG));
    assert_eq!(group.mixed().first(), Some(&lone));
}

#[test]
fn a_killed_rank_stops_the_group_until_its_replacement_is_told_all() {
    let group = Group::start(&options()).unwrap();
    assert!(group.wait_for(Step(2), LONG));
    group.kill(Rank(2));
    let url = format!("http://{}/state", group.addresses()[2]);
    assert!(ureq::get(&url).call().is_err());
    group.replace(Rank(2), None).unwrap();
    let next = group.step();
    let empty: Answer<State> = ureq::get(&url)
        .call()
        .unwrap()
        .body_mut()
        .read_json()
        .unwrap();
    let state = empty.state;
    assert!(state.is_awaiting_start() && state.plan.is_empty() && state.experts.is_empty());
    assert_eq!((state.life, state.next), (2, next));
    let map = ranks::spread(3, SHAPE);
    let switch = named(1, &map, Step(0));
    order(&group, Rank(2), &command(Action::Release(next)));
    assert_eq!(use_map(&group, Rank(2), switch, &map).reply, Reply::Taken);
    assert_eq!(group.state(Rank(2)).next, next, "the weights are missing");
    load(&group, Rank(2), &map);
    assert!(group.wait_for(next, LONG));
    let entry = group
        .log(Rank(2))
        .into_iter()
        .find(|entry| entry.life.0 == 2)
        .unwrap();
    assert_eq!((entry.step, entry.map), (next, switch.map));
    assert_eq!(group.mixed(), []);
}

#[test]
fn fencing_is_checked_or_ignored() {
    for (fencing, reply) in [
        (Fencing::Checked, Reply::Fenced),
        (Fencing::Ignored, Reply::Taken),
    ] {
        let group = Group::start(&Options {
            fencing,
            initial: None,
            ..options()
        })
        .unwrap();
        let newer = Command {
            fence: Fence(9),
            ..command(Action::Hold(Step(4)))
        };
        order(&group, Rank(0), &newer);
        let answer = order(&group, Rank(0), &command(Action::Release(Step(0))));
        assert_eq!(answer.reply, reply);
        let held = answer.state.holds.contains(&Step(0));
        assert_eq!(held, reply == Reply::Fenced);
    }
}

#[test]
fn counts_come_with_gaps_and_a_hot_expert_skews_the_steps() {
    let mut options = options();
    options.reporting.span = 1;
    options.reporting.lag = Duration::ZERO;
    options.reporting.loss = 0.3;
    options.per_token = Duration::from_micros(2);
    let group = Group::start(&options).unwrap();
    assert!(group.wait_for(Step(30), LONG));
    let url = format!("http://{}/popularity?after=2", group.addresses()[0]);
    let reports: Vec<Report> = ureq::get(&url)
        .call()
        .unwrap()
        .body_mut()
        .read_json()
        .unwrap();
    assert!(
        reports
            .iter()
            .all(|report| report.sequence > Sequence(2) && report.steps == 1)
    );
    let last = reports.last().unwrap();
    assert!(
        (reports.len() as u64) < last.sequence.0 - 2,
        "some are lost"
    );
    assert_eq!(last.counts.len(), 4);
    assert_eq!(last.first.0 + 1, last.sequence.0);
    group.heat(Cell::default(), 1000.0);
    let hot = group.step().next();
    assert!(group.wait_for(hot, LONG));
    let taken = group.taken();
    let skew = |taken: &ranks::Taken| taken.max().as_secs_f64() / taken.mean().as_secs_f64();
    assert!(skew(&taken[usize::try_from(hot.0).unwrap()]) > skew(&taken[1]));
    group.slow(Rank(1), 10.0);
    let slow = group.step().next();
    assert!(group.wait_for(slow, LONG));
    let taken = &group.taken()[usize::try_from(slow.0).unwrap()];
    assert!(taken.busy[1] == taken.max() && taken.wall >= taken.max());
}

#[test]
fn the_weight_store_shares_one_rate() {
    let options = weights::Options {
        size: 1000,
        rate: 100_000,
        ..weights::Options::default()
    };
    let store = Weights::start(&options).unwrap();
    let begun = clock::now();
    let calls = (0..8).map(|expert| {
        let url = format!("http://{}/weights/1/{expert}", store.address());
        thread::spawn(move || {
            ureq::get(url)
                .call()
                .unwrap()
                .body_mut()
                .read_to_vec()
                .unwrap()
        })
    });
    let calls: Vec<_> = calls.collect();
    for (expert, call) in (0..).zip(calls) {
        let cell = Cell { layer: 1, expert };
        assert_eq!(call.join().unwrap(), weights::content(cell, 1000));
    }
    assert!(begun.elapsed() >= Duration::from_millis(80));
    assert_eq!((store.counts().served, store.counts().bytes), (8, 8000));
}

#[test]
fn the_weight_store_refuses_calls_beyond_its_queue() {
    let options = weights::Options {
        rate: 1,
        queue: 1,
        ..weights::Options::default()
    };
    let store = Weights::start(&options).unwrap();
    let mut slow = TcpStream::connect(store.address()).unwrap();
    write!(slow, "GET /weights/0/0 HTTP/1.1\r\nhost: w\r\n\r\n").unwrap();
    until(|| store.waiting() > 0);
    let refused = ureq::get(format!("http://{}/weights/0/1", store.address()))
        .config()
        .timeout_global(Some(LONG))
        .build()
        .call();
    assert!(matches!(refused, Err(ureq::Error::StatusCode(429))));
    drop(slow);
    until(|| store.waiting() == 0);
    assert_eq!((store.counts().served, store.counts().refused), (0, 1));
}
