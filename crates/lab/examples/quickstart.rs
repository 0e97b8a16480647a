//! The main job on embedded stand-ins: requests served, settings changed and
//! an expert map switched, with what was measured. Exits with an error if a
//! promise was broken.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use cactusnotch_agent::Profile;
use cactusnotch_base::clock;
use cactusnotch_entry::Server;
use cactusnotch_lab::caller::{Ask, Outcome, key};
use cactusnotch_lab::cluster::{Cluster, Options};
use cactusnotch_lab::{Caller, Failure, Figures, Operator, check};
use cactusnotch_popularity::{Cell, Shape};
use cactusnotch_settings::{Id, Key, Value};
use cactusnotch_standins::ranks;

const ORGANISATION: &str = "arrieta";
const MODEL: &str = "patterns";
const ENTRIES: usize = 3;
const ENGINES: usize = 6;
const DATA_CENTRES: usize = 3;
const RANKS: u16 = 4;
const SHAPE: Shape = Shape {
    layers: 4,
    experts: 16,
};
const CALLERS: usize = 24;
const REQUESTS_EACH: usize = 10;
const TOKENS: usize = 32;
const PATIENCE: Duration = Duration::from_secs(20);
const RUN_LIMIT: Duration = Duration::from_secs(45);
const MILLION: u32 = 1_000_000;

