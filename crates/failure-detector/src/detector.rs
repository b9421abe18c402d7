//! One controller's view of the health of the others, with the reasons for it.
//!
//! | health | what it allows | how it ends |
//! | --- | --- | --- |
//! | healthy | everything | a reason for suspicion |
//! | suspected | reversible measures: nothing new is assigned to it, no user's request is forwarded to it, a successor prepares | a response of the same process to a later heartbeat |
//! | failed | what the store fences: leadership and shards are taken by conditional commits | another process of that name, or responses for the length of a member lease |
//!
//! A suspected peer is declared failed only if, since the suspicion began, most of the other
//! controllers that send heartbeats and reach the store have the same suspicion, none of
//! them has seen the peer, the peer has written nothing to the log, and the observer itself
//! has read the store. So a controller that is partitioned from the others can declare none
//! failed, and neither can any behind a packet filter between all controllers.

mod assessment;
mod evaluation;
mod evidence;
mod health;
mod peer;
mod queries;
mod status;
mod suspicion;

pub use health::{HealthTransition, LocalHealth, PeerHealth, ProbeFailure, SuspicionReason};
pub use queries::AgedHeartbeat;
pub use status::PeerStatus;

use crate::damping::FlapDamping;
use crate::timing::DetectorTiming;
use peer::PeerState;
use std::collections::BTreeMap;

/// Intervals and thresholds that follow from the settings.
#[derive(Debug, Clone)]
pub struct DetectorConfig {
    /// Between two heartbeats to the same peer, in seconds.
    pub heartbeat_s: f64,
    /// A scheduling round, in seconds.
    pub round_s: f64,
    /// The member lease, in seconds: by its end the store itself shows who is gone.
    pub member_lease_s: f64,
    /// The workers' lease, in seconds.
    pub worker_lease_s: f64,
    /// Suspicion begins above this φ.
    pub phi_threshold: f64,
    /// Heartbeats refused in a row from which on suspicion begins.
    pub refusal_threshold: u32,
}

impl DetectorConfig {
    /// The intervals by which lag and load are compared.
    pub fn timing(&self) -> DetectorTiming {
        DetectorTiming {
            heartbeat_s: self.heartbeat_s,
            round_s: self.round_s,
        }
    }
}

/// One controller's view of the health of all others.
#[derive(Debug, Clone)]
pub struct FailureDetector {
    config: DetectorConfig,
    peers: BTreeMap<String, PeerState>,
    /// Departures of all members, this controller included.
    pub damping: FlapDamping,
    /// When peers were declared failed by evidence, in seconds, the latest last.
    declared_failed_at_s: Vec<f64>,
}

impl FailureDetector {
    /// A detector to which all `peers` are healthy.
    pub fn new<'a>(
        config: DetectorConfig,
        peers: impl Iterator<Item = &'a str>,
        now_s: f64,
    ) -> FailureDetector {
        let new_peer = || PeerState::new(config.heartbeat_s, now_s);
        FailureDetector {
            peers: peers.map(|name| (name.to_string(), new_peer())).collect(),
            damping: FlapDamping::new(config.member_lease_s),
            config,
            declared_failed_at_s: Vec::new(),
        }
    }

    /// The intervals and thresholds given at the start.
    pub fn config(&self) -> &DetectorConfig {
        &self.config
    }
}

#[cfg(test)]
mod tests;
