//! Objects of another writer whose values can't be held.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use cactusnotch_objects::Store;
use cactusnotch_objects::http::{Client, Options};
use cactusnotch_objects::object::{Path, Version};
use serde_json::Value;

/// Starts a store whose responses have this body.
fn start(body: String) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (mut head, mut byte) = (Vec::new(), [0]);
            while !head.ends_with(b"\r\n\r\n") && matches!(stream.read(&mut byte), Ok(1)) {
                head.push(byte[0]);
            }
            let length = body.len();
            let response = format!(
                "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
            );
            let _ = stream.write_all(response.as_bytes());
        }
    });
    Client::new(&Options {
        base: format!("http://{address}"),
        timeout: Duration::from_secs(5),
    })
}

fn odd() -> Vec<String> {
    let deep = |depth: usize| "[".repeat(depth) + &"]".repeat(depth);
    let deep_maps = |depth: usize| "{\"a\":".repeat(depth) + "1" + &"}".repeat(depth);
    vec![
        deep(200),
        deep(300_000),
        deep_maps(100_000),
        "1e99999".to_owned(),
        "-1e99999".to_owned(),
        "{\"slots\":1e99999}".to_owned(),
        "9".repeat(100_000),
        "18446744073709551616".to_owned(),
    ]
}

/// Guards against a list that is no longer followed since one of its objects is nested deeply or
/// has a number that is too large.
#[test]
fn an_odd_object_leaves_the_others_of_its_kind() {
    for value in odd() {
        let object = |name: &str, value: &str| {
            format!(r#"{{"path":{{"kind":"k","name":"{name}"}},"version":3,"value":{value}}}"#)
        };
        let objects = [object("a", "1"), object("b", &value), object("c", "2")].join(",");
        let client = start(format!(
            r#"{{"version":9,"objects":[{objects}],"removed":["d"]}}"#
        ));
        let changes = client.changes("k", Version(0), Duration::ZERO);
        let start = &value[..value.len().min(20)];
        let changes = changes.unwrap_or_else(|error| panic!("{start}: {error}"));
        assert_eq!(changes.version, Version(9), "{start}");
        assert_eq!(changes.removed, ["d"], "{start}");
        let sound = |at: usize| {
            (
                changes.objects[at].path.name.clone(),
                changes.objects[at].value.clone(),
            )
        };
        assert_eq!(sound(0), ("a".to_owned(), Value::from(1)), "{start}");
        assert_eq!(sound(2), ("c".to_owned(), Value::from(2)), "{start}");
        assert_eq!(changes.objects[1].path.name, "b", "{start}");
    }
}

/// Guards against a process that ends with an object that it reads.
#[test]
fn an_odd_object_is_read() {
    for value in odd() {
        let object = format!(r#"{{"path":{{"kind":"k","name":"b"}},"version":3,"value":{value}}}"#);
        let read = start(object).get(&Path::new("k", "b"));
        let read = read.expect("an answer").expect("there is one");
        assert_eq!(read.version, Version(3));
    }
}
