//! The system that is measured, and its capacity.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_lab::load::{self, Options, Plan, Policy, Report, Targets};
use cactusnotch_lab::operator::{create, set};
use cactusnotch_lab::{Failure, Operator, Site};
use cactusnotch_settings::{Id, Key, Kind, Value};
use cactusnotch_standins::engine::{self, End, Engine};

pub(crate) const ENTRIES: usize = 3;
pub(crate) const ENGINES: usize = 4;
pub(crate) const DEADLINE: Duration = Duration::from_millis(1500);

const ORGANISATIONS: [&str; 4] = ["palmetto", "arrieta", "looms", "desk"];
const MODEL: &str = "letters";
const PATIENCE: Duration = Duration::from_secs(30);
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// The requests a second by which the capacity is measured: more than the
/// engines can answer.
const FLOOD: f64 = 700.0;

/// How long they arrive, in seconds.
const FLOOD_SECONDS: u64 = 4;

/// How long it takes until all slots are full.
const WARM_UP: Duration = Duration::from_secs(1);

/// How long completed requests are counted.
const MEASURED: Duration = Duration::from_millis(2500);

/// The system that is measured, and its capacity.
pub(crate) struct Bench {
    pub(crate) site: Site,
    /// The whole answers a second that the engines give at most.
    pub(crate) capacity: f64,
    /// The wrong answers so far.
    pub(crate) wrong: u64,
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
        };
        bench.capacity = bench.flood().await?;
        println!(
            "{ENTRIES} entries, {ENGINES} engines of {} slots; {:.0} whole answers/s at most, flooded directly",
            engine_options().slots,
            bench.capacity
        );
        Ok(bench)
    }

    /// Floods the engines directly and returns the requests a second that they
    /// complete while they are full.
    async fn flood(&mut self) -> Result<f64, Failure> {
        let way = Way::Direct(Policy::RoundRobin);
        let addresses = self.addresses(way);
        let flood = options(FLOOD, FLOOD_SECONDS);
        let engines = &self.site.engines;
        let measured = async {
            tokio::time::sleep(WARM_UP).await;
            let (start, before) = (clock::now(), completed(engines));
            tokio::time::sleep(MEASURED).await;
            f64::from(completed(engines) - before) / start.elapsed().as_secs_f64()
        };
        let (report, capacity) = tokio::join!(run(way, addresses, &flood), measured);
        self.wrong += report?.wrong;
        Ok(capacity)
    }

    fn addresses(&self, way: Way) -> Vec<SocketAddr> {
        match way {
            Way::Entries => self.site.callers(),
            Way::Direct(_) => self.site.engines.iter().map(Engine::address).collect(),
        }
    }

    /// Returns the options of a load at a fraction of the capacity, whose
    /// arrivals and lengths `seed` fixes.
    pub(crate) fn options(&self, fraction: f64, seconds: u64, seed: u64) -> Options {
        Options {
            seed,
            ..options(self.capacity * fraction, seconds)
        }
    }

    /// Makes a load against the system.
    pub(crate) async fn load(&mut self, way: Way, options: &Options) -> Result<Report, Failure> {
        let report = run(way, self.addresses(way), options).await?;
        self.wrong += report.wrong;
        Ok(report)
    }
}

fn completed(engines: &[Engine]) -> u32 {
    let runs = engines.iter().flat_map(Engine::runs);
    let count = runs.filter(|run| run.end == End::Completed).count();
    u32::try_from(count).unwrap_or(u32::MAX)
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
