//! The task that reads from a link's connection.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::SplitStream;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc;
use tokio::time::{Instant, interval};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::{self, Message};

use crate::Reason;
use crate::budget::{Budget, Charged};
use crate::error::{Cause, Error, Step};
use crate::shared::Shared;

/// The number of checks for received bytes per idle timeout.
const CHECKS_PER_TIMEOUT: u32 = 4;

/// The task that reads from a link's connection.
pub(crate) struct Reader<S> {
    pub(crate) stream: SplitStream<WebSocketStream<S>>,
    pub(crate) queue: mpsc::Sender<Result<Charged, Error>>,
    pub(crate) budget: Budget,
    pub(crate) idle_timeout: Duration,
    pub(crate) shared: Arc<Shared>,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Reader<S> {
    /// Reads until the link ends.
    pub(crate) async fn run(mut self) {
        let shared = Arc::clone(&self.shared);
        let queue = self.queue.clone();
        let end = tokio::select! {
            reason = shared.ended() => End::clean(reason),
            () = queue.closed() => End::clean(Reason::Local("receiver dropped".to_owned())),
            end = self.read() => end,
        };
        // Marks the end first, so senders observe it even if the receiver is slow.
        shared.end(end.reason);
        if let Some(cause) = end.error {
            let _ = queue.send(Err(shared.error(Step::Receive, cause))).await;
        }
    }

    async fn read(&mut self) -> End {
        let mut checks = interval(self.idle_timeout / CHECKS_PER_TIMEOUT);
        let mut activity = Activity::new(&self.shared);
        loop {
            tokio::select! {
                frame = self.stream.next() => {
                    if let Some(end) = self.handle(frame).await {
                        return end;
                    }
                    activity = Activity::new(&self.shared);
                }
                _ = checks.tick() => {
                    activity.update(&self.shared);
                    if activity.since.elapsed() >= self.idle_timeout {
                        return End::idle(self.idle_timeout);
                    }
                }
            }
        }
    }

    /// Handles one frame and returns how the link ends, if it does.
    async fn handle(&mut self, frame: Option<tungstenite::Result<Message>>) -> Option<End> {
        match frame {
            Some(Ok(Message::Binary(bytes))) => {
                let charged = self.budget.charge(bytes).await.ok()?;
                let _ = self.queue.send(Ok(charged)).await;
                None
            }
            Some(Ok(Message::Close(frame))) => Some(self.closed(frame)),
            Some(Ok(_)) => None,
            Some(Err(_)) if self.shared.is_closing() => Some(self.closed(None)),
            Some(Err(error)) => Some(End::failed(error.into())),
            None => Some(self.closed(None)),
        }
    }

    fn closed(&self, frame: Option<CloseFrame>) -> End {
        if self.shared.is_closing() {
            return End::clean(Reason::Local(self.shared.closing_text().to_owned()));
        }
        let text = frame.map_or_else(String::new, |frame| frame.reason.to_string());
        End::clean(Reason::Peer(text))
    }
}

/// The end of a link: its reason, and the receiver's last item if that is an
/// error.
struct End {
    reason: Reason,
    error: Option<Cause>,
}

impl End {
    const fn clean(reason: Reason) -> Self {
        Self {
            reason,
            error: None,
        }
    }

    fn failed(cause: Cause) -> Self {
        Self {
            reason: Reason::Failed(cause.to_string()),
            error: Some(cause),
        }
    }

    fn idle(timeout: Duration) -> Self {
        let reason = Reason::Idle(timeout);
        Self {
            reason: reason.clone(),
            error: Some(Cause::Closed(reason)),
        }
    }
}

/// The time at which the byte counter last increased.
struct Activity {
    bytes: u64,
    since: Instant,
}

impl Activity {
    #[expect(
        clippy::disallowed_methods,
        reason = "a suspension is not idle time: the peer's pings are still to be read"
    )]
    fn new(shared: &Shared) -> Self {
        Self {
            bytes: shared.stats.bytes_in(),
            since: Instant::now(),
        }
    }

    fn update(&mut self, shared: &Shared) {
        if shared.stats.bytes_in() != self.bytes {
            *self = Self::new(shared);
        }
    }
}
