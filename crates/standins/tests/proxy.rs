//! The fault-injecting proxy before an echo server.

mod wait;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_standins::proxy::{Accept, Counts, Direction, Line, Options, Proxy};
use wait::{LONG, until};

/// An echo server that keeps what it got, in the order of arrival.
struct Echo {
    address: SocketAddr,
    got: Arc<Mutex<Vec<u8>>>,
}

impl Echo {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let got = Arc::new(Mutex::new(Vec::new()));
        let shared = Arc::clone(&got);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, got) = (stream.unwrap(), Arc::clone(&shared));
                thread::spawn(move || echo(stream, &got));
            }
        });
        Self { address, got }
    }

    fn got(&self) -> Vec<u8> {
        self.got.lock().unwrap().clone()
    }
}

fn echo(mut stream: TcpStream, got: &Mutex<Vec<u8>>) {
    let mut buffer = [0; 1024];
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        got.lock().unwrap().extend_from_slice(&buffer[..count]);
        drop(stream.write_all(&buffer[..count]));
    }
}

fn start(echo: &Echo) -> Proxy {
    Proxy::start(&Options {
        seed: 3,
        ..Options::new(echo.address)
    })
    .unwrap()
}

fn connect(proxy: &Proxy) -> TcpStream {
    let stream = TcpStream::connect(proxy.address()).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream
}

/// Sends bytes and returns all that comes back until the connection ends.
fn talk(proxy: &Proxy, bytes: &[u8]) -> Vec<u8> {
    let mut stream = connect(proxy);
    drop(stream.write_all(bytes));
    drop(stream.shutdown(Shutdown::Write));
    let mut answer = Vec::new();
    drop(stream.read_to_end(&mut answer));
    answer
}

/// Gives bytes that are not held back the time to come, and checks that none
/// have.
fn assert_silent(stream: &mut TcpStream) {
    let limit = Duration::from_millis(100);
    stream.set_read_timeout(Some(limit)).unwrap();
    let read = stream.read(&mut [0]).map_err(|error| error.kind());
    assert_eq!(read, Err(std::io::ErrorKind::WouldBlock));
    stream.set_read_timeout(Some(LONG)).unwrap();
}

fn wait_for(proxy: &Proxy, reached: impl Fn(Counts) -> bool) {
    until(|| reached(proxy.counts()));
}

#[test]
fn bytes_pass_unchanged_and_a_cut_is_at_the_byte() {
    let echo = Echo::start();
    let proxy = start(&echo);
    let bytes: Vec<u8> = (0..100_000_u32).flat_map(u32::to_le_bytes).collect();
    assert!(talk(&proxy, &bytes) == bytes);
    let line = Line {
        cut_at: Some(37),
        ..Line::default()
    };
    proxy.set_line(Direction::Down, line);
    assert_eq!(talk(&proxy, &bytes), bytes[..37]);
    proxy.set_line(Direction::Down, Line::default());
    proxy.set_line(Direction::Up, line);
    let other = Echo::start();
    proxy.set_target(other.address);
    assert!(talk(&proxy, &bytes).len() <= 37);
    until(|| other.got().len() >= 37);
    proxy.set_line(Direction::Up, Line::default());
    assert!(talk(&proxy, b"next") == b"next");
    assert!(other.got() == [&bytes[..37], b"next"].concat());
    assert_eq!((proxy.counts().cut_at, proxy.counts().accepted), (2, 4));
}

#[test]
fn a_half_open_connection_swallows_and_stays_open() {
    let echo = Echo::start();
    let proxy = start(&echo);
    let line = Line {
        half_open: true,
        ..Line::default()
    };
    proxy.set_line(Direction::Down, line);
    let mut lost = connect(&proxy);
    lost.write_all(b"lost").unwrap();
    wait_for(&proxy, |counts| counts.swallowed == 4);
    proxy.set_line(Direction::Down, Line::default());
    lost.write_all(b"more").unwrap();
    lost.shutdown(Shutdown::Write).unwrap();
    wait_for(&proxy, |counts| counts.swallowed == 8);
    assert_eq!(echo.got(), b"lostmore");
    lost.set_nonblocking(true).unwrap();
    let read = lost.read(&mut [0; 8]).map_err(|error| error.kind());
    assert_eq!(read, Err(std::io::ErrorKind::WouldBlock));
    assert_eq!(talk(&proxy, b"new"), b"new");
}

#[test]
fn a_freeze_holds_bytes_back_and_cut_ends_all() {
    let echo = Echo::start();
    let proxy = start(&echo);
    proxy.freeze();
    let mut stream = connect(&proxy);
    stream.write_all(b"held").unwrap();
    wait_for(&proxy, |counts| counts.frozen == 1);
    assert_silent(&mut stream);
    assert_eq!(echo.got(), b"");
    proxy.thaw();
    let mut answer = [0; 4];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"held");
    proxy.cut();
    assert!(matches!(stream.read(&mut answer), Ok(0) | Err(_)));
    wait_for(&proxy, |counts| counts.cut == 1);
}

#[test]
fn new_connections_are_refused_or_left_waiting() {
    let echo = Echo::start();
    let proxy = start(&echo);
    proxy.set_accept(Accept::Refuse);
    assert_eq!(talk(&proxy, b"a"), b"");
    assert_eq!(proxy.counts().refused, 1);
    proxy.set_accept(Accept::Ignore);
    let mut waiting = connect(&proxy);
    waiting.write_all(b"b").unwrap();
    assert_silent(&mut waiting);
    let other = Echo::start();
    proxy.set_target(other.address);
    proxy.set_accept(Accept::Open);
    let mut answer = [0];
    waiting.read_exact(&mut answer).unwrap();
    assert_eq!(
        (&answer, echo.got(), other.got()),
        (b"b", vec![], vec![b'b'])
    );
}

#[test]
fn delays_are_kept_and_reorder_between_connections() {
    let echo = Echo::start();
    let proxy = start(&echo);
    let delay = Duration::from_millis(20);
    let line = Line {
        delay,
        ..Line::default()
    };
    proxy.set_line(Direction::Up, line);
    let begun = clock::now();
    assert_eq!(talk(&proxy, b"slow"), b"slow");
    assert!(begun.elapsed() >= delay && proxy.counts().delayed > 0);
    proxy.set_line(Direction::Up, Line::default());
    let delayed = proxy.counts().delayed;
    proxy.set_spread(Duration::from_millis(200));
    let mut streams: Vec<_> = (0..8).map(|_| connect(&proxy)).collect();
    wait_for(&proxy, |counts| counts.accepted == 9);
    for (number, stream) in (b'0'..).zip(&mut streams) {
        stream.write_all(&[number]).unwrap();
    }
    for stream in &mut streams {
        stream.read_exact(&mut [0]).unwrap();
    }
    assert!(
        proxy.counts().delayed >= delayed + 16,
        "up and down of each"
    );
    let mut got = echo.got().split_off(4);
    assert!(!got.is_sorted());
    got.sort_unstable();
    assert_eq!(got, b"01234567");
}

#[test]
fn chance_breaks_off_some_connections() {
    let echo = Echo::start();
    let proxy = start(&echo);
    let line = Line {
        drop: 0.5,
        ..Line::default()
    };
    proxy.set_line(Direction::Up, line);
    let whole = (0..40).filter(|_| talk(&proxy, b"x") == b"x").count();
    assert!(whole > 0 && whole < 40);
    assert_eq!(proxy.counts().dropped, 40 - whole as u64);
}
