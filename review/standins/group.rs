//! A stand-in of a group of model servers: ranks that make all passes together, with expert maps.
//!
//! An order that fits is carried out as it arrives, and `Sequence` grows with it. An order that is
//! to be late gets no answer; `Expect` and the epoch are checked as it arrives, `Sequence` grows,
//! and it is carried out later if it still fits the state: "after newer orders", as the pages say.

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::record::Record;
use crate::server;

pub const RANKS: usize = 8;
pub const SETS: usize = 6;
pub const EXPERTS: usize = 64;
const SPARE: usize = 4;
/// The time of a pass while there is work.
const PASS: Duration = Duration::from_millis(19);
/// The time to copy experts.
const COPY: Duration = Duration::from_millis(150);

/// The experts by set and rank.
type Map = Vec<Vec<Vec<u16>>>;

#[derive(Clone)]
struct Rank {
    sequence: u64,
    current: u64,
    map: Map,
    loading: Option<(Instant, u64, Map)>,
    prepared: Option<(u64, Map)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    highest: u64,
    counts: Vec<u64>,
}

/// What happens in the group that the course has to know.
#[derive(Default)]
pub struct Seen {
    /// The pass of each hold.
    pub holds: Vec<u64>,
    /// The releases that were carried out, by pass.
    pub releases: Vec<u64>,
    /// Each pass in which ranks had different maps.
    pub broken: Vec<u64>,
    /// The passes at which a map came into force at all ranks.
    pub switches: Vec<u64>,
}

#[derive(Default)]
pub struct State {
    pub step: u64,
    begun_at: Option<Instant>,
    ranks: Vec<Rank>,
    /// The passes that the waiting work takes.
    pub work: u64,
    /// The expert of each set that is in demand; `None` if all are alike.
    pub hot: Option<usize>,
    /// Whether the work ends as the group is next held.
    pub ends_on_hold: bool,
    /// The passes of the work that arrives as the group is next held.
    pub arrives_on_hold: u64,
    /// Whether the next release at rank 0 is left unanswered and carried out late.
    pub delays_release: bool,
    /// A release of rank 0 that is carried out as rank 0 is next armed, with its arrival.
    pub late_release: Option<(u64, Instant)>,
    pub seen: Seen,
}

#[derive(Clone)]
pub struct Group {
    pub state: Arc<Mutex<State>>,
    /// When the servers started, in Unix milliseconds.
    pub born: u128,
    record: Record,
}

/// What a server does with an order.
enum Reply {
    Status(u16),
    None,
}

