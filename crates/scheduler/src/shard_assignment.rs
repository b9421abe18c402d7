//! Assignment of shards (groups of machines) to the controllers that own them.
//!
//! A shard is preferably owned by a controller in its own zone, which can still reach the
//! machines during a network partition between zones. A controller can serve only a limited
//! number of workers, so the controllers of one zone share its shards. If a zone has more
//! machines than its controllers can serve, some of its shards are assigned to controllers in
//! other zones.

mod rebalance;
#[cfg(test)]
mod tests;

use std::cmp::Reverse;

/// A controller that may own shards.
#[derive(Debug, Clone)]
pub struct OwnerCandidate<'a> {
    /// Name of the controller.
    pub name: &'a str,
    /// Zone in which the controller runs.
    pub zone: &'a str,
    /// Whether the controller may receive shards that have a working owner. False for some time
    /// after it registered, because a controller that has just restarted may fail again.
    pub eligible_for_moves: bool,
    /// Load of the controller besides its shards, as an equivalent number of machines.
    pub extra_load: usize,
    /// Whether the controller is neither suspected to have failed nor too slow. While any
    /// candidate is trusted, an untrusted one gets a shard only if no trusted one has room
    /// for it.
    pub trusted: bool,
    /// Whether the controller is too slow for its load. Its shards are then moved, one at a
    /// time, to controllers with headroom.
    pub slow: bool,
    /// Whether the controller has spare capacity for more machines.
    pub has_headroom: bool,
}

/// The state of a shard, as far as it matters for the assignment.
#[derive(Debug, Clone)]
pub struct ShardStatus<'a> {
    /// Zone of the shard's machines.
    pub zone: &'a str,
    /// Number of the shard's machines.
    pub machines: usize,
    /// Index of the owner among the candidates; `None` if the shard has no owner or the owner
    /// is not a candidate.
    pub owner: Option<usize>,
    /// Whether some of the machines are unreachable for the owner. Such a shard is moved only
    /// if its owner is gone, cut off or slow, not for balance or to return it to its zone: the
    /// new owner would have to wait again for the leases of those machines to expire.
    pub has_unreachable: bool,
    /// Whether the owner is cut off from the machines and another controller may reach them:
    /// either they sent heartbeats to other controllers, or most of them are unreachable for
    /// the owner. False if the shard was moved for this reason so recently that worker leases
    /// from before the move may still be valid.
    pub owner_cut_off: bool,
    /// Indices of the candidates, except the owner, to which the machines sent heartbeats.
    pub reachable_from: Vec<usize>,
}

/// A shard and its new owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardMove {
    /// Index of the shard.
    pub shard: usize,
    /// Index of its new owner among the candidates.
    pub to: usize,
}

/// A shard is assigned to a controller in its own zone if the load of that controller is then
/// at most this many times the mean load.
const SAME_ZONE_LOAD_LIMIT: f64 = 1.25;
/// A controller whose load is more than this many times the mean load is overloaded.
const OVERLOAD_LIMIT: f64 = 1.5;

/// Plans which shards get a new owner: all shards without an owner and all whose owner is cut
/// off from their machines. If no shard needs one and `rebalance` is set, at most one shard is
/// moved to a better owner.
pub fn plan_shard_moves(
    candidates: &[OwnerCandidate],
    shards: &[ShardStatus],
    rebalance: bool,
) -> Vec<ShardMove> {
    if candidates.is_empty() {
        return Vec::new();
    }
    let mut planner = ShardPlanner::new(candidates, shards);
    let mut moves = planner.assign_required();
    if moves.is_empty() && rebalance {
        moves.extend(planner.rebalance());
    }
    moves
}

/// The current assignment, with the loads that result from the moves planned so far.
struct ShardPlanner<'a> {
    candidates: &'a [OwnerCandidate<'a>],
    shards: &'a [ShardStatus<'a>],
    /// Load of each candidate, in machines.
    load: Vec<usize>,
    /// Mean load of the candidates if every shard had an owner, in machines.
    mean_load: f64,
    any_trusted: bool,
    /// Indices of the shards, those with the most machines first, so that small shards are
    /// assigned last and even out the loads.
    largest_first: Vec<usize>,
}

