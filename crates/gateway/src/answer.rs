//! Buffers endpoints' responses before they are relayed.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Responses up to this size are buffered, which allows a retry if they turn
/// out incomplete. Longer ones are streamed. Plain responses have a few
/// kilobytes.
const BUFFERED_MAX: usize = 64 * 1024;

/// The most bytes of a response. Responses have a few kilobytes, streams some hundred; an endpoint
/// in trouble may send bytes until its connection is closed.
pub(crate) const RESPONSE_MAX: u64 = 4 << 20;

/// The result of buffering a response.
pub(crate) enum Read {
    /// The complete body.
    Whole(Bytes),
    /// The start of a body that is too long to buffer.
    Prefix(Bytes),
    /// The connection failed before the end of the body.
    Broken(hyper::Error),
}

/// Reads a response up to [`BUFFERED_MAX`] bytes.
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
