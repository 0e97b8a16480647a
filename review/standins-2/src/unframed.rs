//! A server crashes while it answers streams that have neither a length nor chunks.

use std::time::Duration;

use crate::client::{Answer, Pace, Request, send};
use crate::site::{Record, Site, configuration, route};

const SERVERS: usize = 6;
const STREAMS: usize = 24;
const EVENTS: u64 = 24;
const GAP_MS: u64 = 60;

pub fn run(record: &Record, has_trouble: bool) -> bool {
    let mut site = Site::start(record.clone());
    let routes = [route("chat", "streaming", "hilo", 8000, true)];
    site.store
        .put("config", "main", &configuration(1, &routes, &["hilo"]));
    let mut servers: Vec<_> = (1..=SERVERS)
        .map(|n| site.server(&format!("i-{n}"), "hilo", 12))
        .collect();
    let entry = site.entry("edge-nave-telares-1", "");
    let address = entry.address;
    let target = format!("/chat/2f?n={EVENTS}&gap={GAP_MS}&framing=none");
    let streams: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (record, target) = (record.clone(), target.clone());
            std::thread::spawn(move || {
                // Clients do not all come at the same moment.
                std::thread::sleep(Duration::from_millis(n as u64 * 10));
                let id = format!("stream-{n}");
                record.note(&format!("client sends {id}"));
                let request = Request {
                    method: "POST",
                    target: &target,
                    id: &id,
                    deadline: Duration::from_secs(8),
                    body: b"a prompt",
                    pace: Pace::default(),
                };
                let answer = send(address, &request);
                record.note(&format!("client has {id}: {}", told(&answer)));
                (id, answer)
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(900));
    if has_trouble {
        let crashed = servers
            .iter_mut()
            .max_by_key(|server| server.lines(&["runs"]).len())
            .expect("there are servers");
        record.note(&format!("{} crashes (SIGKILL)", crashed.name));
        crashed.end();
    }
    let mut broken = 0;
    for stream in streams {
        let (id, answer) = stream.join().expect("a client ends");
        let events = answer.events();
        let is_whole = events.iter().copied().eq(1..=EVENTS);
        if answer.status() == 200 && answer.complete && !is_whole {
            broken += 1;
            record.note(&format!(
                "{id} ended as complete after event {:?} of {EVENTS}",
                events.last()
            ));
        }
    }
    record.note(&format!(
        "streams that ended as complete before their last piece: {broken} of {STREAMS}"
    ));
    broken > 0
}

fn told(answer: &Answer) -> String {
    format!(
        "status {}, {} events, {}, after {} ms{}",
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
    )
}
