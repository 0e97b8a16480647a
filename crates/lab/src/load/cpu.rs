//! The processor time of processes.

use std::time::Duration;

use nix::unistd::{SysconfVar, sysconf};

use crate::site::Place;
use crate::{Failure, Site};

/// The position of the time in user mode in `/proc/PID/stat`, after the name;
/// that in kernel mode follows.
const USER_TIME: usize = 11;

/// The processor time that the processes of a site have taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cpu {
    /// That of all entries.
    pub entries: Duration,
    /// That of all agents.
    pub agents: Duration,
}

impl Cpu {
    /// Reads the times of the processes that run.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not tell them.
    pub fn read(site: &Site) -> Result<Self, Failure> {
        Ok(Self {
            entries: sum(&site.entries)?,
            agents: sum(&site.agents)?,
        })
    }

    /// Returns what was taken since `before`.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        Self {
            entries: self.entries.saturating_sub(before.entries),
            agents: self.agents.saturating_sub(before.agents),
        }
    }
}

fn sum(places: &[Place]) -> Result<Duration, Failure> {
    let running = places.iter().filter_map(|place| place.process.as_ref());
    running.map(|process| time(process.id())).sum()
}

/// Returns the time that a process has taken in user and in kernel mode.
fn time(process: u32) -> Result<Duration, Failure> {
    let fail = || Failure::new("processor time", format!("process {process} has none"));
    let text = std::fs::read_to_string(format!("/proc/{process}/stat"))
        .map_err(Failure::at("processor time"))?;
    // The name, in parentheses, may itself hold spaces.
    let (_, fields) = text.rsplit_once(')').ok_or_else(fail)?;
    let ticks: u32 = fields
        .split_whitespace()
        .skip(USER_TIME)
        .take(2)
        .filter_map(|field| field.parse::<u32>().ok())
        .sum();
    let rate = sysconf(SysconfVar::CLK_TCK).ok().flatten();
    let rate = rate.and_then(|rate| u32::try_from(rate).ok());
    Ok(Duration::from_secs(1) * ticks / rate.ok_or_else(fail)?)
}
