//! Whether there is a reason to suspect a peer.

use super::FailureDetector;
use super::health::{LocalHealth, SuspicionReason};
use super::peer::PeerState;

/// A leader whose last round is older than so many of its usual rounds makes none.
const STALLED_AFTER_ROUNDS: f64 = 3.0;

/// One that lags for so many rounds is slow.
const SLOW_AFTER_ROUNDS: f64 = 3.0;

impl FailureDetector {
    /// Why a peer is to be suspected now; the most serious reason if there are several.
    pub(super) fn suspicion(
        &self,
        peer: &PeerState,
        now_s: f64,
        local: &LocalHealth,
    ) -> Option<SuspicionReason> {
        if peer.term.is_none() {
            // One that sends heartbeats before its member key is seen has not left.
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

    fn slowness(
        &self,
        peer: &PeerState,
        now_s: f64,
        local: &LocalHealth,
    ) -> Option<SuspicionReason> {
        let round_s = self.config.round_s;
        let lagging_s = now_s - peer.lagging_since_s?;
        let heartbeat = &peer.last_heartbeat.as_ref()?.heartbeat;
        // An observer without headroom could not do better. After an outage of all
        // controllers none has any, and each took leadership and shards from another.
        let timing = self.config.timing();
        if !timing.has_headroom(local.mean_lag_s, local.busy_share) {
            return None;
        }
        let interval_s = (heartbeat.round_interval_ms as f64 / 1000.0).max(round_s);
        let no_rounds = heartbeat
            .last_round_ms
            .is_some_and(|ms| ms as f64 / 1000.0 > STALLED_AFTER_ROUNDS * interval_s);
        if no_rounds && lagging_s > round_s {
            return Some(SuspicionReason::Stalled);
        }
        (lagging_s > SLOW_AFTER_ROUNDS * round_s).then_some(SuspicionReason::Slow)
    }
}
