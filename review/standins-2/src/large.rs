//! A server crashes while it answers streams whose events are longer than 64 KB.

use std::time::Duration;

use crate::client::{Pace, Request, send};
use crate::site::{Record, Site, configuration, route};

const SERVERS: usize = 6;
const STREAMS: usize = 24;
const EVENTS: u64 = 12;
const GAP_MS: u64 = 100;
/// The bytes of an event's data.
const PIECE: usize = 150_000;

pub fn run(record: &Record, has_trouble: bool) -> bool {
    let mut site = Site::start(record.clone());
    let routes = [route("chat", "streaming", "hilo", 8000, true)];
    let configuration = configuration(1, &routes, &["hilo"]);
    site.store.put("config", "main", &configuration);
    let mut servers: Vec<_> = (1..=SERVERS)
        .map(|n| site.server(&format!("i-{n}"), "hilo", 12))
        .collect();
    let entry = site.entry("edge-nave-telares-1", "");
    let address = entry.address;
    // The first requests earn the retries that the streams may need.
    std::thread::sleep(Duration::from_millis(1_500));
    for n in 0..30 {
        let id = format!("first-{n}");
        let request = Request {
            method: "POST",
            target: "/chat/2f?n=1&gap=5",
            id: &id,
            deadline: Duration::from_secs(8),
            body: b"a prompt",
            pace: Pace::default(),
        };
        send(address, &request);
    }
    let target = format!("/chat/2f?n={EVENTS}&gap={GAP_MS}&piece={PIECE}");
    let streams: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (record, target) = (record.clone(), target.clone());
            std::thread::spawn(move || {
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
                record.note(&format!(
                    "client has {id}: status {}, events {:?}, {}, after {} ms",
                    answer.status(),
                    answer.events(),
                    if answer.complete {
                        "complete"
                    } else {
                        "not complete"
                    },
                    answer.took.as_millis()
                ));
                (id, answer)
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(700));
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
        let filler = "x".repeat(PIECE);
        let event = |n| format!("id: {n}\ndata: {id} {n} of {EVENTS} {filler}\n\n");
        let whole: String = (1..=EVENTS).map(event).collect();
        let is_sound = if answer.complete {
            answer.body == whole.as_bytes()
        } else {
            whole.as_bytes().starts_with(&answer.body)
        };
        if answer.status() == 200 && !is_sound {
            broken += 1;
            record.note(&format!(
                "{id}: its pieces are not those of one run, each once: {:?}, {} of {} bytes",
                answer.events(),
                answer.body.len(),
                whole.len()
            ));
        }
    }
    record.note(&format!(
        "streams with a piece twice or joined of two runs: {broken} of {STREAMS}"
    ));
    broken > 0
}
