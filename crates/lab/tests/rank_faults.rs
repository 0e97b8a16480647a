//! A group of ranks whose agents, as processes behind proxies, meet faults
//! while the group goes over from map to map.
//!
//! The agents' binary must have been built, as `cargo test --workspace` does.

use std::thread::sleep;
use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_base::number::{Epoch, Fence, Step};
use cactusnotch_lab::operator::set;
use cactusnotch_lab::{Operator, Process, Ranks};
use cactusnotch_placement::Rank;
use cactusnotch_popularity::{Cell, Shape};
use cactusnotch_settings::{Id, Key, Value};
use cactusnotch_standins::objects::Outage;
use cactusnotch_standins::proxy::{Direction, Line, Proxy};
use cactusnotch_standins::ranks::{Entry, Options};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

const SEED: u64 = 6;
const RANKS: u16 = 4;
/// The ranks whose agents may coordinate.
const CANDIDATES: u16 = 2;
const SHAPE: Shape = Shape {
    layers: 2,
    experts: 8,
};
/// The experts that the agents' planner takes a rank to have memory for: of
/// each layer its even share and two more, and two that replace others.
const CAPACITY: usize = (SHAPE.experts / RANKS + 2) as usize * SHAPE.layers as usize + 2;
const GROUP: &str = "drafts";
/// Bounds what the test waits for; the time itself is not judged.
const PATIENCE: Duration = Duration::from_mins(1);
const HEAT: f64 = 20.0;
/// How long a fault lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 200..900;
const STEPS_AFTER: u64 = 500;
const STEPS_MIN: usize = 2_000;
const SWITCHES_MIN: usize = 3;

#[derive(Debug, Clone, Copy)]
enum Fault {
    LinksSlow,
    LinksCut,
    LinksFrozen,
    LinksHalfOpen,
    EngineFrozen,
    EngineCut,
    AgentKilled,
    RankKilled,
}

const FAULTS: [Fault; 8] = [
    Fault::LinksSlow,
    Fault::LinksCut,
    Fault::LinksFrozen,
    Fault::LinksHalfOpen,
    Fault::EngineFrozen,
    Fault::EngineCut,
    Fault::AgentKilled,
    Fault::RankKilled,
];

struct Trial {
    ranks: Ranks,
    random: StdRng,
    hot: Option<Cell>,
}

impl Trial {
    fn start() -> Self {
        let options = Options {
            step: Duration::from_millis(1),
            capacity: CAPACITY,
            seed: SEED,
            ..Options::new(RANKS, SHAPE)
        };
        let arguments = ["--plan-interval=500ms", "--expert-bytes=1000000"];
        let ranks = Ranks::start(&options, &arguments, SEED).unwrap();
        let mut operator = Operator::new(&ranks.operator_options());
        operator
            .declare_ranks(GROUP, RANKS, SHAPE, (1_000_000, 1_000))
            .unwrap();
        // Otherwise each new agent leaves its rank alone for a lease time.
        let group = Id::new(format!("group-{GROUP}"));
        let checked = Value::Text("checked".to_owned());
        let fencing = set(&group, Key::EndpointFencing, checked);
        operator
            .edit("ranks refuse old orders", vec![fencing])
            .unwrap();
        Self {
            ranks,
            random: StdRng::seed_from_u64(SEED),
            hot: None,
        }
    }

    /// Makes another expert hot, which calls for another map.
    fn heat(&mut self) {
        if let Some(cooled) = self.hot.take() {
            self.ranks.group.heat(cooled, 1.0 / HEAT);
        }
        let cell = Cell {
            layer: self.random.random_range(0..SHAPE.layers),
            expert: self.random.random_range(0..SHAPE.experts),
        };
        self.ranks.group.heat(cell, HEAT);
        self.hot = Some(cell);
    }

    /// Lets one fault last for a while at one of the ranks `among`.
    fn round(&mut self, fault: Fault, among: std::ops::Range<u16>) {
        let rank = Rank(self.random.random_range(among));
        let lasts = Duration::from_millis(self.random.random_range(LASTS_MS));
        self.heat();
        self.begin(fault, rank);
        sleep(lasts);
        self.end(fault, rank);
    }

    fn begin(&mut self, fault: Fault, rank: Rank) {
        let links = &self.ranks.agents[rank.index()].peers;
        let engine = &self.ranks.engines[rank.index()];
        match fault {
            Fault::LinksSlow => set_lines(links, slow()),
            Fault::LinksCut => links.cut(),
            Fault::LinksFrozen => links.freeze(),
            Fault::LinksHalfOpen => set_lines(links, half_open()),
            Fault::EngineFrozen => engine.freeze(),
            Fault::EngineCut => engine.cut(),
            Fault::AgentKilled => self.ranks.agents[rank.index()].kill(),
            Fault::RankKilled => self.ranks.group.kill(rank),
        }
    }

    fn end(&mut self, fault: Fault, rank: Rank) {
        let links = &self.ranks.agents[rank.index()].peers;
        match fault {
            Fault::LinksSlow => set_lines(links, Line::default()),
            Fault::LinksFrozen => links.thaw(),
            Fault::LinksHalfOpen => {
                set_lines(links, Line::default());
                links.cut();
            }
            Fault::EngineFrozen => self.ranks.engines[rank.index()].thaw(),
            Fault::LinksCut | Fault::EngineCut => {}
            Fault::AgentKilled => self.ranks.agents[rank.index()].replace().unwrap(),
            Fault::RankKilled => {
                self.ranks.group.replace(rank, None).unwrap();
            }
        }
    }

