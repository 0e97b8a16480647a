//! The table of metrics, the scrape and the summary of counters.

use cactusnotch_telemetry::counters::Summary;
use cactusnotch_telemetry::{Exporter, metric};

#[test]
fn operators_page_is_the_table() {
    let committed = include_str!("../../../docs/operators/metrics.md");
    assert_eq!(committed, metric::page());
}

#[test]
fn table_is_sorted_and_found_by_name() {
    assert!(metric::TABLE.is_sorted_by(|left, right| left.name < right.name));
    for row in metric::TABLE {
        assert_eq!(metric::find(row.name), Some(row));
    }
    assert_eq!(metric::find("unknown"), None);
}

#[test]
fn scrape_shows_the_process_and_what_metrics_mean() {
    let (recorder, exporter) = Exporter::recorder().unwrap();
    let scrape = metrics::with_local_recorder(&recorder, || {
        metric::describe();
        exporter.render()
    });
    let value = |name: &str| -> f64 {
        let sample = scrape
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        sample
            .unwrap_or_else(|| panic!("{name} isn't in\n{scrape}"))
            .parse()
            .unwrap()
    };
    assert!(value(metric::PROCESS_RESIDENT) > 0.0);
    assert!(value(metric::PROCESS_RESIDENT_PEAK) >= value(metric::PROCESS_RESIDENT));
    assert!(value(metric::PROCESS_CPU) >= 0.0);
    assert!(scrape.contains("# TYPE process_cpu_microseconds_total counter"));
    assert!(scrape.contains("# HELP process_resident_memory_bytes Resident memory"));
}

#[test]
fn counters_line_holds_only_what_changed() {
    let mut summary = Summary::default();
    let first = "# TYPE a counter\na 1\nb{x=\"y z\"} 2\nc_bucket{le=\"1\"} 3\n";
    assert_eq!(summary.next(first).as_deref(), Some("a=1 b{x=\"y z\"}=2"));
    assert_eq!(summary.next(first), None);
    assert_eq!(
        summary.next("a 1\nb{x=\"y z\"} 5\n").as_deref(),
        Some("b{x=\"y z\"}=5")
    );
}
