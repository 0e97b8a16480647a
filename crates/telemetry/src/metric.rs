//! All metrics of the system in one table.

use std::fmt::Write as _;

use derive_more::Display;
use metrics::Unit;

/// The kind of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Kind {
    /// A number that only grows during the lifetime of the process.
    #[display("counter")]
    Counter,
    /// A number that can increase and decrease.
    #[display("gauge")]
    Gauge,
    /// A distribution, in buckets.
    #[display("histogram")]
    Histogram,
}

/// The description of a metric.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Metric {
    /// The name in the scrape.
    pub name: &'static str,
    /// The kind.
    pub kind: Kind,
    /// The unit of its values.
    pub unit: Unit,
    /// The labels that distinguish its series.
    pub labels: &'static [&'static str],
    /// The help text.
    pub help: &'static str,
}

macro_rules! metrics {
    ($($constant:ident = $name:literal, $kind:ident, $unit:ident, [$($label:literal),*], $help:literal;)*) => {
        $(
            #[doc = $help]
            pub const $constant: &str = $name;
        )*

        /// All metrics, in the order of their names.
        pub const TABLE: &[Metric] = &[$(
            Metric {
                name: $name,
                kind: Kind::$kind,
                unit: Unit::$unit,
                labels: &[$($label),*],
                help: $help,
            },
        )*];
    };
}

