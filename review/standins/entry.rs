//! The project's entry as a process, started with the command of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

/// The program and its arguments, as `deploy/system.toml` has them.
const PROGRAM: &str = "target/release/cactusnotch";
const ARGUMENTS: [&str; 3] = ["gateway", "--overload-control", "all"];

pub const FRONTEND: u16 = 8227;
pub const READINESS: u16 = 8220;
pub const REGISTRY: u16 = 8224;
pub const STORE: u16 = 8223;
pub const SERVERS: u16 = 8228;
pub const INTERNAL: (u16, u16) = (7340, 7355);

/// Returns a loopback address at which all ports of a course are free.
pub fn free_address() -> Option<Ipv4Addr> {
    let seed = std::process::id();
    let candidate = |number: u32| {
        let mixed = seed
            .wrapping_mul(2_654_435_761)
            .wrapping_add(number * 7_919);
        let byte = |shift: u32| u8::try_from((mixed >> shift) & 0xff).unwrap_or(1);
        Ipv4Addr::new(
            127,
            byte(8).clamp(2, 250),
            byte(16).clamp(1, 250),
            byte(0).clamp(1, 250),
        )
    };
    let ports = [FRONTEND, READINESS, REGISTRY, STORE];
    let is_free = |ip: &Ipv4Addr| {
        let internal = INTERNAL.0..=INTERNAL.1;
        let servers = SERVERS..SERVERS + 8;
        let all = ports.into_iter().chain(internal).chain(servers);
        all.map(|port| TcpListener::bind((*ip, port)))
            .all(|bound| bound.is_ok())
    };
    (0..64).map(candidate).find(is_free)
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this one has started and not waited for yet.
pub fn send_signal(child: &Child, signal: i32) {
    if let Ok(process) = i32::try_from(child.id()) {
        // SAFETY: the call takes two numbers; the process is a child that still has its id.
        unsafe { kill(process, signal) };
    }
}

/// An entry that is killed when this is dropped.
pub struct Entry {
    pub address: SocketAddr,
    ip: Ipv4Addr,
    child: Child,
    folder: PathBuf,
}

impl Entry {
    /// Starts an entry and waits until it is ready.
    pub fn start(ip: Ipv4Addr, site: &Site) -> Result<Self, String> {
        let folder =
            std::env::temp_dir().join(format!("cactusnotch-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let settings = folder.join("settings.toml");
        std::fs::write(&settings, settings_text(ip, site)).map_err(|error| error.to_string())?;
        let log = File::create(folder.join("entry.log")).map_err(|error| error.to_string())?;
        let child = Command::new(PROGRAM)
            .args(ARGUMENTS)
            .env("CACTUSNOTCH_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        let entry = Self {
            address: SocketAddr::from((ip, FRONTEND)),
            ip,
            child,
            folder,
        };
        let end = Instant::now() + Duration::from_secs(15);
        while !entry.is_ready() {
            if Instant::now() > end {
                return Err("the entry is not ready within 15 s".to_owned());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(entry)
    }

    fn is_ready(&self) -> bool {
        let readiness = SocketAddr::from((self.ip, READINESS));
        let question = b"GET /cactusnotch/readyz HTTP/1.1\r\nHost: x\r\n\r\n";
        let answer = http::send(readiness, question, Duration::from_secs(1));
        answer.is_ok_and(|(head, _)| head.status() == 200)
    }

    /// Asks the process to stop, as the platform does.
    pub fn terminate(&self) {
        send_signal(&self.child, SIGTERM);
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Returns the lines of the entry's log that hold `part`.
    pub fn log_lines(&self, part: &str) -> Vec<String> {
        std::thread::sleep(Duration::from_millis(400));
        let text = std::fs::read_to_string(self.folder.join("entry.log")).unwrap_or_default();
        text.lines()
            .filter(|line| line.contains(part))
            .map(str::to_owned)
            .collect()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What the settings say of a deployment.
pub struct Site {
    zones: [&'static str; 3],
    region: &'static str,
    limits: &'static str,
    bounds: &'static str,
    rates: &'static str,
}

impl Site {
    /// Returns the zone of a server.
    pub fn zone(&self, server: u16) -> &'static str {
        self.zones[usize::from(server) % self.zones.len()]
    }
}

/// The sheet of `arrieta-telar`.
pub const ARRIETA: Site = Site {
    zones: ["nave-telares", "nave-tintes", "almacen-lana"],
    region: "navarra-norte",
    limits: "CpuQuota = 0.25\nCpuCores = 1\nMemoryMb = 260\nMaxFds = 4200\nLinkMbps = 1000.0\nDiskMb = 0",
    bounds: "SeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigMs = 2000\nDowngradeMs = 250\nOuterMs = 5000\nStrictRevocation = true\nRevokeMs = 5000\nRetryRatio = 0.2\nRetryWindowS = 10\nRetrySlack = 88\nRecoverS = 12\nPassMs = 120\nRetryAfterS = 0\nstall_ms = 1500\nFencingEnforced = false\nttl_max_s = 5",
    rates: "WritesPerS = 400\nReadsPerS = 2000",
};

/// The sheet of `tiangge-tayo-grown`.
pub const TIANGGE: Site = Site {
    zones: ["luzon-a", "luzon-b", "luzon-c"],
    region: "luzon",
    limits: "CpuQuota = 0.5\nCpuCores = 1\nMemoryMb = 512\nMaxFds = 8192\nLinkMbps = 200.0\nDiskMb = 0",
    bounds: "SeedLagS = 3\nReuseAfterS = 2\nContactMs = 4000\nAckMs = 6000\nCatchUpS = 6\nDrainMs = 3000\nGraceS = 8\nLossSlackMs = 200\nConfigMs = 3000\nDowngradeMs = 250\nOuterMs = 6000\nStrictRevocation = true\nRevokeMs = 5000\nRetryRatio = 0.2\nRetryWindowS = 10\nRetrySlack = 198\nColdOverage = 1.5\nColdSlack = 5\nEvacuateMs = 5000\nRecoverS = 15\nPassMs = 200\nRetryAfterS = 0\nstall_ms = 1500\nFencingEnforced = false\nttl_max_s = 5",
    rates: "WritesPerS = 1200\nReadsPerS = 6000",
};

/// Returns the settings file of an entry, as the platform writes it.
fn settings_text(ip: Ipv4Addr, site: &Site) -> String {
    let (first, last) = INTERNAL;
    let Site {
        zones,
        region,
        limits,
        bounds,
        rates,
    } = site;
    let zone = zones[0];
    let all: Vec<_> = zones
        .iter()
        .map(|zone| format!("{zone} = \"{region}\""))
        .collect();
    let all = all.join("\n");
    format!(
        r#"NodeName = "edge-{zone}-1"
Role = "entry"
MachineClass = "edge"
Serves = ["edge","registry"]
Ip = "{ip}"
Zone = "{zone}"
Region = "{region}"
InternalPortRange = [{first},{last}]
SeedNodes = []
Bootstrap = true
InTolerance = false
Discovery = "platform"
Entry = "registry"
HeartbeatMs = 1200
[Zones]
{all}
[Listen]
Frontend = "{ip}:{FRONTEND}"
Readiness = "{ip}:{READINESS}"
Registry = "{ip}:{REGISTRY}"
[Limits]
{limits}
[Bounds]
{bounds}
[Platform]
Address = "{ip}:{STORE}"
form = "objects"
{rates}
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"#
    )
}

/// Returns the settings file of an agent, as the platform writes it.
pub fn side_settings_text(
    machine: Ipv4Addr,
    store: SocketAddr,
    service: &str,
    site: &Site,
) -> String {
    let (first, last) = INTERNAL;
    let (zone, region, bounds, rates) = (site.zones[0], site.region, site.bounds, site.rates);
    format!(
        r#"NodeName = "side-{machine}"
Role = "agent"
MachineClass = "side"
Serves = ["side"]
Ip = "{machine}"
Zone = "{zone}"
Region = "{region}"
InternalPortRange = [{first},{last}]
SeedNodes = []
Bootstrap = true
InTolerance = false
Discovery = "platform"
Entry = "registry"
HeartbeatMs = 1200
app = "{machine}:{SERVERS}"
Service = "{service}"
[Zones]
{zone} = "{region}"
[Listen]
[Limits]
CpuQuota = 0.15
CpuCores = 1
MemoryMb = 128
MaxFds = 2048
LinkMbps = 20.0
DiskMb = 0
[Bounds]
{bounds}
[Platform]
Address = "{store}"
form = "objects"
{rates}
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"#
    )
}
