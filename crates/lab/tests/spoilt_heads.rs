//! Plain services that spoil the heads of their answers, behind an agent.

mod plain;

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use plain::{ask, read_request, start};

/// The body of a service's answer in chunks.
const CHUNKED: &str = "4\r\ndone\r\n0\r\n\r\n";

/// Heads that are sound, with what follows them.
const SOUND: [(&str, &str); 2] = [
    ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n", "done"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", CHUNKED),
];

/// Heads that are spoilt at their status, at a line, or where they state the length.
const SPOILT: [(&str, &str); 16] = [
    ("HTTP/1.1 000 OK\r\nContent-Length: 4\r\n", "done"),
    ("HTTP/1.1 101 OK\r\nContent-Length: 4\r\n", "done"),
    ("HTTP/1.1 600 OK\r\nContent-Length: 4\r\n", "done"),
    ("HTTP/1.1 200 OK\r\nContent-Length: 4x\r\n", "done"),
    ("HTTP/1.1 200 OK\r\nContent-Length: 4, 2\r\n", "done"),
    ("HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n", "done"),
    ("HTTP/1.1 200 OK\r\nContent-Length 2\r\n", "done"),
    ("HTTP/1.1 200 OK\r\nContent-\u{1}Length: 2\r\n", "done"),
    ("HTTP/1.1 200 OK\r\nOdd Name: x\r\n", "done"),
    ("HTTP/1.1 200 OK\r\ngarbage\r\n", "done"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke\r\n", CHUNKED),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunkedx\r\n",
        CHUNKED,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
        CHUNKED,
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n",
        CHUNKED,
    ),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n", CHUNKED),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n",
        CHUNKED,
    ),
];

/// The answer that a service gives.
type Answer = Arc<Mutex<(&'static str, &'static str)>>;

/// Starts a service that gives `answer` to each request and closes.
fn serve(answer: &Answer) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let answer = Arc::clone(answer);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut reader = BufReader::new(stream.try_clone().expect("a socket can be cloned"));
            if read_request(&mut reader) {
                let (head, body) = *answer.lock().expect("no thread panics");
                // The agent may have closed the connection at the head.
                let _ = stream.write_all(format!("{head}\r\n{body}").as_bytes());
            }
        }
    });
    address
}

/// Guards against an answer with a spoilt head that an agent of the product's own way passes on.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_passes_on_no_answer_with_a_spoilt_head() {
    let answer = Answer::new(Mutex::new(SOUND[0]));
    let (_cluster, entry) = start(serve(&answer)).await;
    let passed = tokio::task::block_in_place(|| {
        let tell = |told| {
            *answer.lock().expect("no thread panics") = told;
            ask(entry)
        };
        for sound in SOUND {
            let got = tell(sound);
            let is_whole = got.starts_with("HTTP/1.1 200 ") && got.contains("done");
            assert!(is_whole, "{sound:?}: {got}");
        }
        let is_own = |got: &str| got.starts_with("HTTP/1.1 502 ");
        let passed = SPOILT.into_iter().map(|spoilt| (spoilt, tell(spoilt)));
        passed
            .filter(|(_, got)| !is_own(got))
            .map(|(spoilt, got)| format!("{spoilt:?}: {got}"))
            .collect::<Vec<_>>()
    });
    assert!(
        passed.is_empty(),
        "{} of {}:\n{}",
        passed.len(),
        SPOILT.len(),
        passed.join("\n")
    );
}

/// Guards against a head that a spoilt byte ends early, whose rest an agent passes on as the body.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_passes_on_no_rest_of_a_head_as_a_body() {
    let early = "HTTP/1.1 200 OK\r\n\nontent-Length: 4\r\n";
    let answer = Answer::new(Mutex::new((early, "done")));
    let (_cluster, entry) = start(serve(&answer)).await;
    let got = tokio::task::block_in_place(|| ask(entry));
    assert!(got.starts_with("HTTP/1.1 502 "), "{got}");
}
