//! The handshake accepts members of the cluster and refuses all other peers.
#![expect(
    clippy::disallowed_methods,
    reason = "time bounds are exact under the runtime's paused clock"
)]

mod common;

use std::time::Duration;

use cactusnotch_link::error::{Cause, Step};
use cactusnotch_link::{Error, Link, Listener, Options, Secret, accept_on, dial, dial_on};
use ciborium::Value;
use common::options;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::net::TcpStream;

const PIPE: usize = 1 << 16;

type Opened = Result<Link<String>, Error>;

fn secret(text: &str) -> Secret {
    Secret::new(text).unwrap()
}

fn with_secrets(texts: &[&str]) -> Options {
    Options {
        secrets: texts.iter().map(|text| secret(text)).collect(),
        ..options("peer")
    }
}

/// Opens a link between the two sides over a pipe.
async fn open(dialer: &Options, acceptor: &Options) -> (Opened, Opened) {
    let (near, far) = duplex(PIPE);
    tokio::join!(
        dial_on(near, "the acceptor", dialer),
        accept_on(far, "the dialer", acceptor)
    )
}

fn refusal(opened: Opened) -> Error {
    opened.expect_err("the peer has to be refused")
}

#[tokio::test]
async fn forged_secret_is_refused() {
    let forged = with_secrets(&["quite another secret of some cluster"]);
    let (dialed, accepted) = open(&forged, &options("agent")).await;
    let (dialed, accepted) = (refusal(dialed), refusal(accepted));
    assert!(matches!(accepted.cause, Cause::Forged), "{accepted}");
    assert!(matches!(dialed.cause, Cause::Refused(_)), "{dialed}");
    assert_eq!((accepted.step, dialed.step), (Step::Proof, Step::Proof));
    assert_eq!(&*accepted.peer, "the dialer (peer)");
    assert!(!format!("{forged:?}").contains("another"));
}

#[tokio::test]
async fn other_version_is_refused_by_both_sides() {
    let newer = Options {
        version: 2,
        ..options("newer")
    };
    let (dialed, accepted) = open(&newer, &options("agent")).await;
    let accepted = refusal(accepted);
    assert!(
        matches!(accepted.cause, Cause::Version { theirs: 2, ours: 1 }),
        "{accepted}"
    );
    let dialed = refusal(dialed);
    assert!(
        matches!(dialed.cause, Cause::Version { theirs: 1, ours: 2 }),
        "{dialed}"
    );
}

#[tokio::test]
async fn secrets_rotate_without_a_refusal() {
    let old = with_secrets(&["the old secret of the cluster"]);
    let both = with_secrets(&[
        "the new secret of the cluster",
        "the old secret of the cluster",
    ]);
    let new = with_secrets(&["the new secret of the cluster"]);
    for (dialer, acceptor) in [(&old, &both), (&both, &old), (&new, &both), (&both, &new)] {
        let (dialed, accepted) = open(dialer, acceptor).await;
        assert!(dialed.is_ok() && accepted.is_ok());
    }
    let (dialed, accepted) = open(&new, &old).await;
    assert!(dialed.is_err() && accepted.is_err());
}

#[tokio::test]
async fn empty_secret_list_refuses_all_peers() {
    let none = with_secrets(&[]);
    let (dialed, accepted) = open(&none, &none).await;
    assert!(dialed.is_err() && accepted.is_err());
}

async fn read_message(stream: &mut DuplexStream) -> Vec<u8> {
    let mut bytes = vec![0; stream.read_u32().await.unwrap() as usize];
    stream.read_exact(&mut bytes).await.unwrap();
    bytes
}

async fn write_message(stream: &mut DuplexStream, bytes: &[u8]) {
    stream
        .write_u32(u32::try_from(bytes.len()).unwrap())
        .await
        .unwrap();
    stream.write_all(bytes).await.unwrap();
}

/// An unauthenticated peer reflects the dialer's hello and proof.
#[tokio::test(start_paused = true)]
async fn reflected_proof_is_refused() {
    let (near, mut stranger) = duplex(PIPE);
    let options = options("entry");
    let dialing = tokio::spawn(async move { dial_on::<String, _>(near, "mirror", &options).await });
    let hello = read_message(&mut stranger).await;
    write_message(&mut stranger, &hello).await;
    let proof = read_message(&mut stranger).await;
    let proof: Value = ciborium::from_reader(proof.as_slice()).unwrap();
    let verdict = Value::Map(vec![(Value::Text("Accepted".into()), proof)]);
    let mut bytes = Vec::new();
    ciborium::into_writer(&verdict, &mut bytes).unwrap();
    write_message(&mut stranger, &bytes).await;
    let error = refusal(dialing.await.unwrap());
    assert!(matches!(error.cause, Cause::Forged), "{error}");
}

/// The paused clock advances only to timers, so the time bound is exact.
#[tokio::test(start_paused = true)]
async fn slow_handshake_is_cut_off_in_time() {
    let options = Options {
        handshake_timeout: Duration::from_secs(7),
        ..options("agent")
    };
    let (near, mut far) = duplex(PIPE);
    far.write_all(&[0, 0, 1]).await.unwrap();
    let start = tokio::time::Instant::now();
    let error = refusal(accept_on(near, "snail", &options).await);
    assert!(matches!(error.cause, Cause::Timeout(_)), "{error}");
    assert_eq!(error.step, Step::Hello);
    assert_eq!(start.elapsed(), options.handshake_timeout);
}

/// A member connects while unauthenticated peers of several kinds occupy the
/// listener.
#[tokio::test]
async fn hostile_strangers_are_refused_and_disturb_nobody() {
    let mut listener = Listener::<String>::bind("127.0.0.1:0", options("agent"))
        .await
        .unwrap();
    let address = listener.address();
    let stranger = || async { TcpStream::connect(address).await.unwrap() };
    let mut idle = Vec::new();
    for _ in 0..50 {
        idle.push(stranger().await);
    }
    let refused_for = async |listener: &mut Listener<String>, bytes: &[u8]| {
        let mut stream = stranger().await;
        stream.write_all(bytes).await.unwrap();
        stream.shutdown().await.unwrap();
        refusal(listener.accept().await.unwrap())
    };

    let oversized = refused_for(&mut listener, &u32::MAX.to_be_bytes()).await;
    let limit = options("agent").handshake_limit;
    assert!(
        matches!(oversized.cause, Cause::Oversized { limit: l, .. } if l == limit),
        "{oversized}"
    );
    let truncated = refused_for(&mut listener, b"\x00\x00\x00\x10half").await;
    assert!(matches!(truncated.cause, Cause::Io(_)), "{truncated}");
    let garbage = refused_for(&mut listener, b"\x00\x00\x00\x04\xff\xff\xff\xff").await;
    assert!(matches!(garbage.cause, Cause::Malformed(_)), "{garbage}");
    let http = refused_for(&mut listener, b"GET / HTTP/1.1\r\n\r\n").await;
    assert!(matches!(http.cause, Cause::Oversized { .. }), "{http}");

    let member = dial::<String>(address, &options("entry")).await.unwrap();
    let (sender, _receiver) = member.split();
    sender.try_send(&"in".to_owned()).unwrap();
    let (_sender, mut receiver) = listener.accept().await.unwrap().unwrap().split();
    assert_eq!(receiver.recv().await.unwrap().unwrap(), "in");
    assert_eq!(listener.refused(), 4);
}