fn main() -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("start of the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(async { tokio::time::timeout(RUN_LIMIT, run()).await });
    // Watches at the platform are not waited for.
    runtime.shutdown_background();
    match result {
        Ok(Ok(())) => {
            println!("all promises held");
            ExitCode::SUCCESS
        }
        Ok(Err(failure)) => {
            eprintln!("{failure}");
            ExitCode::FAILURE
        }
        Err(_) => {
            eprintln!("the run took longer than {} s", RUN_LIMIT.as_secs());
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), Failure> {
    println!(
        "{ENTRIES} entries, {ENGINES} engines and {RANKS} ranks in {DATA_CENTRES} data centres"
    );
    let options = Options {
        entries: ENTRIES,
        engines: ENGINES,
        data_centres: DATA_CENTRES,
        ..Options::default()
    };
    let mut cluster = Cluster::start(&options).await?;
    let profile = Profile {
        engine: String::new(),
        store_rate: 1_000_000_000,
        expert_bytes: 10_000_000,
        plan_interval: Duration::from_secs(1),
        report_interval: Duration::from_millis(500),
    };
    cluster
        .add_group(&ranks::Options::new(RANKS, SHAPE), &profile)
        .await?;
    if let Some(group) = &cluster.group {
        let cell = Cell {
            layer: 1,
            expert: 5,
        };
        group.heat(cell, 12.0);
    }
    let site = Site::new(&cluster);
    let engine = cluster.engines[0].address();
    tokio::task::spawn_blocking(move || site.work(engine))
        .await
        .map_err(|error| Failure::new("work", error))??;
    check::runs(&cluster.engines)?;
    ranks_agree(&cluster).await
}

/// Where the processes are reached.
struct Site {
    platform: cactusnotch_objects::http::Options,
    operators: Vec<SocketAddr>,
    callers: Vec<SocketAddr>,
}

impl Site {
    fn new(cluster: &Cluster) -> Self {
        Self {
            platform: cluster.platform_options(),
            operators: cluster.entries.iter().map(Server::operators).collect(),
            callers: cluster.entries.iter().map(Server::callers).collect(),
        }
    }

    fn work(&self, engine: SocketAddr) -> Result<(), Failure> {
        let mut operator = Operator::new(&self.platform);
        operator.declare(ORGANISATION, MODEL, ENGINES)?;
        operator.declare_ranks("weights", RANKS, SHAPE, (MILLION, MILLION / 1_000))?;
        self.settle(&mut operator)?;
        self.serve(engine)?;
        self.change(&mut operator)
    }

    /// Waits until every entry serves with all engines.
    fn settle(&self, operator: &mut Operator) -> Result<(), Failure> {
        let start = clock::now();
        for address in &self.operators {
            operator.wait(*address, PATIENCE, |status| {
                status.revision.0 == 2
                    && status.standing == "serving"
                    && status.serving() == ENGINES
            })?;
        }
        println!("serving after {} ms", start.elapsed().as_millis());
        Ok(())
    }

    /// Lets callers ask for completions and checks every answer.
    fn serve(&self, engine: SocketAddr) -> Result<(), Failure> {
        let caller = Caller::default();
        let addresses = caller.addresses(self.callers[0])?;
        let mut direct = Figures::default();
        for number in 0..REQUESTS_EACH {
            direct.add(&whole(&caller, engine, &ask(CALLERS, number))?);
        }
        let mut alone = Figures::default();
        for number in 0..REQUESTS_EACH {
            alone.add(&whole(&caller, addresses[0], &ask(CALLERS + 1, number))?);
        }
        let start = clock::now();
        let threads: Vec<_> = (0..CALLERS)
            .map(|number| {
                let address = addresses[number % addresses.len()];
                std::thread::spawn(move || one_caller(number, address))
            })
            .collect();
        let mut figures = Figures::default();
        for thread in threads {
            let got = thread
                .join()
                .map_err(|_| Failure::new("a caller", "it panicked"))??;
            figures.merge(&got);
        }
        let seconds = start.elapsed().as_secs_f64();
        println!(
            "{} whole answers of {TOKENS} tokens in {seconds:.1} s, each its caller's own",
            figures.answers()
        );
        println!("one caller at an engine: {direct}");
        println!("one caller through an entry: {alone}");
        println!("{CALLERS} callers through entries: {figures}");
        Ok(())
    }

    /// Changes a setting and waits until it is in force everywhere.
    fn change(&self, operator: &mut Operator) -> Result<(), Failure> {
        let root = Id::root();
        let value = Value::Duration(15_000);
        let set = cactusnotch_lab::operator::set(&root, Key::AddressLifetime, value);
        let start = clock::now();
        let revision = operator.edit("shorter address lifetime", vec![set])?;
        let status = operator.wait(self.operators[0], PATIENCE, |status| {
            status.in_force >= revision
        })?;
        println!(
            "revision {revision} in force everywhere {} ms after the edit began; status:",
            start.elapsed().as_millis()
        );
        print!("{status}");
        Ok(())
    }
}

fn one_caller(number: usize, address: SocketAddr) -> Result<Figures, Failure> {
    let caller = Caller::default();
    let mut figures = Figures::default();
    for request in 0..REQUESTS_EACH {
        figures.add(&whole(&caller, address, &ask(number, request))?);
    }
    Ok(figures)
}

fn ask(caller: usize, request: usize) -> Ask {
    Ask {
        organisation: ORGANISATION.to_owned(),
        model: MODEL.to_owned(),
        prompt: format!("pattern note {request} for weaver {caller}"),
        max_tokens: TOKENS,
        key: Some(key()),
        idempotent: Some(request.is_multiple_of(2)),
        after: None,
    }
}

/// Asks and checks that the answer is whole and the caller's own.
fn whole(
    caller: &Caller,
    address: SocketAddr,
    ask: &Ask,
) -> Result<cactusnotch_lab::caller::Answer, Failure> {
    match caller.ask(address, ask)? {
        Outcome::Whole(answer) if answer.text == ask.expected() => Ok(answer),
        other => Err(Failure::new("a request", format!("{other:?}"))),
    }
}

/// Waits for a switch of the expert map and checks that no step mixed maps.
async fn ranks_agree(cluster: &Cluster) -> Result<(), Failure> {
    let start = clock::now();
    while cluster
        .rank_agents
        .iter()
        .all(|agent| agent.rank().is_none_or(|status| status.applied == 0))
    {
        if start.elapsed() > PATIENCE {
            return Err(Failure::new("switch of the expert map", "it did not come"));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let group = cluster
        .group
        .as_ref()
        .ok_or_else(|| Failure::new("ranks", "there are none"))?;
    let step = group.step();
    if !group.wait_for(step.next(), PATIENCE) {
        return Err(Failure::new("ranks", "they do not step"));
    }
    let mixed = group.mixed();
    if !mixed.is_empty() {
        return Err(Failure::new("ranks", format!("maps mixed in {mixed:?}")));
    }
    println!("ranks switched their expert map; {step} steps, none with mixed maps");
    Ok(())
}
