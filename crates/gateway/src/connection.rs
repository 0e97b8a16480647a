//! A caller's connection.

use std::convert::Infallible;
use std::rc::Rc;

use cactusnotch_tcp as tcp;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::configuration::Limits;
use crate::delivery::{self, Delivery};
use crate::dialect::Dialect;
use crate::flight;
use crate::knowledge::SharedState;

/// The smallest read buffer that the HTTP library accepts.
const BUFFER_MIN: usize = 8 * 1024;

/// Serves a caller's connection until it closes. `closing` starts a graceful
/// shutdown after the request in progress.
pub(crate) async fn serve<D: Dialect>(
    shared: Rc<SharedState>,
    stream: TcpStream,
    limits: Option<Limits>,
    mut closing: watch::Receiver<bool>,
) {
    let (stream, monitor) = tcp::Stream::new(stream);
    let delivery = Delivery::default();
    let service = service_fn(|request| {
        let (shared, (tracker, receipt)) = (Rc::clone(&shared), delivery.open(&monitor));
        async move {
            let response = flight::handle::<D>(shared, request, receipt).await;
            Ok::<_, Infallible>(response.map(|body| tracker.track(body)))
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    if let Some(limits) = limits {
        builder.header_read_timeout(limits.idle_time);
        builder.max_buf_size(limits.head_bytes.max(BUFFER_MIN));
    }
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let served = async {
        tokio::select! {
            ended = connection.as_mut() => ended,
            _ = closing.wait_for(|closing| *closing) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    delivery::serve(served, &delivery, &monitor).await;
}
