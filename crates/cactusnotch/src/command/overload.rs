//! The flags of overload control.

use std::time::Duration;

use bpaf::Bpaf;
use cactusnotch_overload::{Ceiling, Mode};

/// Overload control of groups of ranks.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(overload_options))]
pub(crate) struct Options {
    /// Services of ranks that overload control applies to: off (none), priorities (those
    /// whose streaming requests have more than one priority) or all
    #[bpaf(
        long("overload-control"),
        env("CACTUSNOTCH_OVERLOAD_CONTROL"),
        argument("MODE"),
        fallback(Mode::default()),
        display_fallback
    )]
    mode: Mode,
    /// Fraction of a group's limit that each priority leaves to each more urgent one, from 0
    /// to 0.3
    #[bpaf(
        long,
        argument("FRACTION"),
        guard(is_reserve, "the fraction lies between 0 and 0.3"),
        fallback(cactusnotch_overload::Options::CLASS_RESERVE),
        display_fallback
    )]
    class_reserve: f64,
    /// Longest time in milliseconds that a first attempt waits for a free slot; what its
    /// target latency leaves otherwise
    #[bpaf(long, argument("MS"))]
    longest_wait: Option<u64>,
    /// Upper bound of the running requests of each group, as a fraction of its slots, above 0
    /// and up to 1
    #[bpaf(
        long,
        argument("FRACTION"),
        guard(is_ceiling, "the fraction is above 0 and at most 1"),
        fallback(1.0),
        display_fallback
    )]
    group_ceiling: f64,
}

impl Options {
    /// Returns the settings that the flags state.
    pub(crate) fn settings(&self) -> cactusnotch_overload::Options {
        cactusnotch_overload::Options {
            mode: self.mode,
            class_reserve: self.class_reserve,
            longest_wait: self.longest_wait.map(Duration::from_millis),
            group_ceiling: Ceiling::new(self.group_ceiling),
        }
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "a guard takes a reference"
)]
fn is_reserve(fraction: &f64) -> bool {
    (0.0..=cactusnotch_overload::Options::CLASS_RESERVE_MAX).contains(fraction)
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "a guard takes a reference"
)]
fn is_ceiling(fraction: &f64) -> bool {
    *fraction > 0.0 && *fraction <= 1.0
}
