//! Connections of the operating system whose peers read slowly.

use std::io::Read;
use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_tcp::{Stream, tune};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// What a peer reads, in bytes a second and in bytes at a time.
const RATE: f64 = 10_240.0;
const READ: usize = 1_024;

/// Writes `bytes` to a peer with a receive buffer of `window` bytes that pauses before it reads;
/// returns the number of bytes it got and the error of its connection.
async fn received(
    window: usize,
    bytes: usize,
    pause: Duration,
    rate: f64,
) -> (usize, std::io::Result<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let mut peer = std::net::TcpStream::connect(address).expect("it listens");
    let window = SockRef::from(&peer).set_recv_buffer_size(window);
    window.expect("a window is set");
    let (socket, _) = listener.accept().await.expect("a connection");
    tune(&socket).expect("options are set");
    let (mut stream, monitor) = Stream::new(socket);
    let reading = std::thread::spawn(move || {
        std::thread::sleep(pause);
        let (mut received, begun, mut buffer) = (0, clock::now(), [0; READ]);
        loop {
            match peer.read(&mut buffer) {
                Ok(0) => return (received, Ok(0)),
                Err(error) => return (received, Err(error)),
                Ok(read) => received += read,
            }
            #[expect(clippy::cast_precision_loss, reason = "a few bytes")]
            let due = Duration::from_secs_f64(received as f64 / rate);
            std::thread::sleep(due.saturating_sub(begun.elapsed()));
        }
    });
    let written = async {
        stream
            .write_all(&vec![7; bytes])
            .await
            .expect("the kernel takes it");
        while monitor.check().is_some() && !reading.is_finished() {
            tokio::time::sleep(cactusnotch_tcp::CHECK_INTERVAL).await;
        }
    };
    written.await;
    drop((stream, monitor));
    reading.join().expect("the peer ends")
}

/// Guards against responses that are cut off since their reader pauses for over a second.
#[tokio::test(flavor = "current_thread")]
async fn a_peer_that_pauses_gets_all() {
    for (window, bytes, pause) in [
        (2_048, 5_700, 3_000),
        (2_048, 64_000, 5_000),
        (32_768, 200_000, 2_500),
    ] {
        let pause = Duration::from_millis(pause);
        let (received, end) = received(window, bytes, pause, f64::MAX).await;
        assert_eq!(
            (received, end.ok()),
            (bytes, Some(0)),
            "{window}, {pause:?}"
        );
    }
}

/// Guards against responses that are cut off since their reader is slow, without any pause.
#[tokio::test(flavor = "current_thread")]
async fn a_peer_that_reads_slowly_gets_all() {
    for window in [2_048, 4_096, 65_536] {
        let (received, end) = received(window, 64_000, Duration::ZERO, RATE).await;
        assert_eq!((received, end.ok()), (64_000, Some(0)), "{window}");
    }
}
