//! Moves of shards that improve an assignment in which every shard has a working owner.

use super::{OVERLOAD_LIMIT, SAME_ZONE_LOAD_LIMIT, ShardMove, ShardPlanner};
use std::cmp::Reverse;

impl ShardPlanner<'_> {
    /// Plans the move of one shard: away from a slow controller, else away from an overloaded
    /// one, else to a controller with room in the shard's zone. `None` if there is no such
    /// move.
    pub(super) fn rebalance(&self) -> Option<ShardMove> {
        self.move_from_slow()
            .or_else(|| self.move_from_overloaded())
            .or_else(|| self.return_to_zone())
    }

    /// Plans to move a shard away from a slow controller. Shards with unreachable machines are
    /// moved too, because machines whose heartbeats a slow controller processes too late seem
    /// unreachable to it.
    fn move_from_slow(&self) -> Option<ShardMove> {
        self.largest_first.iter().find_map(|&index| {
            let shard = &self.shards[index];
            let from = shard.owner.filter(|owner| self.candidates[*owner].slow)?;
            let to = self.least_loaded(|candidate| {
                candidate != from
                    && self.may_receive_moves(candidate)
                    && self.candidates[candidate].has_headroom
            })?;
            (shard.machines > 0).then_some(ShardMove { shard: index, to })
        })
    }

    /// Plans to move a shard away from the most loaded of the overloaded controllers. Shards
    /// whose machines are in another zone than that controller are preferred.
    fn move_from_overloaded(&self) -> Option<ShardMove> {
        let moves = self.largest_first.iter().filter_map(|&shard| {
            let from = self.shards[shard].owner?;
            let to = self.new_owner_for_relief(shard, from)?;
            let is_other_zone = self.candidates[from].zone != self.shards[shard].zone;
            let rank = self.load[from] * 2 + usize::from(is_other_zone);
            Some((rank, ShardMove { shard, to }))
        });
        // `min_by_key` returns the first of several moves with the same rank, `max_by_key`
        // would return the last.
        let best = moves.min_by_key(|(rank, _)| Reverse(*rank));
        best.map(|(_, shard_move)| shard_move)
    }

    /// The candidate that should take a shard from `from`; `None` if `from` is not overloaded
    /// or the shard can't be moved.
    fn new_owner_for_relief(&self, shard: usize, from: usize) -> Option<usize> {
        let shard = &self.shards[shard];
        let is_movable = !shard.has_unreachable && shard.machines > 0;
        let is_overloaded = self.load[from] as f64 > OVERLOAD_LIMIT * self.mean_load;
        if !is_movable || !is_overloaded {
            return None;
        }
        let may_take = |candidate| candidate != from && self.may_receive_moves(candidate);
        let to = self.least_loaded(may_take)?;
        // The new owner's load must stay well below that of `from`, because otherwise the shard
        // would soon be moved back.
        let load = self.load[to] + shard.machines;
        (load + shard.machines / 2 < self.load[from]).then_some(to)
    }

    /// Plans to move a shard to a controller in the shard's zone, if one has room for it or
    /// owns no shards.
    fn return_to_zone(&self) -> Option<ShardMove> {
        self.largest_first.iter().find_map(|&index| {
            let shard = &self.shards[index];
            let owner = &self.candidates[shard.owner?];
            if owner.zone == shard.zone || shard.has_unreachable {
                return None;
            }
            let to = self.least_loaded(|candidate| {
                self.candidates[candidate].zone == shard.zone && self.may_receive_moves(candidate)
            })?;
            let fits = self.load_with(to, shard) <= SAME_ZONE_LOAD_LIMIT * self.mean_load;
            let has_no_shards = self.load[to] <= self.candidates[to].extra_load;
            (fits || has_no_shards).then_some(ShardMove { shard: index, to })
        })
    }

    /// Whether a candidate may get a shard whose owner works.
    fn may_receive_moves(&self, candidate: usize) -> bool {
        let candidate = &self.candidates[candidate];
        candidate.eligible_for_moves && candidate.trusted
    }
}
