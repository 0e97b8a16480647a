//! Prints `docs/operators/metrics.md`.

fn main() {
    print!("{}", cactusnotch_telemetry::metric::page());
}
