//! The process of an entry.

use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;

use cactusnotch_tcp as tcp;
use cactusnotch_telemetry::Exporter;
use derive_more::{Display, Error};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::dialect::Dialect;
use crate::knowledge::SharedState;
use crate::options::Options;
use crate::store::{Codec, Kind};
use crate::{
    configuration_cache, gossip, record, registration, reload, renewal, server, stop, watcher,
};

/// An error that stops an entry.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// An address can't be bound.
    #[display("listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// A part of the process can't be set up.
    #[display("{step}: {error}")]
    Setup {
        /// The part that was set up.
        step: &'static str,
        /// The cause.
        error: io::Error,
    },
}

/// An entry that forwards requests directly to endpoints.
#[derive(Debug)]
pub struct Entry<D, C> {
    options: Options,
    exporter: Exporter,
    wire: PhantomData<(D, C)>,
}

impl<D: Dialect, C: Codec> Entry<D, C> {
    /// Creates an entry.
    #[must_use]
    pub const fn new(options: Options, exporter: Exporter) -> Self {
        Self {
            options,
            exporter,
            wire: PhantomData,
        }
    }

    /// Serves until a stop has been requested and completed. `read` is called
    /// to reload the settings while it serves.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or a part of the process
    /// can't be set up.
    pub fn run<E>(self, read: impl Fn() -> Result<Options, E> + 'static) -> Result<(), Error>
    where
        E: std::fmt::Display + 'static,
    {
        let setup = |step| move |error| Error::Setup { step, error };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(setup("runtime"))?;
        let local = LocalSet::new();
        local.block_on(&runtime, async {
            let (shared, socket, closing) = self.start().await?;
            let reloading = reload::run(Rc::clone(&shared), read);
            tokio::task::spawn_local(async move {
                if let Err(error) = reloading.await {
                    tracing::error!(%error, "reloading of settings is unavailable");
                }
            });
            stop::run::<C>(shared, socket, closing)
                .await
                .map_err(setup("signals"))
        })
    }

    /// Binds all sockets and spawns all tasks.
    async fn start(self) -> Result<(Rc<SharedState>, Rc<UdpSocket>, watch::Sender<bool>), Error> {
        let listen =
            |address| tcp::listen(address).map_err(|error| Error::Listen { address, error });
        let Options {
            listen: front,
            readiness,
            resolver,
            metrics,
            peers,
            ..
        } = self.options;
        let (callers, readiness, resolver, metrics, configurations) = (
            listen(front)?,
            listen(readiness)?,
            listen(resolver)?,
            listen(metrics)?,
            listen(peers)?,
        );
        let socket = UdpSocket::bind(peers)
            .await
            .map_err(|error| Error::Listen {
                address: peers,
                error,
            })?;
        let socket = Rc::new(socket);
        tracing::info!(host = self.options.host, data_centre = self.options.data_centre, listen = %front, "entry started");
        let shared = Rc::new(SharedState::new(self.options));
        let (closing, closed) = watch::channel(false);
        let followed = shared.options().evacuation_bound.map(|_| Kind::Evacuations);
        for kind in [Kind::Configuration, Kind::Endpoints]
            .into_iter()
            .chain(followed)
        {
            let (shared, socket) = (Rc::clone(&shared), Rc::clone(&socket));
            tokio::task::spawn_local(watcher::run::<C>(shared, socket, kind));
        }
        tokio::task::spawn_local(renewal::run::<C>(Rc::clone(&shared)));
        tokio::task::spawn_local(registration::list::<C>(Rc::clone(&shared)));
        tokio::task::spawn_local(registration::run::<C>(Rc::clone(&shared)));
        tokio::task::spawn_local(record::run::<C>(Rc::clone(&shared)));
        tokio::task::spawn_local(server::callers::<D>(Rc::clone(&shared), callers, closed));
        tokio::task::spawn_local(server::queries::<D>(Rc::clone(&shared), readiness));
        tokio::task::spawn_local(server::queries::<D>(Rc::clone(&shared), resolver));
        tokio::task::spawn_local(server::metrics(self.exporter, metrics));
        tokio::task::spawn_local(configuration_cache::run::<C>(
            Rc::clone(&shared),
            configurations,
        ));
        tokio::task::spawn_local(gossip::run(Rc::clone(&shared), Rc::clone(&socket)));
        Ok((shared, socket, closing))
    }
}
