//! Log of the platform's events, by which a test can compare two runs.

use crate::lock;
use std::sync::Mutex;
use tokio::time::Instant;

/// Recorded events, one line each, which begins with the time since the platform's start.
/// `lines` is `None` while the recording is off.
pub(super) struct EventLog {
    platform_start: Instant,
    lines: Mutex<Option<Vec<String>>>,
}

impl EventLog {
    pub(super) fn new() -> EventLog {
        EventLog {
            platform_start: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// Starts the recording; no effect if it is on.
    pub(super) fn start(&self) {
        lock(&self.lines).get_or_insert_default();
    }

    /// Returns the recorded lines, and stops the recording.
    pub(super) fn take(&self) -> Vec<String> {
        lock(&self.lines).take().unwrap_or_default()
    }

    /// Adds a line; `event` is not called while the recording is off.
    pub(super) fn record(&self, event: impl FnOnce() -> String) {
        if let Some(lines) = &mut *lock(&self.lines) {
            lines.push(format!("{:?} {}", self.platform_start.elapsed(), event()));
        }
    }
}
