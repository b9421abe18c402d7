//! Selection of the shards that may be assigned now. The others wait for their owner to return.

use super::inputs::InputGatherer;
use rushwalk_failure_detector::FailureDetector;
use rushwalk_protocol::ids::ShardId;
use rushwalk_state::records::ShardLease;
use std::collections::BTreeSet;

/// The controllers have headroom for the shards of a controller whose process ended, for the few
/// seconds until it returns, if their mean busy share is below 1 divided by this.
const BUSY_SHARE_DIVISOR: u32 = 3;

impl InputGatherer<'_> {
    /// The shards that may be assigned now. Each configured zone has a shard, even if it has no
    /// machines yet.
    pub(super) fn assignable_shards(&self) -> Vec<ShardId> {
        let zones = &self.parts.context.settings.site.zones;
        let zones = zones.iter().map(|zone| ShardId::from(zone.as_str()));
        let all: BTreeSet<ShardId> = zones.chain(self.state.shards.keys().cloned()).collect();
        let waiting = self.shards_awaiting_owner(&all);
        let assignable = all.into_iter().filter(|shard| !waiting.contains(shard));
        assignable.collect()
    }

    /// Shards that keep their owner for now, although its member lease has expired or it was
    /// declared failed.
    fn shards_awaiting_owner(&self, shards: &BTreeSet<ShardId>) -> BTreeSet<ShardId> {
        let detector = self.parts.peers.detector();
        let grace_s = self.parts.context.timing.member_lease.as_secs_f64() / 2.0;
        let has_headroom = self.controllers_have_headroom(&detector, grace_s);
        let awaits_owner = |lease: &ShardLease| {
            if self.state.is_owner_registered(lease) {
                // The owner's port refuses connections, so its process ended. It usually
                // returns before its member lease expires, and its shards wait for it if the
                // other controllers have no headroom.
                !has_headroom && detector.failed_by_refusal(&lease.owner, lease.incarnation)
            } else {
                // An owner whose member lease has expired may still run, and act on its shard
                // leases until the validity of its last read ends. If its heartbeats arrive, it
                // is given `grace_s` to register again.
                let now_s = self.parts.context.uptime_s();
                detector.is_alive_after_expiry(&lease.owner, lease.incarnation, now_s, grace_s)
            }
        };
        let leases = &self.state.shard_leases;
        let waiting = shards.iter().filter(|shard| {
            leases
                .get(*shard)
                .is_some_and(|lease| awaits_owner(&lease.value))
        });
        waiting.cloned().collect()
    }

    /// Whether the controllers have headroom for the shards of a controller that ended: the
    /// mean busy share of this controller and of those with a heartbeat in the last `max_age_s`
    /// seconds is below a third. Without headroom the workers wait until their controller
    /// returns: moving a thousand of them to other controllers and back took more capacity than
    /// all controllers had.
    fn controllers_have_headroom(&self, detector: &FailureDetector, max_age_s: f64) -> bool {
        let heartbeats = detector.last_heartbeats(self.parts.context.uptime_s());
        let recent = heartbeats.filter(|last| last.age_s < max_age_s);
        let busy = recent.map(|last| last.heartbeat.busy_permille);
        let own = self.parts.peers.busy_permille();
        let (mut count, mut sum) = (0, 0);
        for permille in busy.chain([own]) {
            count += 1;
            sum += u32::from(permille);
        }
        sum < count * 1000 / BUSY_SHARE_DIVISOR
    }
}
