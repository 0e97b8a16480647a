//! HTTP/1.1 as the users' pages have it, byte by byte.

use std::io::{self, BufRead};

/// The start line and the headers of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (
            words.next().unwrap_or_default(),
            words.next().unwrap_or_default(),
        )
    }

    /// Returns the status of an answer, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0)
    }

    pub fn length(&self) -> Option<usize> {
        self.header("Content-Length")?.parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        self.header("Transfer-Encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

/// Reads a head; `None` if the connection ends before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            if head.start.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if head.start.is_empty() {
            head.start = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a request.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = head.length() {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    }
    Ok(body)
}

/// Reads one chunk; `None` for the last one, after which the body is complete.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim_end().split(';').next().unwrap_or_default();
    let size =
        usize::from_str_radix(size, 16).map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    if !chunk.ends_with(b"\r\n") {
        return Err(io::ErrorKind::InvalidData.into());
    }
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// Returns a value of a target's query.
pub fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let fields = target.split_once('?')?.1.split('&');
    fields
        .filter_map(|field| field.split_once('='))
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}
