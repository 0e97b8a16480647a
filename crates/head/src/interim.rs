//! Bounds the interim responses (1xx) that precede a response, of which the HTTP library skips
//! any number.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use http::Request;
use tokio::sync::Notify;

/// The most interim responses that may precede a response. Servers send one or two of them, such
/// as 100 and 103.
const INTERIM_MAX: u32 = 16;

/// Counts the interim responses to a request.
#[derive(Debug, Default)]
pub struct Interim {
    count: AtomicU32,
    exceeded: Notify,
}

impl Interim {
    /// Counts the interim responses to `request`.
    #[must_use]
    pub fn count<B>(request: &mut Request<B>) -> Arc<Self> {
        let interim = Arc::new(Self::default());
        let counted = Arc::clone(&interim);
        hyper::ext::on_informational(request, move |_| {
            if counted.count.fetch_add(1, Ordering::Relaxed) == INTERIM_MAX {
                counted.exceeded.notify_one();
            }
        });
        interim
    }

    /// Waits until there are more than are allowed.
    pub async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}
