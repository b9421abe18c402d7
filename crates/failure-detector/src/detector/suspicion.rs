//! Decides whether there is a reason to suspect a peer.

use super::FailureDetector;
use super::health::{LocalHealth, SuspicionReason};
use super::peer::PeerState;

/// A leader is stalled if its last scheduling round is older than this many of its mean round
/// intervals.
const STALLED_AFTER_ROUNDS: f64 = 3.0;

/// A peer is slow if it has reported event-loop lag for longer than this many rounds.
const SLOW_AFTER_ROUNDS: f64 = 3.0;

impl FailureDetector {
    /// The reason to suspect a peer now, the most serious one if there are several; `None` if
    /// there is no reason.
    pub(super) fn suspicion(
        &self,
        peer: &PeerState,
        now_s: f64,
        local: &LocalHealth,
    ) -> Option<SuspicionReason> {
        if peer.term.is_none() {
            // A peer may send heartbeats before this observer has seen its registration: that is
            // not an expired lease.
            return peer
                .membership_ended
                .then_some(SuspicionReason::LeaseExpired);
        }
        if peer.refuses(self.config.refusal_threshold) {
            return Some(SuspicionReason::Refused);
        }
        if peer.arrivals.phi(now_s, local.recent_lag_s) > self.config.phi_threshold {
            return Some(SuspicionReason::Unresponsive);
        }
        self.slowness(peer, now_s, local)
    }

    /// Why a peer that responds is suspected as too slow; `None` if it is not.
    fn slowness(
        &self,
        peer: &PeerState,
        now_s: f64,
        local: &LocalHealth,
    ) -> Option<SuspicionReason> {
        let round_s = self.config.round_s;
        let lagging_s = now_s - peer.lagging_since_s?;
        let heartbeat = &peer.last_heartbeat.as_ref()?.heartbeat;
        // An observer without headroom can't take over work, so it does not suspect others as
        // slow. After an outage of all controllers none has headroom, and without this check
        // they took leadership and shards from each other.
        let timing = self.config.timing();
        if !timing.has_headroom(local.mean_lag_s, local.busy_share) {
            return None;
        }
        let interval_s = (heartbeat.round_interval_ms as f64 / 1000.0).max(round_s);
        let misses_rounds = heartbeat
            .last_round_ms
            .is_some_and(|ms| ms as f64 / 1000.0 > STALLED_AFTER_ROUNDS * interval_s);
        if misses_rounds && lagging_s > round_s {
            return Some(SuspicionReason::Stalled);
        }
        (lagging_s > SLOW_AFTER_ROUNDS * round_s).then_some(SuspicionReason::Slow)
    }
}
