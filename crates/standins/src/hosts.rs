//! The list of hosts, which lags behind.
//!
//! `GET /hosts` answers with the list, as it was a lag ago, as JSON.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_base::name::{self, DataCentre};
use cactusnotch_derive::message;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode};

use crate::past::Past;
use crate::sync::lock;
use crate::web::{Lost, Server, json, refusal};

/// Whether a host stays.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The host is in use.
    Live,
    /// The host is being taken out of use.
    Leaving,
}

/// A row of the list.
#[message]
#[derive(Eq)]
pub struct Host {
    /// The name of the host.
    pub host: name::Host,
    /// The data centre of the host.
    pub data_centre: DataCentre,
    /// The address of the process on the host.
    pub address: SocketAddr,
    /// Whether the host stays.
    pub state: State,
}

/// Where a list of hosts is served and how far it lags.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address to listen on; port zero takes a free one.
    pub address: SocketAddr,
    /// The list at the start, told without a lag.
    pub hosts: Vec<Host>,
    /// The age of the list that is told.
    pub lag: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            hosts: Vec::new(),
            lag: Duration::from_secs(1),
        }
    }
}

/// The list as it is, and what is told of it.
#[derive(Debug)]
struct List {
    hosts: Vec<Host>,
    told: Past<Vec<Host>>,
}

/// A running list of hosts. It stops when it is dropped.
#[derive(Debug)]
pub struct Hosts {
    list: Arc<Mutex<List>>,
    server: Server,
}

impl Hosts {
    /// Starts the list of hosts.
    ///
    /// # Errors
    ///
    /// The error of binding the address.
    pub fn start(options: &Options) -> io::Result<Self> {
        let list = Arc::new(Mutex::new(List {
            hosts: options.hosts.clone(),
            told: Past::new(options.lag, options.hosts.clone(), clock::now()),
        }));
        let shared = Arc::clone(&list);
        let server = Server::start(options.address, move |request| {
            let reply = answer(&shared, &request);
            async move { Ok::<_, Lost>(reply) }
        })?;
        Ok(Self { list, server })
    }

    /// Returns the address that the list is served on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the list.
    pub fn set(&self, hosts: Vec<Host>) {
        let mut list = lock(&self.list);
        list.told.record(hosts.clone(), clock::now());
        list.hosts = hosts;
    }

    /// Marks a host as live or leaving.
    pub fn mark(&self, host: &name::Host, state: State) {
        let mut hosts = self.hosts();
        let named = hosts.iter_mut().filter(|row| row.host == *host);
        named.for_each(|row| row.state = state);
        self.set(hosts);
    }

    /// Returns the list as it is, without the lag.
    #[must_use]
    pub fn hosts(&self) -> Vec<Host> {
        lock(&self.list).hosts.clone()
    }

    /// Begins or ends an outage, in which connections are broken off.
    pub fn set_outage(&self, outage: bool) {
        self.server.refuse(outage);
    }
}

fn answer(list: &Mutex<List>, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.method() != Method::GET || request.uri().path() != "/hosts" {
        return refusal(StatusCode::NOT_FOUND, "no such path");
    }
    json(StatusCode::OK, &lock(list).told.read(clock::now()))
}
