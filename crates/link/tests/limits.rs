//! Limits of a link: idle peers, slow receivers and large messages.
#![expect(
    clippy::disallowed_methods,
    reason = "time bounds are exact under the runtime's paused clock"
)]

mod common;

use std::time::Duration;

use cactusnotch_link::error::Cause;
use cactusnotch_link::{Link, Options, Reason, accept_on, dial_on};
use common::options;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{DuplexStream, copy_bidirectional, duplex};
use tokio::time::Instant;

const PIPE: usize = 1 << 16;

async fn pair<A, B>(left: &Options, right: &Options) -> (Link<A>, Link<B>)
where
    A: Serialize + DeserializeOwned + Send + 'static,
    B: Serialize + DeserializeOwned + Send + 'static,
{
    let (near, far) = duplex(PIPE);
    let (left, right) = tokio::join!(dial_on(near, "right", left), accept_on(far, "left", right));
    (left.unwrap(), right.unwrap())
}

/// Forwards bytes between two pipes until the returned sender is signalled.
fn wire() -> (DuplexStream, DuplexStream, tokio::sync::oneshot::Sender<()>) {
    let (near, mut inner_near) = duplex(PIPE);
    let (far, mut inner_far) = duplex(PIPE);
    let (cut, cut_seen) = tokio::sync::oneshot::channel();
    tokio::spawn(async move {
        tokio::select! {
            _ = copy_bidirectional(&mut inner_near, &mut inner_far) => {}
            _ = cut_seen => std::future::pending().await,
        }
    });
    (near, far, cut)
}

#[tokio::test(start_paused = true)]
async fn half_open_connection_is_found_in_time() {
    let options = options("peer");
    let (near, far, cut) = wire();
    let (dialed, accepted) = tokio::join!(
        dial_on::<String, _>(near, "far", &options),
        accept_on::<String, _>(far, "near", &options)
    );
    let (sender, mut receiver) = dialed.unwrap().split();
    let _peer = accepted.unwrap();

    let quiet = options.idle_timeout * 20;
    let ended = tokio::time::timeout(quiet, sender.closed()).await;
    assert!(
        ended.is_err(),
        "pings keep a quiet link open, but it {ended:?}"
    );

    cut.send(()).unwrap();
    let start = Instant::now();
    let error = receiver.recv().await.unwrap().unwrap_err();
    assert!(
        matches!(error.cause, Cause::Closed(Reason::Idle(_))),
        "{error}"
    );
    assert!(start.elapsed() <= options.idle_timeout * 5 / 4);
    assert!(start.elapsed() + options.ping_interval >= options.idle_timeout);
    assert!(receiver.recv().await.is_none());
    let late = sender.try_send(&"late".to_owned()).unwrap_err();
    assert!(
        matches!(late.cause, Cause::Closed(Reason::Idle(_))),
        "{late}"
    );
}

#[tokio::test(start_paused = true)]
async fn slow_receiver_bounds_the_queue_and_keeps_the_link() {
    const MESSAGE: usize = 10_000;
    const SLOW: u64 = 20;
    let options = Options {
        queue_bytes: 1 << 20,
        frame_limit: 1 << 16,
        ..options("peer")
    };
    let (left, right) = pair::<(u64, Vec<u8>), (u64, Vec<u8>)>(&options, &options).await;
    let (sender, _left_receiver) = left.split();
    let (_right_sender, mut receiver) = right.split();

    let payload = vec![b'x'; MESSAGE];
    let mut sent = 0;
    let mut refusals = 0;
    // Enough rounds for the tasks to fill all buffers.
    while refusals < 100 {
        match sender.try_send(&(sent, payload.clone())) {
            Ok(()) => sent += 1,
            Err(error) => {
                assert!(matches!(error.cause, Cause::Full { .. }), "{error}");
                refusals += 1;
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    }
    let waiting = usize::try_from(sent).unwrap() * MESSAGE;
    let bound = 2 * options.queue_bytes + PIPE + 8 * options.frame_limit;
    assert!(
        waiting <= bound,
        "{waiting} bytes wait, {bound} are allowed"
    );

    for number in 0..sent {
        if number < SLOW {
            tokio::time::sleep(options.idle_timeout * 2).await;
        }
        let (found, _) = receiver.recv().await.unwrap().unwrap();
        assert_eq!(found, number);
    }
    sender.send(&(sent, payload)).await.unwrap();
    assert_eq!(receiver.recv().await.unwrap().unwrap().0, sent);
}

#[tokio::test]
async fn oversized_message_is_refused_on_both_sides() {
    let small = Options {
        frame_limit: 1000,
        ..options("small")
    };
    let (large, small) = pair::<String, String>(&options("large"), &small).await;
    let (large, _large_receiver) = large.split();
    let (small, mut receiver) = small.split();
    let text = "x".repeat(2000);
    let error = small.try_send(&text).unwrap_err();
    assert!(
        matches!(error.cause, Cause::Oversized { limit: 1000, .. }),
        "{error}"
    );
    large.try_send(&text).unwrap();
    let error = receiver.recv().await.unwrap().unwrap_err();
    assert!(
        matches!(error.cause, Cause::Oversized { limit: 1000, .. }),
        "{error}"
    );
    assert!(receiver.recv().await.is_none());
    let reason = large.closed().await;
    assert!(
        matches!(&reason, Reason::Peer(text) if text.contains("exceeds")),
        "{reason}"
    );
}

#[tokio::test]
async fn undecodable_message_leaves_the_link_open() {
    let (left, right) = pair::<String, u64>(&options("left"), &options("right")).await;
    let (sender, _left_receiver) = left.split();
    let (_right_sender, mut receiver) = right.split();
    for _ in 0..2 {
        sender.try_send(&"no number".to_owned()).unwrap();
        let error = receiver.recv().await.unwrap().unwrap_err();
        assert!(matches!(error.cause, Cause::Malformed(_)), "{error}");
    }
    drop(sender);
    assert!(receiver.recv().await.is_none());
}