impl Group {
    /// Starts the servers, one at each address, and the passes.
    pub fn start(addresses: &[SocketAddr], record: &Record) -> std::io::Result<Self> {
        let rank = |_| Rank {
            sequence: 0,
            current: 0,
            map: initial(),
            loading: None,
            prepared: None,
            armed: None,
            held: None,
            highest: 0,
            counts: vec![0; SETS * EXPERTS],
        };
        let state = State {
            ranks: (0..RANKS).map(rank).collect(),
            ..State::default()
        };
        let group = Self {
            state: Arc::new(Mutex::new(state)),
            born: server::now_ms(),
            record: record.clone(),
        };
        for (rank, address) in addresses.iter().enumerate() {
            let listener = TcpListener::bind(address)?;
            let group = group.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = group.clone();
                    std::thread::spawn(move || group.serve(stream, rank));
                }
            });
        }
        let ticking = group.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(1));
                let mut state = ticking.lock();
                ticking.advance(&mut state);
            }
        });
        Ok(group)
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with it")
    }

    /// Completes copies, and begins the next pass if there is work and no rank holds it.
    fn advance(&self, state: &mut State) {
        let now = Instant::now();
        for rank in &mut state.ranks {
            if let Some((_, version, map)) = rank.loading.take_if(|(at, ..)| *at <= now) {
                rank.prepared = Some((version, map));
            }
        }
        let next = state.step + 1;
        let is_held = state.ranks.iter().any(|rank| rank.held == Some(next));
        let busy = state
            .begun_at
            .is_some_and(|at| now.duration_since(at) < PASS);
        if state.work == 0 || is_held || busy {
            return;
        }
        state.work -= 1;
        state.step = next;
        state.begun_at = Some(now);
        let mut switched = 0;
        let hot = state.hot;
        for rank in &mut state.ranks {
            if let Some((version, _)) = rank.armed.take_if(|(_, pass)| *pass == next) {
                let (_, map) = rank.prepared.take().expect("only a prepared map is armed");
                (rank.current, rank.map) = (version, map);
                switched += 1;
            }
            for set in 0..SETS {
                for expert in 0..EXPERTS {
                    let choices = if hot == Some(expert) { 400 } else { 4 };
                    rank.counts[set * EXPERTS + expert] += choices;
                }
            }
        }
        let first = (state.ranks[0].current, state.ranks[0].map.clone());
        if state
            .ranks
            .iter()
            .any(|rank| (rank.current, &rank.map) != (first.0, &first.1))
        {
            let versions: Vec<_> = state.ranks.iter().map(|rank| rank.current).collect();
            self.record.note(&format!(
                "pass {next} begins with different maps: {versions:?}"
            ));
            state.seen.broken.push(next);
        } else if switched > 0 {
            self.record.note(&format!(
                "pass {next} begins, all ranks with map {}",
                first.0
            ));
            state.seen.switches.push(next);
        }
    }

    fn serve(&self, mut stream: TcpStream, rank: usize) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read_request(&mut reader)? {
            let (status, body) = match request.start[1].as_str() {
                "/cactusnotch/report" => (200, self.report(rank)),
                "/cactusnotch/picked" => (200, self.counts(rank)),
                target if target.starts_with("/cactusnotch/picked?Lists") => {
                    (200, self.lists(rank))
                }
                "/cactusnotch/order" => match self.order(rank, &request) {
                    Reply::Status(status) => (status, "{}".to_owned()),
                    Reply::None => {
                        // The caller gives up; nothing more comes on this connection.
                        std::thread::sleep(Duration::from_secs(1));
                        return Ok(());
                    }
                },
                _ => (404, "{}".to_owned()),
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all((head + &body).as_bytes())?;
        }
        Ok(())
    }

    fn report(&self, at: usize) -> String {
        let state = self.lock();
        let rank = &state.ranks[at];
        let optional = |name: &str, value: Option<u64>| {
            value.map_or_else(String::new, |value| format!(",\"{name}\":{value}"))
        };
        format!(
            "{{\"Stage\":\"unified\",\"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\"Busy\":false,\"Sequence\":{},\"Queued\":0,\"Active\":{},\"KvUsed\":0,\"KvTotal\":280000,\"Handles\":0,\"step\":{},\"Mapping\":{}{}{}{},\"group\":{{\"Name\":\"g-1\",\"epoch\":1,\"rank\":{at},\"Phase\":\"open\"}},\"size\":{RANKS},\"pace\":1.0,\"born\":{}}}",
            rank.sequence,
            u64::from(state.work > 0),
            state.step,
            rank.current,
            optional(
                "Prepared",
                rank.prepared.as_ref().map(|(version, _)| *version)
            ),
            optional("Armed", rank.armed.map(|(version, _)| version)),
            optional("held", rank.held),
            self.born,
        )
    }

    fn counts(&self, at: usize) -> String {
        let state = self.lock();
        let counts: Vec<_> = state.ranks[at].counts.iter().map(u64::to_string).collect();
        format!(
            "{{\"step\":{},\"epoch\":1,\"Counts\":[{}],\"born\":{}}}",
            state.step,
            counts.join(","),
            self.born
        )
    }

    fn lists(&self, at: usize) -> String {
        let state = self.lock();
        let rank = &state.ranks[at];
        let own: Vec<_> = rank
            .map
            .iter()
            .map(|set| format!("{:?}", set[at]))
            .collect();
        format!(
            "{{\"Mapping\":{{\"Version\":{},\"Experts\":[{}]}},\"born\":{}}}",
            rank.current,
            own.join(","),
            self.born
        )
    }

    fn order(&self, at: usize, request: &Message) -> Reply {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let number = |name: &str| -> Option<u64> {
            let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
            let end = rest
                .find(|c: char| !c.is_ascii_digit())
                .unwrap_or(rest.len());
            rest[..end].parse().ok()
        };
        let operation = body
            .split_once("\"Operation\":\"")
            .and_then(|(_, rest)| rest.split('"').next());
        let operation = operation.unwrap_or_default().to_owned();
        let (version, pass) = (number("Version").unwrap_or(0), number("step").unwrap_or(0));
        let mut state = self.lock();
        let fits_call = number("epoch").is_none_or(|epoch| epoch == 1)
            && number("Expect").is_none_or(|expect| expect == state.ranks[at].sequence);
        let what = format!(
            "{operation} version {version} pass {pass} at rank {at}, step {}",
            state.step
        );
        if !fits_call {
            return Reply::Status(409);
        }
        if operation == "go" && at == 0 && state.delays_release && state.ranks[0].held == Some(pass)
        {
            state.delays_release = false;
            state.late_release = Some((pass, Instant::now()));
            state.ranks[0].sequence += 1;
            self.record.note(&format!(
                "{what}: accepted, not answered, to be carried out late"
            ));
            return Reply::None;
        }
        let done = match operation.as_str() {
            "prepare" => prepare(&mut state, at, version, &body),
            "arm" => arm(&mut state, at, version, pass),
            "hold" | "Retention" => hold(&mut state, at, pass),
            "go" => release(&mut state, at, pass),
            _ => return Reply::Status(400),
        };
        if !done {
            return Reply::Status(409);
        }
        state.ranks[at].sequence += 1;
        if operation != "prepare" || at == 0 {
            self.record.note(&what);
        }
        if operation == "arm" && at == 0 {
            self.carry_out_late(&mut state);
        }
        Reply::Status(202)
    }

    /// Carries out the release that is to be late, if it is 2 to 12 s old.
    fn carry_out_late(&self, state: &mut State) {
        let Some((pass, at)) = state.late_release.take() else {
            return;
        };
        let age = at.elapsed().as_secs_f64();
        let done = (2.0..=12.0).contains(&age) && release(state, 0, pass);
        self.record.note(&format!(
            "the late release of pass {pass} is carried out {age:.2} s after its arrival: {}",
            if done {
                "it fits, the group goes on"
            } else {
                "it does not fit"
            }
        ));
        self.advance(state);
    }
}

