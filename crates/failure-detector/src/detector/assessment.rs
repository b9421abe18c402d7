//! Whether there is enough evidence to declare a suspected peer failed.

use super::FailureDetector;
use super::health::{LocalHealth, PeerHealth, SuspicionReason};
use super::peer::PeerState;

/// A witness that has not seen a peer for so many heartbeat intervals agrees that it is
/// unresponsive.
const SILENT_HEARTBEATS: f64 = 4.0;

/// A witness counts if its heartbeat and its read of the store are younger than so many
/// rounds; so long after its last log entry a peer counts as idle.
const RECENT_ROUNDS: f64 = 2.0;

/// An unresponsive peer is declared failed after this share of the member lease.
const SILENCE_LEASE_SHARE: f64 = 0.75;

/// The evidence on a suspected peer at a moment.
pub(super) struct Assessment {
    /// Whether it is enough to declare the peer failed.
    pub conclusive: bool,
    /// Whether most witnesses have the same suspicion, and the log does not contradict it.
    pub majority_agrees: bool,
    pub witnesses: usize,
    pub agreeing: usize,
}

/// What the other controllers report of a suspected peer.
#[derive(Default)]
struct WitnessReports {
    witnesses: usize,
    /// Those that have the same suspicion.
    agreeing: usize,
    /// Whether any has seen it since the suspicion began.
    contact_since: bool,
}

impl WitnessReports {
    fn majority_agrees(&self) -> bool {
        self.agreeing > 0 && 2 * self.agreeing > self.witnesses && !self.contact_since
    }
}

/// What one controller reports of a suspected peer.
struct WitnessReport {
    agrees: bool,
    contact_since: bool,
}

impl FailureDetector {
    /// Weighs the evidence on a peer for the reason for which it is suspected.
    pub(super) fn assess(
        &self,
        member: &str,
        peer: &PeerState,
        now_s: f64,
        local: &LocalHealth,
    ) -> Assessment {
        let reports = self.witness_reports(member, peer, now_s);
        let idle = self.is_idle_in_log(peer, now_s);
        Assessment {
            conclusive: self.is_conclusive(peer, &reports, idle, now_s, local),
            majority_agrees: reports.majority_agrees() && idle,
            witnesses: reports.witnesses,
            agreeing: reports.agreeing,
        }
    }

    fn is_conclusive(
        &self,
        peer: &PeerState,
        reports: &WitnessReports,
        idle: bool,
        now_s: f64,
        local: &LocalHealth,
    ) -> bool {
        let config = &self.config;
        let suspected_s = now_s - peer.health_since_s;
        // Only an observer that is well itself can judge others.
        let can_observe = local.recent_lag_s < config.round_s && local.staleness_s < suspected_s;
        let agreed = reports.majority_agrees();
        let only_peer = self.peers.len() == 1;
        match peer.reason {
            Some(SuspicionReason::LeaseExpired) => true,
            Some(SuspicionReason::Refused) if only_peer => {
                can_observe && idle && suspected_s >= RECENT_ROUNDS * config.round_s
            }
            Some(SuspicionReason::Refused) => {
                can_observe && idle && agreed && suspected_s >= config.heartbeat_s
            }
            Some(SuspicionReason::Unresponsive) => {
                can_observe
                    && agreed
                    && self.is_silent_for_long(peer, now_s)
                    && config.timing().is_on_time(local.mean_lag_s)
            }
            // Once in a lease, whoever it was: if the next one can't keep up either, it is
            // the load, and leadership would circulate.
            Some(SuspicionReason::Stalled) => {
                can_observe
                    && suspected_s >= config.round_s
                    && local.since_leadership_moved_s > config.worker_lease_s
            }
            Some(SuspicionReason::Slow) | None => false,
        }
    }

    /// Whether a peer's member lease is about to expire, unless its process still renews it
    /// and does nothing else.
    fn is_silent_for_long(&self, peer: &PeerState, now_s: f64) -> bool {
        let long_s = SILENCE_LEASE_SHARE * self.config.member_lease_s;
        let suspected_s = now_s - peer.health_since_s;
        peer.contact_age_s(now_s).unwrap_or(suspected_s) >= long_s
            && peer.since_last_write_s(now_s) >= long_s
    }

    /// Whether no entry in the log shows that a peer still runs. An entry that it wrote before
    /// its end may be seen a little after.
    fn is_idle_in_log(&self, peer: &PeerState, now_s: f64) -> bool {
        let allowance_s = self.config.heartbeat_s / 2.0;
        peer.last_write_s
            .is_none_or(|at| at < peer.health_since_s + allowance_s)
            || peer.since_last_write_s(now_s) > RECENT_ROUNDS * self.config.round_s
    }

    fn witness_reports(&self, member: &str, peer: &PeerState, now_s: f64) -> WitnessReports {
        let mut reports = WitnessReports::default();
        for (name, witness) in &self.peers {
            if name == member {
                continue;
            }
            if let Some(report) = self.witness_report(witness, member, peer, now_s) {
                reports.witnesses += 1;
                reports.agreeing += usize::from(report.agrees);
                reports.contact_since |= report.contact_since;
            }
        }
        reports
    }

    /// What a witness reported since the suspicion began, if it reaches the store and is
    /// not suspected itself.
    fn witness_report(
        &self,
        witness: &PeerState,
        member: &str,
        peer: &PeerState,
        now_s: f64,
    ) -> Option<WitnessReport> {
        let config = &self.config;
        let last = witness.last_heartbeat.as_ref()?;
        let age_s = now_s - last.at_s;
        let recent = last.at_s >= peer.health_since_s && age_s < RECENT_ROUNDS * config.round_s;
        let staleness_ms = last.heartbeat.staleness_ms as f64;
        let reaches_store = staleness_ms < RECENT_ROUNDS * 1000.0 * config.round_s;
        if !recent || !reaches_store || witness.health != PeerHealth::Healthy {
            return None;
        }
        let observation = last
            .heartbeat
            .observations
            .iter()
            .find(|o| o.member == member && o.incarnation == peer.incarnation)?;
        let contact_age_s = observation
            .contact_age_ms
            .map(|ms| ms as f64 / 1000.0 + age_s);
        let suspected_s = now_s - peer.health_since_s;
        let silent = contact_age_s.is_none_or(|ago| ago > SILENT_HEARTBEATS * config.heartbeat_s);
        Some(WitnessReport {
            agrees: observation.refused || silent,
            contact_since: contact_age_s.is_some_and(|ago| ago < suspected_s),
        })
    }
}
