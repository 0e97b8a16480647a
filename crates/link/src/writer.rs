//! The task that writes to a link's connection.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::stream::SplitSink;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc;
use tokio::time::{Interval, timeout};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use tokio_tungstenite::tungstenite::{Error, Message};

use crate::Reason;
use crate::sender::Outgoing;
use crate::shared::Shared;

/// The timeout for sending the close frame after the link has ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest reason that a close frame can carry, in bytes.
const CLOSE_TEXT_LIMIT: usize = 123;

/// Whether the task continues after a step.
enum Next {
    Continue,
    Finish,
}

/// The task that writes to a link's connection.
pub(crate) struct Writer<S> {
    pub(crate) sink: SplitSink<WebSocketStream<S>, Message>,
    pub(crate) queue: mpsc::Receiver<Outgoing>,
    pub(crate) pings: Interval,
    pub(crate) shared: Arc<Shared>,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Writer<S> {
    /// Writes until the link ends or this side closes it.
    pub(crate) async fn run(mut self) {
        let shared = Arc::clone(&self.shared);
        let ended = tokio::select! {
            reason = shared.ended() => Some(reason),
            result = self.write() => {
                if let Err(error) = result {
                    shared.end(Reason::Failed(error.to_string()));
                }
                None
            }
        };
        if let Some(reason) = ended {
            let close = self.sink.send(close_frame(&reason));
            let _ = timeout(CLOSE_TIMEOUT, close).await;
        }
    }

    async fn write(&mut self) -> Result<(), Error> {
        while let Next::Continue = self.step().await? {}
        Ok(())
    }

    async fn step(&mut self) -> Result<Next, Error> {
        tokio::select! {
            first = self.queue.recv() => self.write_batch(first).await,
            _ = self.pings.tick() => {
                self.sink.send(Message::Ping(Bytes::new())).await?;
                Ok(Next::Continue)
            }
        }
    }

    /// Writes all queued messages, then flushes once.
    async fn write_batch(&mut self, first: Option<Outgoing>) -> Result<Next, Error> {
        let mut next = first.unwrap_or_else(|| Outgoing::Close("finished".to_owned()));
        loop {
            match next {
                Outgoing::Message(charged) => {
                    self.sink
                        .feed(Message::Binary(charged.bytes.clone()))
                        .await?;
                    self.shared.stats.add_message_out();
                }
                Outgoing::Close(text) => return self.close(text).await,
            }
            match self.queue.try_recv() {
                Ok(waiting) => next = waiting,
                Err(_) => break,
            }
        }
        self.sink.flush().await?;
        Ok(Next::Continue)
    }

    async fn close(&mut self, text: String) -> Result<Next, Error> {
        self.queue.close();
        self.shared.begin_close(text.clone());
        let frame = close_frame(&Reason::Local(text));
        self.sink.send(frame).await?;
        Ok(Next::Finish)
    }
}

fn close_frame(reason: &Reason) -> Message {
    let (code, text) = match reason {
        Reason::Local(text) => (CloseCode::Normal, text.clone()),
        Reason::Peer(_) => (CloseCode::Normal, String::new()),
        Reason::Idle(_) => (CloseCode::Away, reason.to_string()),
        Reason::Failed(_) => (CloseCode::Protocol, reason.to_string()),
    };
    let end = text.floor_char_boundary(CLOSE_TEXT_LIMIT);
    Message::Close(Some(CloseFrame {
        code,
        reason: text[..end].into(),
    }))
}
