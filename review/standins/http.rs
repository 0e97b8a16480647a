//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request, or the head of a response.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// The three words of the first line.
    pub start: [String; 3],
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start[1].parse().unwrap_or(0)
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.trim_end().splitn(3, ' ').map(str::to_owned);
    let mut message = Message::default();
    message.start = std::array::from_fn(|_| words.next().unwrap_or_default());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a whole request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length = message
        .header("content-length")
        .and_then(|value| value.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// How the body of a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// By its length or its last chunk.
    Whole,
    /// By the end of the connection before that.
    BrokenOff,
}

/// Reads the body of a response and hands each piece to `take`.
pub fn read_body(reader: &mut impl BufRead, head: &Message, mut take: impl FnMut(&[u8])) -> End {
    let chunked = head
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"));
    let length: Option<usize> = head
        .header("content-length")
        .and_then(|value| value.parse().ok());
    let mut read = || -> io::Result<()> {
        if !chunked {
            let mut left = length.unwrap_or(0);
            while left > 0 {
                let available = reader.fill_buf()?;
                if available.is_empty() {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                let count = available.len().min(left);
                take(&available[..count]);
                reader.consume(count);
                left -= count;
            }
            return Ok(());
        }
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            take(&chunk[..size]);
        }
    };
    match read() {
        Ok(()) => End::Whole,
        Err(_) => End::BrokenOff,
    }
}

/// Sends a request on a new connection and returns the head of its response.
pub fn send(
    address: SocketAddr,
    request: &[u8],
    patience: Duration,
) -> io::Result<(Message, BufReader<TcpStream>)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let head = head.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
    Ok((head, reader))
}
