//! Passing on the bytes of one direction of a connection.

use std::sync::Arc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use hyper::body::Bytes;
use rand::Rng;
use rand::rngs::StdRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};

use super::connection::up_to;
use super::control::{Control, Direction, Shared};

/// The largest chunk that is read at once, in bytes.
const CHUNK: usize = 16 << 10;

/// The largest number of chunks that are under way.
const UNDER_WAY: usize = 256;

/// Tells that the connection is to be broken off.
pub(crate) struct Cut;

/// One direction of a connection.
pub(crate) struct Pump {
    pub(crate) shared: Arc<Shared>,
    pub(crate) control: watch::Receiver<Control>,
    pub(crate) direction: Direction,
    pub(crate) extra: Duration,
    pub(crate) random: StdRng,
}

/// Bytes that are under way until they are due; none at the stream's end.
struct Chunk {
    due: Instant,
    bytes: Bytes,
}

/// Passes bytes on until the stream ends.
pub(crate) async fn run(
    mut pump: Pump,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
) -> Result<(), Cut> {
    let (sender, chunks) = mpsc::channel(UNDER_WAY);
    let random = pump.random.clone();
    let arrival = Arrival {
        shared: Arc::clone(&pump.shared),
        control: pump.control.clone(),
        direction: pump.direction,
        extra: pump.extra,
        random,
        last: clock::now(),
    };
    let read = read(arrival, reader, sender);
    tokio::try_join!(read, pump.write(chunks, writer)).map(|_| ())
}

/// When the bytes of one direction are due.
struct Arrival {
    shared: Arc<Shared>,
    control: watch::Receiver<Control>,
    direction: Direction,
    extra: Duration,
    random: StdRng,
    last: Instant,
}

impl Arrival {
    /// Returns when bytes that have come now are due, never before the last.
    fn due(&mut self) -> Instant {
        let line = *self.control.borrow().line(self.direction);
        let jitter = up_to(&mut self.random, line.jitter);
        let delay = line.delay + self.extra + jitter;
        if !delay.is_zero() {
            self.shared.count(|counts| counts.delayed += 1);
        }
        self.last = self.last.max(clock::now() + delay);
        self.last
    }
}

async fn read(
    mut arrival: Arrival,
    mut reader: OwnedReadHalf,
    sender: mpsc::Sender<Chunk>,
) -> Result<(), Cut> {
    let mut buffer = vec![0; CHUNK];
    loop {
        let count = reader.read(&mut buffer).await.map_err(|_| Cut)?;
        let chunk = Chunk {
            due: arrival.due(),
            bytes: Bytes::copy_from_slice(&buffer[..count]),
        };
        sender.send(chunk).await.map_err(|_| Cut)?;
        if count == 0 {
            return Ok(());
        }
    }
}

impl Pump {
    async fn write(
        &mut self,
        mut chunks: mpsc::Receiver<Chunk>,
        mut writer: OwnedWriteHalf,
    ) -> Result<(), Cut> {
        let (mut passed, mut swallows) = (0, false);
        while let Some(Chunk { due, bytes }) = chunks.recv().await {
            tokio::time::sleep(due.remaining()).await;
            self.thawed().await;
            swallows |= self.control.borrow().line(self.direction).half_open;
            if swallows {
                let count = bytes.len() as u64;
                self.shared.count(|counts| counts.swallowed += count);
            } else if bytes.is_empty() {
                return writer.shutdown().await.map_err(|_| Cut);
            } else {
                passed += self.pass(&mut writer, &bytes, passed).await?;
            }
        }
        // Nothing tells the receiver that the sender has gone.
        std::future::pending().await
    }

    /// Waits while the proxy is frozen.
    async fn thawed(&mut self) {
        if self.control.borrow().frozen {
            self.shared.count(|counts| counts.frozen += 1);
        }
        drop(self.control.wait_for(|control| !control.frozen).await);
    }

    /// Writes bytes, up to the cut if there is one, and returns their number.
    async fn pass(
        &mut self,
        writer: &mut OwnedWriteHalf,
        bytes: &[u8],
        passed: u64,
    ) -> Result<u64, Cut> {
        let line = *self.control.borrow().line(self.direction);
        if self.random.random_bool(line.drop) {
            self.shared.count(|counts| counts.dropped += 1);
            return Err(Cut);
        }
        let left = line.cut_at.map(|at| at.saturating_sub(passed));
        let count = bytes.len() as u64;
        if let Some(left) = left.filter(|left| *left <= count) {
            let part = usize::try_from(left).unwrap_or(bytes.len());
            drop(writer.write_all(&bytes[..part]).await);
            self.shared.count(|counts| counts.cut_at += 1);
            return Err(Cut);
        }
        writer.write_all(bytes).await.map_err(|_| Cut)?;
        Ok(count)
    }
}
