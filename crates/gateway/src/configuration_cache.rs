//! The latest configuration, served to other entries.
//!
//! When each entry fetched each version from the store, a change took 149 calls, and a
//! revocation of a few keys took 824 within four seconds. Now a few entries call the
//! store, and the others fetch its answers from each other over the port on which entries
//! exchange datagrams.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use cactusnotch_position::Era;
use http::{Response, StatusCode};
use http_body_util::Full;
use tokio::net::TcpListener;

use crate::knowledge::SharedState;
use crate::server;
use crate::store::Codec;

/// The store's last answer that contained a configuration.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationCache(RefCell<Option<(Era, Bytes)>>);

impl ConfigurationCache {
    /// Replaces the answer with a newer one, which the store gave in `era`.
    pub(crate) fn set(&self, era: Era, body: Bytes) {
        *self.0.borrow_mut() = Some((era, body));
    }

    fn response<C: Codec>(&self) -> Response<Full<Bytes>> {
        let Some((era, body)) = self.0.borrow().clone() else {
            let mut response = Response::default();
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        };
        let mut response = Response::new(Full::new(body));
        C::write_era(era, response.headers_mut());
        response
    }
}

/// Serves the latest configuration to other entries until the process ends.
pub(crate) async fn run<C: Codec>(shared: Rc<SharedState>, listener: TcpListener) {
    server::accept(listener, |stream| {
        let shared = Rc::clone(&shared);
        server::answer(stream, move |_| shared.configuration_cache.response::<C>())
    })
    .await;
}
