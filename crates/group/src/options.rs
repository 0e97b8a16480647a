//! The options of the driver beside a rank.

use std::time::Duration;

use cactusnotch_base::name::{Group, Process};
use cactusnotch_base::number::Incarnation;
use cactusnotch_objects::http;
use cactusnotch_placement::{self as placement, Budget, Weights};
use cactusnotch_popularity::Shape;
use cactusnotch_switch::{self as switch, Rank};

/// The options of the driver beside a rank.
#[derive(Debug, Clone)]
pub struct Options {
    /// The group.
    pub group: Group,
    /// The rank.
    pub rank: Rank,
    /// The number of ranks of the group.
    pub size: u16,
    /// The layers and experts of the model.
    pub shape: Shape,
    /// The agent's process.
    pub process: Process,
    /// The incarnation of the agent's process.
    pub incarnation: Incarnation,
    /// The base address of the rank's engine.
    pub engine: String,
    /// The options of the connection to the platform.
    pub platform: http::Options,
    /// The timing of the switch protocol.
    pub switch: switch::Options,
    /// The options for planning maps, if this agent may coordinate.
    pub planning: Planning,
    /// The interval at which the rank's reports are read and forwarded.
    pub report_interval: Duration,
}

/// The options for planning maps.
#[derive(Debug, Clone)]
pub struct Planning {
    /// The parameters of the group.
    pub planner: placement::Options,
    /// The weights of skew and cost.
    pub weights: Weights,
    /// The rate of the weight store that a plan may use, and the interval
    /// between plans.
    pub budget: Budget,
}
