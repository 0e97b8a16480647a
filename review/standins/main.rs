//! Stand-ins of the platform's store, of servers and of clients, and the courses of the
//! review's scripts. Only the standard library is used.
//!
//! `standin COURSE RECORD` runs a course and exits with 1 if the rule was broken, 0 if it held
//! and 2 if the course could not run. `standin server ...` is a server in a process of its own.

mod agent;
mod course;
mod entry;
mod group;
mod http;
mod record;
mod server;
mod store;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let code = match words.as_slice() {
        ["server", ip, port, id, events, pause] => server::run_alone(ip, port, id, events, pause),
        [course, record] => course::run(course, record),
        _ => {
            eprintln!("usage: standin COURSE RECORD");
            2
        }
    };
    std::process::exit(code);
}
