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

/// The time limit to connect: the endpoint is on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The time limit for an answer to a read.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// The time limit for an answer to an order. An order without an answer may be
/// carried out seconds later; the endpoint's state is read then, and the order
/// is sent again if the state does not show it, since the group may be stalled
/// meanwhile. Answers on the same host take one to three milliseconds; the
/// effect of one that comes later still shows in the state.
const ORDER_TIMEOUT: Duration = Duration::from_millis(30);
/// The largest answer, in bytes: counts of some thousand experts.
const ANSWER_MAX: usize = 1 << 20;

/// The endpoint gave no usable answer.
#[derive(Debug, Display, Error)]
pub(crate) enum Error {
    /// It did not answer.
    #[display("{_0}")]
    Channel(channel::Error),
    /// It refused the request.
    #[display("refused with {_0}")]
    Refused(#[error(not(source))] StatusCode),
    /// Its answer could not be decoded.
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
    /// Returns whether the endpoint did not answer in time. Its state must then
    /// show whether an order took effect.
    pub(crate) const fn is_timeout(&self) -> bool {
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

    async fn call(&mut self, request: Request<Bytes>, timeout: Duration) -> Result<Bytes, Error> {
        self.client
            .fetch(request, timeout)
            .await
            .map_err(Error::from)
    }
}
