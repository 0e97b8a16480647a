//! An entry is stopped while clients slowly read long answers that their server has finished.

use std::time::Duration;

use crate::client::{Pace, Request, send};
use crate::site::{Record, SIGTERM, Site, configuration, route, signal};

const CLIENTS: usize = 6;
const SIZE: usize = 9_000_000;
const PER_S: usize = 900_000;

pub fn run(record: &Record, has_trouble: bool) -> bool {
    let mut site = Site::start(record.clone());
    let routes = [route("ficha", "non_idempotent", "mostrador", 15000, false)];
    site.store
        .put("config", "main", &configuration(1, &routes, &["mostrador"]));
    let servers: Vec<_> = (1..=3)
        .map(|n| site.server(&format!("i-{n}"), "mostrador", 6))
        .collect();
    let mut entry = site.entry("edge-nave-telares-1", "");
    let address = entry.address;
    let target = format!("/ficha/2f?size={SIZE}");
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, target) = (record.clone(), target.clone());
            std::thread::spawn(move || {
                let id = format!("request-{n}");
                record.note(&format!("client sends {id}"));
                let request = Request {
                    method: "POST",
                    target: &target,
                    id: &id,
                    deadline: Duration::from_secs(15),
                    body: b"an order",
                    pace: Pace {
                        per_s: Some(PER_S),
                        window: Some(32 * 1024),
                        ..Pace::default()
                    },
                };
                let answer = send(address, &request);
                record.note(&format!(
                    "client has {id}: status {}, {} of {SIZE} bytes, {}, after {} ms{}",
                    answer.status(),
                    answer.body.len(),
                    if answer.complete {
                        "complete"
                    } else {
                        "not complete"
                    },
                    answer.took.as_millis(),
                    answer
                        .error
                        .as_ref()
                        .map_or_else(String::new, |error| format!(", {error}"))
                ));
                (id, answer)
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    if has_trouble {
        record.note("the entry gets SIGTERM");
        signal(&entry.child, SIGTERM);
        let status = entry.child.wait();
        record.note(&format!("the entry's process has ended: {status:?}"));
    }
    let mut broken = 0;
    for client in clients {
        let (id, answer) = client.join().expect("a client ends");
        let ran = servers
            .iter()
            .any(|server| !server.lines(&["runs", &id]).is_empty());
        let wrote = servers
            .iter()
            .any(|server| !server.lines(&["wrote the whole answer", &id]).is_empty());
        if ran && wrote && !answer.complete && answer.took < Duration::from_secs(15) {
            broken += 1;
            record.note(&format!(
                "{id}: passed on, answered in full by its server, and cut off before its deadline"
            ));
        }
    }
    record.note(&format!("answers cut off: {broken} of {CLIENTS}"));
    broken > 0
}
