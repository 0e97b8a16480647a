//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record that several threads write to.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            began: Instant::now(),
        })
    }

    /// Writes a line with the time since the start of the course, and prints it.
    pub fn note(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {line}\n");
        print!("{line}");
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}
