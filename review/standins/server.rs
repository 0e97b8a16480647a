//! Stand-ins of the servers behind the entry.
//!
//! All answers of these servers have neither a length nor chunks and end with their connection,
//! as the pages allow.

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::record::Record;

/// Returns the time of day in Unix milliseconds.
pub fn now_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis()
}

/// Returns what a server that started at `born` writes of itself into the store.
pub fn registration(
    service: &str,
    address: SocketAddr,
    zone: &str,
    capacity: u32,
    born: u128,
) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Capacity\":{capacity},\"Phase\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":{born}}}"
    )
}

/// Returns what that server writes before it leaves.
pub fn drained(registration: &str) -> String {
    registration.replace("\"ready\"", "\"draining\"")
}

/// Returns the answer to a request that is for another instance or is a health check.
fn aside(request: &Message, id: &str) -> Option<String> {
    if request.start[0] == "GET" && request.start[1] == "/healthz" {
        return Some(format!(
            "HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        ));
    }
    let expected = request.header("Expect-Instance");
    expected.filter(|expected| *expected != id).map(|_| {
        format!("HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n")
    })
}

fn head(attempt: &str, id: &str, kind: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {id}.{attempt}\r\nContent-Type: {kind}\r\n\r\n"
    )
}

/// Returns an event of a stream.
pub fn event(number: u32) -> String {
    format!(
        "id: {number}\ndata: piece {number:04} of the pattern note, in some sixty-five bytes\n\n"
    )
}

/// Runs a server of streams until the process is killed. What it runs and sends is printed.
pub fn run_alone(ip: &str, port: &str, id: &str, events: &str, pause: &str) -> i32 {
    let address = ip.parse::<Ipv4Addr>().ok().zip(port.parse::<u16>().ok());
    let numbers = events.parse::<u32>().ok().zip(pause.parse::<u64>().ok());
    let (Some(address), Some((events, pause))) = (address, numbers) else {
        return 2;
    };
    let Ok(listener) = TcpListener::bind(address) else {
        return 2;
    };
    println!("listens");
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        std::thread::spawn(move || {
            let _ = serve_streams(stream, &id, events, Duration::from_millis(pause));
        });
    }
    0
}

fn serve_streams(
    mut stream: TcpStream,
    id: &str,
    events: u32,
    pause: Duration,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = http::read_request(&mut reader)? {
        if let Some(answer) = aside(&request, id) {
            stream.write_all(answer.as_bytes())?;
            continue;
        }
        let attempt = request.header("Attempt-Id").unwrap_or_default();
        let after: u32 = request
            .header("Last-Event-Id")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        println!("runs {attempt} from event {} on", after + 1);
        stream.write_all(head(attempt, id, "text/event-stream").as_bytes())?;
        for number in after + 1..=events {
            std::thread::sleep(pause);
            stream.write_all(event(number).as_bytes())?;
            println!("sent event {number} of {attempt}");
        }
        println!("has sent all of {attempt}");
        return Ok(());
    }
    Ok(())
}

extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// A server of plain requests, in this process, that can go dark.
#[derive(Clone)]
pub struct Plain {
    pub id: String,
    pub address: SocketAddr,
    listener: Arc<TcpListener>,
    /// How long a request waits in the queue, and how long it then runs.
    queued: Duration,
    work: Duration,
    dark: Arc<AtomicBool>,
    /// Whether it goes dark with the end of its next answer.
    goes_dark: Arc<AtomicBool>,
    /// The attempts that it ran.
    pub ran: Arc<Mutex<Vec<String>>>,
    record: Record,
}

/// How many connections wait to be accepted at most while a server is not dark.
const BACKLOG: i32 = 128;
/// How long an answer takes to reach the entry, at the very most.
const FILL_TIME: Duration = Duration::from_millis(100);

impl Plain {
    pub fn start(
        address: SocketAddr,
        id: &str,
        queued: Duration,
        work: Duration,
        record: &Record,
    ) -> std::io::Result<Self> {
        let server = Self {
            id: id.to_owned(),
            address,
            listener: Arc::new(TcpListener::bind(address)?),
            queued,
            work,
            dark: Arc::default(),
            goes_dark: Arc::default(),
            ran: Arc::default(),
            record: record.clone(),
        };
        let own = server.clone();
        std::thread::spawn(move || own.accept());
        Ok(server)
    }

    fn accept(&self) {
        loop {
            while self.dark.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(2));
            }
            let Ok((stream, _)) = self.listener.accept() else {
                return;
            };
            let own = self.clone();
            std::thread::spawn(move || {
                let _ = own.serve(stream);
            });
        }
    }

    /// Has the server go dark with the end of its next answer.
    pub fn go_dark_after_next(&self) {
        self.goes_dark.store(true, Ordering::SeqCst);
    }

    /// Takes that back.
    pub fn cancel_darkness(&self) {
        self.goes_dark.store(false, Ordering::SeqCst);
    }

    /// Ends the darkness.
    pub fn come_back(&self) {
        // SAFETY: the descriptor is that of an open listening socket.
        unsafe { listen(self.listener.as_raw_fd(), BACKLOG) };
        self.goes_dark.store(false, Ordering::SeqCst);
        self.dark.store(false, Ordering::SeqCst);
    }

    /// Makes the server silent towards new connections: the opening packets of callers get no
    /// answer, as those to a host that is dark. On loopback this takes a full queue of new
    /// connections.
    fn go_dark(&self) -> Vec<TcpStream> {
        self.dark.store(true, Ordering::SeqCst);
        // The thread that accepts may be waiting for one more connection.
        let mut fillers: Vec<_> = TcpStream::connect(self.address).into_iter().collect();
        std::thread::sleep(Duration::from_millis(5));
        // SAFETY: the descriptor is that of an open listening socket.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        while let Ok(filler) = TcpStream::connect_timeout(&self.address, FILL_TIME) {
            fillers.push(filler);
        }
        fillers
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read_request(&mut reader)? {
            if let Some(answer) = aside(&request, &self.id) {
                stream.write_all(answer.as_bytes())?;
                continue;
            }
            let attempt = request.header("Attempt-Id").unwrap_or_default().to_owned();
            let order = String::from_utf8_lossy(&request.body).into_owned();
            std::thread::sleep(self.queued);
            self.record
                .note(&format!("server {} runs {attempt} ({order})", self.id));
            self.ran
                .lock()
                .expect("no thread panics with it")
                .push(attempt.clone());
            let goes_dark = self.goes_dark.swap(false, Ordering::SeqCst);
            // The darkness is prepared while the request runs and takes this part of its time.
            let begun = std::time::Instant::now();
            let mut fillers = Vec::new();
            if goes_dark {
                std::thread::sleep(self.work.saturating_sub(FILL_TIME + FILL_TIME));
                fillers = self.go_dark();
            }
            std::thread::sleep(self.work.saturating_sub(begun.elapsed()));
            let answer = head(&attempt, &self.id, "text/plain") + &format!("done: {order}");
            stream.write_all(answer.as_bytes())?;
            let state = if goes_dark {
                " and is dark from now on"
            } else {
                ""
            };
            self.record.note(&format!(
                "server {} has answered {attempt} with 200{state}",
                self.id
            ));
            drop(reader);
            drop(stream);
            while self.dark.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(5));
            }
            drop(fillers);
            return Ok(());
        }
        Ok(())
    }
}
