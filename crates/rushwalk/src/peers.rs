//! This controller's observations of the other controllers.

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

/// The φ of the accrual failure detector above which a peer is suspected; φ rises while the
/// peer's heartbeats are missing.
const PHI_THRESHOLD: f64 = 8.0;

/// The number of consecutive heartbeats to a peer that are refused after which the peer is
/// suspected.
const REFUSAL_THRESHOLD: u32 = 2;

/// The failure detector for the other controllers, and what this controller itself observes
/// in addition: heartbeats of misrouted workers, and how busy its own thread is.
pub struct PeerMonitor {
    context: Arc<Context>,
    detector: Mutex<FailureDetector>,
    misrouted: Mutex<MisroutedWorkers>,
    /// The share of time in which this controller's thread is busy, a moving average in
    /// thousandths; 1000 until it is measured.
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
            // Until the first measurement, other controllers must not take this one to have
            // headroom for their work.
            busy_permille: AtomicU16::new(1000),
        }
    }

    /// The failure detector. Its times are in seconds since the start of this process.
    pub fn detector(&self) -> MutexGuard<'_, FailureDetector> {
        self.detector.lock()
    }

    /// The share of time in which this controller's thread is busy, a moving average in
    /// thousandths; 1000 until it is measured.
    pub fn busy_permille(&self) -> u16 {
        self.busy_permille.load(Ordering::Relaxed)
    }

    /// The share of time in which this controller's thread is busy, a moving average from 0 to 1;
    /// 1 until it is measured.
    pub fn busy_share(&self) -> f64 {
        f64::from(self.busy_permille()) / 1000.0
    }

    /// Records the share of time in which this controller's thread is busy, from 0 to 1.
    pub fn set_busy_share(&self, share: f64) {
        let permille = (share * 1000.0) as u16;
        self.busy_permille.store(permille, Ordering::Relaxed);
    }

    /// Records that the worker on `machine` sent its heartbeat to this controller although its
    /// shard is leased to another controller, under the fencing token `token`.
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

    /// Whether this controller has declared the registered process of a member failed; false if
    /// the member is not registered.
    pub fn is_failed(&self, state: &ClusterState, member: &str) -> bool {
        let record = state.members.get(member);
        record.is_some_and(|record| self.detector().is_failed(member, record.incarnation))
    }

    /// Records as a departure that the owner of a shard is cut off from the shard's machines, so
    /// that it is assigned shards again only after a delay. Time is divided into periods of the
    /// length of a member lease; if several of the owner's shards are found cut off in one period,
    /// they count as one departure.
    pub fn record_owner_cut_off(&self, lease: &ShardLease) {
        let span_ms = self.context.timing.member_lease.as_millis() as u64;
        let term = MembershipTerm {
            incarnation: lease.incarnation,
            since: now_ms() / span_ms.max(1),
        };
        self.detector()
            .record_departure(self.context.uptime_s(), &lease.owner, term);
    }

    /// The controller to which a worker is redirected because it owns the worker's shard. `None` if
    /// that controller has lost its shards by a failure, or recently reported that it receives no
    /// heartbeats from the shard: the worker would only return here after a time-out.
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

    /// Whether more work may be assigned to a shard: its owner is registered and not suspected by
    /// a majority. The shards of an owner that is only slow still get work, while they are moved
    /// to other controllers one by one.
    pub fn accepts_more_work(&self, state: &ClusterState, shard: &str) -> bool {
        let Some(lease) = state.shard_leases.get(shard) else {
            return false;
        };
        state.is_owner_registered(&lease.value)
            && !self.detector().is_suspected_by_majority(&lease.value.owner)
    }
}
