//! The weight store's one call.

use std::sync::{Arc, Mutex};

use cactusnotch_base::clock;
use cactusnotch_placement::Cell;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode, Uri};

use super::content;
use super::pace::Pace;
use crate::sync::lock;
use crate::web::{Lost, refusal};

type Reply = Response<Full<Bytes>>;

/// Ends the call when its answer is made or its caller goes away.
struct Guard(Arc<Mutex<Pace>>);

impl Drop for Guard {
    fn drop(&mut self) {
        lock(&self.0).end();
    }
}

/// Answers one call.
pub(crate) async fn answer(
    pace: Arc<Mutex<Pace>>,
    request: Request<Incoming>,
) -> Result<Reply, Lost> {
    let (&Method::GET, Some(cell)) = (request.method(), cell(request.uri())) else {
        return Ok(refusal(StatusCode::NOT_FOUND, "no such path"));
    };
    let begun = lock(&pace).begin(clock::now());
    let Some(due) = begun else {
        let detail = "too many calls wait";
        return Ok(refusal(StatusCode::TOO_MANY_REQUESTS, detail));
    };
    let guard = Guard(pace);
    tokio::time::sleep(due.remaining()).await;
    let size = {
        let pace = &mut lock(&guard.0);
        pace.served();
        pace.size
    };
    Ok(Response::new(Full::from(content(cell, size))))
}

fn cell(uri: &Uri) -> Option<Cell> {
    let (layer, expert) = uri.path().strip_prefix("/weights/")?.split_once('/')?;
    Some(Cell {
        layer: layer.parse().ok()?,
        expert: expert.parse().ok()?,
    })
}
