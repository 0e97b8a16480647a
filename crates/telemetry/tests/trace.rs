//! Trace contexts and spans.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cactusnotch_base::clock::Manual;
use cactusnotch_telemetry::log;
use cactusnotch_telemetry::trace::{Context, Span};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use tracing::level_filters::LevelFilter;

const HEADER: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

/// A buffer of log lines that a test can read.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Lines {
    fn take(&self) -> Vec<Value> {
        let bytes = std::mem::take(&mut *self.0.lock().unwrap());
        let text = String::from_utf8(bytes).unwrap();
        text.lines()
            .map(|line| serde_json::from_str(line).unwrap())
            .collect()
    }
}

#[test]
fn hops_share_a_trace_and_name_their_parents() {
    let lines = Lines::default();
    let writer = lines.clone();
    let subscriber = log::json(LevelFilter::INFO, move || writer.clone());
    let clock = Manual::new(Duration::ZERO);
    let mut random = StdRng::seed_from_u64(1);
    tracing::subscriber::with_default(subscriber, || {
        let caller: Context = HEADER.parse().unwrap();
        let entry = Span::child("entry", &caller, &mut random, clock.clone());
        let header = entry.context().to_string();
        let received: Context = header.parse().unwrap();
        let agent = Span::child("agent", &received, &mut random, clock.clone());
        clock.advance(Duration::from_millis(3));
        drop(agent);
        clock.advance(Duration::from_millis(2));
        entry.finish("ok");
        let unsampled = Context {
            sampled: false,
            ..caller
        };
        Span::child("silent", &unsampled, &mut random, clock.clone()).finish("ok");
    });
    let spans = lines.take();
    let [agent, entry] = spans.as_slice() else {
        panic!("two spans are expected, not {spans:?}");
    };
    assert_eq!(entry["trace_id"], "4bf92f3577b34da6a3ce929d0e0e4736");
    assert_eq!(entry["parent_id"], "00f067aa0ba902b7");
    assert_eq!(agent["trace_id"], entry["trace_id"]);
    assert_eq!(agent["parent_id"], entry["span_id"]);
    assert_eq!(
        (&agent["name"], &agent["outcome"]),
        (&"agent".into(), &"dropped".into())
    );
    assert_eq!(
        (&entry["name"], &entry["outcome"]),
        (&"entry".into(), &"ok".into())
    );
    assert_eq!(agent["duration_us"], 3000);
    assert_eq!(entry["duration_us"], 5000);
}

#[test]
fn malformed_headers_start_a_new_trace() {
    let mut random = StdRng::seed_from_u64(2);
    for header in [
        "",
        "00",
        "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
        "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-1",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more",
        "00-+bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e473é-00f067aa0ba902b7-01",
    ] {
        assert!(header.parse::<Context>().is_err(), "{header}");
        let context = Context::from_header(Some(header), &mut random, false);
        assert!(!context.to_string().contains("4bf92f3577b34da6"));
    }
    let later = "cc-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-03-what the future will be";
    assert_eq!(later.parse::<Context>().unwrap().to_string(), HEADER);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn contexts_survive_headers(seed: u64, sampled: bool) {
        let context = Context::root(&mut StdRng::seed_from_u64(seed), sampled);
        prop_assert_eq!(context.to_string().parse::<Context>(), Ok(context));
    }

    #[test]
    fn any_text_is_read_without_a_panic(text in "\\PC{0,80}") {
        let _ = text.parse::<Context>();
    }
}
