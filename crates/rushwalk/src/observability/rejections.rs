//! Counts the requests of users that were temporarily rejected.

use std::sync::atomic::{AtomicU64, Ordering};

/// The number of responses to users with status 429 or 503 since the last
/// [`RejectionCounter::take`].
#[derive(Debug, Default)]
pub struct RejectionCounter {
    rejected: AtomicU64,
}

impl RejectionCounter {
    /// Counts one response to a user with status 429 or 503.
    pub fn record(&self) {
        self.rejected.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of responses since the previous call.
    pub fn take(&self) -> u64 {
        self.rejected.swap(0, Ordering::Relaxed)
    }
}
