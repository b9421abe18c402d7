//! The status of the peers in the administration API.

use super::FailureDetector;
use super::health::{LocalHealth, PeerHealth, SuspicionReason};
use super::peer::PeerState;
use serde::Serialize;

/// The status of one peer. Times are ages in seconds, rounded to tenths.
#[derive(Debug, Clone, Serialize)]
pub struct PeerStatus {
    /// The peer's name as a member.
    pub member: String,
    /// The peer's health, as this controller sees it.
    #[serde(rename = "standing")]
    pub health: PeerHealth,
    /// Why the peer is suspected or was declared failed; `None` if it is healthy.
    #[serde(rename = "why")]
    pub reason: Option<SuspicionReason>,
    /// How long ago the health or the reason for it last changed.
    pub since_s: f64,
    /// φ for the time since the peer's last heartbeat (see [`crate::accrual`]), to a tenth.
    pub phi: f64,
    /// How long ago the peer's last heartbeat arrived; `None` if none has.
    #[serde(rename = "heard_s")]
    pub contact_age_s: Option<f64>,
    /// The number of heartbeats to the peer that its port has refused in a row.
    #[serde(rename = "refused")]
    pub consecutive_refusals: u32,
    /// How long ago a new write of the peer was last seen in the store: a log entry, or its member
    /// record; `None` if none was.
    #[serde(rename = "wrote_s")]
    pub last_write_s: Option<f64>,
    /// The mean event-loop lag that the peer last reported, in milliseconds; 0 if it has sent no
    /// heartbeat.
    #[serde(rename = "late_ms")]
    pub lag_ms: u64,
    /// The number of the peer's departures that still count in flap damping.
    pub departures: usize,
    /// Whether the flap-damping delay after the peer's latest departure is over.
    #[serde(rename = "fit")]
    pub eligible: bool,
}

impl FailureDetector {
    /// The status of each peer, in the order of their names.
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
