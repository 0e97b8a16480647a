//! The table of a load in which an endpoint and an entry die.

use std::time::Duration;

use cactusnotch_lab::Failure;
use cactusnotch_lab::load::{Options, Report};
use cactusnotch_standins::engine::Engine;

use crate::bench::{self, Bench, Way};
use crate::rounds::millis;

/// The times that a caller sends a request at most.
const TRIES: usize = 4;

/// How long the load goes on, in seconds.
const SECONDS: u64 = 7;

/// The second at whose begin an endpoint dies, and an entry if there is one.
const KILL: usize = 3;

/// Prints goodput while an endpoint and an entry die.
pub(crate) async fn kills(bench: &mut Bench) -> Result<(), Failure> {
    println!("\n## One endpoint and one entry killed after {KILL} s, at half the capacity\n");
    println!(
        "| way | good % before | in the second after | later | good % in all | first token ms p95 | again | resumed | not-run | unknown | other refusals | expired | broken or silent | wrong |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    let options = Options {
        tries: TRIES,
        keyed: 0.5,
        once: 0.5,
        ..bench.options(0.5, SECONDS, 1)
    };
    for way in Way::ALL {
        let report = match way {
            Way::Entries => through(&options).await?,
            Way::Direct(_) => direct(way, &options).await?,
        };
        bench.wrong += report.wrong;
        print(way, &report);
    }
    Ok(())
}

async fn kill_time() {
    tokio::time::sleep(Duration::from_secs(KILL as u64)).await;
}

/// Loads engines without a system, one of which dies.
async fn direct(way: Way, options: &Options) -> Result<Report, Failure> {
    let mut engines = Vec::new();
    for _ in 0..bench::ENGINES {
        let engine = Engine::start(&bench::engine_options());
        engines.push(engine.map_err(Failure::at("start of an engine"))?);
    }
    let addresses = engines.iter().map(Engine::address).collect();
    let kill = async {
        kill_time().await;
        drop(engines.remove(0));
    };
    let (report, ()) = tokio::join!(bench::run(way, addresses, options), kill);
    report
}

/// Loads a system in which an entry, an engine and its agent die.
async fn through(options: &Options) -> Result<Report, Failure> {
    let mut site = bench::site()?;
    let addresses = site.callers();
    let kill = async {
        kill_time().await;
        drop(site.engines.remove(0));
        site.agents[0].kill();
        site.entries[0].kill();
    };
    let (report, ()) = tokio::join!(bench::run(Way::Entries, addresses, options), kill);
    report
}

fn print(way: Way, report: &Report) {
    print!("| {} |", way.name());
    let seconds = report.seconds.len();
    for range in [0..KILL, KILL..KILL + 1, KILL + 1..seconds, 0..seconds] {
        print!(" {:.1} |", report.good_within(range) * 100.0);
    }
    print!(" {:.0} |", millis(report.figures.first_token(0.95)));
    print!(" {} | {} |", report.again, report.resumed);
    print!(" {} | {} |", report.not_run, report.unknown);
    print!(" {} | {} |", report.other, report.expired);
    println!(" {} | {} |", report.broken + report.silent, report.wrong);
}
