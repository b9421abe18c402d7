//! Record of what happened on the platform, by which two runs are compared.

use crate::lock;
use std::sync::Mutex;
use tokio::time::Instant;

/// Event lines with their time since the platform started; records nothing until started.
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

    pub(super) fn start(&self) {
        lock(&self.lines).get_or_insert_default();
    }

    pub(super) fn take(&self) -> Vec<String> {
        lock(&self.lines).take().unwrap_or_default()
    }

    pub(super) fn record(&self, event: impl FnOnce() -> String) {
        if let Some(lines) = &mut *lock(&self.lines) {
            lines.push(format!("{:?} {}", self.platform_start.elapsed(), event()));
        }
    }
}
