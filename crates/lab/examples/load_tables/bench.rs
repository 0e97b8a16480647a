//! The system that is measured, and its capacity.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactusnotch_lab::load::{self, Options, Plan, Policy, Report, Targets};
use cactusnotch_lab::operator::{create, set};
use cactusnotch_lab::{Failure, Operator, Site};
use cactusnotch_settings::{Id, Key, Kind, Value};
use cactusnotch_standins::engine::{self, Engine};

pub(crate) const ENTRIES: usize = 3;
pub(crate) const ENGINES: usize = 4;
pub(crate) const DEADLINE: Duration = Duration::from_millis(1500);

const ORGANISATIONS: [&str; 4] = ["palmetto", "arrieta", "looms", "desk"];
const MODEL: &str = "letters";
const PATIENCE: Duration = Duration::from_secs(30);
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const SEED: u64 = 7;

/// How many times the capacity that is guessed is offered to measure it.
const FLOOD: f64 = 2.0;

/// A guess at what the engines answer a second.
const GUESS: f64 = 250.0;

/// The system that is measured, and its capacity.
pub(crate) struct Bench {
    pub(crate) site: Site,
    /// The whole answers a second that the engines give at most.
    pub(crate) capacity: f64,
    /// The wrong answers so far.
    pub(crate) wrong: u64,
    runs: u64,
}

/// Where a load goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Way {
    /// To the entries.
    Entries,
    /// To the engines, which the callers choose by a policy.
    Direct(Policy),
}

impl Way {
    /// All ways, ours last.
    pub(crate) const ALL: [Self; 4] = [
        Self::Direct(Policy::Random),
        Self::Direct(Policy::RoundRobin),
        Self::Direct(Policy::LeastReported),
        Self::Entries,
    ];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Entries => "through entries",
            Self::Direct(Policy::Random) => "direct, random",
            Self::Direct(Policy::RoundRobin) => "direct, round robin",
            Self::Direct(Policy::LeastReported) => "direct, least reported",
        }
    }
}

impl Bench {
    /// Starts the system and measures the engines' capacity.
    pub(crate) async fn start() -> Result<Self, Failure> {
        let mut bench = Self {
            site: site()?,
            capacity: 0.0,
            wrong: 0,
            runs: 0,
        };
        let flood = Options {
            deadline: PATIENCE,
            ..options(FLOOD * GUESS, 3)
        };
        let way = Way::Direct(Policy::RoundRobin);
        let report = bench.load(way, &flood).await?;
        bench.capacity =
            report.goodput() * report.arriving.as_secs_f64() / report.time.as_secs_f64();
        println!(
            "{ENTRIES} entries, {ENGINES} engines of {} slots; {:.0} whole answers/s at most, flooded directly",
            engine_options().slots,
            bench.capacity
        );
        Ok(bench)
    }

    /// Returns the options of a load at a fraction of the capacity.
    pub(crate) fn options(&self, fraction: f64, seconds: u64) -> Options {
        options(self.capacity * fraction, seconds)
    }

    /// Makes a load against the system.
    pub(crate) async fn load(&mut self, way: Way, options: &Options) -> Result<Report, Failure> {
        let addresses = match way {
            Way::Entries => self.site.callers(),
            Way::Direct(_) => self.site.engines.iter().map(Engine::address).collect(),
        };
        self.runs += 1;
        let options = Options {
            seed: SEED + self.runs,
            ..options.clone()
        };
        let report = run(way, addresses, &options).await?;
        self.wrong += report.wrong;
        Ok(report)
    }
}

/// Makes a load against `addresses`.
pub(crate) async fn run(
    way: Way,
    addresses: Vec<SocketAddr>,
    options: &Options,
) -> Result<Report, Failure> {
    let policy = match way {
        Way::Entries => Policy::Random,
        Way::Direct(policy) => policy,
    };
    let targets = Arc::new(Targets::new(policy, addresses));
    let watch = (policy == Policy::LeastReported)
        .then(|| tokio::spawn(Arc::clone(&targets).watch(REPORT_INTERVAL)));
    let report = load::run(options, Plan::new(options)?, targets).await;
    if let Some(watch) = watch {
        watch.abort();
    }
    Ok(report)
}

/// Starts a system whose processes reach each other directly.
pub(crate) fn site() -> Result<Site, Failure> {
    let site = Site::start_plain(ENTRIES, ENGINES, &engine_options())?;
    let mut operator = Operator::new(&site.operator_options());
    operator.declare(ORGANISATIONS[0], MODEL, ENGINES)?;
    let others = ORGANISATIONS[1..].iter();
    let mut operations: Vec<_> = others
        .map(|name| create(Id::new(*name), Kind::Organisation, name))
        .collect();
    let deadline = Value::Duration(u64::try_from(DEADLINE.as_millis()).unwrap_or(u64::MAX));
    operations.push(set(&Id::root(), Key::Deadline, deadline));
    let revision = operator.edit("declare the callers", operations)?;
    for address in site.operators()? {
        operator.wait(address, PATIENCE, |status| {
            status.standing == "serving"
                && status.serving() == ENGINES
                && status.in_force >= revision
        })?;
    }
    Ok(site)
}

pub(crate) fn engine_options() -> engine::Options {
    engine::Options {
        load_lag: Duration::from_millis(500),
        ..engine::Options::default()
    }
}

fn options(rate: f64, seconds: u64) -> Options {
    Options {
        model: MODEL.to_owned(),
        organisations: ORGANISATIONS.map(str::to_owned).to_vec(),
        rate,
        duration: Duration::from_secs(seconds),
        deadline: DEADLINE,
        ..Options::default()
    }
}
