//! The group driver of an agent whose endpoint is a rank, as the settings
//! declare the group.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cactusnotch_base::Clock;
use cactusnotch_base::name::{Group, Process};
use cactusnotch_group::{Driver, Options, Planning, Status, Transport};
use cactusnotch_node::{Node, View};
use cactusnotch_placement::{self as placement, Budget, Weights};
use cactusnotch_popularity::Shape;
use cactusnotch_settings::resolved;
use cactusnotch_switch::{self as switch, Rank};
use cactusnotch_wire::Body;
use cactusnotch_wire::group::Message;
use derive_more::Debug;

/// The expert slots per layer that a rank has beyond its even share.
const SPARE_SLOTS: usize = 2;

/// The standard deviations by which a saving must exceed its uncertainty, per
/// unit of the ratio of the cost weight to the skew weight.
const CAUTION: f64 = 0.4;

/// The largest caution.
const CAUTION_MAX: f64 = 2.0;

/// How long a burst must last before experts are moved for it, per unit of the
/// ratio of the cost weight to the skew weight.
const BURST_TIME: Duration = Duration::from_millis(2_400);

/// The largest ratio of the cost weight to the skew weight that extends
/// [`BURST_TIME`].
const RATIO_MAX: f64 = 25.0;

/// The profile of a rank: its settings beside those of the settings tree.
#[derive(Debug, Clone)]
pub struct Profile {
    /// The base address of the rank's engine.
    pub engine: String,
    /// The rate of the weight store that all groups share, in bytes a second.
    pub store_rate: u64,
    /// The size of one expert's weights, in bytes.
    pub expert_bytes: u64,
    /// The time between plans.
    pub plan_interval: Duration,
    /// The interval at which the rank's reports are read and forwarded.
    pub report_interval: Duration,
}

/// Sends messages to the group's other agents through the node.
#[derive(Debug)]
pub(crate) struct Peers<C: Clock> {
    #[debug(skip)]
    node: Arc<Node<C>>,
}

impl<C: Clock> Clone for Peers<C> {
    fn clone(&self) -> Self {
        Self {
            node: Arc::clone(&self.node),
        }
    }
}

impl<C: Clock> Transport for Peers<C> {
    fn send(&self, to: &Process, message: Message) {
        self.node.send(to, Body::Group(message));
    }
}

/// The group driver of a rank, absent until the settings declare the group.
#[derive(Debug, Default)]
pub(crate) struct Participant {
    driver: Mutex<Option<Driver>>,
}

impl Participant {
    /// Passes a message to the driver if it belongs to the driver's group.
    pub(crate) fn receive(&self, from: &Process, message: Message) {
        let driver = self.driver.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(driver) = driver
            .as_ref()
            .filter(|driver| *driver.group() == message.group)
        {
            driver.receive(from, message.body);
        }
    }

    /// Returns the status of the driver, if it runs.
    pub(crate) fn status(&self) -> Option<Status> {
        let driver = self.driver.lock().unwrap_or_else(PoisonError::into_inner);
        driver.as_ref().map(Driver::status)
    }

    fn set(&self, driver: Driver) {
        *self.driver.lock().unwrap_or_else(PoisonError::into_inner) = Some(driver);
    }
}

/// Starts a group driver when the settings declare a group that the endpoint is
/// a rank of, and restarts it when the declaration changes.
pub(crate) async fn follow<C: Clock>(
    options: crate::Options,
    profile: Profile,
    node: Arc<Node<C>>,
    participant: Arc<Participant>,
    clock: C,
) {
    let mut views = node.views();
    let mut declared = None;
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        let found = declaration(&view, &options);
        if found.is_some() && found != declared {
            declared = found;
            if let Some((name, rank, group)) = &declared {
                let options = rank_options(&options, &profile, name, *rank, group);
                let peers = Peers {
                    node: Arc::clone(&node),
                };
                tracing::info!(group = %name, %rank, "rank declared");
                participant.set(Driver::start(options, peers, clock.clone()));
            }
        }
        if views.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the group that lists the endpoint as one of its ranks. The rank's
/// number is the endpoint's position in the list.
fn declaration(view: &View, options: &crate::Options) -> Option<(String, Rank, resolved::Group)> {
    let name = options.endpoint.as_str();
    view.settings.groups().iter().find_map(|(group, values)| {
        let at = values
            .endpoints
            .iter()
            .position(|endpoint| endpoint == name)?;
        let rank = u16::try_from(at).ok().filter(|_| values.layers > 0)?;
        (u64::from(rank) < values.ranks).then(|| (group.clone(), Rank(rank), values.clone()))
    })
}

fn rank_options(
    options: &crate::Options,
    profile: &Profile,
    name: &str,
    rank: Rank,
    group: &resolved::Group,
) -> Options {
    let size = u16::try_from(group.ranks).unwrap_or(u16::MAX);
    let shape = Shape {
        layers: u16::try_from(group.layers).unwrap_or(u16::MAX),
        experts: u16::try_from(group.experts).unwrap_or(u16::MAX),
    };
    let slots = usize::from(shape.experts.div_ceil(size.max(1))) + SPARE_SLOTS;
    let identity = &options.node.link.identity;
    let planner = placement::Options {
        bytes: profile.expert_bytes,
        ..placement::Options::new(shape, size, slots)
    };
    Options {
        group: Group::new(name),
        rank,
        size,
        shape,
        process: identity.process.clone(),
        incarnation: identity.incarnation,
        engine: profile.engine.clone(),
        platform: options.node.platform.clone(),
        switch: switch::Options {
            orders: cactusnotch_order::Options {
                fencing: if group.checks_fencing {
                    cactusnotch_order::Fencing::Checked
                } else {
                    cactusnotch_order::Fencing::Ignored
                },
                ..cactusnotch_order::Options::default()
            },
            ..switch::Options::default()
        },
        planning: Planning {
            planner,
            weights: weights(group),
            budget: Budget {
                rate: scale(profile.store_rate, group.weight_store_share),
                interval: profile.plan_interval,
            },
        },
        report_interval: profile.report_interval,
    }
}

fn weights(group: &resolved::Group) -> Weights {
    let ratio = group.rebalancing_weight / group.skew_weight.max(f64::EPSILON);
    Weights {
        skew: group.skew_weight,
        cost: group.rebalancing_weight,
        horizon: group.payback_horizon,
        patience: if ratio > 1.0 {
            BURST_TIME.mul_f64(ratio.min(RATIO_MAX))
        } else {
            Duration::ZERO
        },
        caution: (CAUTION * ratio).min(CAUTION_MAX),
    }
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a rate in bytes is far below 2^53, and a share lies between 0 and 1"
)]
fn scale(rate: u64, share: f64) -> u64 {
    (rate as f64 * share) as u64
}
