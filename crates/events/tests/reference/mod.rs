//! A reading of complete responses, without regard to how they arrive, and sound streams.

use proptest::prelude::*;

/// An event as a sound endpoint may write it.
#[derive(Debug, Clone)]
pub struct Event {
    pub id: u64,
    line_end: &'static str,
    data: Vec<String>,
    id_at: usize,
    before: &'static str,
    other: &'static str,
    space: &'static str,
}

impl Arbitrary for Event {
    type Parameters = ();
    type Strategy = BoxedStrategy<Self>;

    fn arbitrary_with((): ()) -> Self::Strategy {
        let line_end = prop::sample::select(vec!["\n", "\r\n", "\r"]);
        let data = prop::collection::vec("[ -~äß\u{20ac}\u{1f335}\u{1}]{0,30}", 1..4);
        let before = prop::sample::select(vec![
            "",
            "",
            "",
            ": note\n\n",
            "\n",
            ": a\n: b\n",
            "retry: 100\n\n",
        ]);
        let other = prop::sample::select(vec!["", "", "event: token", "weight-versions: 3", ": x"]);
        let space = prop::sample::select(vec!["", " "]);
        let parts = (1_u64..5, line_end, data, 0_usize..4, before, other, space);
        parts
            .prop_map(|(id, line_end, data, id_at, before, other, space)| Self {
                id,
                line_end,
                data,
                id_at,
                before,
                other,
                space,
            })
            .boxed()
    }
}

impl Event {
    fn encode(&self) -> String {
        let data = |text: &String| format!("data:{}{text}", self.space);
        let mut lines: Vec<String> = self.data.iter().map(data).collect();
        lines.insert(
            self.id_at.min(lines.len()),
            format!("id:{}{}", self.space, self.id),
        );
        if !self.other.is_empty() {
            lines.insert(0, self.other.to_owned());
        }
        lines.push(String::new());
        let line = |line: String| line + self.line_end;
        self.before.to_owned() + &lines.into_iter().map(line).collect::<String>()
    }
}

/// Returns streams of events with increasing ids.
pub fn streams() -> impl Strategy<Value = Vec<Event>> {
    prop::collection::vec(any::<Event>(), 1..12).prop_map(|mut events| {
        let mut last = 0;
        for event in &mut events {
            last += event.id;
            event.id = last;
        }
        events
    })
}

/// Returns bytes that a server in trouble may write, some of which may pass for an event.
pub fn bytes() -> impl Strategy<Value = Vec<u8>> {
    let text = |text: &'static str| Just(text.as_bytes().to_vec());
    prop_oneof![
        prop::collection::vec(any::<u8>(), 0..80),
        "[a-z0-9: \r\n]{0,40}".prop_map(String::into_bytes),
        text("garbage\n\n"),
        text("\r\n\r\n"),
        text("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"),
        text("data: x\n\n"),
        text("id: 3\ndata: x\n\n"),
        text("id: 9999\n\n"),
    ]
}

/// Encodes a stream.
pub fn encode(events: &[Event], has_mark: bool) -> Vec<u8> {
    let mark = if has_mark { MARK } else { "" };
    let events = events.iter().map(Event::encode);
    (mark.to_owned() + &events.collect::<String>()).into_bytes()
}

/// A complete response as its reference reading has it.
pub struct Reading {
    /// The positions after the events; a line feed after a carriage return is left out.
    pub ends: Vec<usize>,
    /// Whether the response is sound up to its end.
    pub is_whole: bool,
}

/// Reads a complete response.
pub fn read(response: &[u8]) -> Reading {
    let (text, is_text) = match std::str::from_utf8(response) {
        Ok(text) => (text, true),
        Err(error) => {
            let valid = &response[..error.valid_up_to()];
            (std::str::from_utf8(valid).expect("a valid part"), false)
        }
    };
    let (mut ends, mut block, mut last) = (Vec::new(), Vec::new(), None);
    for (number, (line, end)) in lines(text).enumerate() {
        let is_complete = end.is_some();
        let line = if number == 0 {
            line.strip_prefix(MARK).unwrap_or(line)
        } else {
            line
        };
        let Some(end) = end else {
            let is_whole = line.is_empty() && block.is_empty() && is_text;
            return Reading { ends, is_whole };
        };
        if !is_complete || !is_field(line) {
            return Reading {
                ends,
                is_whole: false,
            };
        }
        if !line.is_empty() {
            if !line.starts_with(':') && name(line) != "retry" {
                block.push(line);
            }
            continue;
        }
        if block.is_empty() {
            continue;
        }
        let Some(id) = event(&block).filter(|&id| last.is_none_or(|last| id > last)) else {
            return Reading {
                ends,
                is_whole: false,
            };
        };
        last = Some(id);
        ends.push(end);
        block.clear();
    }
    Reading {
        ends,
        is_whole: is_text,
    }
}

/// Returns the ids and the data of a sound stream's events, as a caller decodes them.
pub fn decode(stream: &[u8]) -> Vec<(u64, Vec<String>)> {
    let text = String::from_utf8(stream.to_vec()).expect("a sound stream");
    let (mut events, mut block) = (Vec::new(), Vec::new());
    for (line, _) in lines(&text) {
        let line = line.strip_prefix(MARK).unwrap_or(line);
        if !line.is_empty() {
            block.push(line);
        } else if let Some(id) = event(&block) {
            let data = block.iter().filter(|line| name(line) == "data");
            events.push((id, data.map(|line| (*line).to_owned()).collect()));
            block.clear();
        }
    }
    events
}

const MARK: &str = "\u{feff}";

/// Returns the lines of a text with the position after the first byte of each line end, `None` for
/// a line without one.
fn lines(text: &str) -> impl Iterator<Item = (&str, Option<usize>)> {
    let mut at = 0;
    let mut done = false;
    std::iter::from_fn(move || {
        if done {
            return None;
        }
        let rest = &text[at..];
        let Some(length) = rest.find(['\r', '\n']) else {
            done = true;
            return Some((rest, None));
        };
        let end = at + length + 1;
        at = if rest[length..].starts_with("\r\n") {
            end + 1
        } else {
            end
        };
        Some((&rest[..length], Some(end)))
    })
}

fn name(line: &str) -> &str {
    line.split_once(':').map_or(line, |(name, _)| name)
}

fn is_field(line: &str) -> bool {
    let name = name(line);
    let is_known = ["data", "id", "event", "retry", ""].contains(&name);
    let is_name = name.len() <= 32
        && name.starts_with(|first: char| first.is_ascii_lowercase())
        && name
            .chars()
            .all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_".contains(c));
    is_known || is_name && line.contains(':')
}

/// Returns the id of an event, `None` if the lines are none.
fn event(block: &[&str]) -> Option<u64> {
    let mut ids = block.iter().filter(|line| name(line) == "id");
    let id = ids
        .next()?
        .split_once(':')?
        .1
        .trim_matches([' ', '\t', '\u{c}']);
    let has_data = block.iter().any(|line| name(line) == "data");
    let is_number = id.chars().all(|c| c.is_ascii_digit());
    (ids.next().is_none() && has_data && is_number).then(|| id.parse().ok())?
}
