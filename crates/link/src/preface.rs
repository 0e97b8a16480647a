//! The messages before the WebSocket upgrade: length-prefixed CBOR. Reads never
//! exceed a message, so no bytes of the upgrade are consumed.

use std::sync::Arc;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::{Instant, timeout_at};

use crate::error::{Cause, Error, Step};
use crate::{Options, codec};

/// Exchanges size-limited messages with one peer until a deadline.
#[derive(Debug)]
pub(crate) struct Preface<'a, S> {
    pub(crate) stream: &'a mut S,
    pub(crate) options: &'a Options,
    pub(crate) peer: Arc<str>,
    pub(crate) deadline: Instant,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Preface<'_, S> {
    pub(crate) fn error(&self, step: Step, cause: Cause) -> Error {
        Error {
            step,
            peer: Arc::clone(&self.peer),
            cause,
        }
    }

    pub(crate) fn encode<T: serde::Serialize>(
        &self,
        step: Step,
        message: &T,
    ) -> Result<Vec<u8>, Error> {
        codec::encode(message).map_err(|cause| self.error(step, cause))
    }

    pub(crate) fn decode<T: serde::de::DeserializeOwned>(
        &self,
        step: Step,
        bytes: &[u8],
    ) -> Result<T, Error> {
        codec::decode(bytes).map_err(|cause| self.error(step, cause))
    }

    pub(crate) async fn write(&mut self, step: Step, bytes: &[u8]) -> Result<(), Error> {
        let written = timeout_at(self.deadline, write_message(self.stream, bytes)).await;
        self.flatten_timeout(step, written)
    }

    pub(crate) async fn read(&mut self, step: Step) -> Result<Vec<u8>, Error> {
        let limit = self.options.handshake_limit;
        let bytes = timeout_at(self.deadline, read_message(self.stream, limit)).await;
        self.flatten_timeout(step, bytes)
    }

    fn flatten_timeout<T, E>(
        &self,
        step: Step,
        result: Result<Result<T, Cause>, E>,
    ) -> Result<T, Error> {
        let timeout = Cause::Timeout(self.options.handshake_timeout);
        result
            .unwrap_or(Err(timeout))
            .map_err(|cause| self.error(step, cause))
    }
}

async fn write_message<S: AsyncWrite + Unpin>(stream: &mut S, bytes: &[u8]) -> Result<(), Cause> {
    let length = u32::try_from(bytes.len()).map_err(|_| Cause::Oversized {
        length: bytes.len(),
        limit: u32::MAX as usize,
    })?;
    let mut message = Vec::with_capacity(size_of::<u32>() + bytes.len());
    message.extend_from_slice(&length.to_be_bytes());
    message.extend_from_slice(bytes);
    stream.write_all(&message).await.map_err(Cause::Io)?;
    stream.flush().await.map_err(Cause::Io)
}

async fn read_message<S: AsyncRead + Unpin>(
    stream: &mut S,
    limit: usize,
) -> Result<Vec<u8>, Cause> {
    let length = stream.read_u32().await.map_err(Cause::Io)? as usize;
    if length > limit {
        return Err(Cause::Oversized { length, limit });
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await.map_err(Cause::Io)?;
    Ok(bytes)
}
