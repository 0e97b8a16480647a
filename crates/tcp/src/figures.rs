//! The kernel's figures of a connection.

use std::os::fd::AsFd;
use std::time::Duration;

use nix::sys::socket::getsockopt;
use nix::sys::socket::sockopt::GetStruct;

/// The length of the part of `struct tcp_info` that is read. Linux has it since 4.10.
const INFO_BYTES: usize = 184;

/// The option `TCP_INFO`, see tcp(7). Newer kernels write more if there is room for it.
#[derive(Debug, Clone, Copy)]
struct Info;

nix::getsockopt_impl!(
    Info,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    [u8; INFO_BYTES],
    GetStruct<[u8; INFO_BYTES]>
);

/// The state of a connection that was reset or has timed out (`TCP_CLOSE`).
const CLOSED: u8 = 7;

/// The kernel's figures of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Figures {
    /// Whether the connection was reset or has timed out (`tcpi_state`).
    pub is_closed: bool,
    /// Segments that were sent and not acknowledged (`tcpi_unacked`).
    pub in_flight: u32,
    /// Bytes that were not sent yet (`tcpi_notsent_bytes`).
    pub unsent: u32,
    /// Bytes that the peer has acknowledged (`tcpi_bytes_acked`).
    pub acknowledged: u64,
    /// Consecutive retransmissions or window probes of the same data, whether answered or not, since
    /// a round trip was last measured (`tcpi_backoff`).
    pub retries: u8,
    /// Window and keep-alive probes since the last acknowledgement (`tcpi_probes`).
    pub unanswered_probes: u8,
    /// The time since data was last sent, for the first time or again (`tcpi_last_data_sent`).
    pub since_sent: Duration,
    /// The time since the last acknowledgement (`tcpi_last_ack_recv`).
    pub since_acknowledgement: Duration,
    /// How long, in all, data could not be sent since the peer had no room
    /// (`tcpi_rwnd_limited`).
    pub window_limited: Duration,
}

impl Figures {
    /// Reads the figures of `socket`; `None` if the platform has none.
    #[must_use]
    pub fn read(socket: &impl AsFd) -> Option<Self> {
        let info = getsockopt(socket, Info).ok()?;
        Self::parse(&info)
    }

    /// Decodes a `struct tcp_info`; `None` if it is too short or was not filled in.
    #[must_use]
    pub fn parse(info: &[u8]) -> Option<Self> {
        let byte = |at: usize| info.get(at).copied();
        let word = |at: usize| {
            let bytes = info.get(at..at + 4)?.try_into().ok()?;
            Some(u32::from_ne_bytes(bytes))
        };
        let long = |at: usize| {
            let bytes = info.get(at..at + 8)?.try_into().ok()?;
            Some(u64::from_ne_bytes(bytes))
        };
        // The numbers of states (`tcpi_state`) begin with 1.
        let state = byte(0).filter(|state| *state != 0)?;
        Some(Self {
            is_closed: state == CLOSED,
            in_flight: word(24)?,
            unsent: word(144)?,
            acknowledged: long(120)?,
            retries: byte(4)?,
            unanswered_probes: byte(3)?,
            since_sent: Duration::from_millis(word(44)?.into()),
            since_acknowledgement: Duration::from_millis(word(56)?.into()),
            window_limited: Duration::from_micros(long(176)?),
        })
    }

    /// Returns whether the peer has answered the last window probe or retransmission.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        let is_acknowledged = self.since_acknowledgement <= self.since_sent;
        self.unanswered_probes == 0 && (self.in_flight == 0 || is_acknowledged)
    }
}