    /// Injects each fault once, in an order by chance.
    fn each_fault(&mut self) {
        let mut faults = FAULTS;
        faults.shuffle(&mut self.random);
        for fault in faults {
            self.round(fault, 0..RANKS);
        }
    }

    /// Pauses the coordinator until another has its lease, with faults at the
    /// ranks that cannot coordinate.
    fn pause_coordinator(&mut self) {
        let (fence, rank) = self.coordinator();
        self.signal(rank, Process::pause);
        let until = clock::now() + PATIENCE;
        while self.coordinator().0 == fence {
            assert!(clock::now() < until, "no other coordinator");
            let fault = if self.random.random() {
                Fault::LinksCut
            } else {
                Fault::LinksSlow
            };
            self.round(fault, CANDIDATES..RANKS);
        }
        self.signal(rank, Process::resume);
    }

    fn kill_coordinator(&mut self) {
        let (_, rank) = self.coordinator();
        self.begin(Fault::AgentKilled, rank);
        self.round(Fault::LinksSlow, CANDIDATES..RANKS);
        self.end(Fault::AgentKilled, rank);
    }

    fn platform_outage(&mut self, outage: Outage) {
        self.ranks.platform.set_outage(outage);
        self.round(Fault::LinksFrozen, 0..RANKS);
        self.round(Fault::AgentKilled, CANDIDATES..RANKS);
        self.ranks.platform.set_outage(Outage::None);
    }

    fn coordinator(&self) -> (Fence, Rank) {
        let found = self.ranks.coordinator(GROUP).unwrap();
        found.expect("a map was switched, so there is a coordinator")
    }

    fn signal(&self, rank: Rank, signal: impl Fn(&Process)) {
        let process = self.ranks.agents[rank.index()].process.as_ref();
        signal(process.expect("the agent runs"));
    }

    fn epoch(&self) -> Epoch {
        let taken = self.ranks.group.taken();
        taken.last().map_or(Epoch(1), |step| step.map.epoch)
    }

    /// Makes other experts hot until the group uses another map.
    fn switch(&mut self) {
        let before = self.epoch();
        let until = clock::now() + PATIENCE;
        while self.epoch() == before {
            assert!(clock::now() < until, "no switch after {before}");
            self.heat();
            let glances = clock::now() + PATIENCE / 12;
            while self.epoch() == before && clock::now() < glances {
                let next = self.ranks.group.step().next();
                // The group may stand still, which the outer bound catches.
                let _ = self.ranks.group.wait_for(next, PATIENCE / 60);
            }
        }
    }

    fn steps_on(&self) {
        let wanted = Step(self.ranks.group.step().0 + STEPS_AFTER);
        let states: Vec<_> = (0..RANKS)
            .map(|rank| self.ranks.group.state(Rank(rank)))
            .collect();
        assert!(
            self.ranks.group.wait_for(wanted, PATIENCE),
            "the group stands still: {states:#?}"
        );
    }
}

#[test]
fn no_fault_makes_two_ranks_use_different_maps_in_a_step() {
    let mut trial = Trial::start();
    trial.switch();
    trial.each_fault();
    trial.pause_coordinator();
    trial.platform_outage(Outage::Unavailable);
    trial.kill_coordinator();
    trial.platform_outage(Outage::Hang);
    trial.each_fault();
    trial.steps_on();
    trial.switch();
    trial.steps_on();

    let group = &trial.ranks.group;
    assert_eq!(group.mixed(), Vec::new());
    let logs: Vec<_> = (0..RANKS).map(|rank| group.log(Rank(rank))).collect();
    let used = agreed(&logs);
    let switches = used.windows(2).filter(|pair| pair[0].1 != pair[1].1);
    let switches = switches.count();
    println!("{} steps, {switches} switches", used.len());
    assert!(used.len() >= STEPS_MIN, "{} steps", used.len());
    assert!(switches >= SWITCHES_MIN, "{switches} switches");
}

/// Returns the epoch of each step that all ranks started, and fails unless
/// they agree on it, and each rank's steps follow one another.
fn agreed(logs: &[Vec<Entry>]) -> Vec<(Step, Epoch)> {
    let shortest = logs
        .iter()
        .filter_map(|log| log.last())
        .map(|last| last.step);
    let last = shortest.min().unwrap();
    let mut used: Vec<_> = logs
        .iter()
        .flat_map(|log| log.iter().filter(|entry| entry.step <= last))
        .map(|entry| (entry.step, entry.map))
        .collect();
    used.sort_unstable();
    used.dedup();
    for pair in used.windows(2) {
        assert_eq!(pair[0].0.next(), pair[1].0, "two maps in a step: {pair:?}");
        assert!(pair[0].1.epoch <= pair[1].1.epoch, "maps go back: {pair:?}");
    }
    for log in logs {
        let mut steps: Vec<_> = log.iter().map(|entry| entry.step).collect();
        steps.dedup();
        let follow = steps.windows(2).all(|pair| pair[0].next() == pair[1]);
        assert!(follow, "a rank left out a step");
    }
    used.into_iter()
        .map(|(step, map)| (step, map.epoch))
        .collect()
}

fn set_lines(proxy: &Proxy, line: Line) {
    proxy.set_line(Direction::Up, line);
    proxy.set_line(Direction::Down, line);
}

fn slow() -> Line {
    Line {
        delay: Duration::from_millis(50),
        jitter: Duration::from_millis(200),
        ..Line::default()
    }
}

fn half_open() -> Line {
    Line {
        half_open: true,
        ..Line::default()
    }
}
