//! A server is taken away as planned while it answers streams that have neither a length nor
//! chunks.

use std::time::Duration;

use crate::client::{Pace, Request, send};
use crate::site::{Record, Site, configuration, registration, route};

const SERVERS: usize = 6;
const STREAMS: usize = 24;
const EVENTS: u64 = 40;
const GAP_MS: u64 = 100;
/// How long a server serves on after the store has accepted that it drains: `DrainMs`, and a
/// little longer.
const SERVES_ON: Duration = Duration::from_millis(2_500);

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
                record.note(&format!(
                    "client has {id}: status {}, {} events, {}, after {} ms",
                    answer.status(),
                    answer.events().len(),
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
    std::thread::sleep(Duration::from_millis(600));
    if has_trouble {
        let leaving = servers
            .iter_mut()
            .max_by_key(|server| server.lines(&["runs"]).len())
            .expect("there are servers");
        let draining = registration("hilo", leaving.address, 12, "draining", site.born);
        site.store.put("servers", &leaving.name, &draining);
        record.note(&format!(
            "{} reports that it drains, the store has accepted it",
            leaving.name
        ));
        std::thread::sleep(SERVES_ON);
        site.store.delete("servers", &leaving.name);
        record.note(&format!("{} exits", leaving.name));
        leaving.end();
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
