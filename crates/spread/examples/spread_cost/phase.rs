//! The phases of a run and their costs.

use std::convert::Infallible;
use std::time::Duration;

use cactusnotch_base::number::Sequence;
use cactusnotch_spread::{Node, Options, Standing};
use hdrhistogram::Histogram;
use rand::Rng;

use crate::common::{Cost, Micros, SECOND, Shape, World};

const EDITS: usize = 30;
const EDIT_EVERY: Micros = 3 * SECOND / 2;
/// The payload size of a revision, in bytes.
const PAYLOAD: usize = 400;
/// The number of processes restarted in place during the outage of about a minute;
/// this is the hourly number at 650 restarts a day.
const RESTARTS: usize = 27;

pub fn shape(entries: usize) -> Shape {
    Shape {
        regions: 2,
        data_centres: 8,
        entries,
        agents: (entries * 342 + 50) / 100,
    }
}

pub fn run(world: &mut World, time: Micros) {
    let until = world.now + time;
    let ran = world.run(until, |_| Ok::<(), Infallible>(()));
    ran.expect("nothing is checked");
}

pub fn nodes(world: &World) -> impl Iterator<Item = &Node> {
    world.slots.iter().filter_map(|slot| slot.node.as_ref())
}

/// The cost of one phase, per process and second.
pub struct Rate {
    pub mean: f64,
    pub worst: f64,
    pub messages: f64,
    pub decisions: Duration,
    pub codec: Duration,
    pub calls: f64,
}

pub fn measure(world: &mut World, phase: impl FnOnce(&mut World)) -> Rate {
    for slot in &mut world.slots {
        slot.cost = Cost::default();
    }
    let started = world.now;
    world.measured = true;
    phase(world);
    world.measured = false;
    let seconds = (world.now - started) as f64 / SECOND as f64;
    let count = world.slots.len() as f64;
    let costs = || world.slots.iter().map(|slot| slot.cost);
    let bytes = |cost: Cost| (cost.sent + cost.received) as f64 / seconds;
    let total = |time: fn(Cost) -> Duration| costs().map(time).sum::<Duration>();
    Rate {
        mean: costs().map(bytes).sum::<f64>() / count,
        worst: costs().map(bytes).fold(0.0, f64::max),
        messages: costs().map(|cost| cost.messages as f64).sum::<f64>() / count / seconds,
        decisions: total(|cost| cost.decisions).div_f64(count * seconds),
        codec: total(|cost| cost.codec).div_f64(count * seconds),
        calls: calls(world, started, world.now).0 / seconds,
    }
}

/// Returns the number of calls started between two instants, and the maximum in
/// one second.
pub fn calls(world: &World, from: Micros, to: Micros) -> (f64, u32) {
    let second = |at: Micros| usize::try_from(at / SECOND).unwrap_or(usize::MAX);
    let calls = world.platform.calls.iter();
    let part = calls.skip(second(from)).take(second(to) - second(from));
    let part: Vec<u32> = part.copied().collect();
    let sum: u32 = part.iter().sum();
    (f64::from(sum), part.into_iter().max().unwrap_or_default())
}

/// Propagation times of revisions, in milliseconds.
pub struct Times {
    pub held: Histogram<u64>,
    pub known: Histogram<u64>,
}

/// Writes revisions and measures the time until every process holds each, and
/// until every process has confirmed that it is in force everywhere.
pub fn edit(world: &mut World) -> Times {
    let mut written = Vec::new();
    let mut known: Vec<Option<Micros>> = vec![None; EDITS];
    for _ in 0..EDITS {
        let span = world.edit(PAYLOAD, None).expect("the platform is up");
        written.push((span.through, world.now));
        watch(world, EDIT_EVERY, &written, &mut known);
    }
    watch(world, 15 * SECOND, &written, &mut known);
    let mut times = Times {
        held: Histogram::new(3).expect("a histogram"),
        known: Histogram::new(3).expect("a histogram"),
    };
    for (at, (sequence, since)) in written.iter().enumerate() {
        let applied = world.slots.iter().filter_map(|slot| {
            let applied = slot
                .applied_at
                .iter()
                .find(|(through, _)| through >= sequence);
            applied.map(|(_, at)| *at)
        });
        let applied: Vec<Micros> = applied.collect();
        assert_eq!(
            applied.len(),
            world.slots.len(),
            "{sequence} did not arrive"
        );
        let last = applied.into_iter().max().unwrap_or_default();
        let confirmed = known[at].expect("it is known to be in force");
        times.held.record((last - since) / 1000).expect("in range");
        times
            .known
            .record((confirmed - since) / 1000)
            .expect("in range");
    }
    times
}

