//! What an idle system costs: links' bytes and messages, processor time and
//! memory of an entry and an agent, as agents and entries are added, from the
//! counters that the processes log. The slopes go into `docs/CAPACITY.md`.

use std::process::ExitCode;
use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::{self, Instant};
use cactusnotch_lab::site::Place;
use cactusnotch_lab::{Failure, Operator, Site};
use cactusnotch_standins::engine;
use serde_json::Value;

/// Agents before one entry, for the slopes of an entry.
const AGENTS: [usize; 3] = [4, 8, 16];

/// Entries before two agents, for the slopes of an agent.
const ENTRIES: [usize; 3] = [1, 2, 4];

/// How long a system is watched once it has settled.
const WINDOW: Duration = Duration::from_secs(15);

/// How long a system may take to settle.
const PATIENCE: Duration = Duration::from_secs(30);

/// What is read of each process, with its unit and what it is divided by.
const FIGURES: [(&str, &[&str], f64, bool); 4] = [
    ("link B/s", &["cactusnotch_link_bytes_total"], 1.0, true),
    (
        "messages/s",
        &["cactusnotch_link_messages_total"],
        1.0,
        true,
    ),
    ("cpu us/s", &["process_cpu_microseconds_total"], 1.0, true),
    (
        "memory kB",
        &["process_resident_memory_bytes"],
        1_024.0,
        false,
    ),
];

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Failure> {
    let mut rows = Vec::new();
    for agents in AGENTS {
        rows.push((agents, watch(1, agents, |site| &site.entries[0])?));
    }
    print("an entry, by agents that it knows", &rows);
    let mut rows = Vec::new();
    for entries in ENTRIES {
        rows.push((entries, watch(entries, 2, |site| &site.agents[0])?));
    }
    print("an agent, by entries that know it", &rows);
    Ok(())
}

/// Starts a system and returns the figures of one of its processes.
fn watch(
    entries: usize,
    agents: usize,
    place: impl Fn(&Site) -> &Place,
) -> Result<Vec<f64>, Failure> {
    let site = Site::start_plain(entries, agents, &engine::Options::default())?;
    let mut operator = Operator::new(&site.operator_options());
    operator.declare("capacity", "model", agents)?;
    for address in site.operators()? {
        operator.wait(address, PATIENCE, |status| status.serving() == agents)?;
    }
    let process = place(&site).process.as_ref();
    let log = &process
        .ok_or_else(|| Failure::new("watch", "no process"))?
        .log;
    let mut series: Table<String, f64> = Table::new();
    let mut first: Option<(Instant, Vec<f64>)> = None;
    loop {
        let line = log
            .recv_timeout(PATIENCE)
            .map_err(Failure::at("counters in the log"))?;
        if !take(&line, &mut series) {
            continue;
        }
        let now = clock::now();
        let values: Vec<f64> = FIGURES.iter().map(|f| sum(&series, f.1)).collect();
        match &first {
            None => first = Some((now, values)),
            Some((since, before)) if now - *since >= WINDOW => {
                let seconds = (now - *since).as_secs_f64();
                return Ok(figures(&values, before, seconds));
            }
            Some(_) => {}
        }
    }
}

fn figures(values: &[f64], before: &[f64], seconds: f64) -> Vec<f64> {
    FIGURES
        .iter()
        .zip(values.iter().zip(before))
        .map(|((_, _, unit, is_rate), (value, before))| {
            if *is_rate {
                (value - before) / seconds / unit
            } else {
                value / unit
            }
        })
        .collect()
}

/// Takes in a line of counters; returns whether it was one.
fn take(line: &str, series: &mut Table<String, f64>) -> bool {
    let value: Value = serde_json::from_str(line).unwrap_or(Value::Null);
    let Some(counters) = value["counters"].as_str() else {
        return false;
    };
    for pair in counters.split(' ') {
        if let Some((name, value)) = pair.rsplit_once('=')
            && let Ok(value) = value.parse()
        {
            series.insert(name.to_owned(), value);
        }
    }
    true
}

fn sum(series: &Table<String, f64>, names: &[&str]) -> f64 {
    let wanted = |name: &str| names.iter().any(|wanted| name.starts_with(wanted));
    let rows = series.iter().filter(|(name, _)| wanted(name));
    rows.map(|(_, value)| value).sum()
}

fn print(title: &str, rows: &[(usize, Vec<f64>)]) {
    println!("\n{title}\n");
    let names: Vec<&str> = FIGURES.iter().map(|figure| figure.0).collect();
    println!("| count | {} |", names.join(" | "));
    println!("|---|{}", "---|".repeat(names.len()));
    for (count, values) in rows {
        let cells: Vec<String> = values.iter().map(|value| format!("{value:.1}")).collect();
        println!("| {count} | {} |", cells.join(" | "));
    }
    let slopes: Vec<String> = (0..names.len())
        .map(|at| format!("{:.1}", slope(rows, at)))
        .collect();
    println!("| slope for one more | {} |", slopes.join(" | "));
}

/// Returns the slope of a least-squares fit.
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn slope(rows: &[(usize, Vec<f64>)], at: usize) -> f64 {
    let count = rows.len() as f64;
    let mean_x = rows.iter().map(|(x, _)| *x as f64).sum::<f64>() / count;
    let mean_y = rows.iter().map(|(_, y)| y[at]).sum::<f64>() / count;
    let both = rows
        .iter()
        .map(|(x, y)| (*x as f64 - mean_x) * (y[at] - mean_y));
    let square = rows.iter().map(|(x, _)| (*x as f64 - mean_x).powi(2));
    both.sum::<f64>() / square.sum::<f64>()
}
