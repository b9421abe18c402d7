//! Allocation of new machines to shards.

use rushwalk_protocol::ids::ShardId;
use rushwalk_state::ClusterState;
use std::collections::{BTreeSet, HashMap};

/// Machines of all shards that one controller out of three should own.
const MACHINES_PER_CONTROLLERS: usize = 768;

/// The smallest limit of a shard's machines.
const MIN_SHARD_SIZE: usize = 32;

/// The most machines of a shard: so many that few leases cover the fleet, so few that a
/// failed controller's machines can be shared out, and that more controllers have more
/// shards to share.
fn max_shard_size(controllers: usize) -> usize {
    (MACHINES_PER_CONTROLLERS / controllers.max(3)).max(MIN_SHARD_SIZE)
}

/// Gives new machines to the shards of their zones.
pub(super) struct ShardAllocator<'a> {
    state: &'a ClusterState,
    controllers: usize,
    /// Machines given so far, by shard.
    added: HashMap<ShardId, usize>,
}

impl<'a> ShardAllocator<'a> {
    /// An allocator that has given none.
    pub(super) fn new(state: &'a ClusterState, controllers: usize) -> ShardAllocator<'a> {
        ShardAllocator {
            state,
            controllers,
            added: HashMap::new(),
        }
    }

    /// Shards with room for so many machines of a zone, one for each.
    pub(super) fn allocate(&mut self, zone: &str, machines: usize) -> Vec<ShardId> {
        let max_size = max_shard_size(self.controllers);
        // As many shards as there are controllers share a large zone evenly.
        let max_at_once = max_size / self.controllers.min(3);
        let mut allocated = Vec::with_capacity(machines);
        let mut number = 0;
        while allocated.len() < machines {
            let shard = shard_of_zone(zone, number);
            let used = self.state.shards.get(&shard).map_or(0, BTreeSet::len);
            let added = self.added.entry(shard.clone()).or_default();
            let room = max_size.saturating_sub(used + *added);
            let take = room.min(machines - allocated.len()).min(max_at_once);
            *added += take;
            allocated.extend(std::iter::repeat_n(shard, take));
            if room <= take {
                number += 1;
            }
        }
        allocated
    }
}

fn shard_of_zone(zone: &str, number: usize) -> ShardId {
    match number {
        0 => zone.into(),
        number => format!("{zone}#{number}").into(),
    }
}
