//! Whether users should be sent to this controller.

use crate::context::Context;
use crate::peers::PeerMonitor;
use crate::store::Replica;

/// Rounds after which a replica is too old to serve users by itself.
const MAX_STALENESS_ROUNDS: u32 = 5;

/// Whether users should be sent here: this controller reaches the store or, if none does, is as
/// good as any other.
pub(super) fn is_healthy(context: &Context, replica: &Replica, peers: &PeerMonitor) -> bool {
    let limit = context.timing.round * MAX_STALENESS_ROUNDS;
    if replica.staleness() < limit {
        return true;
    }
    if !replica.has_been_read() {
        return false;
    }
    // In an outage the staleness of all grows alike, and a peer's is known as of its last
    // heartbeat: only a peer that is well below the limit by now is better off. A controller
    // without contact to any peer cannot compare, and is more likely the one that is
    // partitioned: users that were sent to it got no answer for as long as that lasted.
    let limit_s = limit.as_secs_f64();
    let detector = peers.detector();
    let now_s = context.uptime_s();
    let has_peer_contact = context.settings.peers.is_empty()
        || detector
            .last_heartbeats(now_s)
            .any(|last| last.age_s < limit_s);
    let is_a_peer_better_off = detector
        .last_heartbeats(now_s)
        .any(|last| last.staleness_s() < limit_s / 2.0);
    has_peer_contact && !is_a_peer_better_off
}
