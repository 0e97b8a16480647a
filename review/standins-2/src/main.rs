//! Stand-ins and checks of the cases of the review that are scripts.

mod client;
mod http;
mod large;
mod leave;
mod paused;
mod server;
mod site;
mod stop;
mod store;

use std::process::ExitCode;

use site::Record;

fn main() -> ExitCode {
    let words: Vec<_> = std::env::args().skip(1).collect();
    let words: Vec<_> = words.iter().map(String::as_str).collect();
    match words[..] {
        ["server", address, id] => {
            server::run(address, id);
            ExitCode::SUCCESS
        }
        ["case", name, path] => {
            let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
            run(name, path, has_trouble)
        }
        _ => ExitCode::from(2),
    }
}

/// Runs a case; ends with 1 if its rule was broken, 0 if it held, 2 if it couldn't run.
fn run(name: &str, path: &str, has_trouble: bool) -> ExitCode {
    let record = Record::create(path);
    record.note(&format!(
        "case {name}, disruption: {}",
        if has_trouble { "yes" } else { "no" }
    ));
    let case = match name {
        "large" => large::run,
        "paused" => paused::run,
        "leave" => leave::run,
        "stop" => stop::run,
        _ => return ExitCode::from(2),
    };
    let own = record.clone();
    match std::panic::catch_unwind(move || case(&own, has_trouble)) {
        Ok(broken) => {
            record.note(if broken {
                "the rule was broken"
            } else {
                "the rule held"
            });
            ExitCode::from(u8::from(broken))
        }
        Err(_) => {
            record.note("the case could not run");
            ExitCode::from(2)
        }
    }
}
