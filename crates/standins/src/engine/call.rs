//! The engine's calls over HTTP.

use std::sync::Arc;

use cactusnotch_base::clock;
use cactusnotch_base::number::Sequence;
use cactusnotch_base::outcome::Key;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use tokio::sync::mpsc::unbounded_channel;

use super::batch::Entrant;
use super::body::{Answer, Stream};
use super::cache;
use super::chat::{Body, Call, DEFAULT_MAX_TOKENS, Head};
use super::core::Core;
use super::order::Command;
use crate::sync::lock;
use crate::web::{self, Lost, json, refusal};

/// The largest request body, in bytes.
const BODY_LIMIT: usize = 16 << 20;

type Reply = Response<Answer>;

/// Answers one call.
pub(crate) async fn answer(core: Arc<Core>, request: Request<Incoming>) -> Result<Reply, Lost> {
    core.thawed().await;
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let reply = match (&method, path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => take(core, request, Call::Chat).await,
        (&Method::POST, "/v1/completions") => take(core, request, Call::Completion).await,
        (&Method::GET, "/load") => json(
            StatusCode::OK,
            &lock(&core.batch).reports.read(clock::now()),
        ),
        (&Method::GET, "/events") => events(&core, &request),
        (&Method::GET, "/orders") => json(StatusCode::OK, &lock(&core.served).read(clock::now())),
        (&Method::POST, "/orders") => order(&core, request).await,
        _ => refusal(StatusCode::NOT_FOUND, "no such path"),
    };
    Ok(reply)
}

/// Takes a completion, and says what the engine needs.
async fn take(core: Arc<Core>, request: Request<Incoming>, call: Call) -> Reply {
    lock(&core.calls).push(clock::now());
    let need = *lock(&core.need);
    let mut reply = if need.rest.is_some() {
        refusal(StatusCode::TOO_MANY_REQUESTS, "the engine needs rest")
    } else {
        complete(core, request, call).await
    };
    need.write(reply.headers_mut());
    reply
}

async fn complete(core: Arc<Core>, request: Request<Incoming>, call: Call) -> Reply {
    let headers = request.headers().clone();
    let body: Body = match read(request).await {
        Ok(body) => body,
        Err(reply) => return *reply,
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
        return streamed(stream);
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
    !core.options.strict_models || lock(&core.served).serves(model, clock::now())
}

fn events(core: &Core, request: &Request<Incoming>) -> Reply {
    let after = web::query(request.uri(), "after")
        .and_then(|after| after.parse().ok())
        .unwrap_or(0);
    let lag = core.options.event_lag;
    let events = lock(&core.batch)
        .cache
        .events(Sequence(after), lag, clock::now());
    json(StatusCode::OK, &events)
}

async fn order(core: &Core, request: Request<Incoming>) -> Reply {
    let command: Command = match read(request).await {
        Ok(command) => command,
        Err(reply) => return *reply,
    };
    let answer = lock(&core.served).apply(command, clock::now());
    json(web::status(answer.reply), &answer)
}

async fn read<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Box<Reply>> {
    let bytes = web::bytes(request.into_body(), BODY_LIMIT).await?;
    web::parse(&bytes)
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    web::header(headers, name).map(str::to_owned)
}

fn streamed(stream: Stream) -> Reply {
    let mut reply = Response::new(Answer::Stream(stream));
    let content_type = HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}
