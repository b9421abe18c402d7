//! Decides whether there is enough evidence to declare a suspected peer failed.

use super::FailureDetector;
use super::health::{LocalHealth, PeerHealth, SuspicionReason};
use super::peer::PeerState;

/// A witness without contact to a peer for more than this many heartbeat intervals agrees that
/// the peer is unresponsive.
const SILENT_HEARTBEATS: f64 = 4.0;

/// Age limit in scheduling rounds. A witness counts only if its last heartbeat and its last read of
/// the store are younger than this. A peer's write to the store counts only if it is younger than
/// this. Without witnesses, a peer that refuses connections is declared failed only after this
/// time.
const RECENT_ROUNDS: f64 = 2.0;

/// An unresponsive peer may be declared failed after this share of the member lease without
/// any sign of life.
const SILENCE_LEASE_SHARE: f64 = 0.75;

/// The result of weighing the evidence about a suspected peer.
pub(super) struct Assessment {
    /// Whether the evidence is enough to declare the peer failed.
    pub conclusive: bool,
    /// Whether most witnesses agree with the suspicion and no recent write of the peer
    /// contradicts it.
    pub majority_agrees: bool,
    /// The number of other controllers whose observations count.
    pub witnesses: usize,
    /// The number of witnesses that agree with the suspicion.
    pub agreeing: usize,
}

/// The combined reports of the other controllers about a suspected peer.
#[derive(Default)]
struct WitnessReports {
    witnesses: usize,
    /// The number of witnesses that agree with the suspicion.
    agreeing: usize,
    /// Whether any witness has had contact with the peer since the suspicion began.
    contact_since_suspicion: bool,
}

impl WitnessReports {
    fn majority_agrees(&self) -> bool {
        self.agreeing > 0 && 2 * self.agreeing > self.witnesses && !self.contact_since_suspicion
    }
}

/// The report of one other controller about a suspected peer.
struct WitnessReport {
    /// Whether the peer refuses connections from the witness too, or is unresponsive to it.
    agrees: bool,
    /// Whether the witness has had contact with the peer since the suspicion began.
    contact_since_suspicion: bool,
}

impl FailureDetector {
    /// Weighs the evidence about a peer against the reason for suspecting it.
    pub(super) fn assess(
        &self,
        member: &str,
        peer: &PeerState,
        now_s: f64,
        local: &LocalHealth,
    ) -> Assessment {
        let reports = self.witness_reports(member, peer, now_s);
        let no_recent_write = self.has_no_recent_write(peer, now_s);
        Assessment {
            conclusive: self.is_conclusive(peer, &reports, no_recent_write, now_s, local),
            majority_agrees: reports.majority_agrees() && no_recent_write,
            witnesses: reports.witnesses,
            agreeing: reports.agreeing,
        }
    }

    fn is_conclusive(
        &self,
        peer: &PeerState,
        reports: &WitnessReports,
        no_recent_write: bool,
        now_s: f64,
        local: &LocalHealth,
    ) -> bool {
        let config = &self.config;
        let suspected_s = now_s - peer.health_since_s;
        // An observer that lags, or has not read the store since the suspicion began, may itself
        // be the cause of the suspicion.
        let can_observe = local.recent_lag_s < config.round_s && local.staleness_s < suspected_s;
        let agreed = reports.majority_agrees();
        let only_peer = self.peers.len() == 1;
        match peer.reason {
            Some(SuspicionReason::LeaseExpired) => true,
            Some(SuspicionReason::Refused) if only_peer => {
                can_observe && no_recent_write && suspected_s >= RECENT_ROUNDS * config.round_s
            }
            Some(SuspicionReason::Refused) => {
                can_observe && no_recent_write && agreed && suspected_s >= config.heartbeat_s
            }
            Some(SuspicionReason::Unresponsive) => {
                can_observe
                    && agreed
                    && self.is_silent_for_long(peer, now_s)
                    && config.timing().is_on_time(local.mean_lag_s)
            }
            // Stalled leaders are declared failed at most once per worker lease, whichever
            // controller led: if the next leader is stalled too, the load is the cause, and
            // leadership would only circulate.
            Some(SuspicionReason::Stalled) => {
                can_observe
                    && suspected_s >= config.round_s
                    && local.since_leadership_moved_s > config.worker_lease_s
            }
            Some(SuspicionReason::Slow) | None => false,
        }
    }

    /// Whether no heartbeat and no write of a peer has been seen for most of a member lease. The
    /// peer's lease is then about to expire, unless its process still renews it but does nothing
    /// else.
    fn is_silent_for_long(&self, peer: &PeerState, now_s: f64) -> bool {
        let long_s = SILENCE_LEASE_SHARE * self.config.member_lease_s;
        let suspected_s = now_s - peer.health_since_s;
        peer.contact_age_s(now_s).unwrap_or(suspected_s) >= long_s
            && peer.since_last_write_s(now_s) >= long_s
    }

    /// Whether no recent write of a peer has been seen in the store. A write that was seen before
    /// the suspicion began, or within half a heartbeat interval after it, does not count: the peer
    /// may have made it before it ended.
    fn has_no_recent_write(&self, peer: &PeerState, now_s: f64) -> bool {
        let allowance_s = self.config.heartbeat_s / 2.0;
        peer.last_write_s
            .is_none_or(|at| at < peer.health_since_s + allowance_s)
            || peer.since_last_write_s(now_s) > RECENT_ROUNDS * self.config.round_s
    }

    /// The combined reports of all witnesses about a peer.
    fn witness_reports(&self, member: &str, peer: &PeerState, now_s: f64) -> WitnessReports {
        let mut reports = WitnessReports::default();
        for (name, witness) in &self.peers {
            if name == member {
                continue;
            }
            if let Some(report) = self.witness_report(witness, member, peer, now_s) {
                reports.witnesses += 1;
                reports.agreeing += usize::from(report.agrees);
                reports.contact_since_suspicion |= report.contact_since_suspicion;
            }
        }
        reports
    }

    /// The report of a witness about a peer, from a heartbeat that arrived since the suspicion
    /// began. `None` if the witness has sent no recent heartbeat, does not reach the store, is not
    /// healthy, or does not know the peer's current process.
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
        let silent =
            contact_age_s.is_none_or(|age_s| age_s > SILENT_HEARTBEATS * config.heartbeat_s);
        Some(WitnessReport {
            agrees: observation.refused || silent,
            contact_since_suspicion: contact_age_s.is_some_and(|age_s| age_s < suspected_s),
        })
    }
}
