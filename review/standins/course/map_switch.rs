//! A release that an earlier leader sent is carried out while a later one arms the ranks.
//!
//! A group of eight ranks with little work, and an agent beside each. The agent that has held the
//! group for a new map is killed, so that the leader gives the round up and lets the group go. One
//! of its two releases is left unanswered, to be carried out late. Then the leader is killed. Both
//! agents are started again, some more work comes, and the new leader holds the group before the
//! same pass, which has not begun since.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{HOST, Outcome, configuration};
use crate::agent::{self, Agent};
use crate::entry;
use crate::group::{self, Group, RANKS, State};
use crate::record::Record;
use crate::server;
use crate::store::Store;

const SERVICE: &str = "hilo-modelo";
/// How long a killed process is down.
const DOWN: Duration = Duration::from_millis(1_000);
/// How long agents that have started take to find each other.
const SETTLE: Duration = Duration::from_millis(3_500);
/// How long the group works before demand turns.
const WARM_UP: Duration = Duration::from_millis(2_500);
const PATIENCE: Duration = Duration::from_secs(12);
/// How often this is played at most, until the second hold is before the same pass as the first.
const EPISODES: usize = 4;
/// How many passes ahead a leader holds a group of which it knows no passes yet.
const AHEAD: u64 = 2;

struct World {
    record: Record,
    store: SocketAddr,
    machines: Vec<std::net::Ipv4Addr>,
    group: Group,
    agents: Vec<Agent>,
}

impl World {
    fn start_agent(&mut self, rank: usize) -> Result<(), String> {
        let agent = Agent::start(self.machines[rank], self.store, SERVICE)?;
        if rank < self.agents.len() {
            self.agents[rank] = agent;
        } else {
            self.agents.push(agent);
        }
        Ok(())
    }

    /// Waits until `holds`, and keeps at least `work` passes of work before the group meanwhile.
    fn until(&self, what: &str, work: u64, holds: impl Fn(&State) -> bool) -> Result<(), String> {
        self.within(PATIENCE, work, holds)
            .then_some(())
            .ok_or(format!("{what}: not within {PATIENCE:?}"))
    }

