//! Faults, one after another and in pairs, by chance from a seed.

use std::fmt;
use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_derive::number;
use cactusnotch_standins::objects::{Loss, Outage};
use cactusnotch_standins::proxy::{Direction, Line};
use derive_more::Display;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

use crate::site::{Place, Site};
use crate::{Failure, Process};

/// A kind of fault.
#[number]
#[derive(Display)]
pub enum Fault {
    /// An entry is killed and replaced by an empty one.
    #[default]
    #[display("entries killed")]
    EntryKilled,
    /// An agent is killed and replaced by an empty one.
    #[display("agents killed")]
    AgentKilled,
    /// An entry is paused and goes on.
    #[display("entries paused")]
    EntryPaused,
    /// An agent is paused and goes on.
    #[display("agents paused")]
    AgentPaused,
    /// The platform answers nothing, or only errors.
    #[display("platform outages")]
    PlatformOutage,
    /// Replies of the platform get lost after the writes' effect.
    #[display("platform replies lost")]
    RepliesLost,
    /// The links to an agent break off.
    #[display("links cut")]
    LinksCut,
    /// The links to an agent swallow bytes without closing.
    #[display("links half-open")]
    LinksHalfOpen,
    /// The links to an entry's or an agent's peers are slow.
    #[display("links slow")]
    LinksSlow,
    /// The links to an agent are frozen and thawed, so that frames come late.
    #[display("links frozen")]
    LinksFrozen,
    /// The connections of callers break off.
    #[display("callers cut")]
    CallersCut,
}

/// All kinds of faults.
const FAULTS: [Fault; 11] = [
    Fault::EntryKilled,
    Fault::AgentKilled,
    Fault::EntryPaused,
    Fault::AgentPaused,
    Fault::PlatformOutage,
    Fault::RepliesLost,
    Fault::LinksCut,
    Fault::LinksHalfOpen,
    Fault::LinksSlow,
    Fault::LinksFrozen,
    Fault::CallersCut,
];

/// The shortest and the longest time that a fault lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 100..1_500;

/// The longest time between faults.
const REST: Duration = Duration::from_millis(250);

/// The probability that a second fault begins before the first one ends.
const PAIR: f64 = 0.5;

/// The replies that are lost at a time.
const REPLIES: usize = 8;

/// Injects faults, and counts them.
#[derive(Debug)]
pub struct Injector {
    random: StdRng,
    /// The kinds that are still to come before all come again.
    deck: Vec<Fault>,
    counts: Table<Fault, u64>,
}

/// A fault that is to be mended.
#[derive(Debug, Clone, Copy)]
struct Injected {
    fault: Fault,
    place: usize,
}

impl Injector {
    /// Creates an injector whose choices `seed` fixes.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            deck: Vec::new(),
            counts: Table::new(),
        }
    }

    /// Injects one fault, or two at once, and mends them after a while.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be replaced.
    pub fn round(&mut self, site: &mut Site) -> Result<(), Failure> {
        let mut injected = vec![self.inject(site)];
        if self.random.random_bool(PAIR) {
            injected.push(self.inject(site));
        }
        let lasts = self.random.random_range(LASTS_MS);
        std::thread::sleep(Duration::from_millis(lasts));
        for fault in injected {
            mend(site, fault)?;
        }
        std::thread::sleep(REST.mul_f64(self.random.random()));
        Ok(())
    }

    fn inject(&mut self, site: &mut Site) -> Injected {
        let fault = self.draw();
        let places = if is_at_entry(fault) {
            site.entries.len()
        } else {
            site.agents.len()
        };
        let place = self.random.random_range(0..places);
        *self.counts.get_or_insert_with(fault, || 0) += 1;
        self.begin(site, fault, place);
        Injected { fault, place }
    }

    /// Draws a kind of fault; all kinds come equally often.
    fn draw(&mut self) -> Fault {
        if self.deck.is_empty() {
            self.deck = FAULTS.to_vec();
            self.deck.shuffle(&mut self.random);
        }
        self.deck.pop().unwrap_or_default()
    }

    fn begin(&mut self, site: &mut Site, fault: Fault, place: usize) {
        match fault {
            Fault::EntryKilled => site.entries[place].kill(),
            Fault::AgentKilled => site.agents[place].kill(),
            Fault::EntryPaused => signal(&site.entries[place], Process::pause),
            Fault::AgentPaused => signal(&site.agents[place], Process::pause),
            Fault::PlatformOutage => {
                let outages = [Outage::Unavailable, Outage::Refuse, Outage::Hang];
                let outage = outages.choose(&mut self.random).copied();
                site.platform.set_outage(outage.unwrap_or_default());
            }
            Fault::RepliesLost => {
                let loss = if self.random.random() {
                    Loss::Error
                } else {
                    Loss::Drop
                };
                site.platform.lose_replies(REPLIES, loss);
            }
            Fault::LinksCut => site.agents[place].peers.cut(),
            Fault::LinksHalfOpen => self.half_open(&site.agents[place]),
            Fault::LinksSlow => set_lines(&site.agents[place], slow()),
            Fault::LinksFrozen => site.agents[place].peers.freeze(),
            Fault::CallersCut => {
                if let Some(callers) = &site.entries[place].callers {
                    callers.cut();
                }
            }
        }
    }

    fn half_open(&mut self, place: &Place) {
        let line = Line {
            half_open: true,
            ..Line::default()
        };
        let direction = if self.random.random() {
            Direction::Up
        } else {
            Direction::Down
        };
        place.peers.set_line(direction, line);
    }
}

impl fmt::Display for Injector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total: u64 = self.counts.values().sum();
        write!(f, "{total} faults")?;
        for (fault, count) in self.counts.iter() {
            write!(f, ", {fault} {count}")?;
        }
        Ok(())
    }
}

fn mend(site: &mut Site, injected: Injected) -> Result<(), Failure> {
    let place = injected.place;
    match injected.fault {
        Fault::EntryKilled => site.entries[place].replace()?,
        Fault::AgentKilled => site.agents[place].replace()?,
        Fault::EntryPaused => signal(&site.entries[place], Process::resume),
        Fault::AgentPaused => signal(&site.agents[place], Process::resume),
        Fault::PlatformOutage => site.platform.set_outage(Outage::None),
        Fault::LinksHalfOpen => {
            set_lines(&site.agents[place], Line::default());
            site.agents[place].peers.cut();
        }
        Fault::LinksSlow => set_lines(&site.agents[place], Line::default()),
        Fault::LinksFrozen => site.agents[place].peers.thaw(),
        Fault::RepliesLost | Fault::LinksCut | Fault::CallersCut => {}
    }
    Ok(())
}

fn is_at_entry(fault: Fault) -> bool {
    matches!(
        fault,
        Fault::EntryKilled | Fault::EntryPaused | Fault::CallersCut
    )
}

fn signal(place: &Place, signal: impl Fn(&Process)) {
    if let Some(process) = &place.process {
        signal(process);
    }
}

fn set_lines(place: &Place, line: Line) {
    place.peers.set_line(Direction::Up, line);
    place.peers.set_line(Direction::Down, line);
}

fn slow() -> Line {
    Line {
        delay: Duration::from_millis(50),
        jitter: Duration::from_millis(200),
        ..Line::default()
    }
}
