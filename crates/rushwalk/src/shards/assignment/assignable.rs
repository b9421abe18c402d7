//! Which shards may be assigned now, and which wait for their owner to come back.

use super::inputs::InputGatherer;
use rushwalk_failure_detector::FailureDetector;
use rushwalk_protocol::ids::ShardId;
use rushwalk_state::records::ShardLease;
use std::collections::BTreeSet;

/// Controllers have headroom for the machines of one that ended, for the few seconds until
/// it is back, if less than one in so many parts of their time is taken.
const BUSY_PARTS: u32 = 3;

impl InputGatherer<'_> {
    /// The shards that may be assigned now. Every zone has one before its first machine.
    pub(super) fn assignable_shards(&self) -> Vec<ShardId> {
        let zones = &self.parts.context.settings.site.zones;
        let zones = zones.iter().map(|zone| ShardId::from(zone.as_str()));
        let all: BTreeSet<ShardId> = zones.chain(self.state.shards.keys().cloned()).collect();
        let waiting = self.shards_that_wait(&all);
        let assignable = all.into_iter().filter(|shard| !waiting.contains(shard));
        assignable.collect()
    }

    /// Shards that keep their owner for the moment though it is gone or has failed.
    fn shards_that_wait(&self, shards: &BTreeSet<ShardId>) -> BTreeSet<ShardId> {
        let detector = self.parts.peers.detector();
        let grace_s = self.parts.context.timing.member_lease.as_secs_f64() / 2.0;
        let has_headroom = self.have_headroom(&detector, grace_s);
        let waits = |lease: &ShardLease| {
            if self.state.is_owner_registered(lease) {
                // One that ended is mostly back before its lease expires.
                !has_headroom && detector.failed_by_refusal(&lease.owner, lease.incarnation)
            } else {
                // One whose member lease has expired may still live and own its shards, by
                // its last read: if its heartbeats say so it is given the time to come back.
                let now_s = self.parts.context.uptime_s();
                detector.is_alive_after_expiry(&lease.owner, lease.incarnation, now_s, grace_s)
            }
        };
        let leases = &self.state.shard_leases;
        let waiting = shards
            .iter()
            .filter(|shard| leases.get(*shard).is_some_and(|lease| waits(&lease.value)));
        waiting.cloned().collect()
    }

    /// Whether the controllers have headroom for the machines of one that ended. If not, the
    /// workers wait for it to be back: to move a thousand of them there and back took more
    /// than all had to give.
    fn have_headroom(&self, detector: &FailureDetector, max_age_s: f64) -> bool {
        let heartbeats = detector.last_heartbeats(self.parts.context.uptime_s());
        let recent = heartbeats.filter(|last| last.age_s < max_age_s);
        let busy = recent.map(|last| last.heartbeat.busy_permille);
        let own = self.parts.peers.busy_permille();
        let (mut count, mut sum) = (0, 0);
        for permille in busy.chain([own]) {
            count += 1;
            sum += u32::from(permille);
        }
        sum < count * 1000 / BUSY_PARTS
    }
}
