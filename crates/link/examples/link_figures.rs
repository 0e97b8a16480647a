//! Measures links on loopback: opening, round trips, throughput and the traffic
//! of an idle link.
//!
//! Run it with `cargo run --release -p cactusnotch-link --example link_figures`.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::number::Incarnation;
use cactusnotch_link::{Identity, Link, Listener, Options, Role, Secret, dial};
use hdrhistogram::Histogram;

const DIALS: u32 = 300;
const ROUND_TRIPS: u32 = 20_000;
const MESSAGES: u32 = 300_000;
const MESSAGE_LENGTH: usize = 200;
const IDLE_TIME: Duration = Duration::from_secs(10);

type Failure = Box<dyn std::error::Error>;

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let mut listener = Listener::<String>::bind("127.0.0.1:0", options("acceptor")?).await?;
    let address = listener.address();
    tokio::spawn(async move {
        while let Some(link) = listener.accept().await {
            if let Ok(link) = link {
                tokio::spawn(echo(link));
            }
        }
    });
    let options = options("dialer")?;
    opening(address, &options).await?;
    round_trips(address, &options).await?;
    throughput(address, &options).await?;
    idle(address, &options).await
}

fn options(name: &str) -> Result<Options, Failure> {
    let identity = Identity {
        process: name.into(),
        role: Role::Entry,
        host: "host-1".into(),
        data_centre: "east".into(),
        incarnation: Incarnation(1),
    };
    let secret = Secret::new("a secret for figures only")?;
    Ok(Options::new(identity, vec![secret]))
}

async fn echo(link: Link<String>) {
    let (sender, mut receiver) = link.split();
    while let Some(Ok(message)) = receiver.recv().await {
        if sender.send(&message).await.is_err() {
            return;
        }
    }
}

async fn opening(address: SocketAddr, options: &Options) -> Result<(), Failure> {
    let mut times = Histogram::<u64>::new(3)?;
    for _ in 0..DIALS {
        let start = clock::now();
        let link = dial::<String>(address, options).await?;
        times.record(micros(start))?;
        drop(link);
    }
    print("open a link, proofs and upgrade", &times);
    Ok(())
}

async fn round_trips(address: SocketAddr, options: &Options) -> Result<(), Failure> {
    let (sender, mut receiver) = dial::<String>(address, options).await?.split();
    let message = "x".repeat(MESSAGE_LENGTH);
    let mut times = Histogram::<u64>::new(3)?;
    for _ in 0..ROUND_TRIPS {
        let start = clock::now();
        sender.send(&message).await?;
        receiver.recv().await.ok_or("closed")??;
        times.record(micros(start))?;
    }
    print("round trip of 200 bytes", &times);
    Ok(())
}

async fn throughput(address: SocketAddr, options: &Options) -> Result<(), Failure> {
    let (sender, mut receiver) = dial::<String>(address, options).await?.split();
    let message = "x".repeat(MESSAGE_LENGTH);
    let start = clock::now();
    let sending = tokio::spawn(async move {
        for _ in 0..MESSAGES {
            sender.send(&message).await?;
        }
        Ok::<_, cactusnotch_link::Error>(sender)
    });
    for _ in 0..MESSAGES {
        receiver.recv().await.ok_or("closed")??;
    }
    let rate = f64::from(MESSAGES) / start.elapsed().as_secs_f64();
    let sender = sending.await??;
    let bytes = sender.stats().bytes_out() / u64::from(MESSAGES);
    println!("echoed messages of 200 bytes: {rate:.0}/s each way, {bytes} bytes each");
    Ok(())
}

async fn idle(address: SocketAddr, options: &Options) -> Result<(), Failure> {
    let (sender, _receiver) = dial::<String>(address, options).await?.split();
    let stats = sender.stats();
    let before = (stats.bytes_in(), stats.bytes_out());
    println!("opening: {} bytes in, {} bytes out", before.0, before.1);
    tokio::time::sleep(IDLE_TIME).await;
    let seconds = IDLE_TIME.as_secs();
    let incoming = (stats.bytes_in() - before.0) / seconds;
    let outgoing = (stats.bytes_out() - before.1) / seconds;
    println!("idle link: {incoming} bytes/s in, {outgoing} bytes/s out, before TCP's headers");
    Ok(())
}

fn micros(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}

fn print(what: &str, times: &Histogram<u64>) {
    let (median, late) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    println!("{what}: median {median} us, p99 {late} us");
}
