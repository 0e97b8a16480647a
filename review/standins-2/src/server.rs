//! A stand-in of a server, as a process of its own.
//!
//! A `POST` with `n` in its query is answered by a stream of so many events, `gap` milliseconds
//! apart, with the framing that the query names: `chunked`, or `none`, where the answer ends with
//! its connection. One with `size` is answered by so many bytes.

use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use crate::http::{Head, query, read_body, read_head};

pub fn run(address: &str, id: &str) {
    let listener = TcpListener::bind(address).expect("the address is free");
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        std::thread::spawn(move || serve(stream, &id));
    }
}

fn serve(mut stream: TcpStream, id: &str) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    while let Ok(Some(head)) = read_head(&mut reader) {
        if read_body(&mut reader, &head).is_err() {
            return;
        }
        match answer(&mut stream, &head, id) {
            Ok(true) => {}
            Ok(false) | Err(_) => return,
        }
    }
}

fn number(head: &Head, name: &str) -> Option<u64> {
    query(head.request().1, name)?.parse().ok()
}

/// Answers a request; returns whether the connection is kept.
fn answer(stream: &mut TcpStream, head: &Head, id: &str) -> io::Result<bool> {
    let (_, target) = head.request();
    if target.starts_with("/healthz") {
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        )?;
        return Ok(true);
    }
    let Some(attempt) = head.header("Attempt-Id") else {
        write!(
            stream,
            "HTTP/1.1 400 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )?;
        return Ok(true);
    };
    if head
        .header("Expect-Instance")
        .is_some_and(|expected| expected != id)
    {
        write!(
            stream,
            "HTTP/1.1 421 X\r\nInstance-Id: {id}\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )?;
        return Ok(true);
    }
    println!(
        "runs {attempt}, last event {}",
        head.header("Last-Event-Id").unwrap_or("none")
    );
    let signed =
        format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {id}.{attempt}\r\n");
    if let Some(events) = number(head, "n") {
        return stream_events(stream, head, &signed, attempt, events);
    }
    let size = usize::try_from(number(head, "size").unwrap_or(800)).unwrap_or(800);
    stream.write_all(format!("{signed}Content-Length: {size}\r\n\r\n").as_bytes())?;
    stream.write_all(&vec![b'x'; size])?;
    println!("wrote the whole answer to {attempt}");
    Ok(true)
}

fn stream_events(
    stream: &mut TcpStream,
    head: &Head,
    signed: &str,
    attempt: &str,
    events: u64,
) -> io::Result<bool> {
    let gap = Duration::from_millis(number(head, "gap").unwrap_or(50));
    let is_chunked = query(head.request().1, "framing") != Some("none");
    let first = head
        .header("Last-Event-Id")
        .and_then(|last| last.parse::<u64>().ok())
        .map_or(1, |last| last + 1);
    let filler = "x".repeat(usize::try_from(number(head, "piece").unwrap_or(0)).unwrap_or(0));
    let framing = if is_chunked {
        "Transfer-Encoding: chunked"
    } else {
        "Connection: close"
    };
    write!(
        stream,
        "{signed}Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
    )?;
    std::thread::sleep(gap);
    for number in first..=events {
        let event = format!("id: {number}\ndata: {attempt} {number} of {events} {filler}\n\n");
        if is_chunked {
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        } else {
            stream.write_all(event.as_bytes())?;
        }
        std::thread::sleep(gap);
    }
    if is_chunked {
        stream.write_all(b"0\r\n\r\n")?;
    }
    println!("wrote the last event of {attempt}");
    Ok(is_chunked)
}
