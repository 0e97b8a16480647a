//! An entry is stopped while clients read answers that do not fit into the buffers of its kernel.
//!
//! How much fits depends on the machine. It is measured first: the entry logs the end of a request
//! as soon as it has handed the answer's last piece on within its own process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::client::{Answer, Pace, Request, send};
use crate::site::{Process, Record, SIGTERM, Site, configuration, route, signal};

/// What a client reads in a second: 5 Mbit/s.
const PER_S: usize = 650_000;
const DEADLINE: Duration = Duration::from_secs(8);
/// How long after its request an answer has to be handed on that fits into all buffers.
const AT_ONCE: Duration = Duration::from_millis(400);
const STEP_COARSE: usize = 100_000;
const STEP_FINE: usize = 8_000;
const CLIENTS: usize = 16;
/// When the clients send after the SIGTERM: within the three seconds in which an entry that stops
/// takes requests, as clients keep addresses up to three times as long as they were told.
const SENT_AFTER: Duration = Duration::from_millis(2_000);

pub fn run(record: &Record, has_trouble: bool) -> bool {
    let mut site = Site::start(record.clone());
    let routes = [route("ficha", "non_idempotent", "mostrador", 8000, false)];
    site.store
        .put("config", "main", &configuration(1, &routes, &["mostrador"]));
    let servers: Vec<_> = (1..=3)
        .map(|n| site.server(&format!("i-{n}"), "mostrador", 6))
        .collect();
    let mut entry = site.entry("edge-nave-telares-1", "");

    let coarse = (1..=120).map(|n| n * STEP_COARSE).collect();
    let fits = largest_at_once(record, &entry, "coarse", coarse);
    let fine = (0..=30).map(|n| fits + n * STEP_FINE).collect();
    let fits = largest_at_once(record, &entry, "fine", fine);
    record.note(&format!(
        "answers of up to {fits} bytes are handed on at once, to the entry's buffers and the kernel's"
    ));

    if has_trouble {
        record.note("the entry gets SIGTERM");
        signal(&entry.child, SIGTERM);
    }
    std::thread::sleep(SENT_AFTER);
    let least = fits - CLIENTS / 2 * STEP_FINE / 2;
    let sizes = (0..CLIENTS).map(|n| least + n * STEP_FINE / 2).collect();
    let clients = start(record, entry.address, "request", sizes, DEADLINE);
    std::thread::sleep(AT_ONCE);
    for client in &clients {
        if !is_handed_on(&entry, &client.id) {
            record.note(&format!(
                "{} reads as fast as it can from now on",
                client.id
            ));
            client.hurry.store(true, Ordering::Relaxed);
        }
    }
    if has_trouble {
        let status = entry.child.wait();
        record.note(&format!("the entry's process has ended: {status:?}"));
    }
    let mut broken = 0;
    for Client {
        id, size, thread, ..
    } in clients
    {
        let answer = thread.join().expect("a client ends");
        note(record, &id, size, &answer);
        let wrote = servers
            .iter()
            .any(|server| !server.lines(&["wrote the whole answer", &id]).is_empty());
        if wrote && !answer.complete && answer.took < DEADLINE {
            broken += 1;
            record.note(&format!(
                "{id}: passed on, answered in full by its server, and cut off before its deadline"
            ));
        }
    }
    for line in entry.lines(&["stopped"]) {
        record.note(&format!("entry: {line}"));
    }
    record.note(&format!("answers cut off: {broken} of {CLIENTS}"));
    broken > 0
}

/// A client that reads its answer.
struct Client {
    id: String,
    size: usize,
    hurry: Arc<AtomicBool>,
    thread: JoinHandle<Answer>,
}

/// Returns whether the entry has logged that a request's answer is handed on.
fn is_handed_on(entry: &Process, id: &str) -> bool {
    !entry
        .lines(&["request ended", &format!("\"{id}\"")])
        .is_empty()
}

fn start(
    record: &Record,
    entry: SocketAddr,
    name: &str,
    sizes: Vec<usize>,
    deadline: Duration,
) -> Vec<Client> {
    let client = |(n, size): (usize, usize)| {
        let id = format!("{name}-{n}");
        let (own, record) = (id.clone(), record.clone());
        let hurry = Arc::<AtomicBool>::default();
        let hurried = Arc::clone(&hurry);
        let thread = std::thread::spawn(move || {
            record.note(&format!(
                "client sends {own}, whose answer has {size} bytes"
            ));
            let request = Request {
                method: "POST",
                target: &format!("/ficha/2f?size={size}"),
                id: &own,
                deadline,
                body: b"an order",
                pace: Pace {
                    per_s: Some(PER_S),
                    window: Some(32 * 1024),
                    hurry: hurried,
                    ..Pace::default()
                },
            };
            send(entry, &request)
        });
        Client {
            id,
            size,
            hurry,
            thread,
        }
    };
    sizes.into_iter().enumerate().map(client).collect()
}

/// Returns the largest of the sizes whose answer the entry hands on at once to clients that read
/// as slowly as the others.
fn largest_at_once(record: &Record, entry: &Process, name: &str, sizes: Vec<usize>) -> usize {
    let mut at_once = BTreeMap::new();
    for few in sizes.chunks(6) {
        let name = format!("{name}-{}", few[0]);
        let begun = Instant::now();
        let clients = start(record, entry.address, &name, few.to_vec(), AT_ONCE * 2);
        std::thread::sleep(AT_ONCE.saturating_sub(begun.elapsed()));
        for client in &clients {
            at_once.insert(client.size, is_handed_on(entry, &client.id));
        }
        for client in clients {
            let _ = client.thread.join();
        }
        if at_once.values().any(|fits| !fits) {
            break;
        }
    }
    assert!(
        at_once.values().any(|fits| !fits),
        "all answers fit into the buffers"
    );
    let fitting = at_once.iter().take_while(|(_, fits)| **fits);
    let largest = fitting.map(|(size, _)| *size).last();
    largest.expect("a small answer is handed on at once")
}

fn note(record: &Record, id: &str, size: usize, answer: &Answer) {
    record.note(&format!(
        "client has {id}: status {}, {} of {size} bytes, {}, after {} ms{}",
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
}
