//! An HTTP server whose answers are streamed, on a thread of its own.

mod reply;

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::{Display, Error};
use hyper::body::{Body, Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::runner::Runner;

pub(crate) use reply::{bytes, header, json, parse, query, refusal, status};

/// Tells the server to break off the connection in place of an answer.
#[derive(Debug, Display, Error)]
#[display("the answer is lost on purpose")]
pub(crate) struct Lost;

/// A server that stops and breaks off its connections when it is dropped.
#[derive(Debug)]
pub(crate) struct Server {
    runner: Runner,
    refusing: watch::Sender<bool>,
}

impl Server {
    /// Binds `address` and serves `handler`.
    pub(crate) fn start<F, R, B>(address: SocketAddr, handler: F) -> io::Result<Self>
    where
        F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
        R: Future<Output = Result<Response<B>, Lost>> + Send + 'static,
        B: Body<Data = Bytes, Error = Infallible> + Send + 'static,
    {
        let (refusing, refused) = watch::channel(false);
        let runner = Runner::start(address, |listener| {
            accept(listener, refused, Arc::new(handler))
        })?;
        Ok(Self { runner, refusing })
    }

    /// Returns the address that the server listens on.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.runner.address()
    }

    /// Breaks off all connections, and each new one as soon as it is made,
    /// until told otherwise.
    pub(crate) fn refuse(&self, refuse: bool) {
        self.refusing.send_replace(refuse);
    }

    /// Runs `task` on the server's thread.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.runner.spawn(task);
    }
}

async fn accept<F, R, B>(listener: TcpListener, refused: watch::Receiver<bool>, handler: Arc<F>)
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Result<Response<B>, Lost>> + Send + 'static,
    B: Body<Data = Bytes, Error = Infallible> + Send + 'static,
{
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, refused.clone(), Arc::clone(&handler)));
        }
    }
}

async fn serve<F, R, B>(stream: TcpStream, mut refused: watch::Receiver<bool>, handler: Arc<F>)
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Result<Response<B>, Lost>> + Send + 'static,
    B: Body<Data = Bytes, Error = Infallible> + Send + 'static,
{
    drop(stream.set_nodelay(true));
    let service = service_fn(|request| handler(request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        _ = refused.wait_for(|refused| *refused) => {}
        _ = connection => {}
    }
}
