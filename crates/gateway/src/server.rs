//! The listeners of an entry.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cactusnotch_base::clock;
use cactusnotch_tcp as tcp;
use cactusnotch_telemetry::Exporter;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::connection;
use crate::delivery::{self, Delivery};
use crate::dialect::{AddressQuery, Dialect};
use crate::knowledge::SharedState;

/// How long callers cache a list of addresses: short enough to leave a stopping entry
/// soon, long enough to keep the rate of queries low.
const ADDRESS_TTL: Duration = Duration::from_secs(1);
/// The pause after a connection could not be accepted, usually because file descriptors
/// ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections until the process exits.
pub(crate) async fn accept<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match tcp::tune(&stream) {
                Ok(()) => drop(tokio::task::spawn_local(serve(stream))),
                Err(error) => tracing::debug!(%error, "socket options not set, connection closed"),
            },
            Err(error) => {
                tracing::warn!(%error, "connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves callers' requests.
pub(crate) async fn callers<D: Dialect>(
    shared: Rc<SharedState>,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
) {
    accept(listener, |stream| {
        let limits = shared
            .configuration()
            .map(|configuration| configuration.limits);
        connection::serve::<D>(Rc::clone(&shared), stream, limits, closing.clone())
    })
    .await;
}

/// Serves queries for readiness and for addresses.
pub(crate) async fn queries<D: Dialect>(shared: Rc<SharedState>, listener: TcpListener) {
    accept(listener, |stream| {
        let shared = Rc::clone(&shared);
        answer(stream, move |request| answer_query::<D>(&shared, request))
    })
    .await;
}

/// Serves the metrics of a process on `listener` until the process exits.
pub async fn metrics(exporter: Exporter, listener: TcpListener) {
    accept(listener, |stream| {
        let exporter = exporter.clone();
        answer(stream, move |_| {
            Response::new(Full::new(Bytes::from(exporter.render())))
        })
    })
    .await;
}

/// Serves the requests of one connection with immediate responses.
pub(crate) async fn answer(
    stream: TcpStream,
    respond: impl Fn(&Request<Incoming>) -> Response<Full<Bytes>>,
) {
    let (stream, monitor) = tcp::Stream::new(stream);
    let delivery = Delivery::default();
    let service = service_fn(|request| {
        let (tracker, receipt) = delivery.open(&monitor);
        receipt.set_due(clock::now());
        let response = respond(&request).map(|body| tracker.track(body));
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    delivery::serve(connection, &delivery, &monitor).await;
}

/// Returns the regions whose entries a caller may use; `None` for all. These are the
/// regions allowed by the host's routes, if any restricts them, and the caller's own.
fn entry_regions(shared: &SharedState, query: &AddressQuery) -> Option<Vec<String>> {
    let configuration = shared.configuration()?;
    let regions = configuration.allowed_regions(query.host.as_deref()?)?;
    let regions = regions.into_iter().chain(query.region.as_deref());
    Some(regions.map(str::to_owned).collect())
}

fn answer_query<D: Dialect>(
    shared: &SharedState,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let now = clock::now();
    let status = |status| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = status;
        response
    };
    if D::is_readiness_query(request.uri()) {
        return status(if shared.ready(now) {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        });
    }
    let Some(query) = D::address_query(request.uri()) else {
        return status(StatusCode::NOT_FOUND);
    };
    let options = shared.options();
    let serving = shared.stopping.get().is_none() && shared.configuration().is_some();
    let regions = entry_regions(shared, &query);
    let is_allowed = |data_centre: &str| {
        let regions = regions.as_ref();
        regions.is_none_or(|regions| options.regions.any_contains(regions, data_centre))
    };
    let own_is_allowed = is_allowed(&options.data_centre);
    let ready = (shared.ready(now) && own_is_allowed).then_some(options.listen);
    let peers = shared.peers.borrow();
    let mut list = peers.list_within(query.data_centre.as_deref(), ready, is_allowed, now);
    if list.is_empty() && serving && own_is_allowed {
        // While the store is unavailable no entry is ready, but each still serves requests
        // that need no recent confirmation of the keys.
        list.push(options.listen);
    }
    if list.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let body = D::addresses(&list, ADDRESS_TTL.min(options.address_ttl_max));
    let mut response = Response::new(Full::new(body));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}
