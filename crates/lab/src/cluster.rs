//! A whole system on loopback: stand-ins, agents and entries.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cactusnotch_agent::{self as agent, Profile};
use cactusnotch_base::Table;
use cactusnotch_base::clock::System;
use cactusnotch_base::name::{DataCentre, Endpoint, Host, Process, Region};
use cactusnotch_base::number::Incarnation;
use cactusnotch_entry as entry;
use cactusnotch_link::{self as link, Identity, Role, Secret};
use cactusnotch_node as node;
use cactusnotch_objects::http;
use cactusnotch_standins::{engine, objects, ranks, service};

use crate::Failure;

/// The secret that the processes of a cluster share.
pub const SECRET: &str = "a secret for trials on loopback, at least 32 bytes";

/// A free port on loopback.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// How often a node is asked what is due.
const TICK: Duration = Duration::from_millis(50);

/// How a cluster is built.
#[derive(Debug, Clone)]
pub struct Options {
    /// The entries, each in a data centre by its turn.
    pub entries: usize,
    /// The engines with an agent each, each in a data centre by its turn.
    pub engines: usize,
    /// The data centres.
    pub data_centres: usize,
    /// How an engine behaves.
    pub engine: engine::Options,
    /// How long a caller may take to send the head of a request.
    pub head_timeout: Duration,
    /// How long a caller may take to send the body of a request.
    pub receive_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            entries: 2,
            engines: 2,
            data_centres: 1,
            engine: engine::Options::default(),
            head_timeout: Duration::from_secs(10),
            receive_timeout: Duration::from_secs(10),
        }
    }
}

/// A whole system on loopback. Everything stops when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    /// The platform's object API.
    pub platform: objects::Platform,
    /// The engines.
    pub engines: Vec<engine::Engine>,
    /// The agents, one beside each engine.
    pub agents: Vec<agent::Server<System>>,
    /// The entries.
    pub entries: Vec<entry::Server<System>>,
    /// The group of ranks, if there is one.
    pub group: Option<ranks::Group>,
    /// The agents beside the ranks.
    pub rank_agents: Vec<agent::Server<System>>,
    /// The plain services.
    pub services: Vec<service::Service>,
    /// The agents, one beside each plain service.
    pub service_agents: Vec<agent::Server<System>>,
    options: Options,
}

impl Cluster {
    /// Starts a cluster on the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if a process or stand-in cannot be started.
    pub async fn start(options: &Options) -> Result<Self, Failure> {
        let mut cluster = Self {
            platform: objects::Platform::start(&objects::Options::default())
                .map_err(|error| Failure::new("start of the platform", error))?,
            engines: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            group: None,
            rank_agents: Vec::new(),
            services: Vec::new(),
            service_agents: Vec::new(),
            options: options.clone(),
        };
        for _ in 0..options.engines {
            cluster.add_engine(&options.engine).await?;
        }
        for _ in 0..options.entries {
            cluster.add_entry().await?;
        }
        Ok(cluster)
    }

    /// Starts an engine with an agent beside it.
    ///
    /// # Errors
    ///
    /// Fails if either cannot be started.
    pub async fn add_engine(&mut self, options: &engine::Options) -> Result<(), Failure> {
        let number = self.engines.len();
        let engine = engine::Engine::start(options)
            .map_err(|error| Failure::new("start of an engine", error))?;
        let address = format!("http://{}", engine.address());
        let options = agent::Options {
            endpoint: endpoint(number),
            slots: u32::try_from(options.slots).unwrap_or(u32::MAX),
            ..self.agent(&format!("agent-{number}"), number, address)
        };
        let agent = agent::Server::start(options, System)
            .await
            .map_err(|error| Failure::new("start of an agent", error))?;
        self.engines.push(engine);
        self.agents.push(agent);
        Ok(())
    }

    /// Starts a plain service with an agent beside it.
    ///
    /// # Errors
    ///
    /// Fails if either cannot be started.
    pub async fn add_service(&mut self, options: &service::Options) -> Result<(), Failure> {
        let service = service::Service::start(options)
            .map_err(|error| Failure::new("start of a service", error))?;
        self.add_service_agent(service.address()).await?;
        self.services.push(service);
        Ok(())
    }

