//! An HTTP client of one peer that connects on demand.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;

use crate::channel::{Channel, Error};

/// Why a call returned no body.
#[derive(Debug)]
pub enum Failure {
    /// There was no response; the peer may have carried out the request.
    NoAnswer(Error),
    /// The peer refused the request.
    Refused(StatusCode),
}

/// A client of one peer that makes one call at a time.
#[derive(Debug)]
pub struct Client {
    peer: SocketAddr,
    connect_timeout: Duration,
    answer_bytes_max: usize,
    channel: Option<Channel>,
}

impl Client {
    /// Creates a client of `peer` that connects within `connect_timeout` and
    /// reads responses of at most `answer_bytes_max`.
    #[must_use]
    pub const fn new(peer: SocketAddr, connect_timeout: Duration, answer_bytes_max: usize) -> Self {
        Self {
            peer,
            connect_timeout,
            answer_bytes_max,
            channel: None,
        }
    }

    /// Sends a request and returns the response. The connection is kept only
    /// after a complete response: if a response was lost, it could arrive as
    /// the response to the next call.
    ///
    /// # Errors
    ///
    /// Returns why there is no response; the peer may have carried out the
    /// request.
    pub async fn call(
        &mut self,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let mut channel = match self.channel.take() {
            Some(channel) if channel.is_ready() => channel,
            _ => Channel::open(self.peer, self.connect_timeout).await?,
        };
        let mut request = request.map(Full::new);
        if let Ok(host) = HeaderValue::from_str(&self.peer.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        let response = channel
            .call(request, self.answer_bytes_max, timeout)
            .await?;
        self.channel = Some(channel);
        Ok(response)
    }

    /// Sends a request and returns the body of a successful response.
    ///
    /// # Errors
    ///
    /// Returns why there is no body.
    pub async fn fetch(
        &mut self,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Bytes, Failure> {
        let response = self
            .call(request, timeout)
            .await
            .map_err(Failure::NoAnswer)?;
        match response.status() {
            status if status.is_success() => Ok(response.into_body()),
            status => Err(Failure::Refused(status)),
        }
    }
}
