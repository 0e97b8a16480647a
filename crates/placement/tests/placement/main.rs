//! Tests of expert maps and the planner.
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the numbers of the tests are small"
)]

mod group;
mod plan;
mod policy;
