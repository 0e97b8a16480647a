//! Names of the metrics that links report.

/// Counts bytes on links' connections, by `direction` (`in` or `out`).
pub const BYTES: &str = "cactusnotch_link_bytes_total";
/// Counts messages of the application, by `direction` (`in` or `out`).
pub const MESSAGES: &str = "cactusnotch_link_messages_total";
/// Counts failed handshakes, by `step` and `cause`.
pub const HANDSHAKE_FAILURES: &str = "cactusnotch_link_handshake_failures_total";
/// Counts links that have been opened.
pub const OPENED: &str = "cactusnotch_link_opened_total";
/// Counts links that have ended, by `reason`.
pub const CLOSED: &str = "cactusnotch_link_closed_total";
