//! How the part beside a rank runs.

use std::time::Duration;

use cactusnotch_base::name::{Group, Process};
use cactusnotch_base::number::Incarnation;
use cactusnotch_objects::http;
use cactusnotch_placement::{self as placement, Budget, Weights};
use cactusnotch_popularity::Shape;
use cactusnotch_switch::{self as switch, Rank};

/// How the part beside a rank runs.
#[derive(Debug, Clone)]
pub struct Options {
    /// The group.
    pub group: Group,
    /// The rank.
    pub rank: Rank,
    /// The ranks of the group.
    pub size: u16,
    /// The layers and experts of the model.
    pub shape: Shape,
    /// The agent's process.
    pub process: Process,
    /// The life of the agent's process.
    pub incarnation: Incarnation,
    /// The base address of the rank's engine.
    pub engine: String,
    /// How the platform is reached.
    pub platform: http::Options,
    /// The times of the agreement.
    pub switch: switch::Options,
    /// How maps are planned, if this agent may coordinate.
    pub planning: Planning,
    /// How often the rank's reports are read and passed on.
    pub report_interval: Duration,
}

/// How maps are planned.
#[derive(Debug, Clone)]
pub struct Planning {
    /// What the planner knows of the group.
    pub planner: placement::Options,
    /// How skew is weighed against cost.
    pub weights: Weights,
    /// What a plan may take from the weight store, and how often one is made.
    pub budget: Budget,
}
