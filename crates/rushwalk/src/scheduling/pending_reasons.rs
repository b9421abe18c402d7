//! Why jobs are pending.

use parking_lot::{Mutex, MutexGuard};
use rushwalk_scheduler::round::PendingReason;
use std::collections::BTreeMap;

/// Why jobs are pending, as of the latest scheduling round, for the administration API.
#[derive(Default)]
pub struct PendingReasons {
    by_job: Mutex<BTreeMap<String, PendingReason>>,
}

impl PendingReasons {
    /// The reasons by job. The leader replaces them in each round.
    pub fn by_job(&self) -> MutexGuard<'_, BTreeMap<String, PendingReason>> {
        self.by_job.lock()
    }
}
