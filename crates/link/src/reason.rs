//! Why a link ended.

use std::time::Duration;

use derive_more::Display;

/// Why a link ended.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Reason {
    /// This side closed the link.
    #[display("closed here: {_0}")]
    Local(String),
    /// The peer closed the link.
    #[display("closed by the peer: {_0}")]
    Peer(String),
    /// No byte arrived within the idle timeout, so the connection is considered
    /// half-open.
    #[display("nothing received for {_0:?}")]
    Idle(Duration),
    /// The connection or its protocol failed.
    #[display("failed: {_0}")]
    Failed(String),
}

impl Reason {
    /// Returns a short name of the reason, as a label of metrics.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Local(_) => "local",
            Self::Peer(_) => "peer",
            Self::Idle(_) => "idle",
            Self::Failed(_) => "failed",
        }
    }
}
