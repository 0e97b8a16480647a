//! The metrics of links.

mod common;

use cactusnotch_link::{Options, Secret, accept_on, dial_on};
use cactusnotch_telemetry::{Exporter, metric};
use common::options;

async fn exercise_links() -> u64 {
    let forged = Options {
        secrets: vec![Secret::new("quite another secret").unwrap()],
        ..options("stranger")
    };
    let mut sent = 0;
    for dialer in [options("entry"), forged] {
        let (near, far) = tokio::io::duplex(1 << 16);
        let agent = options("agent");
        let (dialed, accepted) = tokio::join!(
            dial_on::<String, _>(near, "agent", &dialer),
            accept_on::<String, _>(far, "entry", &agent)
        );
        let (Ok(dialed), Ok(accepted)) = (dialed, accepted) else {
            continue;
        };
        let (sender, _receiver) = dialed.split();
        let (_back, mut receiver) = accepted.split();
        sender.send(&"counted".to_owned()).await.unwrap();
        receiver.recv().await.unwrap().unwrap();
        sender.close("done").await;
        sender.closed().await;
        receiver.closed().await;
        sent += sender.stats().bytes_out();
        assert_eq!(sender.stats().messages_out(), 1);
        assert_eq!(receiver.stats().messages_in(), 1);
        assert_eq!(receiver.stats().bytes_in(), sender.stats().bytes_out());
    }
    sent
}

#[test]
fn every_counter_is_exported_and_in_the_table() {
    let (recorder, exporter) = Exporter::recorder().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let scrape = metrics::with_local_recorder(&recorder, || {
        let sent = runtime.block_on(exercise_links());
        assert!(sent > 0);
        exporter.render()
    });
    for sample in scrape
        .lines()
        .filter(|line| !line.starts_with('#') && !line.is_empty())
    {
        let name = sample.split(['{', ' ']).next().unwrap();
        assert!(metric::find(name).is_some(), "{name} isn't in the table");
    }
    for expected in [
        "cactusnotch_link_opened_total 2",
        "cactusnotch_link_messages_total{direction=\"in\"} 1",
        "cactusnotch_link_messages_total{direction=\"out\"} 1",
        "cactusnotch_link_closed_total{reason=\"local\"} 1",
        "cactusnotch_link_closed_total{reason=\"peer\"} 1",
        "cactusnotch_link_handshake_failures_total{step=\"proof\",cause=\"forged\"} 1",
        "cactusnotch_link_handshake_failures_total{step=\"proof\",cause=\"refused\"} 1",
    ] {
        assert!(scrape.contains(expected), "{expected} isn't in\n{scrape}");
    }
}
