//! A group of ranks with agents as real processes, behind fault-injecting
//! proxies.

use cactusnotch_base::number::Fence;
use cactusnotch_objects::http::{self, Client};
use cactusnotch_objects::object::Path;
use cactusnotch_objects::store::Store;
use cactusnotch_placement::Rank;
use cactusnotch_standins::objects::{self, Platform};
use cactusnotch_standins::proxy::Proxy;
use cactusnotch_standins::ranks::{self, Group};

use crate::process::{Binary, Options};
use crate::site::{Place, start_proxy};
use crate::{Failure, cluster};

/// The host of a rank's agent without its number.
const HOST: &str = "rank-host";

/// A group of ranks, in this process, with an agent process beside each.
#[derive(Debug)]
pub struct Ranks {
    /// The platform, in this process.
    pub platform: Platform,
    /// The proxy through which the agents reach the platform.
    pub platform_proxy: Proxy,
    /// The group, in this process, so that its logs outlive all faults.
    pub group: Group,
    /// The proxy through which each rank's agent reaches the rank.
    pub engines: Vec<Proxy>,
    /// The agents, by rank.
    pub agents: Vec<Place>,
}

impl Ranks {
    /// Starts a group and its agents, which take `arguments` beside those
    /// that the place of each calls for; `seed` fixes the proxies' chances.
    ///
    /// # Errors
    ///
    /// Fails if a process or stand-in does not start.
    pub fn start(options: &ranks::Options, arguments: &[&str], seed: u64) -> Result<Self, Failure> {
        let platform = Platform::start(&objects::Options::default())
            .map_err(Failure::at("start of the platform"))?;
        let platform_proxy = start_proxy(platform.address(), seed)?;
        let group = Group::start(options).map_err(Failure::at("start of a group of ranks"))?;
        let mut ranks = Self {
            platform,
            platform_proxy,
            group,
            engines: Vec::new(),
            agents: Vec::new(),
        };
        for (rank, address) in ranks.group.addresses().into_iter().enumerate() {
            let engine = start_proxy(address, seed ^ (rank as u64) << 8)?;
            ranks.engines.push(engine);
            ranks.add_agent(rank, arguments, seed)?;
        }
        Ok(ranks)
    }

    /// Returns how operators reach the platform, past all proxies.
    #[must_use]
    pub fn operator_options(&self) -> http::Options {
        http::Options {
            base: self.platform.base(),
            timeout: std::time::Duration::from_secs(5),
        }
    }

    /// Returns the rank whose agent holds the coordinator's lease of the
    /// group named `group`, with the fencing number, if there is a lease.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer, or names no agent of the group.
    pub fn coordinator(&self, group: &str) -> Result<Option<(Fence, Rank)>, Failure> {
        const STEP: &str = "read of the coordinator's lease";
        let path = Path::new("lease", format!("group-{group}"));
        let found = Client::new(&self.operator_options()).get(&path);
        let Some(lease) = found.map_err(Failure::at(STEP))? else {
            return Ok(None);
        };
        let holder = lease.value["process"].as_str().unwrap_or_default();
        let rank = (0..self.agents.len())
            .find(|rank| holder.starts_with(&format!("agent-{}@", cluster::rank_endpoint(*rank))))
            .and_then(|rank| u16::try_from(rank).ok());
        let fence = lease.value["fence"].as_u64().map(Fence);
        let both = fence.zip(rank.map(Rank));
        both.map(Some)
            .ok_or_else(|| Failure::new(STEP, lease.value))
    }

    fn add_agent(&mut self, rank: usize, arguments: &[&str], seed: u64) -> Result<(), Failure> {
        let engine = self.engines[rank].address();
        let mut own = vec![
            format!("--endpoint={}", cluster::rank_endpoint(rank)),
            format!("--engine-url=http://{engine}"),
            format!("--rank-url=http://{engine}"),
        ];
        own.extend(arguments.iter().map(ToString::to_string));
        let options = Options {
            binary: Binary::Agent,
            host: format!("{HOST}-{rank}"),
            data_centre: "dc-0".to_owned(),
            platform: format!("http://{}", self.platform_proxy.address()),
            arguments: own,
        };
        self.agents
            .push(Place::start(options, seed ^ rank as u64, true)?);
        Ok(())
    }
}
