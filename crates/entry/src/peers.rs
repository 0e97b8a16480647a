//! Links that peers open to an entry.

use std::sync::Arc;

use cactusnotch_base::Clock;
use cactusnotch_link::{Link, Listener};
use cactusnotch_wire::Body;

use crate::shared::Shared;
use crate::{admission, claims};

/// Accepts links from peers for as long as the entry runs.
pub(crate) async fn accept<C: Clock>(mut listener: Listener<Body>, shared: Arc<Shared<C>>) {
    while let Some(accepted) = listener.accept().await {
        match accepted {
            Ok(link) => {
                tokio::spawn(serve(link, Arc::clone(&shared)));
            }
            Err(error) => tracing::warn!(%error, "link refused"),
        }
    }
}

async fn serve<C: Clock>(link: Link<Body>, shared: Arc<Shared<C>>) {
    let peer = link.peer().process.clone();
    let (_sender, mut receiver) = link.split();
    while let Some(received) = receiver.recv().await {
        match received {
            Ok(Body::Spread(message)) => shared.node.receive(&peer, message),
            Ok(Body::Claim(message)) => claims::receive(&shared, &peer, message),
            Ok(Body::Quota(message)) => admission::receive(&shared, &peer, &message),
            Ok(_) => {
                tracing::warn!(%peer, "link closed: message not allowed from a peer");
                return;
            }
            Err(error) => {
                tracing::debug!(%error, %peer, "link from the peer lost");
                return;
            }
        }
    }
}
