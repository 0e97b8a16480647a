//! A stand-in of a client.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Head, read_chunk, read_head};
use crate::site::{HOST, KEY, set_window};

/// How an answer came.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub head: Option<Head>,
    pub body: Vec<u8>,
    /// Whether the answer is complete by its own framing.
    pub complete: bool,
    /// How the connection failed, if it did.
    pub error: Option<String>,
    pub took: Duration,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, Head::status)
    }

    /// Returns the ids of the events in a stream.
    pub fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body);
        text.lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect()
    }
}

/// How a client reads its answer.
#[derive(Debug, Clone, Default)]
pub struct Pace {
    /// The bytes that it reads in a second; as fast as it can if there is none.
    pub per_s: Option<usize>,
    /// The window of its connection.
    pub window: Option<i32>,
    /// How long it does other things between the head of the answer and the rest.
    pub pause: Duration,
    /// Has it read as fast as it can from the moment on at which this is set.
    pub hurry: Arc<AtomicBool>,
}

pub struct Request<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub id: &'a str,
    pub deadline: Duration,
    pub body: &'a [u8],
    pub pace: Pace,
}

/// Sends a request on a new connection and reads the answer until the deadline.
pub fn send(entry: SocketAddr, request: &Request<'_>) -> Answer {
    let begun = Instant::now();
    let mut answer = Answer::default();
    if let Err(error) = exchange(entry, request, begun, &mut answer) {
        answer.error = Some(error.to_string());
    }
    answer.took = begun.elapsed();
    answer
}

fn exchange(
    entry: SocketAddr,
    request: &Request<'_>,
    begun: Instant,
    answer: &mut Answer,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(entry)?;
    if let Some(window) = request.pace.window {
        set_window(&stream, window);
    }
    stream.set_nodelay(true)?;
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\nAuthorization: Token {KEY}\r\nContent-Length: {}\r\n\r\n",
        request.method,
        request.target,
        request.id,
        request.deadline.as_millis(),
        request.body.len()
    );
    stream.write_all(&[head.as_bytes(), request.body].concat())?;
    stream.set_read_timeout(Some(request.deadline))?;
    let mut reader = BufReader::with_capacity(8 * 1024, stream);
    answer.head = read_head(&mut reader)?;
    let Some(head) = answer.head.clone() else {
        answer.error = Some("closed before an answer".to_owned());
        return Ok(());
    };
    std::thread::sleep(request.pace.pause);
    if head.is_chunked() {
        while let Some(chunk) = read_chunk(&mut reader)? {
            answer.body.extend_from_slice(&chunk);
        }
        answer.complete = true;
        return Ok(());
    }
    let length = head.length();
    let mut piece = [0; 8 * 1024];
    let started = Instant::now();
    while length.is_none_or(|length| answer.body.len() < length) {
        if begun.elapsed() > request.deadline {
            answer.error = Some("the client's deadline has passed".to_owned());
            return Ok(());
        }
        let read = reader.read(&mut piece)?;
        if read == 0 {
            break;
        }
        answer.body.extend_from_slice(&piece[..read]);
        if let Some(per_s) = request
            .pace
            .per_s
            .filter(|_| !request.pace.hurry.load(Ordering::Relaxed))
        {
            let due = Duration::from_secs_f64(answer.body.len() as f64 / per_s as f64);
            std::thread::sleep(due.saturating_sub(started.elapsed()));
        }
    }
    answer.complete = length.is_none_or(|length| answer.body.len() == length);
    Ok(())
}
