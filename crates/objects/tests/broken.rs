//! Stores that break off their responses, or send bytes without end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_objects::Store;
use cactusnotch_objects::http::{Client, Options};
use cactusnotch_objects::object::{Condition, Path};
use cactusnotch_objects::store::Error;
use serde_json::Value;

const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const BODY: &str = r#"{"version":1,"value":"a"}"#;
/// The time limit of a call.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Starts a store that does `respond` after the head of each request.
fn start(respond: impl Fn(&mut TcpStream) + Send + 'static) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("it is bound");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (mut head, mut byte) = (Vec::new(), [0]);
            while !head.ends_with(b"\r\n\r\n") && matches!(stream.read(&mut byte), Ok(1)) {
                head.push(byte[0]);
            }
            respond(&mut stream);
        }
    });
    Client::new(&Options {
        base: format!("http://{address}"),
        timeout: TIMEOUT,
    })
}

/// Guards against a response that the store broke off and that counts as an object, or as none.
#[test]
fn a_response_that_is_cut_off_is_no_answer() {
    let length = format!("Content-Length: {}\r\n", BODY.len());
    let chunk = format!("{:x}\r\n{BODY}\r\n0\r\n\r\n", BODY.len());
    for (interim, framing, body) in [
        ("", length.as_str(), BODY),
        ("", "Transfer-Encoding: chunked\r\n", chunk.as_str()),
        ("", "", BODY),
        (INTERIM, length.as_str(), BODY),
    ] {
        let whole = format!("{interim}HTTP/1.1 200 OK\r\n{framing}\r\n{body}");
        for cut in 0..whole.len() {
            let sent = whole[..cut].to_owned();
            let client = start(move |stream| {
                let _ = stream.write_all(sent.as_bytes());
            });
            let read = client.get(&Path::new("kind", "name"));
            let is_unanswered = matches!(read, Err(Error::Unanswered { .. }));
            assert!(is_unanswered, "{framing:?} cut after {cut}: {read:?}");
        }
    }
}

/// Guards against a call that reads bytes without end for longer than its time limit.
#[test]
fn a_response_without_end_ends_with_the_call() {
    for (first, again) in [
        ("", INTERIM.repeat(40)),
        ("HTTP/1.1 200 ", "x".repeat(1_024)),
        ("HTTP/1.1 200 OK\r\n", "a: b\r\n".repeat(99)),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n\"",
            "x".repeat(1_024),
        ),
        ("HTTP/1.1 200 OK\r\n\r\n\"", "x".repeat(1_024)),
    ] {
        let sent = again.clone();
        let client = start(move |stream| {
            let mut next = first.as_bytes().to_vec();
            while stream.write_all(&next).is_ok() {
                next = sent.clone().into_bytes();
            }
        });
        let begun = clock::now();
        let read = client.get(&Path::new("kind", "name"));
        assert!(
            matches!(read, Err(Error::Unanswered { .. })),
            "{first:?}: {read:?}"
        );
        let took = begun.elapsed();
        assert!(took < 2 * TIMEOUT, "{first:?} {again:.20}: {took:?}");
        println!("{first:?} {again:.20}: {took:?}");
    }
}

/// Guards against a response with a spoilt head that counts as another object than the store's,
/// as none, or as a refusal of a call that may have taken effect.
#[test]
fn a_response_with_a_spoilt_head_is_no_answer() {
    let length = format!("Content-Length: {}\r\n", BODY.len());
    let chunk = format!("{:x}\r\n{BODY}\r\n0\r\n\r\n", BODY.len());
    let fields = |status: u16, fields: &str, body: &str| {
        format!("HTTP/1.1 {status:03} X\r\n{fields}\r\n{body}")
    };
    let mut spoilt = vec![
        fields(200, "Content-Length: 4x\r\n", BODY),
        fields(200, "Content-Length: 4, 25\r\n", BODY),
        fields(200, "Content-Length: -1\r\n", BODY),
        fields(200, "Content-Length: 2\r\n", BODY),
        fields(200, "Content-Length\r\n", BODY),
        fields(200, "Odd Name: x\r\n", BODY),
        fields(200, "Odd\u{1}: x\r\n", BODY),
        fields(200, "garbage\r\n", BODY),
        fields(200, "Transfer-Encoding: chunke\r\n", &chunk),
        fields(200, "Transfer-Encoding: chunkedx\r\n", &chunk),
        fields(
            200,
            "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
            BODY,
        ),
    ];
    spoilt.extend([0, 99, 101, 600, 999].map(|status| fields(status, &length, BODY)));
    let mut taken = Vec::new();
    for response in spoilt {
        let sent = response.clone();
        let client = start(move |stream| {
            let _ = stream.write_all(sent.as_bytes());
        });
        let path = Path::new("kind", "name");
        let got = client.get(&path);
        if !matches!(got, Err(Error::Unanswered { .. })) {
            taken.push(format!("{response:?}: {got:?}"));
        }
        let put = client.put(&path, &Value::Null, Condition::Always);
        if !matches!(put, Err(Error::Unanswered { .. })) {
            taken.push(format!("{response:?}: {put:?}"));
        }
    }
    assert!(taken.is_empty(), "{}", taken.join("\n"));
}
