//! What is known of one peer.

use super::health::{PeerHealth, SuspicionReason};
use crate::accrual::HeartbeatHistory;
use crate::damping::MembershipTerm;
use rushwalk_protocol::peers::PeerHeartbeat;

/// A heartbeat, and when it came.
#[derive(Debug, Clone)]
pub(super) struct ReceivedHeartbeat {
    /// In seconds of the observer's clock.
    pub(super) at_s: f64,
    pub(super) heartbeat: PeerHeartbeat,
}

/// Evidence about a peer, and the health that was derived from it. Times are in seconds
/// of the observer's clock.
#[derive(Debug, Clone)]
pub(super) struct PeerState {
    /// Its present process, as far as is known; 0 if it never was a member.
    pub(super) incarnation: u64,
    /// Its present term as a member.
    pub(super) term: Option<MembershipTerm>,
    /// Whether its term was seen to end and none has begun since.
    pub(super) membership_ended: bool,
    pub(super) arrivals: HeartbeatHistory,
    pub(super) last_heartbeat: Option<ReceivedHeartbeat>,
    /// Heartbeats that its port refused in a row.
    pub(super) consecutive_refusals: u32,
    /// Whether a heartbeat to it has timed out since the last one from it.
    pub(super) probe_timed_out: bool,
    /// When an entry of its in the log was last seen.
    pub(super) last_write_s: Option<f64>,
    /// Since when it reports that its event loop lags.
    pub(super) lagging_since_s: Option<f64>,
    pub(super) health: PeerHealth,
    pub(super) reason: Option<SuspicionReason>,
    /// Whether most witnesses have the same suspicion.
    pub(super) majority_agrees: bool,
    /// When its present health or the reason for it began.
    pub(super) health_since_s: f64,
    /// The term that it had at that time.
    pub(super) term_at_change: Option<MembershipTerm>,
    /// The newest revision that the observer had seen at that time.
    pub(super) revision_at_change: u64,
    /// Since when it responds again after it was declared failed.
    pub(super) responding_since_s: Option<f64>,
}

impl PeerState {
    pub(super) fn new(heartbeat_s: f64, now_s: f64) -> PeerState {
        PeerState {
            incarnation: 0,
            term: None,
            membership_ended: false,
            arrivals: HeartbeatHistory::new(heartbeat_s),
            last_heartbeat: None,
            consecutive_refusals: 0,
            probe_timed_out: false,
            last_write_s: None,
            lagging_since_s: None,
            health: PeerHealth::Healthy,
            reason: None,
            majority_agrees: false,
            health_since_s: now_s,
            term_at_change: None,
            revision_at_change: 0,
            responding_since_s: None,
        }
    }

    /// Whether its port refused so many heartbeats in a row, one at least.
    pub(super) fn refuses(&self, threshold: u32) -> bool {
        self.consecutive_refusals >= threshold.max(1)
    }

    /// Clears refused and timed-out heartbeats.
    pub(super) fn clear_probe_failures(&mut self) {
        self.consecutive_refusals = 0;
        self.probe_timed_out = false;
    }

    /// Replaces the process, and clears what was measured of the one before.
    pub(super) fn begin_incarnation(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.arrivals.reset();
        self.lagging_since_s = None;
    }

    /// How long ago its last heartbeat came, in seconds.
    pub(super) fn contact_age_s(&self, now_s: f64) -> Option<f64> {
        self.arrivals.last_s().map(|at| now_s - at)
    }

    /// How long ago an entry of its in the log was last seen, in seconds; infinite if
    /// none was.
    pub(super) fn since_last_write_s(&self, now_s: f64) -> f64 {
        self.last_write_s.map_or(f64::INFINITY, |at| now_s - at)
    }
}
