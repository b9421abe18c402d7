//! One controller's view of the health of its peers.
//!
//! | health | what other controllers do | how it ends |
//! | --- | --- | --- |
//! | healthy | treat the peer as working | a reason for suspicion appears |
//! | suspected | take reversible measures: they assign no new work to the peer, forward no user requests to it, and a successor prepares to take over | the reason no longer holds, for example because the process responds to a later heartbeat |
//! | failed | take over leadership and shards by conditional commits, which the store fences | the member registers again, or the same process responds for the length of a member lease |
//!
//! A peer that is unresponsive or refuses connections is declared failed only if all of this holds:
//!
//! - Of the other controllers that send heartbeats and reach the store, most have the same
//!   suspicion, and none has had contact with the peer since the suspicion began.
//! - The observer has seen no recent write of the peer in the store.
//! - The observer itself has read the store since the suspicion began, and its event loop does
//!   not lag.
//!
//! So a controller that is partitioned from the others can't declare any of them failed, and if a
//! packet filter separates all controllers, none of them can. There are three exceptions: a single
//! peer, for which there are no witnesses, is declared failed without their agreement if it refuses
//! connections (but never for being unresponsive); a peer whose member lease has expired is failed
//! without further evidence; and whether a leader finishes no scheduling rounds follows from its
//! own heartbeats.

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
    /// The interval between two heartbeats to the same peer, in seconds.
    pub heartbeat_s: f64,
    /// The interval of the leader's scheduling rounds, in seconds.
    pub round_s: f64,
    /// The duration of the lease of a member's record in the store, in seconds. Its expiry shows
    /// that the member is gone.
    pub member_lease_s: f64,
    /// The duration of a worker's lease, in seconds. A stalled leader is declared failed only if
    /// leadership has not moved between live controllers for this long.
    pub worker_lease_s: f64,
    /// A peer is suspected as unresponsive if its φ exceeds this (see [`crate::accrual`]).
    pub phi_threshold: f64,
    /// A peer is suspected once its port has refused this many heartbeats in a row; 0 counts
    /// as 1.
    pub refusal_threshold: u32,
}

impl DetectorConfig {
    /// The intervals from which the thresholds of lag and load follow.
    pub fn timing(&self) -> DetectorTiming {
        DetectorTiming {
            heartbeat_s: self.heartbeat_s,
            round_s: self.round_s,
        }
    }
}

/// One controller's view of the health of its peers, with the evidence behind it.
#[derive(Debug, Clone)]
pub struct FailureDetector {
    config: DetectorConfig,
    peers: BTreeMap<String, PeerState>,
    /// Flap damping of all members, including this controller.
    pub damping: FlapDamping,
    /// When peers were declared failed within the latest member lease, in seconds, the latest
    /// last. Does not count peers whose member lease expired.
    declared_failed_at_s: Vec<f64>,
}

impl FailureDetector {
    /// A detector that starts with all `peers` as healthy. Evidence about other members is
    /// ignored.
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

    /// The intervals and thresholds, which do not change.
    pub fn config(&self) -> &DetectorConfig {
        &self.config
    }
}

#[cfg(test)]
mod tests;
