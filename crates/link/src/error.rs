//! Errors of links, with the step and the peer.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error as StdError};

use crate::Reason;

/// A step in the lifecycle of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Step {
    /// Listening on an address.
    #[display("listen")]
    Listen,
    /// Opening the connection.
    #[display("connect")]
    Connect,
    /// Exchanging hellos.
    #[display("hello")]
    Hello,
    /// Mutual proof that both sides hold a secret of the cluster.
    #[display("proof")]
    Proof,
    /// Opening the WebSocket.
    #[display("upgrade")]
    Upgrade,
    /// Sending messages.
    #[display("send")]
    Send,
    /// Receiving messages.
    #[display("receive")]
    Receive,
}

/// A failure of a link.
#[derive(Debug, Display, StdError)]
#[display("link with {peer}, {step}: {cause}")]
pub struct Error {
    /// The step that failed.
    pub step: Step,
    /// The peer's address, followed by its process name once that is known.
    pub peer: Arc<str>,
    /// The cause.
    #[error(source)]
    pub cause: Cause,
}

/// The cause of a failure of a link.
#[derive(Debug, Display, StdError)]
pub enum Cause {
    /// The connection failed or ended early.
    #[display("{_0}")]
    Io(#[error(source)] io::Error),
    /// The step exceeded the timeout of the handshake.
    #[display("not done within {_0:?}")]
    Timeout(#[error(not(source))] Duration),
    /// A message exceeds the size limit.
    #[display("a message of {length} bytes exceeds the limit of {limit}")]
    Oversized {
        /// The length of the message, in bytes.
        length: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// A message can't be encoded or decoded.
    #[display("malformed message: {_0}")]
    Malformed(#[error(not(source))] String),
    /// The peer uses another version of the protocol.
    #[display("the peer speaks version {theirs}, this process version {ours}")]
    Version {
        /// The peer's version.
        theirs: u16,
        /// The version of this process.
        ours: u16,
    },
    /// The peer holds none of the cluster's secrets.
    #[display("the peer's proof fits none of the cluster's secrets")]
    Forged,
    /// The peer refused this process.
    #[display("refused by the peer: {_0}")]
    Refused(#[error(not(source))] String),
    /// The WebSocket protocol was violated.
    #[display("WebSocket: {_0}")]
    WebSocket(#[error(not(source))] String),
    /// The queue of the link is full.
    #[display("the queue is full ({messages} messages or {bytes} bytes)")]
    Full {
        /// The most messages that the queue holds.
        messages: usize,
        /// The most bytes that the queue holds.
        bytes: usize,
    },
    /// The link has ended.
    #[display("closed: {_0}")]
    Closed(#[error(not(source))] Reason),
}

impl Cause {
    /// Returns a short name of the cause, as a label of metrics.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Io(_) => "io",
            Self::Timeout(_) => "timeout",
            Self::Oversized { .. } => "oversized",
            Self::Malformed(_) => "malformed",
            Self::Version { .. } => "version",
            Self::Forged => "forged",
            Self::Refused(_) => "refused",
            Self::WebSocket(_) => "websocket",
            Self::Full { .. } => "full",
            Self::Closed(_) => "closed",
        }
    }
}

impl From<tokio_tungstenite::tungstenite::Error> for Cause {
    fn from(error: tokio_tungstenite::tungstenite::Error) -> Self {
        use tokio_tungstenite::tungstenite::Error as Source;
        use tokio_tungstenite::tungstenite::error::CapacityError;
        match error {
            Source::Io(error) => Self::Io(error),
            Source::Capacity(CapacityError::MessageTooLong { size, max_size }) => Self::Oversized {
                length: size,
                limit: max_size,
            },
            other => Self::WebSocket(other.to_string()),
        }
    }
}