/// Returns map 0: the experts in turn.
fn initial() -> Map {
    let set = (0..RANKS).map(|rank| {
        let own = (0..EXPERTS).filter(|expert| expert % RANKS == rank);
        own.filter_map(|expert| u16::try_from(expert).ok())
            .collect()
    });
    vec![set.collect(); SETS]
}

fn prepare(state: &mut State, at: usize, version: u64, body: &str) -> bool {
    let Some(map) = parse_map(body) else {
        return false;
    };
    let rank = &mut state.ranks[at];
    let new = |set: usize| {
        let held = &rank.map[set][at];
        map[set][at]
            .iter()
            .filter(|expert| !held.contains(expert))
            .count()
    };
    let most = (0..SETS).map(new).max().unwrap_or(0);
    if version <= rank.highest || rank.armed.is_some() || most > SPARE {
        return false;
    }
    rank.highest = version;
    rank.prepared = None;
    let copy = if most == 0 { Duration::ZERO } else { COPY };
    rank.loading = Some((Instant::now() + copy, version, map));
    true
}

fn arm(state: &mut State, at: usize, version: u64, pass: u64) -> bool {
    let begun = pass <= state.step;
    let rank = &mut state.ranks[at];
    let fits = rank
        .prepared
        .as_ref()
        .is_some_and(|(own, _)| *own == version)
        && !begun;
    if fits {
        rank.armed = Some((version, pass));
    }
    fits
}

fn hold(state: &mut State, at: usize, pass: u64) -> bool {
    let fits = pass > state.step && state.ranks[at].held.is_none();
    if fits {
        state.ranks[at].held = Some(pass);
        state.seen.holds.push(pass);
        if std::mem::take(&mut state.ends_on_hold) {
            state.work = 0;
        }
        state.work += std::mem::take(&mut state.arrives_on_hold);
    }
    fits
}

fn release(state: &mut State, at: usize, pass: u64) -> bool {
    let fits = state.ranks[at].held == Some(pass);
    if fits {
        state.ranks[at].held = None;
        state.seen.releases.push(pass);
    }
    fits
}

/// Parses the experts by set and rank in the body of an order.
fn parse_map(body: &str) -> Option<Map> {
    let (_, text) = body.split_once("\"Mapping\":")?;
    let (mut map, mut depth, mut number): (Map, u32, Option<u16>) = (Vec::new(), 0, None);
    for byte in text.bytes() {
        match byte {
            b'[' => {
                depth += 1;
                match depth {
                    2 => map.push(Vec::new()),
                    3 => map.last_mut()?.push(Vec::new()),
                    _ => {}
                }
            }
            b'0'..=b'9' => number = Some(number.unwrap_or(0) * 10 + u16::from(byte - b'0')),
            b',' | b']' => {
                if let Some(expert) = number.take() {
                    map.last_mut()?.last_mut()?.push(expert);
                }
                if byte == b']' {
                    depth -= 1;
                    if depth == 0 {
                        break;
                    }
                }
            }
            _ => return None,
        }
    }
    let is_whole = map.len() == SETS && map.iter().all(|set| set.len() == RANKS);
    is_whole.then_some(map)
}

/// Returns the loopback address of a rank's machine, beside that of the store.
pub fn machine(ip: Ipv4Addr, rank: usize) -> Ipv4Addr {
    let [a, b, c, _] = ip.octets();
    Ipv4Addr::new(a, b, c, 200 + u8::try_from(rank).unwrap_or(0))
}
