//! The agent's own endpoint.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cactusnotch_gateway::channel;
use cactusnotch_gateway::client::{Client, Failure};
use derive_more::{Display, Error};
use http::{Request, StatusCode};

use crate::codec::{Codec, Order, Unreadable};
use crate::state::{Counts, State};

/// The longest time to connect: the endpoint is on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The longest time for an answer to a question.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// The longest time for an answer to an order. One without an answer may be
/// carried out seconds later; the endpoint is asked for its state then and
/// the order is given again if that doesn't show it, since the group may
/// stand still meanwhile. Answers on the same host take one to three
/// milliseconds; one that comes later shows in the state all the same.
const ORDER_TIMEOUT: Duration = Duration::from_millis(30);
/// The longest answer: counts of some thousand experts.
const ANSWER_MAX: usize = 1 << 20;

/// Why the endpoint gave no answer that can be used.
#[derive(Debug, Display, Error)]
pub(crate) enum Error {
    /// There was none.
    #[display("{_0}")]
    Channel(channel::Error),
    /// It refused.
    #[display("refused with {_0}")]
    Refused(#[error(not(source))] StatusCode),
    /// It can't be read.
    #[display("{_0}")]
    Unreadable(Unreadable),
}

/// The agent's own endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint<C> {
    client: Client,
    codec: PhantomData<C>,
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NoAnswer(error) => Self::Channel(error),
            Failure::Refused(status) => Self::Refused(status),
        }
    }
}

impl Error {
    /// Tells whether the endpoint said nothing, so that its state has to show
    /// what became of an order.
    pub(crate) const fn is_silence(&self) -> bool {
        matches!(self, Self::Channel(channel::Error::Timeout { .. }))
    }
}

impl<C: Codec> Endpoint<C> {
    pub(crate) const fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::new(address, CONNECT_TIMEOUT, ANSWER_MAX),
            codec: PhantomData,
        }
    }

    pub(crate) async fn state(&mut self) -> Result<State, Error> {
        let body = self.call(C::state_request(), CALL_TIMEOUT).await?;
        C::decode_state(&body).map_err(Error::Unreadable)
    }

    pub(crate) async fn counts(&mut self) -> Result<Counts, Error> {
        let body = self.call(C::counts_request(), CALL_TIMEOUT).await?;
        C::decode_counts(&body).map_err(Error::Unreadable)
    }

    pub(crate) async fn held(&mut self) -> Result<(u64, Vec<Vec<u16>>), Error> {
        let body = self.call(C::held_request(), CALL_TIMEOUT).await?;
        C::decode_held(&body).map_err(Error::Unreadable)
    }

    pub(crate) async fn order(
        &mut self,
        order: &Order,
        sequence: u64,
        epoch: u64,
    ) -> Result<(), Error> {
        self.call(C::order_request(order, sequence, epoch), ORDER_TIMEOUT)
            .await
            .map(drop)
    }

    async fn call(&mut self, request: Request<Bytes>, limit: Duration) -> Result<Bytes, Error> {
        self.client.fetch(request, limit).await.map_err(Error::from)
    }
}
