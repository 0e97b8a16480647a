//! A persistent HTTP connection to an endpoint or to the platform.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactusnotch_head::{self as head, Interim};
use cactusnotch_tcp as tcp;
use derive_more::{Display, Error};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;

use crate::memory::ANSWER_BYTES;

/// Why a call failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The connection could not be established; the request was not sent.
    #[display("connect to {peer}: {error}")]
    Connect {
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// The request was never written to the connection.
    #[display("the connection to {peer} was closed before the call was written")]
    Unsent {
        /// The peer.
        peer: SocketAddr,
    },
    /// The exchange failed; the peer may have received the request.
    #[display("call to {peer}: {error}")]
    Exchange {
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        error: hyper::Error,
    },
    /// The peer sent interim responses without end; it may have received the request.
    #[display("{peer} sent interim responses without end")]
    Interim {
        /// The peer.
        peer: SocketAddr,
    },
    /// The head of the response is invalid, so that its body is unknown; the peer may have carried
    /// out the request.
    #[display("the answer of {peer} has an invalid head: {fault}")]
    Head {
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        #[error(source)]
        fault: head::Fault,
    },
    /// The body of the response failed or is too long.
    #[display("the answer of {peer} could not be read")]
    Body {
        /// The peer.
        peer: SocketAddr,
    },
    /// The peer did not respond in time; it may have carried out the request.
    #[display("{peer} did not answer in time")]
    Timeout {
        /// The peer.
        peer: SocketAddr,
    },
}

/// One HTTP connection. Dropping it closes the connection, even during a call;
/// this is how an endpoint detects that its caller has disconnected.
#[derive(Debug)]
pub struct Channel {
    peer: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    heads: Arc<head::Watch>,
    driver: AbortHandle,
    answered: u32,
}

impl Channel {
    /// Connects to `peer`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`].
    pub async fn open(peer: SocketAddr, timeout: Duration) -> Result<Self, Error> {
        let failed = |error| Error::Connect { peer, error };
        let stream = tcp::connect(peer, timeout).await.map_err(failed)?;
        let (stream, monitor) = tcp::Stream::new(stream);
        let (stream, heads) = head::Stream::new(stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed(io::Error::other(error)))?;
        let driver = tokio::task::spawn_local(async move {
            // A failure of the connection is reported to the call in progress.
            let _: Result<(), hyper::Error> = tokio::select! {
                ended = connection => ended,
                never = monitor.run() => match never {},
            };
        });
        Ok(Self {
            peer,
            sender,
            heads,
            driver: driver.abort_handle(),
            answered: 0,
        })
    }

    /// Returns the address of the peer.
    #[must_use]
    pub const fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns whether the connection is idle and open.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns the number of responses received on this connection.
    #[must_use]
    pub const fn answered(&self) -> u32 {
        self.answered
    }

    /// Waits until the connection accepts a request.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unsent`] if the connection is closed.
    pub async fn ready(&mut self) -> Result<(), Error> {
        let peer = self.peer;
        self.sender
            .ready()
            .await
            .map_err(|_| Error::Unsent { peer })
    }

    /// Sends a request and returns the head of the response with its unread
    /// body.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unsent`] if nothing was written, and [`Error::Exchange`],
    /// [`Error::Interim`] or [`Error::Head`] if the peer may have received the request. The
    /// connection can't be used after the last two.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let peer = self.peer;
        let interim = Interim::count(&mut request);
        self.heads.expect_head();
        let sent = tokio::select! {
            biased;
            () = interim.exceeded() => {
                self.driver.abort();
                return Err(Error::Interim { peer });
            }
            sent = self.sender.try_send_request(request) => sent,
        };
        match sent {
            Ok(response) => {
                self.check(&response)?;
                self.answered += 1;
                Ok(response)
            }
            Err(mut failure) => match failure.take_message() {
                Some(_) => Err(Error::Unsent { peer }),
                None => Err(match self.heads.fault() {
                    Some(fault) => Error::Head { peer, fault },
                    None => Error::Exchange {
                        peer,
                        error: failure.into_error(),
                    },
                }),
            },
        }
    }

    /// Checks the head of a response, and closes the connection if it is invalid.
    fn check<B>(&self, response: &Response<B>) -> Result<(), Error> {
        let peer = self.peer;
        head::check(response.status(), response.headers()).map_err(|fault| {
            self.driver.abort();
            Error::Head { peer, fault }
        })
    }

    /// Sends a request and reads the whole response, of at most `max_bytes`,
    /// within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns why there is no response. All errors but [`Error::Unsent`] leave
    /// open whether the peer carried out the request.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let peer = self.peer;
        let exchange = async {
            let (head, body) = self.send(request).await?.into_parts();
            let body = Limited::new(body, max_bytes).collect().await;
            let body = body.map_err(|_| Error::Body { peer })?.to_bytes();
            Ok(Response::from_parts(head, body))
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout { peer }),
        }
    }
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// The most bytes of a response that a connection buffers. The library's
/// minimum is 8 KB, and response heads are far below this limit.
const MAX_BUFFER: usize = ANSWER_BYTES as usize;