impl<'a> ShardPlanner<'a> {
    fn new(candidates: &'a [OwnerCandidate<'a>], shards: &'a [ShardStatus<'a>]) -> Self {
        let mut load: Vec<usize> = candidates.iter().map(|c| c.extra_load).collect();
        for shard in shards {
            if let Some(owner) = shard.owner {
                load[owner] += shard.machines;
            }
        }
        let machines: usize = shards.iter().map(|shard| shard.machines).sum();
        let extra_load: usize = candidates.iter().map(|c| c.extra_load).sum();
        let mut largest_first: Vec<usize> = (0..shards.len()).collect();
        largest_first.sort_by_key(|index| (Reverse(shards[*index].machines), *index));
        ShardPlanner {
            candidates,
            shards,
            load,
            mean_load: (machines + extra_load) as f64 / candidates.len() as f64,
            any_trusted: candidates.iter().any(|c| c.trusted),
            largest_first,
        }
    }

    /// Plans moves for the shards without an owner or with an owner that is cut off.
    fn assign_required(&mut self) -> Vec<ShardMove> {
        let mut moves = Vec::new();
        for index in self.largest_first.clone() {
            let shard = &self.shards[index];
            let to = match shard.owner {
                Some(owner) if shard.owner_cut_off => self.replacement_owner(shard, owner),
                Some(_) => None,
                None => self.new_owner(shard),
            };
            let Some(to) = to else { continue };
            if let Some(owner) = shard.owner {
                self.load[owner] -= shard.machines;
            }
            self.load[to] += shard.machines;
            moves.push(ShardMove { shard: index, to });
        }
        moves
    }

    /// The new owner of a shard whose `owner` is cut off from it, preferably a candidate that
    /// is known to reach its machines. `None` if there is no other candidate, or only untrusted
    /// ones while the owner is trusted.
    fn replacement_owner(&self, shard: &ShardStatus, owner: usize) -> Option<usize> {
        let is_other = |candidate: usize| candidate != owner && self.may_be_assigned(candidate);
        let reaches = |candidate| is_other(candidate) && shard.reachable_from.contains(&candidate);
        self.least_loaded(reaches)
            .or_else(|| self.least_loaded(is_other))
    }

    /// The new owner of a shard without an owner: the least loaded candidate with room for it
    /// in the shard's zone, else in any zone, else the least loaded of all, trusted or not.
    fn new_owner(&self, shard: &ShardStatus) -> Option<usize> {
        // In a small cluster a zone has a single shard, which may exceed the load limit. It is
        // still assigned to a controller of its zone if that has no other load.
        let is_same_zone = |candidate: usize| {
            let fits = self.load_with(candidate, shard) <= SAME_ZONE_LOAD_LIMIT * self.mean_load;
            self.may_be_assigned(candidate)
                && self.candidates[candidate].zone == shard.zone
                && (fits || self.load[candidate] == 0)
        };
        // A trusted candidate must not become overloaded here, even if it is the only trusted
        // one. When all controllers were overloaded, those that answered slowly lost all their
        // shards and the only trusted one got too many.
        let has_room = |candidate: usize| {
            let fits = self.load_with(candidate, shard) <= OVERLOAD_LIMIT * self.mean_load;
            self.may_be_assigned(candidate) && fits
        };
        self.least_loaded(is_same_zone)
            .or_else(|| self.least_loaded(has_room))
            .or_else(|| self.least_loaded(|_| true))
    }

    /// Whether a candidate may get a shard that needs a new owner: it is trusted, or no
    /// candidate is.
    fn may_be_assigned(&self, candidate: usize) -> bool {
        self.candidates[candidate].trusted || !self.any_trusted
    }

    /// The load of a candidate, in machines, if it owned a shard in addition.
    fn load_with(&self, candidate: usize, shard: &ShardStatus) -> f64 {
        (self.load[candidate] + shard.machines) as f64
    }

    /// The least loaded of the candidates that meet a condition, the first one if several have
    /// the same load; `None` if no candidate meets it.
    fn least_loaded(&self, condition: impl Fn(usize) -> bool) -> Option<usize> {
        let matching = (0..self.load.len()).filter(|candidate| condition(*candidate));
        matching.min_by_key(|candidate| self.load[*candidate])
    }
}
