//! The evidence and health of one peer.

use super::health::{PeerHealth, SuspicionReason};
use crate::accrual::HeartbeatHistory;
use crate::damping::MembershipTerm;
use rushwalk_protocol::peers::PeerHeartbeat;

/// A heartbeat with its time of arrival.
#[derive(Debug, Clone)]
pub(super) struct ReceivedHeartbeat {
    /// When it arrived, in seconds of the observer's clock.
    pub(super) at_s: f64,
    pub(super) heartbeat: PeerHeartbeat,
}

/// Evidence about a peer, and the health derived from it. Times are in seconds of the
/// observer's clock.
#[derive(Debug, Clone)]
pub(super) struct PeerState {
    /// The incarnation of the peer's latest process, known from its member record or a
    /// heartbeat; 0 if none is known.
    pub(super) incarnation: u64,
    /// The current term of the peer as a member; `None` if it is not registered in the store.
    pub(super) term: Option<MembershipTerm>,
    /// Whether a term of the peer has ended and none has begun since. False for a peer that
    /// was never a member.
    pub(super) membership_ended: bool,
    pub(super) arrivals: HeartbeatHistory,
    pub(super) last_heartbeat: Option<ReceivedHeartbeat>,
    /// The number of heartbeats to the peer that its port has refused in a row.
    pub(super) consecutive_refusals: u32,
    /// Whether a heartbeat to the peer has timed out since the last one received from it.
    pub(super) probe_timed_out: bool,
    /// When the observer last saw a new write of the peer in the store: a log entry, or its member
    /// record; `None` if it has seen none.
    pub(super) last_write_s: Option<f64>,
    /// When the peer began to report event-loop lag; `None` once it is on time again.
    pub(super) lagging_since_s: Option<f64>,
    pub(super) health: PeerHealth,
    pub(super) reason: Option<SuspicionReason>,
    /// Whether, at the latest evaluation, most witnesses agreed with the suspicion and no recent
    /// write of the peer contradicted it.
    pub(super) majority_agrees: bool,
    /// When the current health or the reason for it began.
    pub(super) health_since_s: f64,
    /// The peer's term at `health_since_s`.
    pub(super) term_at_change: Option<MembershipTerm>,
    /// The newest store revision that the observer had seen at `health_since_s`.
    pub(super) revision_at_change: u64,
    /// When the peer began to respond to every heartbeat again after it was declared failed; `None`
    /// if it does not.
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

    /// Whether the peer's port refused at least `threshold` heartbeats in a row; a threshold of
    /// 0 counts as 1.
    pub(super) fn refuses(&self, threshold: u32) -> bool {
        self.consecutive_refusals >= threshold.max(1)
    }

    /// Forgets that heartbeats to the peer were refused or timed out.
    pub(super) fn clear_probe_failures(&mut self) {
        self.consecutive_refusals = 0;
        self.probe_timed_out = false;
    }

    /// Switches to a new process of the peer and clears the heartbeat history and the reported lag
    /// of the previous one.
    pub(super) fn begin_incarnation(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.arrivals.reset();
        self.lagging_since_s = None;
    }

    /// How long ago the last heartbeat of the current process arrived, in seconds; `None` if
    /// none has.
    pub(super) fn contact_age_s(&self, now_s: f64) -> Option<f64> {
        self.arrivals.last_s().map(|at| now_s - at)
    }

    /// How long ago a new write of the peer was last seen, in seconds; infinite if none was.
    pub(super) fn since_last_write_s(&self, now_s: f64) -> f64 {
        self.last_write_s.map_or(f64::INFINITY, |at| now_s - at)
    }
}
