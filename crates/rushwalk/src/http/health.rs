//! The health check: whether users should be sent to this controller.

use crate::context::Context;
use crate::peers::PeerMonitor;
use crate::store::Replica;

/// A controller whose last read of the store is older than this many rounds is healthy only if no
/// peer has read the store more recently.
const MAX_STALENESS_ROUNDS: u32 = 5;

/// Whether users should be sent to this controller: it has read the store recently, or none of its
/// peers has either. A controller is unhealthy if it has never read the store, or if it has not
/// read it recently and has contact to none of its peers.
pub(super) fn is_healthy(context: &Context, replica: &Replica, peers: &PeerMonitor) -> bool {
    let limit = context.timing.round * MAX_STALENESS_ROUNDS;
    if replica.staleness() < limit {
        return true;
    }
    if !replica.has_been_read() {
        return false;
    }
    // During an outage of the store, the last reads of all controllers age alike, and the last
    // read of a peer is known only from the peer's last heartbeat. A peer therefore counts as
    // having read more recently only if its read is younger than half of the limit. A controller
    // without contact to any peer can't compare, and is more likely to be the one that is
    // partitioned. When users were sent to such a controller, they got no response for as long as
    // the partition lasted.
    let limit_s = limit.as_secs_f64();
    let detector = peers.detector();
    let now_s = context.uptime_s();
    let has_peer_contact = context.settings.peers.is_empty()
        || detector
            .last_heartbeats(now_s)
            .any(|last| last.age_s < limit_s);
    let has_fresher_peer = detector
        .last_heartbeats(now_s)
        .any(|last| last.staleness_s() < limit_s / 2.0);
    has_peer_contact && !has_fresher_peer
}
