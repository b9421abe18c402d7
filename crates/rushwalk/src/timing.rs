//! Intervals and time-outs, all of which follow from the settings.

use rushwalk_protocol::settings::Settings;
use std::time::Duration;

/// Intervals and time-outs of one controller.
#[derive(Debug, Clone)]
pub struct Timing {
    /// How long after its last successful read of the store an owner may act on its shard leases. A
    /// cancellation that another controller confirms must end every task within `workers.cancel_s`.
    /// An owner that has not read the cancellation may go on renewing worker leases for the
    /// duration of `lease_validity`; the last of these leases expires a worker lease later, and the
    /// worker then ends its tasks.
    pub lease_validity: Duration,
    /// The duration of the member lease. Its expiry removes the member's record, which shows
    /// the other controllers that the member is gone.
    pub member_lease: Duration,
    /// The interval of the leader's scheduling rounds; many other intervals and time-outs are
    /// multiples or fractions of it.
    pub round: Duration,
    /// The interval between two heartbeats to the same peer.
    pub peer_heartbeat: Duration,
    /// The interval of a worker's heartbeats.
    pub heartbeat: Duration,
    /// The duration of a worker's lease. A worker ends its tasks when the lease expires.
    pub worker_lease: Duration,
    /// A machine without contact for longer than this counts as unreachable.
    pub unreachable_after: Duration,
    /// The scheduler sorts predicted finish times into tie buckets of this length; times in the
    /// same bucket count as equal.
    pub tie: Duration,
}

impl Timing {
    /// The intervals that follow from the settings.
    pub fn new(settings: &Settings) -> Timing {
        let workers = &settings.site.workers;
        let seconds = Duration::from_secs_f64;
        let round_s = (workers.heartbeat_s / 3.0).min(workers.lease_s / 40.0);
        // With more than four peers, each is sent heartbeats less often: the other controllers
        // report their observations of it, too.
        let peer_factor = (settings.peers.len() as f64 / 4.0).max(1.0);
        let member_lease_s = (2.0 * workers.heartbeat_s)
            .min(workers.lease_s / 7.0)
            .max(1.0);
        let unreachable_after_s = (3.0 * workers.heartbeat_s).min(workers.lease_s / 3.0);
        Timing {
            lease_validity: seconds(0.8 * (workers.cancel_s - workers.lease_s)),
            member_lease: seconds(member_lease_s),
            round: seconds(round_s),
            peer_heartbeat: seconds(round_s / 3.0 * peer_factor),
            heartbeat: seconds(workers.heartbeat_s),
            worker_lease: seconds(workers.lease_s),
            unreachable_after: seconds(unreachable_after_s),
            tie: seconds(workers.heartbeat_s.min(workers.lease_s / 14.0)),
        }
    }
}
