//! When shards were moved, and why.

use super::moves::Moves;
use crate::timing::Timing;
use rushwalk_protocol::ids::ShardId;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// The moves of the leader's time so far. A new leader starts with nothing.
#[derive(Default)]
pub(super) struct MoveHistory {
    /// When a shard was last taken from an owner that was cut off, or had none.
    moved_for_need: HashMap<ShardId, Instant>,
    /// When a shard was last taken from an owner that its machines don't reach.
    moved_to_reachable: HashMap<ShardId, Instant>,
    /// When a controller was last found cut off from its machines.
    owner_cut_off: HashMap<String, Instant>,
    /// When a shard was last assigned to a controller beyond what had no owner.
    assigned_to: HashMap<String, Instant>,
    /// When a shard was last moved only for being better off elsewhere.
    rebalanced: Option<Instant>,
}

impl MoveHistory {
    /// Notes what the leader found and planned, whether or not it is committed.
    pub(super) fn record_planned(&mut self, moves: &Moves) {
        let now = Instant::now();
        for controller in &moves.gaining {
            self.assigned_to.insert(controller.clone(), now);
        }
        for lease in &moves.cut_off {
            self.owner_cut_off.insert(lease.owner.clone(), now);
        }
    }

    /// Notes that moves were committed.
    pub(super) fn record_committed(&mut self, moves: Moves) {
        let now = Instant::now();
        if moves.needed.is_empty() && moves.reachable_elsewhere.is_empty() {
            self.rebalanced = Some(now);
        }
        let needed = moves.needed.into_iter().map(|shard| (shard, now));
        self.moved_for_need.extend(needed);
        let reachable = moves
            .reachable_elsewhere
            .into_iter()
            .map(|shard| (shard, now));
        self.moved_to_reachable.extend(reachable);
    }

    /// Whether a shard was moved for balance within a span.
    pub(super) fn rebalanced_within(&self, span: Duration) -> bool {
        is_recent(self.rebalanced, span)
    }

    /// Whether a controller was found cut off from its machines within a span.
    pub(super) fn cut_off_within(&self, controller: &str, span: Duration) -> bool {
        is_recent(self.owner_cut_off.get(controller).copied(), span)
    }

    /// Whether a controller got a shard that had an owner within a span.
    pub(super) fn assigned_within(&self, controller: &str, span: Duration) -> bool {
        is_recent(self.assigned_to.get(controller).copied(), span)
    }

    /// An owner that receives nothing from most of its machines is cut off from them. Only
    /// once while their leases last: if the next owner receives nothing either, the machines
    /// are cut off, and each new owner would have to wait anew for their leases to expire,
    /// which takes so long.
    pub(super) fn moved_recently(&self, shard: &ShardId, timing: &Timing) -> bool {
        let moved = self.moved_for_need.get(shard).copied();
        let moved_to_reachable = self.moved_to_reachable.get(shard).copied();
        let span = lease_expiry_span(timing);
        is_recent(moved, span) || is_recent(moved_to_reachable, span)
    }

    /// That machines turn up at another controller shows that they can be reached; but not
    /// if they turn up at all controllers in turn. Those receive nothing from anybody, and
    /// with a shard that went round, its tasks' lease expiry was not known for as long as
    /// that lasted.
    pub(super) fn moved_to_reachable_recently(
        &self,
        shard: &ShardId,
        has_unreachable: bool,
        timing: &Timing,
    ) -> bool {
        let moved = self.moved_to_reachable.get(shard).copied();
        let span = if has_unreachable {
            lease_expiry_span(timing)
        } else {
            timing.member_lease
        };
        is_recent(moved, span)
    }
}

/// How long after a move of a shard its machines' worker leases may still run.
fn lease_expiry_span(timing: &Timing) -> Duration {
    timing.worker_lease + timing.lease_validity + timing.unreachable_after
}

fn is_recent(at: Option<Instant>, span: Duration) -> bool {
    at.is_some_and(|at| at.elapsed() < span)
}