metrics! {
    AGENT_LINKS_OVERRUN = "cactusnotch_agent_links_overrun_total", Counter, Count, [],
        "Links that an agent gave up since the entry took its pieces too slowly.";
    AGENT_RUNS = "cactusnotch_agent_runs_total", Counter, Count, ["outcome"],
        "Runs at the endpoint, by outcome: ok, not-run or unknown.";
    ENTRY_CLAIM_BATCHES = "cactusnotch_entry_claim_batches_total", Counter, Count, [],
        "Batches of claims that this entry tried to record in the platform.";
    ENTRY_CLAIM_OWNER_TIMEOUTS = "cactusnotch_entry_claim_owner_timeouts_total", Counter, Count, [],
        "Claims that another entry was asked to record and did not answer in time.";
    ENTRY_CONNECTIONS_BROKEN = "cactusnotch_entry_connections_broken_total", Counter, Count, [],
        "Callers' connections that broke or sent no valid HTTP.";
    ENTRY_FIRST_PIECE = "cactusnotch_entry_first_piece_seconds", Histogram, Seconds, [],
        "Time from a request's start, after it was let in, to its answer's first piece.";
    ENTRY_FOREIGN_REPLIES = "cactusnotch_entry_foreign_replies_total", Counter, Count, [],
        "Replies that came from another endpoint than the one asked, and were dropped.";
    ENTRY_LINKS_BEYOND_SUBSET = "cactusnotch_entry_links_beyond_subset_total", Counter, Count, [],
        "Links made to agents outside the entry's subset, for held runs and tickets.";
    ENTRY_REFUSALS = "cactusnotch_entry_refusals_total", Counter, Count, ["outcome"],
        "Requests refused before an endpoint was asked, by outcome.";
    ENTRY_REQUESTS = "cactusnotch_entry_requests_total", Counter, Count, ["outcome"],
        "Requests that were let in, by outcome: ok, not-run, unknown or caller-gone.";
    GATEWAY_COLD = "cactusnotch_gateway_cold_endpoints", Gauge, Count, [],
        "Endpoints that take few requests, since they have started lately.";
    GATEWAY_CONNECTIONS_OPENED = "cactusnotch_gateway_connections_opened_total", Counter, Count, [],
        "Connections that an entry opened to endpoints it calls directly.";
    GATEWAY_CRASHES = "cactusnotch_gateway_crashes_total", Counter, Count, [],
        "Endpoints that this entry saw end under a request which had given nothing yet, one for each such request.";
    GATEWAY_EVACUATED = "cactusnotch_gateway_evacuated_data_centres", Gauge, Count, [],
        "Data centres that operators have emptied, whose endpoints get nothing.";
    GATEWAY_FORECAST_ERROR = "cactusnotch_gateway_forecast_error_seconds", Histogram, Seconds, [],
        "Time by which the first event of a stream came sooner or later than was expected when it was sent.";
    GATEWAY_GROUP_FILL = "cactusnotch_gateway_group_fill_ratio", Gauge, Count, ["group"],
        "Requests for each slot of a group of ranks, as this entry knows them from load reports.";
    GATEWAY_GROUP_LIMIT = "cactusnotch_gateway_group_limit_ratio", Gauge, Count, ["group"],
        "Limit of the requests for each slot of a group of ranks, as this entry applies it.";
    GATEWAY_HELD = "cactusnotch_gateway_held_requests", Gauge, Count, [],
        "Requests and parts of prompts that are kept from endpoints, since they end those that run them.";
    GATEWAY_LIMITED = "cactusnotch_gateway_limited_endpoints", Gauge, Count, [],
        "Endpoints that are believed to name a rate limit for all entries together.";
    GATEWAY_OVERLOAD_REFUSALS = "cactusnotch_gateway_overload_refusals_total", Counter, Count,
        ["class", "cause"],
        "Requests that the waiting queue refused, by class and by cause: hopeless, expired or full.";
    GATEWAY_REFUSALS = "cactusnotch_gateway_refusals_total", Counter, Count, [],
        "Requests refused before an endpoint was chosen.";
    GATEWAY_REPEATS = "cactusnotch_gateway_repeats_total", Counter, Count, [],
        "Requests and streams sent to a further endpoint, each charged to the retry budget.";
    GATEWAY_SECONDS = "cactusnotch_gateway_request_seconds", Histogram, Seconds, [],
        "Time from a request's arrival to the end of its answer.";
    GATEWAY_REQUESTS = "cactusnotch_gateway_requests_total", Counter, Count, [],
        "Requests that were let in and have ended.";
    GATEWAY_RESTING = "cactusnotch_gateway_resting_endpoints", Gauge, Count, [],
        "Endpoints that this entry sends nothing to, since they have asked it for rest.";
    GATEWAY_RETRIES_DENIED = "cactusnotch_gateway_retries_denied_total", Counter, Count, [],
        "Times that the retry budget was asked for a further send of a request and had no credit.";
    GATEWAY_SPOILT = "cactusnotch_gateway_spoilt_streams_total", Counter, Count, ["cause"],
        "Streams in which an endpoint sent bytes that are no event, by cause.";
    GATEWAY_ERAS = "cactusnotch_gateway_store_eras_total", Counter, Count, [],
        "Times that the store was found to have come back from an older copy, or to have done so before the start.";
    GATEWAY_STREAM_GAP = "cactusnotch_gateway_stream_gap_seconds", Histogram, Seconds, [],
        "Longest time between two events of a stream, as they were handed to its caller.";
    GATEWAY_MOVED = "cactusnotch_gateway_streams_moved_total", Counter, Count, [],
        "Streams that were moved away from an endpoint far slower than others.";
    GATEWAY_THROTTLED = "cactusnotch_gateway_throttled_requests_total", Counter, Count, [],
        "Requests refused since all endpoints that could take them get no more for now, as they say themselves.";
    GATEWAY_UNDELIVERED = "cactusnotch_gateway_undelivered_total", Counter, Count, [],
        "Complete responses whose callers' connections ended before they had acknowledged them.";
    GATEWAY_UNREADABLE = "cactusnotch_gateway_unreadable_objects_total", Counter, Count, [],
        "Objects of the store that could not be read and name nothing to use, each counted once for each reason.";
    GATEWAY_WAIT = "cactusnotch_gateway_wait_seconds", Histogram, Seconds, ["class"],
        "Time that requests waited for free capacity until they started or ended.";
    GATEWAY_WAITING = "cactusnotch_gateway_waiting_requests", Gauge, Count, ["class"],
        "Requests that wait for free capacity.";
    GATEWAY_WAITED = "cactusnotch_gateway_waits_total", Counter, Count, [],
        "Callers refused before that waited at an entry until there was room, or in vain.";
    GROUP_LIMIT = "cactusnotch_group_limit_ratio", Gauge, Count, [],
        "Limit of a group's running requests for each slot, as its leader states it.";
    GROUP_REPORTS_UNCOUNTED = "cactusnotch_group_reports_uncounted_total", Counter, Count, [],
        "Reports of ranks that were repeated, too old or invalid.";
    GROUP_SKEW = "cactusnotch_group_skew_ratio", Gauge, Count, [],
        "Time of a group's slowest rank over that of an even share at the usual pace, as the last round of its leader found it.";
    GROUP_SWITCHES = "cactusnotch_group_switches_total", Counter, Count, [],
        "Expert maps that came in force at this rank.";
    HOST_SLEEPS = "cactusnotch_host_sleeps_total", Counter, Count, [],
        "Times that a process noticed that its host had been suspended.";
    LINK_BYTES = "cactusnotch_link_bytes_total", Counter, Bytes, ["direction"],
        "Bytes on the links between processes, handshakes and framing included.";
    LINK_CLOSED = "cactusnotch_link_closed_total", Counter, Count, ["reason"],
        "Links that have ended, by reason: local, peer, idle or failed.";
    LINK_HANDSHAKE_FAILURES = "cactusnotch_link_handshake_failures_total", Counter, Count,
        ["step", "cause"],
        "Links that could not be opened, by the step that failed and its cause.";
    LINK_MESSAGES = "cactusnotch_link_messages_total", Counter, Count, ["direction"],
        "Messages on the links between processes.";
    LINK_OPENED = "cactusnotch_link_opened_total", Counter, Count, [],
        "Links that have been opened.";
    LISTING_PAGES = "cactusnotch_listing_pages_total", Counter, Count, ["kind"],
        "Pages of listings that the platform's store answered, by kind of objects.";
    LISTINGS_FAILED = "cactusnotch_listings_failed_total", Counter, Count, ["kind"],
        "Listings that ended without all objects, by kind of objects.";
    LOG_LINES_DROPPED = "cactusnotch_log_lines_dropped_total", Counter, Count, [],
        "Log lines that were dropped since standard output was not read fast enough.";
    NODE_PLATFORM_FAILURES = "cactusnotch_node_platform_failures_total", Counter, Count, [],
        "Calls to the platform for settings and roster that brought no answer.";
    NODE_REVISION = "cactusnotch_node_revision", Gauge, Count, [],
        "The revision of the settings in force in this process.";
    PROCESS_CPU = "process_cpu_microseconds_total", Counter, Microseconds, [],
        "User and system processor time of the process.";
    PROCESS_RESIDENT = "process_resident_memory_bytes", Gauge, Bytes, [],
        "Resident memory of the process.";
    PROCESS_RESIDENT_PEAK = "process_resident_memory_peak_bytes", Gauge, Bytes, [],
        "The most resident memory that the process has had.";
}

