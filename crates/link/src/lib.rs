//! Links between the processes of cactusnotch: WebSocket connections that
//! carry CBOR messages.
//!
//! Both sides of a link prove that they hold the cluster's secret before the
//! WebSocket is opened, so an unknown peer reaches neither the HTTP parser nor
//! the frame parser. After the handshake, a frame is authenticated only by the
//! connection that it arrives on. There is no per-frame MAC and no encryption,
//! so the network between the hosts must be trusted unless links run over TLS.
//! [`dial_on`] and [`accept_on`] accept any byte stream, including a TLS stream.
//!
//! ```no_run
//! # async fn run(options: cactusnotch_link::Options) -> Result<(), cactusnotch_link::Error> {
//! let link = cactusnotch_link::dial::<String>("127.0.0.1:7100", &options).await?;
//! let (sender, mut receiver) = link.split();
//! sender.try_send(&"ping".to_owned())?;
//! while let Some(message) = receiver.recv().await {
//!     println!("{}", message?);
//! }
//! # Ok(())
//! # }
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod budget;
mod codec;
mod counted;
pub mod error;
mod handshake;
mod hello;
mod identity;
mod link;
mod listener;
mod options;
mod preface;
mod proof;
mod reader;
mod reason;
mod receiver;
pub mod secret;
mod sender;
mod shared;
mod stats;
mod writer;

pub use error::Error;
pub use hello::VERSION;
pub use identity::{Identity, Role};
pub use link::{Link, accept, accept_on, dial, dial_on};
pub use listener::Listener;
pub use options::Options;
pub use reason::Reason;
pub use receiver::Receiver;
pub use secret::Secret;
pub use sender::Sender;
pub use stats::Stats;
