//! A group of ranks that goes over to another expert map while it steps.

use std::time::Duration;

use cactusnotch_agent::Profile;
use cactusnotch_lab::Operator;
use cactusnotch_lab::cluster::{Cluster, Options};
use cactusnotch_popularity::{Cell, Shape};
use cactusnotch_standins::ranks;
use tokio::time::{interval, timeout};

const RANKS: u16 = 4;
const SHAPE: Shape = Shape {
    layers: 2,
    experts: 8,
};
const PATIENCE: Duration = Duration::from_mins(1);

fn profile() -> Profile {
    Profile {
        engine: String::new(),
        store_rate: 1_000_000_000,
        expert_bytes: 1_000_000,
        plan_interval: Duration::from_millis(500),
        report_interval: Duration::from_millis(200),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn ranks_switch_once_and_never_mix_maps() {
    let options = Options {
        entries: 1,
        engines: 0,
        ..Options::default()
    };
    let mut cluster = Cluster::start(&options).await.unwrap();
    cluster
        .add_group(&ranks::Options::new(RANKS, SHAPE), &profile())
        .await
        .unwrap();
    let platform = cluster.platform_options();
    let declared = tokio::task::spawn_blocking(move || {
        Operator::new(&platform).declare_ranks("drafts", RANKS, SHAPE, (1_000_000, 1_000))
    });
    declared.await.unwrap().unwrap();
    let group = cluster.group.as_ref().unwrap();
    group.heat(
        Cell {
            layer: 0,
            expert: 3,
        },
        20.0,
    );
    let switched = async {
        let mut glances = interval(Duration::from_millis(50));
        while cluster
            .rank_agents
            .iter()
            .all(|agent| agent.rank().is_none_or(|status| status.applied == 0))
        {
            glances.tick().await;
        }
    };
    timeout(PATIENCE, switched).await.unwrap();
    let after = group.step().next();
    assert!(group.wait_for(after, PATIENCE));
    assert_eq!(group.mixed(), Vec::new());
    let epochs: Vec<_> = cluster
        .rank_agents
        .iter()
        .map(|agent| agent.rank().unwrap().current.unwrap().map.epoch)
        .collect();
    assert!(epochs.iter().all(|epoch| epoch.0 > 1), "{epochs:?}");
}
