//! The newest configuration as other entries get it.
//!
//! Each entry asked the store for each version: 149 calls a change, and 824 within four
//! seconds in which a few keys were taken back. A few ask the store; the others get what
//! these were answered from each other, over the port on which entries exchange datagrams.

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

/// The store's last answer that held a configuration.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationCache(RefCell<Option<(Era, Bytes)>>);

impl ConfigurationCache {
    /// Takes a newer answer, which was given in `era`.
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

/// Hands the newest configuration out for as long as the process lives.
pub(crate) async fn run<C: Codec>(shared: Rc<SharedState>, listener: TcpListener) {
    server::accept(listener, |stream| {
        let shared = Rc::clone(&shared);
        server::answer(stream, move |_| shared.configuration_cache.response::<C>())
    })
    .await;
}
