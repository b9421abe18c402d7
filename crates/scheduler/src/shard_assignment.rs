//! Which controller each shard of machines is assigned to.
//!
//! A shard is best owned by a controller in its own zone, which reaches it during a network
//! partition between zones. But a controller has capacity for a limited number of workers,
//! so a zone with more machines than its share has some of its shards assigned to
//! controllers elsewhere, and several controllers of a zone share its shards.

mod rebalance;
#[cfg(test)]
mod tests;

use std::cmp::Reverse;

/// A controller that may own shards.
#[derive(Debug, Clone)]
pub struct OwnerCandidate<'a> {
    /// Name of the controller.
    pub name: &'a str,
    /// Zone that it runs in.
    pub zone: &'a str,
    /// Whether it has been registered for long enough to be given shards that have a
    /// working owner: one that has just come back may fail again.
    pub eligible_for_moves: bool,
    /// Load beside that of its shards, expressed in machines.
    pub extra_load: usize,
    /// Neither suspected nor too slow. One that isn't gets no new shard while others are
    /// trusted.
    pub trusted: bool,
    /// Too slow for its load: its shards are moved, one at a time, to others that have
    /// headroom.
    pub slow: bool,
    /// Whether it could serve more machines.
    pub has_headroom: bool,
}

/// A shard and how its owner reaches it.
#[derive(Debug, Clone)]
pub struct ShardStatus<'a> {
    /// Zone of its machines.
    pub zone: &'a str,
    /// Number of its machines.
    pub machines: usize,
    /// Index of its owner among the candidates; `None` if that is gone.
    pub owner: Option<usize>,
    /// Some of its machines are unreachable: a new owner would have to wait for their
    /// leases to run out once more, so it is moved only if it must be.
    pub has_unreachable: bool,
    /// Its owner receives heartbeats from few of its machines, for the first time within a
    /// worker lease: another controller may reach them.
    pub owner_cut_off: bool,
    /// Indices of the candidates to which its machines sent heartbeats.
    pub reachable_from: Vec<usize>,
}

/// A shard that gets a new owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardMove {
    /// Index of the shard.
    pub shard: usize,
    /// Index of its new owner among the candidates.
    pub to: usize,
}

/// A shard goes to its own zone if that leaves the controller at most this many times the
/// mean load.
const HOME_LOAD_LIMIT: f64 = 1.25;
/// A controller with more than this many times the mean load is overloaded.
const OVERLOAD_LIMIT: f64 = 1.5;

/// Plans which shards get a new owner: those without one, those whose owner is cut off from
/// their machines and, if there are none and `rebalance` is set, one that is better off
/// elsewhere.
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

/// The assignment as it stands, with the moves planned so far.
struct ShardPlanner<'a> {
    candidates: &'a [OwnerCandidate<'a>],
    shards: &'a [ShardStatus<'a>],
    /// Of each candidate, in machines.
    load: Vec<usize>,
    mean_load: f64,
    any_trusted: bool,
    /// Indices of the shards: the small ones come last and fill the gaps.
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

    /// Assigns the shards that need a new owner.
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

    /// The new owner of a shard whose `owner` is cut off from it: preferably one
    /// that is known to reach it.
    fn replacement_owner(&self, shard: &ShardStatus, owner: usize) -> Option<usize> {
        let is_other = |candidate: usize| candidate != owner && self.may_be_assigned(candidate);
        let reaches = |candidate| is_other(candidate) && shard.reachable_from.contains(&candidate);
        self.least_loaded(reaches)
            .or_else(|| self.least_loaded(is_other))
    }

    /// The owner of a shard that has none: preferably one in its zone.
    fn new_owner(&self, shard: &ShardStatus) -> Option<usize> {
        // A small site has one shard per zone: it is larger than a share, and still best
        // owned in its zone.
        let is_home = |candidate: usize| {
            let fits = self.load_with(candidate, shard) <= HOME_LOAD_LIMIT * self.mean_load;
            self.may_be_assigned(candidate)
                && self.candidates[candidate].zone == shard.zone
                && (fits || self.load[candidate] == 0)
        };
        // Not everything to the last trusted one: under an overload of all, those that were
        // slow to answer were left with nothing, and the one that was not with too much.
        let is_fitting = |candidate: usize| {
            let fits = self.load_with(candidate, shard) <= OVERLOAD_LIMIT * self.mean_load;
            self.may_be_assigned(candidate) && fits
        };
        self.least_loaded(is_home)
            .or_else(|| self.least_loaded(is_fitting))
            .or_else(|| self.least_loaded(|_| true))
    }

    /// Whether a candidate may get a shard that needs an owner.
    fn may_be_assigned(&self, candidate: usize) -> bool {
        self.candidates[candidate].trusted || !self.any_trusted
    }

    /// A candidate's load if it owned a shard too.
    fn load_with(&self, candidate: usize, shard: &ShardStatus) -> f64 {
        (self.load[candidate] + shard.machines) as f64
    }

    /// The least loaded of the candidates that meet a condition; the first of equals.
    fn least_loaded(&self, condition: impl Fn(usize) -> bool) -> Option<usize> {
        let matching = (0..self.load.len()).filter(|candidate| condition(*candidate));
        matching.min_by_key(|candidate| self.load[*candidate])
    }
}
