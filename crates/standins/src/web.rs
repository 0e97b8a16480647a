//! An HTTP server whose answers are streamed, on a runtime of its own.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use hyper::body::{Body, Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

/// A server that stops and breaks off its connections when it is dropped.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    handle: Handle,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Binds `address` and serves `handler`.
    pub(crate) fn start<F, R, B>(address: SocketAddr, handler: F) -> io::Result<Self>
    where
        F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
        R: Future<Output = Result<Response<B>, Infallible>> + Send + 'static,
        B: Body<Data = Bytes, Error = Infallible> + Send + 'static,
    {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let listener = {
            let _entered = handle.enter();
            TcpListener::from_std(listener)?
        };
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    _ = stopped => {}
                    () = accept(listener, Arc::new(handler)) => {}
                }
            });
        });
        Ok(Self {
            address,
            handle,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the address that the server listens on.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs `task` on the server's thread.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.handle.spawn(task);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

async fn accept<F, R, B>(listener: TcpListener, handler: Arc<F>)
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Result<Response<B>, Infallible>> + Send + 'static,
    B: Body<Data = Bytes, Error = Infallible> + Send + 'static,
{
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let handler = Arc::clone(&handler);
            tokio::spawn(serve(stream, handler));
        }
    }
}

async fn serve<F, R, B>(stream: TcpStream, handler: Arc<F>)
where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Result<Response<B>, Infallible>> + Send + 'static,
    B: Body<Data = Bytes, Error = Infallible> + Send + 'static,
{
    drop(stream.set_nodelay(true));
    let service = service_fn(|request| handler(request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    drop(connection.await);
}
