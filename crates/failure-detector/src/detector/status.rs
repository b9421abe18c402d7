//! The peers as an operator sees them, for the administration API.

use super::FailureDetector;
use super::health::{LocalHealth, PeerHealth, SuspicionReason};
use super::peer::PeerState;
use serde::Serialize;

/// One peer as an operator sees it. Times are in seconds ago.
#[derive(Debug, Clone, Serialize)]
pub struct PeerStatus {
    /// Its name as a member.
    pub member: String,
    /// Its health, as this controller sees it.
    #[serde(rename = "standing")]
    pub health: PeerHealth,
    /// Why it is suspected or was declared failed, if it is.
    #[serde(rename = "why")]
    pub reason: Option<SuspicionReason>,
    /// When its health or the reason for it last changed.
    pub since_s: f64,
    /// φ for the time since its last heartbeat.
    pub phi: f64,
    /// When its last heartbeat came.
    #[serde(rename = "heard_s")]
    pub contact_age_s: Option<f64>,
    /// Heartbeats that its port refused in a row.
    #[serde(rename = "refused")]
    pub consecutive_refusals: u32,
    /// When its latest entry in the log was seen.
    #[serde(rename = "wrote_s")]
    pub last_write_s: Option<f64>,
    /// The mean event-loop lag that it reports, in milliseconds.
    #[serde(rename = "late_ms")]
    pub lag_ms: u64,
    /// Departures that still lengthen its delay.
    pub departures: usize,
    /// Whether the delay after the latest is over.
    #[serde(rename = "fit")]
    pub eligible: bool,
}

impl FailureDetector {
    /// Each peer with its health, the reason and the evidence, by name.
    pub fn statuses(&self, now_s: f64, local: LocalHealth) -> Vec<PeerStatus> {
        self.peers
            .iter()
            .map(|(member, peer)| self.status(member, peer, now_s, &local))
            .collect()
    }

    fn status(
        &self,
        member: &str,
        peer: &PeerState,
        now_s: f64,
        local: &LocalHealth,
    ) -> PeerStatus {
        let last = peer.last_heartbeat.as_ref();
        PeerStatus {
            member: member.to_string(),
            health: peer.health,
            reason: peer.reason,
            since_s: round_to_tenths(now_s - peer.health_since_s),
            phi: round_to_tenths(peer.arrivals.phi(now_s, local.recent_lag_s)),
            contact_age_s: peer.contact_age_s(now_s).map(round_to_tenths),
            consecutive_refusals: peer.consecutive_refusals,
            last_write_s: peer.last_write_s.map(|at| round_to_tenths(now_s - at)),
            lag_ms: last.map_or(0, |last| last.heartbeat.lag_ms),
            departures: self.damping.departures(now_s, member),
            eligible: self.damping.is_eligible(now_s, member),
        }
    }
}

fn round_to_tenths(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}
