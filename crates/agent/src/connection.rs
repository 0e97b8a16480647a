//! A connection to the endpoint.

use std::sync::Arc;

use bytes::Bytes;
use cactusnotch_head::{self as head, Interim};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::http::uri::{Authority, PathAndQuery};
use hyper::{Request, Response, Uri};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::engine::{Error, failed, unstarted};

/// The port of a base address without one.
const DEFAULT_PORT: u16 = 80;

/// A connection to the endpoint for one call.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    heads: Arc<head::Watch>,
}

impl Connection {
    /// Connects to the endpoint at `authority`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unstarted`] if the endpoint can't be reached.
    pub(crate) async fn open(authority: &Authority) -> Result<Self, Error> {
        let host = authority.host().trim_matches(['[', ']']);
        let port = authority.port_u16().unwrap_or(DEFAULT_PORT);
        let stream = TcpStream::connect((host, port)).await;
        let stream = stream.map_err(|error| unstarted(&error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| unstarted(&error))?;
        let (stream, heads) = head::Stream::new(stream);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unstarted(&error))?;
        // A failure of the connection is reported to the call; the connection closes when the call
        // and its answer are dropped.
        tokio::spawn(connection);
        Ok(Self { sender, heads })
    }

    /// Sends a request and returns its response once the head has been received.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unstarted`] if nothing was written, and [`Error::Failed`] if there is no
    /// response or its head is invalid.
    pub(crate) async fn send(
        mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let interim = Interim::count(&mut request);
        let response = tokio::select! {
            biased;
            () = interim.exceeded() => {
                let detail = "it sent interim responses without end".to_owned();
                return Err(Error::Failed { detail });
            }
            response = self.sender.try_send_request(request) => response,
        };
        let response = response.map_err(|mut failure| match failure.take_message() {
            Some(_) => unstarted(failure.error()),
            None => match self.heads.fault() {
                Some(fault) => failed(&fault),
                None => failed(failure.error()),
            },
        })?;
        head::check(response.status(), response.headers()).map_err(|fault| failed(&fault))?;
        Ok(response)
    }
}

/// Names the endpoint in the `Host` field of a request and leaves its path, as requests to a server
/// have it; returns the endpoint's authority.
///
/// # Errors
///
/// Returns [`Error::Unstarted`] if the base address names no host.
pub(crate) fn address(request: &mut Request<Full<Bytes>>) -> Result<Authority, Error> {
    let authority = request.uri().authority().cloned().ok_or_else(|| {
        let detail = format!("{} names no host", request.uri());
        Error::Unstarted { detail }
    })?;
    let host = HeaderValue::from_str(authority.as_str()).map_err(|error| unstarted(&error))?;
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = Uri::from(path.unwrap_or(PathAndQuery::from_static("/")));
    request.headers_mut().insert(HOST, host);
    Ok(authority)
}
