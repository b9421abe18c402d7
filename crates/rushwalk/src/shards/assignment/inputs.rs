//! Inputs of the shard assignment, gathered for one pass.

use super::ShardAssignerParts;
use super::history::MoveHistory;
use crate::shards::reachability::ShardReachability;
use rushwalk_protocol::ids::ShardId;
use rushwalk_scheduler::shard_assignment::{OwnerCandidate, ShardStatus};
use rushwalk_state::ClusterState;
use rushwalk_state::records::ShardLease;
use std::collections::BTreeSet;

/// The inputs of one pass.
pub(super) struct Inputs<'a> {
    /// The controllers that may own shards, sorted by name.
    pub(super) candidates: Vec<OwnerCandidate<'a>>,
    /// The shards that may be assigned now.
    pub(super) ids: &'a [ShardId],
    /// The status of each shard, in the order of `ids`.
    pub(super) statuses: Vec<ShardStatus<'a>>,
    /// Shards whose owner receives no heartbeats from their machines, while other controllers
    /// do.
    pub(super) reachable_elsewhere: Vec<ShardId>,
}

/// Sources of the inputs of one pass.
pub(super) struct InputGatherer<'a> {
    pub(super) parts: &'a ShardAssignerParts,
    pub(super) history: &'a MoveHistory,
    pub(super) state: &'a ClusterState,
    pub(super) reachability: &'a ShardReachability,
}

impl<'a> InputGatherer<'a> {
    /// The inputs for the shards that may be assigned now.
    pub(super) fn gather(&self, ids: &'a [ShardId]) -> Inputs<'a> {
        let members = self.eligible_members();
        let candidate_names: Vec<&str> = members.iter().map(|(name, _)| name.as_str()).collect();
        let mut inputs = Inputs {
            candidates: self.candidates(&members),
            ids,
            statuses: Vec::with_capacity(ids.len()),
            reachable_elsewhere: Vec::new(),
        };
        for id in ids {
            let reachable_from = self.reachable_from(id);
            if !reachable_from.is_empty() {
                inputs.reachable_elsewhere.push(id.clone());
            }
            let status = self.status(&candidate_names, id, &reachable_from);
            inputs.statuses.push(status);
        }
        inputs
    }

    /// The controllers that a shard's machines reach instead of its owner; empty if the owner is
    /// not registered, or the shard was recently found to be reached elsewhere.
    fn reachable_from(&self, id: &ShardId) -> Vec<&'a str> {
        let counts = self.state.shard_counts(id);
        let Some(lease) = self.valid_lease(id) else {
            return Vec::new();
        };
        let timing = &self.parts.context.timing;
        let has_unreachable = counts.unreachable > 0;
        if self
            .history
            .found_reachable_elsewhere_recently(id, has_unreachable, timing)
        {
            return Vec::new();
        }
        let machines = counts.ready.saturating_sub(counts.unreachable);
        self.reachability.reachable_from(id, &lease.owner, machines)
    }

    /// The current status of a shard. `candidate_names` is sorted, in the order of the
    /// candidates.
    fn status(
        &self,
        candidate_names: &[&str],
        id: &'a ShardId,
        reachable_from: &[&str],
    ) -> ShardStatus<'a> {
        let lease = self.valid_lease(id);
        let counts = self.state.shard_counts(id);
        let timing = &self.parts.context.timing;
        let moved_or_elsewhere = self
            .history
            .moved_or_reachable_elsewhere_recently(id, timing);
        let looks_cut_off = lease.is_some() && !moved_or_elsewhere && counts.mostly_unreachable();
        let position = |name: &str| candidate_names.binary_search(&name).ok();
        ShardStatus {
            zone: id.zone(),
            machines: self.state.shards.get(id).map_or(0, BTreeSet::len),
            owner: lease.and_then(|lease| position(&lease.owner)),
            has_unreachable: counts.unreachable > 0,
            owner_cut_off: !reachable_from.is_empty() || looks_cut_off,
            reachable_from: reachable_from
                .iter()
                .filter_map(|name| position(name))
                .collect(),
        }
    }

    /// A shard's lease; `None` if the shard has no lease or the process that owns it is not
    /// registered.
    fn valid_lease(&self, shard: &ShardId) -> Option<&'a ShardLease> {
        let lease = &self.state.shard_leases.get(shard)?.value;
        self.state.is_owner_registered(lease).then_some(lease)
    }
}
