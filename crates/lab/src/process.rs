//! The two binaries as processes of the operating system.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;

use crate::{Failure, cluster};

/// How long a process may take to say where it listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Which of the two binaries runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Binary {
    /// The entry.
    Entry,
    /// The agent.
    Agent,
}

/// How a process is started.
#[derive(Debug, Clone)]
pub struct Options {
    /// The binary.
    pub binary: Binary,
    /// The name of its host, of which its own name is made.
    pub host: String,
    /// Its data centre.
    pub data_centre: String,
    /// The base address of the platform.
    pub platform: String,
    /// Further arguments.
    pub arguments: Vec<String>,
}

/// A process that runs. It is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    started: Value,
    /// The lines of its log, as they come.
    pub log: mpsc::Receiver<String>,
}

impl Process {
    /// Starts a process and waits until it says where it listens.
    ///
    /// # Errors
    ///
    /// Fails if it does not start, with the last line of its log.
    pub fn start(options: &Options) -> Result<Self, Failure> {
        let fail = Failure::at("start of a process");
        let mut command = Command::new(path(options.binary)?);
        if options.binary == Binary::Entry {
            command.arg("entry");
        }
        let mut child = command
            .args(["--host", &options.host])
            .args(["--data-centre", &options.data_centre])
            .args(["--region", "region-0"])
            .args(["--platform-url", &options.platform])
            .args(["--peer-listen", "127.0.0.1:0"])
            .args(["--log-format", "json"])
            .args(["--counters-interval", "5s"])
            .args(&options.arguments)
            .env("CACTUSNOTCH_SECRET", cluster::SECRET)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(&fail)?;
        let errors = child
            .stderr
            .take()
            .ok_or_else(|| Failure::new("start of a process", "no log"))?;
        let (lines, log) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(errors).lines().map_while(Result::ok) {
                // The log is read on even if nobody wants it any more.
                let _ = lines.send(line);
            }
        });
        let started = started(&log).map_err(|line| Failure::new("start of a process", line));
        match started {
            Ok(started) => Ok(Self {
                child,
                started,
                log,
            }),
            Err(failure) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(failure)
            }
        }
    }

    /// Returns an address that the process said it listens on, by its name in
    /// the log.
    ///
    /// # Errors
    ///
    /// Fails if it said none.
    pub fn address(&self, name: &str) -> Result<SocketAddr, Failure> {
        let text = self.started[name].as_str().unwrap_or_default();
        text.parse()
            .map_err(|error| Failure::new(format!("address {name}"), error))
    }

    /// Returns the number that the operating system gave the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process for a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Stops the process where it is.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Waits for the process to end and tells whether it ended well.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be waited for.
    pub fn wait(&mut self) -> Result<bool, Failure> {
        let status = self.child.wait();
        status
            .map(|status| status.success())
            .map_err(Failure::at("wait for a process"))
    }

    fn signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.child.id()) {
            // A process that has ended needs no signal.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits for the line that says that a process has started, or returns the
/// last line before.
fn started(log: &mpsc::Receiver<String>) -> Result<Value, String> {
    let mut last = "nothing was logged".to_owned();
    while let Ok(line) = log.recv_timeout(START_TIMEOUT) {
        let value: Value = serde_json::from_str(&line).unwrap_or(Value::Null);
        let message = value["message"].as_str().unwrap_or_default();
        if message.ends_with(" started") {
            return Ok(value);
        }
        last = line;
    }
    Err(last)
}

/// Returns the path of a binary, which stands beside the tests and examples.
fn path(binary: Binary) -> Result<PathBuf, Failure> {
    let name = match binary {
        Binary::Entry => "cactusnotch",
        Binary::Agent => "cactusnotch-agent",
    };
    let own = std::env::current_exe().map_err(Failure::at("path of the test"))?;
    let found = own
        .ancestors()
        .skip(1)
        .map(|folder| folder.join(name))
        .find(|path| path.is_file());
    found.ok_or_else(|| Failure::new("path of a binary", format!("{name} was not built")))
}
