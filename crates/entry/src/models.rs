//! The list of available models.

use bytes::Bytes;
use cactusnotch_base::Clock;
use cactusnotch_route::Service;
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde::Serialize;

use crate::body::Body;
use crate::shared::Shared;

#[derive(Serialize)]
struct Listing {
    object: &'static str,
    data: Vec<Entry>,
}

#[derive(Serialize)]
struct Entry {
    id: String,
    object: &'static str,
}

/// Lists the models that the endpoints in this entry's routing table serve.
pub(crate) fn answer<C: Clock>(shared: &Shared<C>) -> Response<Body> {
    let data = shared
        .router()
        .services()
        .filter_map(|service| match service {
            Service::Model(model) => Some(Entry {
                id: model.to_string(),
                object: "model",
            }),
            Service::Path(_) => None,
        })
        .collect();
    json(&Listing {
        object: "list",
        data,
    })
}

/// Returns a response that carries `value` as JSON.
pub(crate) fn json(value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("answers hold only plain JSON values");
    let mut response = Response::new(Body::from(Bytes::from(text)));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
