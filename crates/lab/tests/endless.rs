//! Plain services that send bytes without end, behind an agent.

mod plain;

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use cactusnotch_base::clock;
use plain::{ask, read_request, start};

/// When callers have their answers and services are left.
const SOON: Duration = Duration::from_secs(3);
/// The pause between two looks at a state that is awaited.
const GLANCE: Duration = Duration::from_millis(20);

/// A service that sends bytes without end.
#[derive(Clone, Default)]
struct Endless {
    /// The connections on which bytes are still sent.
    sending: Arc<AtomicU32>,
}

impl Endless {
    /// Starts a service that sends `first` to each request, and then `again` without end.
    fn start(&self, first: &'static str, again: &str) -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let (endless, again) = (self.clone(), again.to_owned());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (endless, again) = (endless.clone(), again.clone());
                std::thread::spawn(move || endless.serve(stream, first, &again));
            }
        });
        address
    }

    fn serve(&self, mut stream: TcpStream, first: &str, again: &str) {
        let mut reader = BufReader::new(stream.try_clone().expect("a socket can be cloned"));
        if !read_request(&mut reader) {
            return;
        }
        self.sending.fetch_add(1, Ordering::SeqCst);
        let mut next = first;
        while stream.write_all(next.as_bytes()).is_ok() {
            next = again;
        }
        self.sending.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Guards against an agent that reads bytes that are no answer until its caller leaves, and uses a
/// whole core meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_are_refused_soon() {
    let kilobyte = "x".repeat(1_024);
    for (first, again) in [
        ("", "HTTP/1.1 100 Continue\r\n\r\n".repeat(40)),
        ("HTTP/1.1 200 ", kilobyte.clone()),
        ("HTTP/1.1 200 OK\r\n", "a: b\r\n".repeat(99)),
        ("HTTP/1.1 200 OK\r\na: ", kilobyte.clone()),
    ] {
        let endless = Endless::default();
        let (_cluster, entry) = start(endless.start(first, &again)).await;
        tokio::task::block_in_place(|| {
            let case = format!("{first:?} {again:.12}");
            let begun = clock::now();
            let got = ask(entry);
            assert!(got.starts_with("HTTP/1.1 502 "), "{case}: {got}");
            assert!(
                begun.elapsed() < SOON,
                "{case}: after {:?}",
                begun.elapsed()
            );
            while endless.sending.load(Ordering::SeqCst) > 0 {
                assert!(clock::now() < begun + SOON, "{case}: still reads");
                std::thread::sleep(GLANCE);
            }
        });
    }
}
