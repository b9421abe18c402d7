//! Times of recent moves of shards, by reason.

use super::moves::Moves;
use crate::timing::Timing;
use rushwalk_protocol::ids::ShardId;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Times of the moves that this process planned or committed as leader. Not stored: a new
/// leader starts with an empty history.
#[derive(Default)]
pub(super) struct MoveHistory {
    /// When a shard was last moved because its owner could no longer own shards, or because its
    /// machines reached neither the owner nor another controller.
    moved_from_unusable_owner: HashMap<ShardId, Instant>,
    /// When a pass last committed moves after it found that this shard's machines reached other
    /// controllers, but not its owner. The shard itself need not be among those moved.
    found_reachable_elsewhere: HashMap<ShardId, Instant>,
    /// When a controller was last found cut off from machines that others reached.
    owner_cut_off: HashMap<String, Instant>,
    /// When a controller was last planned to get a shard that had a working owner.
    last_gain: HashMap<String, Instant>,
    /// When a pass last committed only moves for balance, moves away from a slow owner, or first
    /// assignments. A pass does not count if it found a shard whose machines reach other
    /// controllers instead of the owner.
    last_rebalance: Option<Instant>,
}

impl MoveHistory {
    /// Records planned moves before their commit, whose outcome may stay unknown.
    pub(super) fn record_planned(&mut self, moves: &Moves) {
        let now = Instant::now();
        for controller in &moves.gaining {
            self.last_gain.insert(controller.clone(), now);
        }
        for lease in &moves.cut_off {
            self.owner_cut_off.insert(lease.owner.clone(), now);
        }
    }

    /// Records the times of moves after their commit.
    pub(super) fn record_committed(&mut self, moves: Moves) {
        let now = Instant::now();
        if moves.from_unusable_owner.is_empty() && moves.reachable_elsewhere.is_empty() {
            self.last_rebalance = Some(now);
        }
        let replaced = moves
            .from_unusable_owner
            .into_iter()
            .map(|shard| (shard, now));
        self.moved_from_unusable_owner.extend(replaced);
        let reachable = moves
            .reachable_elsewhere
            .into_iter()
            .map(|shard| (shard, now));
        self.found_reachable_elsewhere.extend(reachable);
    }

    /// Whether moves for balance, as [`Self::last_rebalance`] defines them, were committed
    /// within the last `span`.
    pub(super) fn rebalanced_within(&self, span: Duration) -> bool {
        is_recent(self.last_rebalance, span)
    }

    /// Whether a controller was found cut off from its machines within the last `span`.
    pub(super) fn cut_off_within(&self, controller: &str, span: Duration) -> bool {
        is_recent(self.owner_cut_off.get(controller).copied(), span)
    }

    /// Whether a controller was planned to get a shard that had a working owner within the
    /// last `span`.
    pub(super) fn gained_within(&self, controller: &str, span: Duration) -> bool {
        is_recent(self.last_gain.get(controller).copied(), span)
    }

    /// Whether a shard was moved from an owner that was unusable, or its machines were found to
    /// reach other controllers instead of the owner, so recently that the worker leases of its
    /// machines may still be running. During that time the new owner is not considered cut off,
    /// even if it receives nothing from most of the machines. If the previous owner received
    /// nothing either, the machines themselves are cut off, and after another move the next owner
    /// would have to wait again for their leases to expire.
    pub(super) fn moved_or_reachable_elsewhere_recently(
        &self,
        shard: &ShardId,
        timing: &Timing,
    ) -> bool {
        let moved = self.moved_from_unusable_owner.get(shard).copied();
        let found_reachable_elsewhere = self.found_reachable_elsewhere.get(shard).copied();
        let span = lease_expiry_span(timing);
        is_recent(moved, span) || is_recent(found_reachable_elsewhere, span)
    }

    /// Whether a shard's machines were found to reach other controllers, but not its owner, so
    /// recently ([`Self::found_reachable_elsewhere`]) that it must not be moved for that reason
    /// again. A controller that receives the heartbeats can usually reach the machines. But
    /// machines that receive no responses send their heartbeats to all controllers in turn. When
    /// their shard followed them from controller to controller, no owner kept it long enough to
    /// see that the worker leases had expired. If some machines of the shard are unreachable, the
    /// span is therefore the time for which their leases may still be running; otherwise it is a
    /// member lease.
    pub(super) fn found_reachable_elsewhere_recently(
        &self,
        shard: &ShardId,
        has_unreachable: bool,
        timing: &Timing,
    ) -> bool {
        let found = self.found_reachable_elsewhere.get(shard).copied();
        let span = if has_unreachable {
            lease_expiry_span(timing)
        } else {
            timing.member_lease
        };
        is_recent(found, span)
    }
}

/// Time after a move of a shard for which the worker leases of its machines may still be
/// running, as far as the new owner can tell.
fn lease_expiry_span(timing: &Timing) -> Duration {
    timing.worker_lease + timing.lease_validity + timing.unreachable_after
}

fn is_recent(at: Option<Instant>, span: Duration) -> bool {
    at.is_some_and(|at| at.elapsed() < span)
}
