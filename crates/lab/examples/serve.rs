//! A system on embedded stand-ins that serves until its standard input ends
//! or a line comes: two entries, two engines with agents, a plain service,
//! and a spare engine for an agent started by hand.

use std::process::ExitCode;
use std::time::Duration;

use cactusnotch_entry::Server;
use cactusnotch_lab::cluster::{self, Cluster, Options};
use cactusnotch_lab::operator::set;
use cactusnotch_lab::{Failure, Operator};
use cactusnotch_settings::{Id, Key, Route, Value};
use cactusnotch_standins::{engine, service};

const ORGANISATION: &str = "arrieta";
const MODEL: &str = "patterns";
const ENGINES: usize = 2;
const PATIENCE: Duration = Duration::from_secs(20);
const ADDRESS_LIFETIME_MS: u64 = 5_000;

fn main() -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("start of the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(run());
    // Watches at the platform are not waited for.
    runtime.shutdown_background();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), Failure> {
    let options = Options {
        engines: ENGINES,
        ..Options::default()
    };
    let mut cluster = Cluster::start(&options).await?;
    cluster.add_service(&service::Options::default()).await?;
    let spare =
        engine::Engine::start(&options.engine).map_err(Failure::at("start of an engine"))?;
    let platform = cluster.platform_options();
    let operators: Vec<_> = cluster.entries.iter().map(Server::operators).collect();
    let settled = tokio::task::spawn_blocking(move || {
        let mut operator = Operator::new(&platform);
        declare(&mut operator)?;
        for address in operators {
            operator.wait(address, PATIENCE, |status| status.serving() > ENGINES)?;
        }
        Ok(())
    });
    settled.await.map_err(Failure::at("settings"))??;
    println!("platform   {}", cluster.platform.base());
    println!("secret     {}", cluster::SECRET);
    for entry in &cluster.entries {
        println!("callers    {}", entry.callers());
        println!("operators  {}", entry.operators());
    }
    let name = cluster::endpoint(ENGINES);
    println!("spare      {name} at http://{}", spare.address());
    println!("serving; a line or the end of the input stops it");
    let wait = tokio::task::spawn_blocking(|| std::io::stdin().read_line(&mut String::new()));
    wait.await
        .map_err(Failure::at("input"))?
        .map_err(Failure::at("input"))?;
    Ok(())
}

/// Declares the organisation with its model and routes, with room for the
/// spare engine.
fn declare(operator: &mut Operator) -> Result<(), Failure> {
    operator.declare(ORGANISATION, MODEL, ENGINES + 1)?;
    let route = |prefix: &str, repeatable| Route {
        prefix: prefix.to_owned(),
        endpoints: vec![cluster::service_endpoint(0).to_string()],
        repeatable,
    };
    let routes = vec![route("/shop", false), route("/copy", true)];
    let own = Id::new(ORGANISATION);
    let lifetime = Value::Duration(ADDRESS_LIFETIME_MS);
    let operations = vec![
        set(&own, Key::Routes, Value::Routes(routes)),
        set(&Id::root(), Key::AddressLifetime, lifetime),
    ];
    operator.edit("declare routes", operations)?;
    Ok(())
}
