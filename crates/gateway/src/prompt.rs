//! The parts of a request's prompt that other requests may share.

/// The most parts of a prompt that are considered.
pub const PARTS_MAX: usize = 32;
/// The longest id of a part that is considered, in characters.
pub const ID_CHARS_MAX: usize = 64;

/// The parts of a prompt that other requests may share: all but the last one, which belongs to
/// the request or its session.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shared {
    /// The ids, in the order of the prompt and each of them once.
    pub ids: Vec<String>,
    /// The number of parts that are not considered, since they are invalid or too many.
    pub ignored: usize,
}
