//! One kept HTTP connection to an endpoint or to the platform.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;

use crate::memory::ANSWER_BYTES;
use crate::tcp;

/// Why a call got no answer.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// No connection came about, so the call was not sent.
    #[display("connect to {peer}: {error}")]
    Connect {
        /// The peer.
        peer: SocketAddr,
        /// What went wrong.
        error: io::Error,
    },
    /// The call was never written to the connection.
    #[display("the connection to {peer} was closed before the call was written")]
    Unsent {
        /// The peer.
        peer: SocketAddr,
    },
    /// The call may have reached the peer.
    #[display("call to {peer}: {error}")]
    Exchange {
        /// The peer.
        peer: SocketAddr,
        /// What went wrong.
        error: hyper::Error,
    },
    /// The peer's answer is too long.
    #[display("the answer of {peer} could not be read")]
    Body {
        /// The peer.
        peer: SocketAddr,
    },
    /// The answer did not come in time; the call may have been done.
    #[display("{peer} did not answer in time")]
    Timeout {
        /// The peer.
        peer: SocketAddr,
    },
}

/// One HTTP connection. It is closed when this is dropped, also in the middle
/// of a call, which is how an endpoint learns that its caller has left.
#[derive(Debug)]
pub struct Channel {
    peer: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    answered: u32,
}

impl Channel {
    /// Connects to `peer`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`].
    pub async fn open(peer: SocketAddr, limit: Duration) -> Result<Self, Error> {
        let failed = |error| Error::Connect { peer, error };
        let stream = tcp::connect(peer, limit).await.map_err(failed)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed(io::Error::other(error)))?;
        let driver = tokio::task::spawn_local(async move {
            // How a connection ended is told to the call that was under way.
            let _: Result<(), hyper::Error> = connection.await;
        });
        Ok(Self {
            peer,
            sender,
            driver: driver.abort_handle(),
            answered: 0,
        })
    }

    /// Returns where the connection leads.
    #[must_use]
    pub const fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Tells whether another call can be made.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Tells whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns how many calls have been answered on this connection.
    #[must_use]
    pub const fn answered(&self) -> u32 {
        self.answered
    }

    /// Waits until the connection can take a call.
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

    /// Sends a request and returns the head of the answer with its body to be
    /// read.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unsent`] if nothing was written, and
    /// [`Error::Exchange`] if the request may have arrived.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let peer = self.peer;
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.answered += 1;
                Ok(response)
            }
            Err(mut failure) => match failure.take_message() {
                Some(_) => Err(Error::Unsent { peer }),
                None => Err(Error::Exchange {
                    peer,
                    error: failure.into_error(),
                }),
            },
        }
    }

    /// Makes a call and reads its whole answer, of at most `most` bytes,
    /// within `limit`.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer; all but [`Error::Unsent`] leave open
    /// whether the call was done.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        limit: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let peer = self.peer;
        let exchange = async {
            let (head, body) = self.send(request).await?.into_parts();
            let body = Limited::new(body, max_bytes).collect().await;
            let body = body.map_err(|_| Error::Body { peer })?.to_bytes();
            Ok(Response::from_parts(head, body))
        };
        match tokio::time::timeout(limit, exchange).await {
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

/// The bytes of an answer that a connection buffers at most; the least that
/// the library takes is 8 KB, and heads here stay far below.
const MAX_BUFFER: usize = ANSWER_BYTES as usize;
