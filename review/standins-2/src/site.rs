//! A small deployment on loopback addresses: the store, servers as processes of their own, entries.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use crate::http::read_head;
use crate::store::Store;

pub const SIGTERM: i32 = 15;
pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
const PORTS: [u16; 7] = [8220, 8224, 8227, 8223, 8080, 7340, 7341];

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: u64, a: u64, b: u64, c: u64) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
}

/// Sends a signal to a process that this program started.
pub fn signal(child: &Child, signal: i32) {
    if let Ok(id) = i32::try_from(child.id()) {
        // SAFETY: no memory is involved.
        unsafe { kill(id, signal) };
    }
}

/// Limits how much of what arrives at a socket is kept before it is read.
pub fn set_window(stream: &TcpStream, bytes: i32) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the value outlives the call, and the size is its own.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_RCVBUF,
            &raw const bytes,
            4,
        )
    };
}

/// What was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            begun: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.begun.elapsed().as_millis());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.write_all(line.as_bytes());
    }
}

/// Loopback addresses on which all needed ports are free.
pub struct Addresses {
    first: u32,
    used: u32,
}

impl Addresses {
    pub fn new() -> Self {
        Self {
            first: 0x7f40_0000 + (std::process::id() % 0x3_0000) * 0x20,
            used: 1,
        }
    }

    pub fn next(&mut self) -> Ipv4Addr {
        loop {
            let ip = Ipv4Addr::from(self.first + self.used);
            self.used += 1;
            if PORTS
                .iter()
                .all(|&port| TcpListener::bind((ip, port)).is_ok())
            {
                return ip;
            }
        }
    }
}

/// A process, which ends with this value.
pub struct Process {
    pub child: Child,
    pub address: SocketAddr,
    pub name: String,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a process and collects the lines that it writes.
    fn start(
        mut command: Command,
        name: &str,
        address: SocketAddr,
        record: Option<Record>,
    ) -> Self {
        use std::os::unix::process::CommandExt;
        const PR_SET_PDEATHSIG: i32 = 1;
        const SIGKILL: u64 = 9;
        // SAFETY: the call between fork and exec touches no memory. The process ends with this one.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            })
        };
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the process starts");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let output = BufReader::new(child.stdout.take().expect("it is piped"));
        let (kept, own) = (Arc::clone(&lines), name.to_owned());
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if let Some(record) = &record {
                    record.note(&format!("{own}: {line}"));
                }
                kept.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(line);
            }
        });
        Self {
            child,
            address,
            name: name.to_owned(),
            lines,
        }
    }

    /// Returns the lines that hold all of `parts`.
    pub fn lines(&self, parts: &[&str]) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines
            .iter()
            .filter(|line| parts.iter().all(|part| line.contains(part)))
            .cloned()
            .collect()
    }

    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// What a deployment consists of beside its entries.
pub struct Site {
    pub store: Store,
    pub addresses: Addresses,
    pub record: Record,
    /// When the servers started, in Unix milliseconds.
    pub born: u128,
    folder: PathBuf,
}

impl Site {
    pub fn start(record: Record) -> Self {
        let mut addresses = Addresses::new();
        let listener = TcpListener::bind((addresses.next(), 8223)).expect("the address is free");
        let folder =
            std::env::temp_dir().join(format!("cactusnotch-review-{}", std::process::id()));
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        Self {
            store: Store::start(listener),
            addresses,
            record,
            born: born.map_or(0, |born| born.as_millis()),
            folder,
        }
    }

    /// Starts a server and registers it in the store.
    pub fn server(&mut self, id: &str, service: &str, capacity: u32) -> Process {
        let address = SocketAddr::from((self.addresses.next(), 8080));
        let mut command = Command::new(std::env::current_exe().expect("this program has a path"));
        command.args(["server", &address.to_string(), id]);
        let server = Process::start(command, id, address, Some(self.record.clone()));
        until("a server listens", || TcpStream::connect(address).is_ok());
        self.store.put(
            "servers",
            id,
            &registration(service, address, capacity, "ready", self.born),
        );
        self.record
            .note(&format!("{id} of {service} registers at {address}"));
        server
    }

