//! Moves that improve an assignment in which every shard has a working owner.

use super::{HOME_LOAD_LIMIT, OVERLOAD_LIMIT, ShardMove, ShardPlanner};
use std::cmp::Reverse;

impl ShardPlanner<'_> {
    /// One shard that is better off elsewhere: away from a controller with too much load,
    /// or back to its own zone where there is room.
    pub(super) fn rebalance(&self) -> Option<ShardMove> {
        self.relieve_slow()
            .or_else(|| self.relieve_overloaded())
            .or_else(|| self.return_to_zone())
    }

    /// Moves a shard away from a slow controller, even one with unreachable machines: what
    /// a slow controller can't answer seems unreachable to it.
    fn relieve_slow(&self) -> Option<ShardMove> {
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

    /// Moves a shard away from the most loaded controller, if that is overloaded; of its
    /// shards preferably one of another zone.
    fn relieve_overloaded(&self) -> Option<ShardMove> {
        let moves = self.largest_first.iter().filter_map(|&shard| {
            let from = self.shards[shard].owner?;
            let to = self.relief_for(shard, from)?;
            let is_foreign = self.candidates[from].zone != self.shards[shard].zone;
            let rank = self.load[from] * 2 + usize::from(is_foreign);
            Some((rank, ShardMove { shard, to }))
        });
        // The first of equals.
        let best = moves.min_by_key(|(rank, _)| Reverse(*rank));
        best.map(|(_, shard_move)| shard_move)
    }

    /// The controller that should take a shard from the overloaded `from`.
    fn relief_for(&self, shard: usize, from: usize) -> Option<usize> {
        let shard = &self.shards[shard];
        let is_movable = !shard.has_unreachable && shard.machines > 0;
        let is_overloaded = self.load[from] as f64 > OVERLOAD_LIMIT * self.mean_load;
        if !is_movable || !is_overloaded {
            return None;
        }
        let may_take = |candidate| candidate != from && self.may_receive_moves(candidate);
        let to = self.least_loaded(may_take)?;
        // It must end well below the load of `from`, or the shard would be moved back.
        let load = self.load[to] + shard.machines;
        (load + shard.machines / 2 < self.load[from]).then_some(to)
    }

    /// Moves a shard back to its own zone, if a controller there has room for it.
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
            let fits = self.load_with(to, shard) <= HOME_LOAD_LIMIT * self.mean_load;
            let has_no_shards = self.load[to] <= self.candidates[to].extra_load;
            (fits || has_no_shards).then_some(ShardMove { shard: index, to })
        })
    }

    /// Whether a candidate may get a shard that has a working owner.
    fn may_receive_moves(&self, candidate: usize) -> bool {
        let candidate = &self.candidates[candidate];
        candidate.eligible_for_moves && candidate.trusted
    }
}
