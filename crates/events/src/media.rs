//! The media type of streams.

/// The media type of streams.
pub const TYPE: &str = "text/event-stream";

/// Returns whether the value of a `Content-Type` is the type of streams, with or without
/// parameters.
#[must_use]
pub fn is_stream(value: &[u8]) -> bool {
    let end = value.iter().position(|&byte| byte == b';');
    let essence = &value[..end.unwrap_or(value.len())];
    essence.trim_ascii().eq_ignore_ascii_case(TYPE.as_bytes())
}