pub fn watch(
    world: &mut World,
    time: Micros,
    written: &[(Sequence, Micros)],
    known: &mut [Option<Micros>],
) {
    let until = world.now + time;
    let ran = world.run(until, |world| {
        let in_force = nodes(world).map(Node::in_force).min();
        let open = written.iter().zip(known.iter_mut());
        for ((sequence, _), known) in open.filter(|(_, known)| known.is_none()) {
            if in_force >= Some(*sequence) {
                *known = Some(world.now);
            }
        }
        Ok::<(), Infallible>(())
    });
    ran.expect("nothing is checked");
}

/// Calls to the platform around an outage.
pub struct Outage {
    pub during: f64,
    pub after: f64,
    pub worst: u32,
    pub settled: Micros,
}

/// Takes the platform down for about a minute, restarts processes meanwhile, and
/// counts the calls in the minute after.
pub fn outage(world: &mut World) -> Outage {
    world.platform.down = true;
    let began = world.now;
    run(world, 10 * SECOND);
    for _ in 0..RESTARTS {
        let at = world.rng.random_range(0..world.slots.len());
        world.stop(at);
        world.start(at);
        run(world, SECOND);
    }
    run(world, 25 * SECOND);
    let down = (world.now - began) as f64 / SECOND as f64;
    let during = calls(world, began, world.now).0 / down;
    world.platform.down = false;
    let (from, mut settled) = (world.now, None);
    let until = from + 60 * SECOND;
    let ran = world.run(until, |world| {
        let registered = nodes(world).all(Node::is_registered);
        let now = world.instant();
        let serving = nodes(world).all(|node| node.standing(now) == Standing::Serving);
        if settled.is_none() && registered && serving {
            settled = Some(world.now - from);
        }
        Ok::<(), Infallible>(())
    });
    ran.expect("nothing is checked");
    let (sum, worst) = calls(world, from, until);
    Outage {
        during,
        after: sum / 60.0,
        worst,
        settled: settled.expect("all are registered within a minute"),
    }
}

/// A simulation in which all processes have started and serve.
pub struct Started {
    pub world: World,
    pub seconds: u64,
    pub calls: f64,
    pub worst: u32,
}

pub fn start(entries: usize, loss: f64) -> Started {
    let mut world = World::new(&shape(entries), Options::default(), 7);
    world.network.loss = loss;
    for at in 0..world.slots.len() {
        world.start(at);
    }
    let serving = |world: &World| {
        let now = world.instant();
        nodes(world).all(|node| node.standing(now) == Standing::Serving)
    };
    let mut seconds = 0;
    while !serving(&world) {
        run(&mut world, SECOND);
        seconds += 1;
        assert!(seconds < 120, "all serve within two minutes");
    }
    let (calls, worst) = calls(&world, 0, world.now);
    run(&mut world, 20 * SECOND);
    Started {
        world,
        seconds,
        calls,
        worst,
    }
}

/// The measurements at one size.
pub struct Size {
    pub entries: usize,
    pub processes: usize,
    pub steady: Rate,
    pub editing: Rate,
    pub times: Times,
    pub start: (u64, f64, u32),
    pub outage: Outage,
}

pub fn size(entries: usize, loss: f64) -> Size {
    let started = start(entries, loss);
    let mut world = started.world;
    let steady = measure(&mut world, |world| run(world, 30 * SECOND));
    let mut times = None;
    let editing = measure(&mut world, |world| times = Some(edit(world)));
    Size {
        entries,
        processes: world.slots.len(),
        steady,
        editing,
        times: times.expect("the phase ran"),
        start: (started.seconds, started.calls, started.worst),
        outage: outage(&mut world),
    }
}
