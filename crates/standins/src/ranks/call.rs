//! The calls that a rank answers.

use std::sync::Arc;

use cactusnotch_base::clock;
use cactusnotch_base::number::Sequence;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode};

use super::group::Core;
use super::rank::Command;
use crate::sync::lock;
use crate::web::{self, Lost, json, refusal};

/// The largest order, in bytes: it may carry a map.
const BODY_LIMIT: usize = 16 << 20;

type Answer = Response<Full<Bytes>>;

/// Answers one call to rank number `rank`.
pub(crate) async fn answer(
    core: Arc<Core>,
    rank: usize,
    request: Request<Incoming>,
) -> Result<Answer, Lost> {
    let path = request.uri().path().to_owned();
    Ok(match (request.method(), path.as_str()) {
        (&Method::GET, "/state") => {
            let read = lock(&core.state).members[rank].memory.read();
            json(StatusCode::OK, &read)
        }
        (&Method::GET, "/popularity") => popularity(&core, rank, &request),
        (&Method::POST, "/orders") => order(&core, rank, request).await,
        _ => refusal(StatusCode::NOT_FOUND, "no such path"),
    })
}

fn popularity(core: &Core, rank: usize, request: &Request<Incoming>) -> Answer {
    let after = web::query(request.uri(), "after")
        .and_then(|after| after.parse().ok())
        .unwrap_or(0);
    let state = lock(&core.state);
    let reports = state.members[rank]
        .reports
        .read(Sequence(after), clock::now());
    drop(state);
    json(StatusCode::OK, &reports)
}

async fn order(core: &Core, rank: usize, request: Request<Incoming>) -> Answer {
    let parsed = match web::bytes(request.into_body(), BODY_LIMIT).await {
        Ok(bytes) => web::parse::<Command, _>(&bytes),
        Err(reply) => Err(reply),
    };
    let command = match parsed {
        Ok(command) => command,
        Err(reply) => return *reply,
    };
    let answer = lock(&core.state).members[rank].memory.apply(command);
    core.changed.notify_all();
    json(web::status(answer.reply), &answer)
}
