//! Reads a caller's request and judges it.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cactusnotch_base::clock::{self, Instant};
use http::{Request, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use rand::Rng;

use crate::dialect::Dialect;
use crate::knowledge::SharedState;
use crate::memory::{Memory, Reservation};
use crate::refusal::Refusal;
use crate::request::{self, Call};

/// Reads and judges a request.
pub(crate) async fn admit<D: Dialect>(
    shared: &Rc<SharedState>,
    incoming: Request<Incoming>,
    arrived: Instant,
) -> Result<Call, (Refusal, Option<String>)> {
    let (parts, body) = incoming.into_parts();
    let head = D::head(&parts.headers);
    let id = head.id.clone();
    let fail = |refusal| (refusal, id.clone());
    let configuration = shared.configuration();
    let limit = configuration
        .as_ref()
        .map_or(BODY_MAX, |c| c.limits.body_bytes);
    let patience = configuration
        .as_ref()
        .map_or(BODY_TIME, |c| c.limits.idle_time);
    let mut room = shared
        .memory
        .reserve()
        .ok_or_else(|| fail(Refusal::NoMemory))?;
    let body = read_body(body, limit, patience, &shared.memory, &mut room);
    let body = body.await.map_err(fail)?;
    if shared.closing.get() {
        return Err(fail(Refusal::Stopping));
    }
    if shared.lacks_evacuations() {
        return Err(fail(Refusal::NotFresh));
    }
    let now = clock::now();
    let fresh = shared.freshness.borrow().holds(now);
    let configuration = shared
        .configuration()
        .ok_or_else(|| fail(Refusal::NotFresh))?;
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let draw = shared.rng.borrow_mut().random();
    let judged = request::judge(&configuration, host, parts.uri.path(), &head, draw);
    let judged = match judged {
        // What isn't known here may have come with a configuration that
        // hasn't arrived.
        Err(Refusal::NoRoute | Refusal::NoKey) if !fresh => Err(Refusal::NotFresh),
        Ok(judged) if judged.organisation.is_some() && !fresh => Err(Refusal::NotFresh),
        other => other,
    }
    .map_err(fail)?;
    let mut headers = parts.headers;
    request::strip(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let has_returned = shared
        .time_budgets
        .borrow_mut()
        .has_returned(&judged.route.name, head.time_budget);
    let until = Call::due(&judged.route, &head, arrived);
    let target = parts
        .uri
        .path_and_query()
        .cloned()
        .ok_or_else(|| fail(Refusal::Malformed))?;
    Ok(Call {
        method: parts.method,
        target,
        headers,
        body,
        room,
        head,
        judged,
        has_returned,
        version: configuration.version,
        arrived,
        until,
        digest: OnceCell::new(),
    })
}

/// The most bytes of a body, and the time for one, while no configuration
/// says otherwise.
const BODY_MAX: usize = 1 << 20;
const BODY_TIME: Duration = Duration::from_secs(15);

/// Reads a body piece by piece, each of which is counted in `held`.
async fn read_body(
    body: Incoming,
    limit: usize,
    patience: Duration,
    memory: &Memory,
    held: &mut Reservation,
) -> Result<Bytes, Refusal> {
    let mut body = Limited::new(body, limit);
    let read = async {
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| {
                if error.is::<LengthLimitError>() {
                    Refusal::TooLarge
                } else {
                    Refusal::Malformed
                }
            })?;
            let data = frame.into_data().unwrap_or_default();
            if !memory.grow(held, data.len()) {
                return Err(Refusal::NoMemory);
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    };
    let whole = tokio::time::timeout(patience, read).await;
    whole.unwrap_or(Err(Refusal::SlowBody))
}
