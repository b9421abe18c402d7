//! What this controller knows of its own health.

use crate::leadership::Leadership;
use crate::observability::runtime_lag::RuntimeLag;
use crate::peers::PeerMonitor;
use crate::store::Replica;
use rushwalk_failure_detector::LocalHealth;
use std::sync::Arc;

/// Collects what the failure detector must know of the observer itself.
#[derive(Clone)]
pub struct LocalHealthSource {
    /// Shows how stale the replica is.
    pub replica: Arc<Replica>,
    /// Shows when leadership last moved.
    pub leadership: Arc<Leadership>,
    /// Measures how late timers fire.
    pub runtime_lag: Arc<RuntimeLag>,
    /// Shows how busy the thread is.
    pub peers: Arc<PeerMonitor>,
}

impl LocalHealthSource {
    /// The health at this moment.
    pub fn now(&self) -> LocalHealth {
        let revision = self.replica.state().revision;
        let since_transfer = self.leadership.since_last_transfer();
        LocalHealth {
            recent_lag_s: self.runtime_lag.recent_lag().as_secs_f64(),
            mean_lag_s: self.runtime_lag.mean_lag().as_secs_f64(),
            busy_share: self.peers.busy_share(),
            staleness_s: self.replica.staleness().as_secs_f64(),
            since_leadership_moved_s: since_transfer.map_or(f64::INFINITY, |d| d.as_secs_f64()),
            revision,
        }
    }
}
