//! The health of this controller itself, which the failure detector takes into account.

use crate::leadership::Leadership;
use crate::observability::runtime_lag::RuntimeLag;
use crate::peers::PeerMonitor;
use crate::store::Replica;
use rushwalk_failure_detector::LocalHealth;
use std::sync::Arc;

/// Collects the health of this controller as an observer of its peers.
#[derive(Clone)]
pub struct LocalHealthSource {
    /// The replica of the cluster's state, with its revision and the age of the last read.
    pub replica: Arc<Replica>,
    /// Provides the time since leadership last left a live controller.
    pub leadership: Arc<Leadership>,
    /// The lag of this controller's event loop.
    pub runtime_lag: Arc<RuntimeLag>,
    /// Provides the share of time in which this controller's thread is busy.
    pub peers: Arc<PeerMonitor>,
}

impl LocalHealthSource {
    /// The health at this moment: the lag, busy share and staleness of this process, the age of the
    /// last transfer of leadership, and the newest revision that this process has read.
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
