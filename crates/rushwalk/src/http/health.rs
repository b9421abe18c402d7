//! The health check: whether users should be sent to this controller.

use crate::context::Context;
use crate::peers::PeerMonitor;
use crate::store::Replica;

/// Rounds without a read of the store after which a controller is healthy only if its peers are
/// no better off.
const MAX_STALENESS_ROUNDS: u32 = 5;

/// Whether users should be sent to this controller: it has read the store recently or, if it has
/// not, it is no worse off than its peers. A controller that has never read the store is
/// unhealthy.
pub(super) fn is_healthy(context: &Context, replica: &Replica, peers: &PeerMonitor) -> bool {
    let limit = context.timing.round * MAX_STALENESS_ROUNDS;
    if replica.staleness() < limit {
        return true;
    }
    if !replica.has_been_read() {
        return false;
    }
    // During an outage of the store the staleness of all controllers grows alike, and that of a
    // peer is known as of its last heartbeat: only a peer whose staleness is now below half of
    // the limit is better off. A controller without contact to any peer can't compare, and is
    // more likely to be the one that is partitioned. When users were sent to such a controller,
    // they got no response for as long as the partition lasted.
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
