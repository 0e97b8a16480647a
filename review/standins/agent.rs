//! The project's agents as processes, started with the command of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use crate::entry;

const PROGRAM: &str = "target/release/cactusnotch";
const ARGUMENTS: [&str; 3] = ["rebalance", "--overload-control", "all"];

/// An agent beside a model server, which is killed when this is dropped.
pub struct Agent {
    child: Child,
    log: PathBuf,
    settings: PathBuf,
}

impl Agent {
    pub fn start(machine: Ipv4Addr, store: SocketAddr, service: &str) -> Result<Self, String> {
        let name = format!("cactusnotch-review-{}-{machine}", std::process::id());
        let settings = std::env::temp_dir().join(format!("{name}.toml"));
        let log = std::env::temp_dir().join(format!("{name}.log"));
        let text = entry::side_settings_text(machine, store, service, &entry::ARRIETA);
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let output = File::options().create(true).append(true).open(&log);
        let output = output.map_err(|error| error.to_string())?;
        let child = Command::new(PROGRAM)
            .args(ARGUMENTS)
            .env("CACTUSNOTCH_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(output)
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        Ok(Self {
            child,
            log,
            settings,
        })
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the lines of its log that hold one of `parts`.
    pub fn log_lines(&self, parts: &[&str]) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = text
            .lines()
            .filter(|line| parts.iter().any(|part| line.contains(part)));
        lines.map(str::to_owned).collect()
    }

    /// Removes what the process wrote.
    pub fn clean(&self) {
        let _ = std::fs::remove_file(&self.log);
        let _ = std::fs::remove_file(&self.settings);
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns whether the ports of a machine with a model server are free.
pub fn is_free(machine: Ipv4Addr) -> bool {
    let (first, last) = entry::INTERNAL;
    let ports = (first..=last).chain([entry::SERVERS]);
    ports
        .map(|port| TcpListener::bind((machine, port)))
        .all(|bound| bound.is_ok())
}