    /// Starts an agent beside a plain service that listens at `service`.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started.
    pub async fn add_service_agent(&mut self, service: SocketAddr) -> Result<(), Failure> {
        let number = self.service_agents.len();
        let address = format!("http://{service}");
        let options = agent::Options {
            endpoint: service_endpoint(number),
            ..self.agent(&format!("agent-service-{number}"), number, address)
        };
        let agent = agent::Server::start(options, System)
            .await
            .map_err(|error| Failure::new("start of a service's agent", error))?;
        self.service_agents.push(agent);
        Ok(())
    }

    /// Starts a group of ranks with an agent beside each.
    ///
    /// # Errors
    ///
    /// Fails if any of them cannot be started.
    pub async fn add_group(
        &mut self,
        options: &ranks::Options,
        template: &Profile,
    ) -> Result<(), Failure> {
        let group = ranks::Group::start(options)
            .map_err(|error| Failure::new("start of a group of ranks", error))?;
        for (rank, address) in group.addresses().into_iter().enumerate() {
            let engine = format!("http://{address}");
            let options = agent::Options {
                endpoint: rank_endpoint(rank),
                rank: Some(Profile {
                    engine: engine.clone(),
                    ..template.clone()
                }),
                ..self.agent(&format!("agent-rank-{rank}"), rank, engine)
            };
            let agent = agent::Server::start(options, System)
                .await
                .map_err(|error| Failure::new("start of a rank's agent", error))?;
            self.rank_agents.push(agent);
        }
        self.group = Some(group);
        Ok(())
    }

    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started.
    pub async fn add_entry(&mut self) -> Result<(), Failure> {
        let number = self.entries.len();
        let options = entry::Options {
            listen: ANY,
            operator_listen: ANY,
            peer_listen: ANY,
            advertise: None,
            peer_advertise: None,
            region: Region::new("region-0"),
            node: self.node(&format!("entry-{number}"), Role::Entry, number),
            route: cactusnotch_route::Options {
                nearest: vec![self.data_centre(number)],
                ..cactusnotch_route::Options::default()
            },
            claim: cactusnotch_claim::Options::default(),
            attempt: cactusnotch_attempt::Options::default(),
            retry_fraction: 100,
            retry_store: 10,
            body_limit: 1 << 20,
            head_timeout: self.options.head_timeout,
            receive_timeout: self.options.receive_timeout,
            trace_fraction: 0.0,
            linger: Duration::from_secs(10),
        };
        let entry = entry::Server::start(options, System)
            .await
            .map_err(|error| Failure::new("start of an entry", error))?;
        self.entries.push(entry);
        Ok(())
    }

    /// Returns how the platform is reached.
    #[must_use]
    pub fn platform_options(&self) -> http::Options {
        http::Options {
            base: self.platform.base(),
            timeout: Duration::from_secs(2),
        }
    }

    fn agent(&self, process: &str, number: usize, engine: String) -> agent::Options {
        agent::Options {
            listen: ANY,
            advertise: None,
            region: Region::new("region-0"),
            node: self.node(process, Role::Agent, number),
            endpoint: endpoint(number),
            engine,
            slots: 1,
            ledger: cactusnotch_ledger::Options::default(),
            rank: None,
            announce_interval: Duration::from_millis(250),
        }
    }

    fn data_centre(&self, number: usize) -> DataCentre {
        DataCentre::new(format!("dc-{}", number % self.options.data_centres))
    }

    fn node(&self, process: &str, role: Role, number: usize) -> node::Options {
        let identity = Identity {
            process: Process::new(process),
            role,
            host: Host::new(format!("host-of-{process}")),
            data_centre: self.data_centre(number),
            incarnation: Incarnation(rand::random::<u64>() >> 1),
        };
        let secret = Secret::new(SECRET).expect("the constant secret is long enough");
        node::Options {
            link: link::Options::new(identity, vec![secret]),
            platform: self.platform_options(),
            spread: cactusnotch_spread::Options::default(),
            seeds: Table::new(),
            tick: TICK,
        }
    }
}

/// Returns the name of the endpoint with the given number.
#[must_use]
pub fn endpoint(number: usize) -> Endpoint {
    Endpoint::new(format!("engine-{number}"))
}

/// Returns the name of the endpoint that is the plain service with the given
/// number.
#[must_use]
pub fn service_endpoint(number: usize) -> Endpoint {
    Endpoint::new(format!("service-{number}"))
}

/// Returns the name of the endpoint that is the rank with the given number.
#[must_use]
pub fn rank_endpoint(rank: usize) -> Endpoint {
    Endpoint::new(format!("rank-{rank}"))
}
