//! One controller's view of the health of its peers.
//!
//! | health | what other controllers do | how it ends |
//! | --- | --- | --- |
//! | healthy | treat the peer as working | a reason for suspicion appears |
//! | suspected | take reversible measures: they forward no user requests to the peer, and a successor prepares to take over; if the peer is slow or most witnesses agree, they also assign no new work to it | the reason no longer holds, for example because the process responds to a later heartbeat |
//! | failed | take over leadership and shards by conditional commits, which the store fences; from a stalled leader, only leadership | the member registers again, or the same process responds for the length of a member lease |
//!
//! A peer that is unresponsive or refuses connections is declared failed only if all of this holds:
//!
//! - Of the other controllers that send heartbeats and reach the store, most also find the peer
//!   unresponsive or are refused by it, and none has had contact with it since the suspicion
//!   began.
//! - The observer has seen no recent write of the peer in the store.
//! - The observer itself has read the store since the suspicion began, and its event loop does
//!   not lag.
//!
//! So a controller that is partitioned from the others can't declare any of them failed, and if a
//! packet filter separates all controllers, none of them can. There are three exceptions:
//!
//! - A single peer, for which there are no witnesses, is declared failed without their agreement
//!   if it refuses connections, but never for being unresponsive.
//! - A peer whose member lease has expired is failed without further evidence.
//! - A leader that finishes no scheduling rounds reports this in its own heartbeats, so it is
//!   declared failed without the agreement of witnesses.

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
    /// Times, in seconds and the oldest first, at which this controller declared peers failed by
    /// its own evidence; covers the length of a member lease.
    declared_failed_at_s: Vec<f64>,
}

impl FailureDetector {
    /// A detector that starts with all `peers` as healthy. Of other members, it records only
    /// departures.
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
