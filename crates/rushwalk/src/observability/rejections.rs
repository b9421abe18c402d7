//! Counts the requests of users that were rejected for the moment.

use std::sync::atomic::{AtomicU64, Ordering};

/// Responses with status 429 or 503 to users.
#[derive(Debug, Default)]
pub struct RejectionCounter {
    rejected: AtomicU64,
}

impl RejectionCounter {
    /// Counts one.
    pub fn record(&self) {
        self.rejected.fetch_add(1, Ordering::Relaxed);
    }

    /// How many there were since this was last called.
    pub fn take(&self) -> u64 {
        self.rejected.swap(0, Ordering::Relaxed)
    }
}