    /// Starts an entry by the command of the deploy file.
    pub fn entry(&mut self, name: &str, bounds: &str) -> Process {
        let ip = self.addresses.next();
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, self.settings(name, ip, bounds))
            .expect("the settings are written");
        let run = command_of_entry();
        let mut words = run.split(' ');
        let mut command = Command::new(words.next().unwrap_or_default());
        command.args(words).env("CACTUSNOTCH_SETTINGS", &settings);
        let entry = Process::start(command, name, SocketAddr::from((ip, 8227)), None);
        until("the entry is ready", || {
            status(SocketAddr::from((ip, 8220)), "/cactusnotch/readyz") == 200
        });
        self.record
            .note(&format!("{name} is ready at {}", entry.address));
        entry
    }

    fn settings(&self, name: &str, ip: Ipv4Addr, bounds: &str) -> String {
        let store = self.store.address;
        format!(
            r#"NodeName = "{name}"
Role = "entry"
MachineClass = "edge"
Serves = ["edge","registry"]
Ip = "{ip}"
Zone = "nave-telares"
Region = "navarra-norte"
InternalPortRange = [7340,7355]
SeedNodes = []
Bootstrap = true
InTolerance = false
Discovery = "platform"
Entry = "registry"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","experts"]
[Zones]
nave-telares = "navarra-norte"
[Listen]
Frontend = "{ip}:8227"
Readiness = "{ip}:8220"
Registry = "{ip}:8224"
[Limits]
CpuQuota = 0.25
CpuCores = 1
MemoryMb = 260
MaxFds = 4200
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigMs = 2000
DowngradeMs = 250
OuterMs = 5000
StrictRevocation = true
RevokeMs = 5000
RetryRatio = 0.2
RetryWindowS = 10
RetrySlack = 88
RecoverS = 12
PassMs = 120
RetryAfterS = 0
stall_ms = 1500
FencingEnforced = false
ttl_max_s = 5
{bounds}
[Platform]
Address = "{store}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"#
        )
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the command that the deploy file has for entries.
fn command_of_entry() -> String {
    let deploy =
        std::fs::read_to_string("deploy/system.toml").expect("this runs in the repository's root");
    let role = deploy
        .split("[roles.entry]")
        .nth(1)
        .expect("there is such a role");
    let run = role.lines().find_map(|line| line.strip_prefix("run = \""));
    run.and_then(|run| run.strip_suffix('"'))
        .expect("the role has a command")
        .to_owned()
}

/// Returns a server's entry in the store.
pub fn registration(
    service: &str,
    address: SocketAddr,
    capacity: u32,
    phase: &str,
    born: u128,
) -> String {
    format!(
        r#"{{"Service":"{service}","Address":"{address}","Zone":"nave-telares","Version":"v1","Capacity":{capacity},"Phase":"{phase}","ColdRemainingMs":0,"Sequence":1,"born":{born}}}"#
    )
}

/// Returns a route of the configuration.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, resumable: bool) -> String {
    let gap = if kind == "streaming" {
        r#","TargetGapMs":120"#
    } else {
        ""
    };
    format!(
        r#"{{"Name":"r-{name}","Hostname":"{HOST}","PathPrefix":"/{name}/","Type":"{kind}","TimeoutMs":{timeout_ms},"TargetLatencyMs":500,"Priority":1,"Service":"{service}","MaxAttempts":2,"Anonymous":false,"SessionAffinity":false,"Resumable":{resumable}{gap}}}"#
    )
}

/// Returns a configuration with these routes and services.
pub fn configuration(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<_> = services
        .iter()
        .map(|name| format!(r#"{{"Name":"{name}","HealthPath":"/healthz","MaxConnections":408,"Protocol":"h1","TlsEnabled":false}}"#))
        .collect();
    format!(
        r#"{{"Version":{version},"Routes":[{}],"Services":[{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"hule930","ApiKeys":["{KEY}"],"Priority":1}}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// Waits for a state that comes about by itself.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !holds() {
        assert!(Instant::now() < end, "{what}: not in time");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Returns the status of the answer to a question, 0 without one.
fn status(address: SocketAddr, path: &str) -> u16 {
    let ask = || {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        stream
            .write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())
            .ok()?;
        read_head(&mut BufReader::new(stream)).ok()?
    };
    ask().map_or(0, |head| head.status())
}
