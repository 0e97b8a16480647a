//! The engine's calls over HTTP.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Instant;

use cactusnotch_base::number::Sequence;
use cactusnotch_base::outcome::Key;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc::unbounded_channel;

use super::batch::Entrant;
use super::body::{Answer, Stream};
use super::cache;
use super::chat::{Body, Call, DEFAULT_MAX_TOKENS, Head};
use super::core::Core;
use super::order::Command;
use crate::sync::lock;

/// The largest request body, in bytes.
const BODY_LIMIT: usize = 16 << 20;

type Reply = Response<Answer>;

/// Answers one call.
pub(crate) async fn answer(
    core: Arc<Core>,
    request: Request<Incoming>,
) -> Result<Reply, Infallible> {
    core.thawed().await;
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let reply = match (&method, path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => complete(core, request, Call::Chat).await,
        (&Method::POST, "/v1/completions") => complete(core, request, Call::Completion).await,
        (&Method::GET, "/load") => json(
            StatusCode::OK,
            &lock(&core.batch).reports.read(Instant::now()),
        ),
        (&Method::GET, "/events") => events(&core, &request),
        (&Method::GET, "/orders") => json(StatusCode::OK, &*lock(&core.served)),
        (&Method::POST, "/orders") => order(&core, request).await,
        _ => refusal(StatusCode::NOT_FOUND, "no such path"),
    };
    Ok(reply)
}

async fn complete(core: Arc<Core>, request: Request<Incoming>, call: Call) -> Reply {
    let headers = request.headers().clone();
    let body: Body = match read(request).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    if !serves(&core, &body.model) {
        return refusal(StatusCode::NOT_FOUND, "the model is not loaded");
    }
    let prompt = body.prompt(call);
    let (sender, tokens) = unbounded_channel();
    let head = Head {
        call,
        id: text(&headers, "request-id").unwrap_or_default(),
        model: body.model.clone(),
    };
    let prompt_tokens = cache::count(&prompt);
    let entrant = Entrant {
        request: head.id.clone(),
        key: text(&headers, "idempotency-key").map(Key::new),
        model: body.model,
        prompt,
        max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        priority: text(&headers, "priority")
            .and_then(|priority| priority.parse().ok())
            .unwrap_or(0),
        tokens: sender,
    };
    let Some(run) = core.submit(entrant) else {
        return refusal(StatusCode::TOO_MANY_REQUESTS, "the queue is full");
    };
    let stream = Stream {
        head,
        tokens,
        core,
        run,
        ended: false,
    };
    if body.stream {
        return reply(StatusCode::OK, "text/event-stream", Answer::Stream(stream));
    }
    whole(stream, prompt_tokens).await
}

async fn whole(mut stream: Stream, prompt_tokens: usize) -> Reply {
    let (mut text, mut count) = (String::new(), 0);
    while let Some(token) = stream.tokens.recv().await {
        text.push_str(&token);
        count += 1;
    }
    json(
        StatusCode::OK,
        &stream.head.whole(&text, prompt_tokens, count),
    )
}

fn serves(core: &Core, model: &str) -> bool {
    let served = lock(&core.served);
    !core.options.strict_models || served.models.iter().any(|other| other == model)
}

fn events(core: &Core, request: &Request<Incoming>) -> Reply {
    let query = request.uri().query().unwrap_or_default();
    let after = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("after="))
        .and_then(|after| after.parse().ok())
        .unwrap_or(0);
    let lag = core.options.event_lag;
    let events = lock(&core.batch)
        .cache
        .events(Sequence(after), lag, Instant::now());
    json(StatusCode::OK, &events)
}

async fn order(core: &Core, request: Request<Incoming>) -> Reply {
    let command: Command = match read(request).await {
        Ok(command) => command,
        Err(reply) => return reply,
    };
    let mut served = lock(&core.served);
    let status = if served.apply(command, core.options.fencing) {
        StatusCode::OK
    } else {
        StatusCode::CONFLICT
    };
    json(status, &*served)
}

async fn read<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Reply> {
    let bytes = match Limited::new(request.into_body(), BODY_LIMIT)
        .collect()
        .await
    {
        Ok(body) => body.to_bytes(),
        Err(error) => return Err(refusal(StatusCode::BAD_REQUEST, &error.to_string())),
    };
    serde_json::from_slice(&bytes)
        .map_err(|error| refusal(StatusCode::BAD_REQUEST, &error.to_string()))
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn refusal(status: StatusCode, detail: &str) -> Reply {
    json(status, &serde_json::json!({"error": {"message": detail}}))
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let bytes = serde_json::to_vec(value).map_or_else(|_| Bytes::new(), Bytes::from);
    reply(status, "application/json", Answer::Whole(Some(bytes)))
}

fn reply(status: StatusCode, content_type: &'static str, answer: Answer) -> Reply {
    let mut reply = Response::new(answer);
    *reply.status_mut() = status;
    let content_type = header::HeaderValue::from_static(content_type);
    reply
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    reply
}
