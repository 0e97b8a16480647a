//! Settings of the links between processes.

use std::time::Duration;

use bpaf::Bpaf;
use cactusnotch_link as link;

use crate::checked;

/// Settings of the links between processes.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
#[bpaf(generate(links), guard(Links::agree, DISAGREE))]
pub struct Links {
    /// How long a link's handshake may take
    #[bpaf(
        long("link-handshake-timeout"),
        env("CACTUSNOTCH_LINK_HANDSHAKE_TIMEOUT"),
        argument::<String>("TIME"),
        parse(checked("link-handshake-timeout")),
        fallback(HANDSHAKE_TIMEOUT),
        debug_fallback
    )]
    pub handshake_timeout: Duration,
    /// How often a link is pinged
    #[bpaf(
        long("link-ping-interval"),
        env("CACTUSNOTCH_LINK_PING_INTERVAL"),
        argument::<String>("TIME"),
        parse(checked("link-ping-interval")),
        fallback(PING_INTERVAL),
        debug_fallback
    )]
    pub ping_interval: Duration,
    /// How long a link may stay silent before it counts as half-open
    #[bpaf(
        long("link-idle-timeout"),
        env("CACTUSNOTCH_LINK_IDLE_TIMEOUT"),
        argument::<String>("TIME"),
        parse(checked("link-idle-timeout")),
        fallback(IDLE_TIMEOUT),
        debug_fallback
    )]
    pub idle_timeout: Duration,
}

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
const PING_INTERVAL: Duration = Duration::from_secs(2);
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// The fewest pings per idle timeout. With two, a single late ping does not end
/// a link.
const PINGS_PER_TIMEOUT: u32 = 2;

const DISAGREE: &str = "--link-idle-timeout (CACTUSNOTCH_LINK_IDLE_TIMEOUT) has to be at least \
                        twice --link-ping-interval (CACTUSNOTCH_LINK_PING_INTERVAL)";

impl Links {
    fn agree(&self) -> bool {
        self.ping_interval.saturating_mul(PINGS_PER_TIMEOUT) <= self.idle_timeout
    }

    /// Returns the link options of the process with `identity`.
    #[must_use]
    pub fn link(&self, identity: link::Identity, secrets: &[link::Secret]) -> link::Options {
        link::Options {
            handshake_timeout: self.handshake_timeout,
            ping_interval: self.ping_interval,
            idle_timeout: self.idle_timeout,
            ..link::Options::new(identity, secrets.to_vec())
        }
    }
}
