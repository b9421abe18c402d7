//! What this controller knows of the other controllers.

use crate::clock::now_ms;
use crate::context::Context;
use parking_lot::{Mutex, MutexGuard};
use rushwalk_failure_detector::damping::MembershipTerm;
use rushwalk_failure_detector::reachability::MisroutedWorkers;
use rushwalk_failure_detector::{DetectorConfig, FailureDetector};
use rushwalk_protocol::peers::MisroutedCount;
use rushwalk_state::records::ShardLease;
use rushwalk_state::{ClusterState, Revision};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};

/// φ above which a peer without heartbeats is suspected.
const PHI_THRESHOLD: f64 = 8.0;

/// Refused heartbeats in a row after which a peer is suspected.
const REFUSAL_THRESHOLD: u32 = 2;

/// The failure detector, and what else is known of peers at first hand.
pub struct PeerMonitor {
    context: Arc<Context>,
    detector: Mutex<FailureDetector>,
    misrouted: Mutex<MisroutedWorkers>,
    /// The share of time in which this controller's thread was busy lately, in thousandths.
    busy_permille: AtomicU16,
}

impl PeerMonitor {
    /// A monitor without any observation.
    pub fn new(context: Arc<Context>) -> PeerMonitor {
        let timing = &context.timing;
        let config = DetectorConfig {
            heartbeat_s: timing.peer_heartbeat.as_secs_f64(),
            round_s: timing.round.as_secs_f64(),
            member_lease_s: timing.member_lease.as_secs_f64(),
            worker_lease_s: timing.worker_lease.as_secs_f64(),
            phi_threshold: PHI_THRESHOLD,
            refusal_threshold: REFUSAL_THRESHOLD,
        };
        let peers = context.settings.peers.iter().map(|p| p.member.as_str());
        let detector = FailureDetector::new(config, peers, 0.0);
        PeerMonitor {
            context,
            detector: Mutex::new(detector),
            misrouted: Mutex::default(),
            // Until more is known there is no headroom for others' work.
            busy_permille: AtomicU16::new(1000),
        }
    }

    /// The failure detector. Its times are in seconds since the start of this process.
    pub fn detector(&self) -> MutexGuard<'_, FailureDetector> {
        self.detector.lock()
    }

    /// The share of time in which this controller's thread was busy lately, in thousandths.
    pub fn busy_permille(&self) -> u16 {
        self.busy_permille.load(Ordering::Relaxed)
    }

    /// The same as a number from 0 to 1.
    pub fn busy_share(&self) -> f64 {
        f64::from(self.busy_permille()) / 1000.0
    }

    /// Records the share of time in which this controller's thread is busy, from 0 to 1.
    pub fn set_busy_share(&self, share: f64) {
        let permille = (share * 1000.0) as u16;
        self.busy_permille.store(permille, Ordering::Relaxed);
    }

    /// A worker sent its heartbeat here though its shard is leased to another controller.
    pub fn record_misrouted(&self, shard: &str, token: Revision, machine: &str) {
        let now_s = self.context.uptime_s();
        self.misrouted.lock().record(now_s, shard, token, machine);
    }

    /// How many workers of each shard were misrouted here within the last heartbeat interval.
    pub fn misrouted_workers(&self) -> Vec<MisroutedCount> {
        let span_s = self.context.timing.heartbeat.as_secs_f64();
        self.misrouted
            .lock()
            .counts(self.context.uptime_s(), span_s)
    }

    /// Whether the registered process of a member was declared failed.
    pub fn is_failed(&self, state: &ClusterState, member: &str) -> bool {
        let record = state.members.get(member);
        record.is_some_and(|record| self.detector().is_failed(member, record.incarnation))
    }

    /// The owner of a shard was found cut off from its machines: it gets shards back after
    /// a pause. All of its shards that are found so together count as one departure.
    pub fn record_owner_cut_off(&self, lease: &ShardLease) {
        let span_ms = self.context.timing.member_lease.as_millis() as u64;
        let term = MembershipTerm {
            incarnation: lease.incarnation,
            since: now_ms() / span_ms.max(1),
        };
        self.detector()
            .record_departure(self.context.uptime_s(), &lease.owner, term);
    }

    /// Where to redirect a worker whose shard another controller owns. Not to one that has
    /// failed, or that reports the shard unreachable: the worker would come back after a
    /// time-out.
    pub fn redirect_target(&self, shard: &str, lease: &ShardLease) -> Option<String> {
        let detector = self.detector();
        if detector.has_lost_shards(&lease.owner, lease.incarnation) {
            return None;
        }
        let max_age_s = detector.config().round_s * 2.0;
        let heartbeat = detector.last_heartbeat(&lease.owner, self.context.uptime_s());
        let is_unreachable = heartbeat.is_some_and(|last| {
            last.age_s < max_age_s && last.heartbeat.reports_unreachable(shard)
        });
        (!is_unreachable).then(|| lease.owner.clone())
    }

    /// Whether a shard may be assigned more work: its owner is registered and not suspected by
    /// a majority. One that is only slow still gets work; it loses shards one by one.
    pub fn accepts_more_work(&self, state: &ClusterState, shard: &str) -> bool {
        let Some(lease) = state.shard_leases.get(shard) else {
            return false;
        };
        state.is_owner_registered(&lease.value)
            && !self.detector().is_suspected_by_majority(&lease.value.owner)
    }
}
