//! Clients read slowly: each does something else for a while in the middle of its answer.

use std::time::Duration;

use crate::client::{Pace, Request, send};
use crate::site::{Record, SIGTERM, Site, configuration, route, signal};

const CLIENTS: usize = 8;
const EVENTS: u64 = 48;
const GAP_MS: u64 = 20;
const PIECE: usize = 85;
const DEADLINE: Duration = Duration::from_secs(8);

pub fn run(record: &Record, has_trouble: bool) -> bool {
    let mut site = Site::start(record.clone());
    let routes = [route("chat", "streaming", "hilo", 8000, false)];
    site.store
        .put("config", "main", &configuration(1, &routes, &["hilo"]));
    let servers: Vec<_> = (1..=3)
        .map(|n| site.server(&format!("i-{n}"), "hilo", 12))
        .collect();
    let mut entry = site.entry("edge-nave-telares-1", "");
    let address = entry.address;
    let target = format!("/chat/2f?n={EVENTS}&gap={GAP_MS}&piece={PIECE}");
    let pause = if has_trouble {
        Duration::from_millis(3000)
    } else {
        Duration::ZERO
    };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, target) = (record.clone(), target.clone());
            std::thread::spawn(move || {
                let id = format!("stream-{n}");
                record.note(&format!("client sends {id}"));
                let request = Request {
                    method: "POST",
                    target: &target,
                    id: &id,
                    deadline: DEADLINE,
                    body: b"a prompt",
                    pace: Pace {
                        window: Some(2048),
                        pause,
                        ..Pace::default()
                    },
                };
                let answer = send(address, &request);
                record.note(&format!(
                    "client has {id}: status {}, {} of {EVENTS} events, {}, after {} ms{}",
                    answer.status(),
                    answer.events().len(),
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
    record.note("the entry gets SIGTERM");
    signal(&entry.child, SIGTERM);
    let mut broken = 0;
    for client in clients {
        let (id, answer) = client.join().expect("a client ends");
        let wrote = servers
            .iter()
            .any(|server| !server.lines(&["wrote the last event", &id]).is_empty());
        if !answer.complete && answer.took < DEADLINE {
            broken += 1;
            record.note(&format!(
                "{id}: passed on, and cut off before its deadline (server wrote all of it: {wrote})"
            ));
        }
    }
    record.note(&format!(
        "the entry's process has ended: {:?}",
        entry.child.wait()
    ));
    record.note(&format!("answers cut off: {broken} of {CLIENTS}"));
    for line in entry.lines(&["request ended"]) {
        record.note(&format!("entry: {line}"));
    }
    broken > 0
}