    /// Waits for at most `patience` until `holds`, likewise; returns whether it does.
    fn within(&self, patience: Duration, work: u64, holds: impl Fn(&State) -> bool) -> bool {
        let end = Instant::now() + patience;
        loop {
            {
                let mut state = self.group.lock();
                if holds(&state) {
                    return true;
                }
                state.work = state.work.max(work);
            }
            if Instant::now() > end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn kill(&mut self, rank: usize) {
        self.agents[rank].kill();
        self.record
            .note(&format!("the agent beside rank {rank} is killed"));
    }
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let ip = entry::free_address().ok_or("no free loopback address")?;
    let failed = |error: std::io::Error| error.to_string();
    let address = SocketAddr::from((ip, entry::STORE));
    let store = Store::start(address).map_err(failed)?;
    let machines: Vec<_> = (0..RANKS).map(|rank| group::machine(ip, rank)).collect();
    if !machines.iter().all(|&machine| agent::is_free(machine)) {
        return Err("the addresses of the machines are not free".to_owned());
    }
    let addresses: Vec<_> = machines
        .iter()
        .map(|&machine| SocketAddr::from((machine, entry::SERVERS)))
        .collect();
    let group = Group::start(&addresses, record).map_err(failed)?;
    for (rank, &address) in addresses.iter().enumerate() {
        let zone = entry::ARRIETA.zone(0);
        store.put(
            "servers",
            &format!("i-{rank}"),
            &server::registration(SERVICE, address, zone, 12, group.born),
        );
    }
    store.put("config", "main", &engines());
    let mut world = World {
        record: record.clone(),
        store: address,
        machines,
        group,
        agents: Vec::new(),
    };
    for rank in 0..RANKS {
        world.start_agent(rank)?;
    }
    std::thread::sleep(SETTLE);
    let mut outcome = Ok(());
    for episode in 1..=if trouble { EPISODES } else { 1 } {
        record.note(&format!("episode {episode}"));
        outcome = play(&mut world, trouble, episode);
        if outcome.is_err() || !world.group.lock().seen.broken.is_empty() {
            break;
        }
    }
    for (rank, agent) in world.agents.iter_mut().enumerate() {
        agent.kill();
        let parts = [
            "round begun",
            "group held",
            "let go",
            "map in force",
            "leading",
            "found held",
        ];
        for line in agent.log_lines(&parts) {
            record.note(&format!("agent {rank}: {line}"));
        }
        agent.clean();
    }
    outcome?;
    let state = world.group.lock();
    Ok(!state.seen.broken.is_empty())
}

fn play(world: &mut World, trouble: bool, episode: usize) -> Result<(), String> {
    world
        .record
        .note("work comes, in which all experts are in demand alike");
    world.group.lock().hot = None;
    let begun = Instant::now();
    world.until("the group has worked", 20, |_| begun.elapsed() >= WARM_UP)?;
    world
        .record
        .note("one expert of each set comes to be in demand");
    let (holds, releases) = {
        let mut state = world.group.lock();
        state.hot = Some(10 * episode);
        state.ends_on_hold = true;
        state.delays_release = trouble;
        (state.seen.holds.len(), state.seen.releases.len())
    };
    world.until("the group is held", 20, |state| {
        state.seen.holds.len() > holds
    })?;
    if trouble {
        world.kill(1);
    }
    let (held, step) = {
        let state = world.group.lock();
        (state.seen.holds[holds], state.step)
    };
    world.record.note(&format!(
        "the group is held before pass {held}, at pass {step}, and the work ends"
    ));
    world.until("the group is let go", 0, |state| {
        state.seen.releases.len() > releases
    })?;
    if trouble {
        world.kill(0);
        std::thread::sleep(DOWN);
        world.start_agent(0)?;
        world.start_agent(1)?;
    }
    std::thread::sleep(SETTLE);
    // Without the disruption the map of the first round comes into force with this work.
    let passes = if trouble {
        (held - AHEAD).saturating_sub(step).max(1)
    } else {
        100
    };
    world.record.note(&format!(
        "work of {passes} passes comes, in which another expert is in demand"
    ));
    let holds = {
        let mut state = world.group.lock();
        state.arrives_on_hold = 10;
        state.work = passes;
        state.hot = Some(10 * episode + 5);
        state.seen.holds.len()
    };
    if !trouble {
        return world.until("a second map is in force", 20, |state| {
            state.seen.switches.len() > 1
        });
    }
    world.until("the group is held again", 0, |state| {
        state.seen.holds.len() > holds
    })?;
    let again = world.group.lock().seen.holds[holds];
    world.record.note(&format!(
        "the group is held before pass {again}, and more work comes"
    ));
    std::thread::sleep(Duration::from_millis(1_500));
    Ok(())
}

/// Returns the configuration with the engines of the site's sheet.
fn engines() -> String {
    let route = format!(
        "{{\"Name\":\"r-patron\",\"Hostname\":\"{HOST}\",\"PathPrefix\":\"/patron/\",\"Type\":\"streaming\",\"TimeoutMs\":8000,\"TargetLatencyMs\":500,\"Priority\":1,\"Service\":\"{SERVICE}\",\"MaxAttempts\":2,\"Anonymous\":false,\"SessionAffinity\":true,\"Resumable\":true,\"TargetGapMs\":120}}"
    );
    let service = format!(
        "{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/healthz\",\"MaxConnections\":408,\"Protocol\":\"h1\",\"TlsEnabled\":false,\"Engine\":{{\"Capacity\":12,\"KvCapacity\":280000,\"KvTokenBytes\":35136,\"LinkMbps\":92000.0,\"Stride\":4,\"Models\":[{{\"Name\":\"m\"}}],\"step_ms\":4.55,\"per_seq_ms\":0.905,\"context_per_k\":0.0183,\"read_per_s\":61400.0,\"pairs_per_m\":0.525,\"chunk\":512,\"report_lag_ms\":200.0,\"LoadsPerS\":0.0,\"loads_at_once\":8,\"usual\":{{\"prompt\":835,\"answer\":97}},\"Sets\":6,\"Experts\":64,\"Placements\":11,\"Spare\":4,\"ExpertMb\":1700.0,\"ExpertShare\":0.85,\"form_ms\":600.0}}}}"
    );
    configuration(&[route], &[service])
}
