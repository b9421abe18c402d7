//! What was sent, answered and run, in the order of time, and what was found to be wrong.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a run.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            began: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Seconds since the record began.
    pub fn now_s(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Adds a line with the time.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now_s());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
