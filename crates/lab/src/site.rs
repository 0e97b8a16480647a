//! A system of real processes behind fault-injecting proxies.

use std::net::{Ipv4Addr, SocketAddr};

use cactusnotch_objects::http;
use cactusnotch_standins::engine::{self, Engine};
use cactusnotch_standins::objects::{self, Platform};
use cactusnotch_standins::proxy::{self, Proxy};

use crate::process::{Binary, Options, Process};
use crate::{Failure, cluster};

/// Where a proxy leads that has no process behind it yet: a port that
/// refuses.
const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 9);

/// A process with the proxies before it. It keeps its place when it is
/// replaced.
#[derive(Debug)]
pub struct Place {
    options: Options,
    /// The process, unless it was killed.
    pub process: Option<Process>,
    /// The proxy through which other processes reach it.
    pub peers: Proxy,
    /// The proxy through which callers reach it, before an entry.
    pub callers: Option<Proxy>,
}

/// A system of real processes.
#[derive(Debug)]
pub struct Site {
    /// The platform, in this process.
    pub platform: Platform,
    /// The proxy through which processes reach the platform.
    pub platform_proxy: Proxy,
    /// The engines, in this process, so that their logs outlive all faults.
    pub engines: Vec<Engine>,
    /// The agents, one before each engine.
    pub agents: Vec<Place>,
    /// The entries.
    pub entries: Vec<Place>,
    /// Whether the processes are reached past the proxies.
    is_plain: bool,
}

impl Site {
    /// Starts a system; `seed` fixes the proxies' chances.
    ///
    /// # Errors
    ///
    /// Fails if a process or stand-in does not start.
    pub fn start(
        entries: usize,
        engines: usize,
        engine: &engine::Options,
        seed: u64,
    ) -> Result<Self, Failure> {
        Self::build(entries, engines, engine, seed, false)
    }

    /// Starts a system whose callers and processes reach each other past the
    /// proxies, so that these cost nothing where no fault is injected.
    ///
    /// # Errors
    ///
    /// Fails if a process or stand-in does not start.
    pub fn start_plain(
        entries: usize,
        engines: usize,
        engine: &engine::Options,
    ) -> Result<Self, Failure> {
        Self::build(entries, engines, engine, 0, true)
    }

    fn build(
        entries: usize,
        engines: usize,
        engine: &engine::Options,
        seed: u64,
        is_plain: bool,
    ) -> Result<Self, Failure> {
        let platform = Platform::start(&objects::Options::default())
            .map_err(Failure::at("start of the platform"))?;
        let platform_proxy = start_proxy(platform.address(), seed)?;
        let mut site = Self {
            platform,
            platform_proxy,
            engines: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            is_plain,
        };
        for number in 0..engines {
            let engine = Engine::start(engine).map_err(Failure::at("start of an engine"))?;
            site.add_agent(number, &engine, seed)?;
            site.engines.push(engine);
        }
        for number in 0..entries {
            site.add_entry(number, seed)?;
        }
        Ok(site)
    }

    /// Returns how operators reach the platform, past all proxies.
    #[must_use]
    pub fn operator_options(&self) -> http::Options {
        http::Options {
            base: self.platform.base(),
            timeout: std::time::Duration::from_secs(5),
        }
    }

    /// Returns the callers' addresses of the entries.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        let addresses = self.entries.iter().filter_map(|place| {
            let process = place.process.as_ref().filter(|_| self.is_plain);
            match process {
                Some(process) => process.address("callers").ok(),
                None => place.callers.as_ref().map(Proxy::address),
            }
        });
        addresses.collect()
    }

    /// Returns the operators' address of the first entry that runs.
    ///
    /// # Errors
    ///
    /// Fails if none does.
    pub fn operators(&self) -> Result<Vec<SocketAddr>, Failure> {
        let running = self
            .entries
            .iter()
            .filter_map(|place| place.process.as_ref());
        running
            .map(|process| process.address("operators"))
            .collect()
    }

    fn add_agent(&mut self, number: usize, engine: &Engine, seed: u64) -> Result<(), Failure> {
        let arguments = [
            "--endpoint".to_owned(),
            cluster::endpoint(number).to_string(),
            "--engine-url".to_owned(),
            format!("http://{}", engine.address()),
            "--slots".to_owned(),
            engine.load().slots.to_string(),
        ];
        let options = self.options(Binary::Agent, format!("engine-host-{number}"), &arguments);
        self.agents
            .push(Place::start(options, seed ^ number as u64, !self.is_plain)?);
        Ok(())
    }

    fn add_entry(&mut self, number: usize, seed: u64) -> Result<(), Failure> {
        let peers = start_proxy(NOWHERE, seed ^ (number as u64) << 8)?;
        let callers = start_proxy(NOWHERE, seed ^ (number as u64) << 16)?;
        let arguments = [
            "--listen=127.0.0.1:0".to_owned(),
            "--operator-listen=127.0.0.1:0".to_owned(),
        ];
        let proxies = [("--peer-advertise", &peers), ("--advertise", &callers)];
        let arguments = self.arguments(&arguments, &proxies);
        let options = self.options(Binary::Entry, format!("entry-host-{number}"), &arguments);
        let mut place = Place {
            options,
            process: None,
            peers,
            callers: Some(callers),
        };
        place.replace()?;
        self.entries.push(place);
        Ok(())
    }

    /// Adds the proxies to advertise, unless the system is plain.
    fn arguments(&self, own: &[String], proxies: &[(&str, &Proxy)]) -> Vec<String> {
        let advertised = proxies.iter().filter(|_| !self.is_plain);
        let advertised = advertised.map(|(flag, proxy)| format!("{flag}={}", proxy.address()));
        own.iter().cloned().chain(advertised).collect()
    }

    fn options(&self, binary: Binary, host: String, arguments: &[String]) -> Options {
        Options {
            binary,
            host,
            data_centre: "dc-0".to_owned(),
            platform: format!("http://{}", self.platform_proxy.address()),
            arguments: arguments.to_vec(),
        }
    }
}

impl Place {
    /// Starts a process with a proxy for its peers, which they are told of if
    /// it `is_behind` it.
    pub(crate) fn start(mut options: Options, seed: u64, is_behind: bool) -> Result<Self, Failure> {
        let peers = start_proxy(NOWHERE, seed)?;
        if is_behind {
            let advertised = format!("--peer-advertise={}", peers.address());
            options.arguments.push(advertised);
        }
        let mut place = Self {
            options,
            process: None,
            peers,
            callers: None,
        };
        place.replace()?;
        Ok(place)
    }

    /// Ends the process at once, if it runs.
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// Puts an empty process in the place of the former one, which is killed
    /// if it still runs.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub fn replace(&mut self) -> Result<(), Failure> {
        self.kill();
        let process = Process::start(&self.options)?;
        self.peers.set_target(process.address("peers")?);
        if let Some(callers) = &self.callers {
            callers.set_target(process.address("callers")?);
        }
        self.process = Some(process);
        Ok(())
    }
}

/// Starts a proxy that injects no faults yet.
pub(crate) fn start_proxy(target: SocketAddr, seed: u64) -> Result<Proxy, Failure> {
    let options = proxy::Options {
        seed,
        ..proxy::Options::new(target)
    };
    Proxy::start(&options).map_err(Failure::at("start of a proxy"))
}
