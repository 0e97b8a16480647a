//! Reads a caller's request and resolves its route, organisation and limits.

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

/// Reads and resolves a request.
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
        .map_or(DEFAULT_BODY_MAX, |c| c.limits.body_bytes);
    let timeout = configuration
        .as_ref()
        .map_or(DEFAULT_BODY_TIMEOUT, |c| c.limits.idle_time);
    let mut reservation = shared
        .memory
        .reserve()
        .ok_or_else(|| fail(Refusal::NoMemory))?;
    let body = read_body(body, limit, timeout, &shared.memory, &mut reservation);
    let body = body.await.map_err(fail)?;
    if shared.closing.get() {
        return Err(fail(Refusal::Stopping));
    }
    if shared.lacks_evacuations() || !shared.quarantines_read.get() {
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
    let resolved = request::resolve(&configuration, host, parts.uri.path(), &head, draw);
    let resolved = match resolved {
        // The missing route or key may be in a newer configuration that this
        // entry has not received yet.
        Err(Refusal::NoRoute | Refusal::NoKey) if !fresh => Err(shared.refusal_not_fresh(now)),
        Ok(resolved) if resolved.organisation.is_some() && !fresh => {
            Err(shared.refusal_not_fresh(now))
        }
        other => other,
    }
    .map_err(fail)?;
    let mut headers = parts.headers;
    request::strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let has_returned = shared
        .time_budgets
        .borrow_mut()
        .has_returned(&resolved.route.name, head.time_budget);
    let class = resolved.class(&configuration, shared.options().overload.mode);
    let deadline = Call::deadline_of(&resolved.route, &head, arrived);
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
        reservation,
        head,
        resolved,
        class,
        has_returned,
        version: configuration.version,
        arrived,
        deadline,
        shared_parts: D::shared_parts,
        parts: OnceCell::new(),
        accused: OnceCell::new(),
    })
}

/// The limits of a body's size and transfer time before a configuration is
/// known.
const DEFAULT_BODY_MAX: usize = 1 << 20;
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// Reads a body and adds each of its frames to `reservation`.
async fn read_body(
    body: Incoming,
    limit: usize,
    timeout: Duration,
    memory: &Memory,
    reservation: &mut Reservation,
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
            if !memory.grow(reservation, data.len()) {
                return Err(Refusal::NoMemory);
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    };
    let whole = tokio::time::timeout(timeout, read).await;
    whole.unwrap_or(Err(Refusal::SlowBody))
}
