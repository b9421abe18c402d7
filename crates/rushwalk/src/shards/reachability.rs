//! Evidence that the machines of a shard reach another controller than its owner.

use crate::context::Context;
use crate::failure_detection::HeartbeatSource;
use rushwalk_failure_detector::reachability::evidence_threshold;
use rushwalk_protocol::ids::ShardId;
use rushwalk_protocol::peers::PeerHeartbeat;
use std::collections::BTreeMap;

/// Age in scheduling rounds from which on a peer's heartbeat is ignored.
const MAX_HEARTBEAT_ROUNDS: f64 = 2.0;

/// The recent heartbeats of all controllers, this one's included.
pub(super) struct ShardReachability {
    heartbeats: BTreeMap<String, PeerHeartbeat>,
}

impl ShardReachability {
    /// Collects the recent heartbeats of peers, and this controller's own data.
    pub(super) fn collect(context: &Context, source: &HeartbeatSource) -> ShardReachability {
        let mut heartbeats: BTreeMap<String, PeerHeartbeat> = {
            let detector = source.peers.detector();
            let max_age_s = detector.config().round_s * MAX_HEARTBEAT_ROUNDS;
            detector
                .last_heartbeats(context.uptime_s())
                .filter(|last| last.age_s < max_age_s)
                .map(|last| (last.heartbeat.member.clone(), last.heartbeat.clone()))
                .collect()
        };
        let own = PeerHeartbeat {
            member: context.member().into(),
            unreachable_shards: source.unreachable_shards(),
            misrouted_workers: source.peers.misrouted_workers(),
            ..PeerHeartbeat::default()
        };
        heartbeats.insert(context.member().into(), own);
        ShardReachability { heartbeats }
    }

    /// The controllers that receive heartbeats of a shard's machines, if its owner reports the
    /// shard unreachable and enough machines are misrouted to others. `machines` is the number
    /// of the shard's machines that should send heartbeats.
    pub(super) fn reachable_from(
        &self,
        shard: &ShardId,
        owner: &str,
        machines: usize,
    ) -> Vec<&str> {
        let owner_heartbeat = self.heartbeats.get(owner);
        if !owner_heartbeat.is_some_and(|heartbeat| heartbeat.reports_unreachable(shard)) {
            return Vec::new();
        }
        let others = self.heartbeats.values().filter(|h| h.member != owner);
        let mut members = Vec::new();
        let mut misrouted = 0;
        for heartbeat in others {
            if let Some(count) = misrouted_count(heartbeat, shard) {
                members.push(heartbeat.member.as_str());
                misrouted += count as usize;
            }
        }
        if misrouted >= evidence_threshold(machines) {
            members
        } else {
            Vec::new()
        }
    }
}

/// How many workers of a shard the sender of a heartbeat counted as misrouted to it; `None` if
/// none.
fn misrouted_count(heartbeat: &PeerHeartbeat, shard: &ShardId) -> Option<u32> {
    let mut counts = heartbeat.misrouted_workers.iter();
    let misrouted = counts.find(|misrouted| *misrouted.shard == **shard)?;
    Some(misrouted.workers)
}
