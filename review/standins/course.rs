//! The courses of the scripts.

mod map_switch;
mod not_run;
mod slow_reader;
mod stream_cut;

use std::path::Path;

use self::stream_cut::Cut;
use crate::record::Record;

/// Whether the rule was broken, or why the course could not run.
pub type Outcome = Result<bool, String>;

/// Runs a course; returns the exit code of its script.
pub fn run(name: &str, record: &str) -> i32 {
    let record = match Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record}: {error}");
            return 2;
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(&format!(
        "course {name}, {} the disruption",
        if trouble { "with" } else { "without" }
    ));
    let outcome = match name {
        "stream-cut" => stream_cut::run(&record, trouble, Cut::Killed),
        "stream-left" => stream_cut::run(&record, trouble, Cut::Left),
        "map-switch" => map_switch::run(&record, trouble),
        "not-run" => not_run::run(&record, trouble),
        "slow-reader" => slow_reader::run(&record, trouble),
        _ => Err(format!("there is no course {name}")),
    };
    match outcome {
        Ok(true) => {
            record.note("the rule was BROKEN");
            1
        }
        Ok(false) => {
            record.note("the rule held");
            0
        }
        Err(error) => {
            record.note(&format!("the course could not run: {error}"));
            2
        }
    }
}

/// Returns the operators' configuration with these routes and services.
fn configuration(routes: &[String], services: &[String]) -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"tenant-a\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// Returns a service of the configuration.
fn service(name: &str, connections: u32) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"HealthPath\":\"/healthz\",\"MaxConnections\":{connections},\"Protocol\":\"h1\",\"TlsEnabled\":false}}"
    )
}

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const HOST: &str = "ficu95.example";
