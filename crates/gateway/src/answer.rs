//! Answers of endpoints that are read whole before they are passed on.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Up to this size an answer is read whole, so that a spoilt one can still be
/// replaced; longer ones are passed on as they come. Plain answers here have a
/// few kilobytes.
const BUFFERED_MAX: usize = 64 * 1024;

/// What was read of an answer.
pub(crate) enum Read {
    /// All of it.
    Whole(Bytes),
    /// Its beginning; more is to come.
    Prefix(Bytes),
    /// It broke off.
    Broken(hyper::Error),
}

/// Reads an answer whole unless it is long.
pub(crate) async fn read(body: &mut Incoming) -> Read {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    bytes.extend_from_slice(&data);
                }
            }
            Err(error) => return Read::Broken(error),
        }
        if bytes.len() > BUFFERED_MAX {
            return Read::Prefix(bytes.freeze());
        }
    }
    Read::Whole(bytes.freeze())
}