/// Returns the metric called `name`.
#[must_use]
pub fn find(name: &str) -> Option<&'static Metric> {
    let at = TABLE.binary_search_by(|metric| metric.name.cmp(name));
    at.ok().map(|at| &TABLE[at])
}

/// Registers the unit and the help text of every metric with the installed
/// recorder.
pub fn describe() {
    for metric in TABLE {
        match metric.kind {
            Kind::Counter => metrics::describe_counter!(metric.name, metric.unit, metric.help),
            Kind::Gauge => metrics::describe_gauge!(metric.name, metric.unit, metric.help),
            Kind::Histogram => metrics::describe_histogram!(metric.name, metric.unit, metric.help),
        }
    }
}

/// Returns the operators' page of metrics, as Markdown.
#[must_use]
pub fn page() -> String {
    let mut page = String::from(
        "# Metrics\n\n\
         Made by `cargo run -p cactusnotch-telemetry --example metrics_page`; \
         a test compares it with the table in the code.\n\n\
         | Name | Kind | Unit | Labels | Meaning |\n\
         |---|---|---|---|---|\n",
    );
    for metric in TABLE {
        let labels: Vec<String> = metric.labels.iter().map(|l| format!("`{l}`")).collect();
        let _ = writeln!(
            page,
            "| `{}` | {} | {} | {} | {} |",
            metric.name,
            metric.kind,
            metric.unit.as_str(),
            labels.join(", "),
            metric.help
        );
    }
    page
}
