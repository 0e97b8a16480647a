//! Calls to one peer over a connection that is opened when it is needed.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;

use crate::channel::{Channel, Error};

/// Why a call brought no body.
#[derive(Debug)]
pub enum Failure {
    /// There was no answer; the call may have been done.
    NoAnswer(Error),
    /// The peer refused the call.
    Refused(StatusCode),
}

/// Calls to one peer, one after the other.
#[derive(Debug)]
pub struct Client {
    peer: SocketAddr,
    connect: Duration,
    answer_max: usize,
    channel: Option<Channel>,
}

impl Client {
    /// Creates a client of `peer` that connects within `connect` and reads
    /// answers of at most `answer_max` bytes.
    #[must_use]
    pub const fn new(peer: SocketAddr, connect: Duration, answer_max: usize) -> Self {
        Self {
            peer,
            connect,
            answer_max,
            channel: None,
        }
    }

    /// Makes a call. The connection is kept only after a whole answer: one on
    /// which an answer was lost may return it to the next call.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer; the call may have been done.
    pub async fn call(
        &mut self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let mut channel = match self.channel.take() {
            Some(channel) if channel.is_ready() => channel,
            _ => Channel::open(self.peer, self.connect).await?,
        };
        let mut request = request.map(Full::new);
        if let Ok(host) = HeaderValue::from_str(&self.peer.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        let response = channel.call(request, self.answer_max, limit).await?;
        self.channel = Some(channel);
        Ok(response)
    }

    /// Makes a call and returns the body of a success.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub async fn fetch(
        &mut self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<Bytes, Failure> {
        let response = self.call(request, limit).await.map_err(Failure::NoAnswer)?;
        match response.status() {
            status if status.is_success() => Ok(response.into_body()),
            status => Err(Failure::Refused(status)),
        }
    }
}
