//! Allocates new machines to shards, whose number of machines is limited.
//!
//! A zone's shards are filled one after the other: `<zone>` first, then `<zone>#1` and so on.

use rushwalk_protocol::ids::ShardId;
use rushwalk_state::ClusterState;
use std::collections::{BTreeSet, HashMap};

/// The maximum number of machines in a shard is this divided by the number of controllers.
const SHARD_SIZE_TIMES_CONTROLLERS: usize = 768;

/// Clusters with fewer controllers than this have the same maximum shard size as one with this
/// many.
const MIN_CONTROLLERS: usize = 3;

/// The maximum number of machines in a shard is never lower than this, however many controllers
/// there are: smaller shards would need so many leases that writing them would exceed the store's
/// write limit.
const MIN_SHARD_SIZE: usize = 32;

/// Maximum number of machines in a shard. It is large enough that few leases cover the fleet, and
/// small enough that the machines of a failed controller can be divided among the others. More
/// controllers need more shards to divide, so the maximum decreases as their number grows.
fn max_shard_size(controllers: usize) -> usize {
    (SHARD_SIZE_TIMES_CONTROLLERS / controllers.max(MIN_CONTROLLERS)).max(MIN_SHARD_SIZE)
}

/// Allocates new machines to the shards of their zones.
pub(super) struct ShardAllocator<'a> {
    state: &'a ClusterState,
    controllers: usize,
    /// Number of machines allocated so far, by shard; the cluster state does not include them
    /// yet.
    added: HashMap<ShardId, usize>,
}

impl<'a> ShardAllocator<'a> {
    /// An allocator that has not allocated any machines yet.
    pub(super) fn new(state: &'a ClusterState, controllers: usize) -> ShardAllocator<'a> {
        ShardAllocator {
            state,
            controllers,
            added: HashMap::new(),
        }
    }

    /// Allocates `machines` new machines of a zone to shards that are not full; returns one shard
    /// for each machine.
    pub(super) fn allocate(&mut self, zone: &str, machines: usize) -> Vec<ShardId> {
        let max_size = max_shard_size(self.controllers);
        let mut allocated = Vec::with_capacity(machines);
        let mut index = 0;
        while allocated.len() < machines {
            let shard = shard_of_zone(zone, index);
            let used = self.state.shards.get(&shard).map_or(0, BTreeSet::len);
            let added = self.added.entry(shard.clone()).or_default();
            let free = max_size.saturating_sub(used + *added);
            let count = free.min(machines - allocated.len());
            *added += count;
            allocated.extend(std::iter::repeat_n(shard, count));
            index += 1;
        }
        allocated
    }
}

fn shard_of_zone(zone: &str, index: usize) -> ShardId {
    match index {
        0 => zone.into(),
        index => format!("{zone}#{index}").into(),
    }
}
