//! Planned moves of shards as a transaction, with the reason of each.

use super::inputs::Inputs;
use crate::leadership::LeaderVersion;
use rushwalk_protocol::ids::ShardId;
use rushwalk_protocol::store::Transaction;
use rushwalk_scheduler::shard_assignment::{OwnerCandidate, ShardMove, ShardStatus};
use rushwalk_state::records::ShardLease;
use rushwalk_state::{ClusterState, keys};

/// Moves that are committed together, grouped by reason for the [`MoveHistory`].
///
/// [`MoveHistory`]: super::history::MoveHistory
pub(super) struct Moves {
    /// Writes the new shard leases, on the condition that this process still leads and the old
    /// leases are unchanged.
    pub(super) transaction: Transaction,
    /// Shards that were leased to an owner that can no longer own shards, or that is cut off
    /// from machines which reach no other controller.
    pub(super) from_unusable_owner: Vec<ShardId>,
    /// Shards whose machines reach other controllers instead of the owner, whether or not a move
    /// was planned for them.
    pub(super) reachable_elsewhere: Vec<ShardId>,
    /// Controllers that get a shard from a working owner.
    pub(super) gaining: Vec<String>,
    /// Previous leases of moved shards whose owners are cut off from machines which others
    /// reach.
    pub(super) cut_off: Vec<ShardLease>,
}

impl Moves {
    /// Puts planned moves into a transaction of at most `max_writes` writes; `None` if it would
    /// have no writes.
    pub(super) fn new(
        state: &ClusterState,
        version: LeaderVersion,
        inputs: &Inputs,
        planned: &[ShardMove],
        max_writes: usize,
    ) -> Option<Moves> {
        let mut moves = Moves {
            transaction: version.transaction(),
            from_unusable_owner: Vec::new(),
            reachable_elsewhere: inputs.reachable_elsewhere.clone(),
            gaining: Vec::new(),
            cut_off: Vec::new(),
        };
        for shard_move in planned {
            if moves.transaction.writes.len() >= max_writes {
                break;
            }
            moves.add(state, inputs, shard_move);
        }
        (!moves.transaction.writes.is_empty()).then_some(moves)
    }

    /// Adds a move, unless the new owner is no longer registered.
    fn add(&mut self, state: &ClusterState, inputs: &Inputs, shard_move: &ShardMove) {
        let to = inputs.candidates[shard_move.to].name;
        let Some(member) = state.members.get(to) else {
            return;
        };
        self.record_reason(state, inputs, shard_move.shard, to);
        let lease = ShardLease {
            owner: to.into(),
            incarnation: member.incarnation,
        };
        let key = keys::shard_lease(&inputs.ids[shard_move.shard]);
        self.transaction = std::mem::take(&mut self.transaction)
            .expect_version(&key, state.key_version(&key))
            .put(&key, &lease);
    }

    /// Logs and records why a shard is assigned to a controller.
    fn record_reason(&mut self, state: &ClusterState, inputs: &Inputs, shard: usize, to: &str) {
        let id = &inputs.ids[shard];
        let status = &inputs.statuses[shard];
        tracing::info!(
            shard = &**id,
            controller = to,
            machines = status.machines,
            reason = MoveReason::of(status, &inputs.candidates).as_str(),
            "shard assigned"
        );
        let previous = state.shard_leases.get(id);
        let is_reachable_elsewhere = inputs.reachable_elsewhere.contains(id);
        let is_owner_unusable =
            status.owner_cut_off && !is_reachable_elsewhere || status.owner.is_none();
        if is_owner_unusable && previous.is_some() {
            self.from_unusable_owner.push(id.clone());
        }
        if status.owner.is_some() && !status.owner_cut_off {
            self.gaining.push(to.into());
        }
        if status.owner_cut_off
            && is_reachable_elsewhere
            && let Some(previous) = previous
        {
            self.cut_off.push(previous.value.clone());
        }
    }
}

/// Why a shard gets a new owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MoveReason {
    NoOwner,
    ReachableElsewhere,
    OwnerCutOff,
    OwnerTooSlow,
    Balance,
}

impl MoveReason {
    fn of(shard: &ShardStatus, candidates: &[OwnerCandidate]) -> MoveReason {
        match shard.owner {
            None => MoveReason::NoOwner,
            Some(_) if !shard.reachable_from.is_empty() => MoveReason::ReachableElsewhere,
            Some(_) if shard.owner_cut_off => MoveReason::OwnerCutOff,
            Some(owner) if candidates[owner].slow => MoveReason::OwnerTooSlow,
            Some(_) => MoveReason::Balance,
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            MoveReason::NoOwner => "it has no owner",
            MoveReason::ReachableElsewhere => "its machines reach other controllers",
            MoveReason::OwnerCutOff => "its machines are unreachable",
            MoveReason::OwnerTooSlow => "its owner is too slow",
            MoveReason::Balance => "balance",
        }
    }
}
