//! Assignment of shards to controllers by the leader.
//!
//! The assignment runs in its own loop, apart from the scheduling rounds. While shards have no
//! owner, their workers repeat their heartbeats every second, and a leader that is busy
//! rejecting them has no time for its rounds. When the assignment depended on the rounds, shards
//! stayed without an owner until all worker leases expired.
//!
//! A pass gathers its inputs, plans moves by the pure function [`plan_shard_moves`], and commits
//! them in one transaction.

mod assignable;
mod candidates;
mod history;
mod inputs;
mod moves;

use self::history::MoveHistory;
use self::inputs::InputGatherer;
use self::moves::Moves;
use super::reachability::ShardReachability;
use crate::context::Context;
use crate::failure_detection::HeartbeatSource;
use crate::leadership::{LeaderVersion, Leadership};
use crate::observability::runtime_lag::RuntimeLag;
use crate::observability::work_profile::{WorkKind, WorkProfile};
use crate::peers::PeerMonitor;
use crate::store::{Replica, WritePriority};
use rushwalk_scheduler::shard_assignment::plan_shard_moves;
use std::sync::Arc;
use tokio::time::sleep;

/// Maximum number of assignment passes per scheduling round.
const PASSES_PER_ROUND: u32 = 4;

/// Components that the assignment of shards depends on.
pub struct ShardAssignerParts {
    /// Settings, timing and identity of this process.
    pub context: Arc<Context>,
    /// Copy of the cluster's state, with members, machines and shard leases.
    pub replica: Arc<Replica>,
    /// Leadership of this process; shards are assigned only while it leads.
    pub leadership: Arc<Leadership>,
    /// Failure detector, with the health and the latest heartbeats of the other controllers.
    pub peers: Arc<PeerMonitor>,
    /// This controller's own data on unreachable shards and misrouted workers.
    pub heartbeats: Arc<HeartbeatSource>,
    /// Lag of this controller's event loop.
    pub runtime_lag: Arc<RuntimeLag>,
    /// Records how long the planning takes.
    pub work_profile: Arc<WorkProfile>,
}

/// Assigns shards while this process leads.
pub struct ShardAssigner {
    parts: ShardAssignerParts,
    history: MoveHistory,
}

impl ShardAssigner {
    /// An assigner with an empty history of moves.
    pub fn new(parts: ShardAssignerParts) -> ShardAssigner {
        ShardAssigner {
            parts,
            history: MoveHistory::default(),
        }
    }

    /// Assigns shards up to four times in each scheduling round while this process leads; never
    /// returns.
    pub async fn run(mut self) {
        let round = self.parts.context.timing.round;
        loop {
            sleep(round / PASSES_PER_ROUND).await;
            let Some(version) = self.parts.leadership.version_for_new_decisions() else {
                continue;
            };
            let Some(moves) = self.plan(version) else {
                continue;
            };
            self.commit(moves).await;
            self.parts.replica.linearizable_read(round).await;
        }
    }

    /// Gathers the inputs, plans the moves, and puts them into a transaction; `None` if no
    /// shard needs to be moved.
    fn plan(&self, version: LeaderVersion) -> Option<Moves> {
        let context = &self.parts.context;
        let _timer = self.parts.work_profile.start(WorkKind::AssignShards);
        let reachability = ShardReachability::collect(context, &self.parts.heartbeats);
        let state = self.parts.replica.state();
        let gatherer = InputGatherer {
            parts: &self.parts,
            history: &self.history,
            state: &state,
            reachability: &reachability,
        };
        let ids = gatherer.assignable_shards();
        let inputs = gatherer.gather(&ids);
        // A move redirects all workers of a shard, so at most one shard per scheduling round is
        // moved for balance.
        let may_rebalance = !self.history.rebalanced_within(context.timing.round);
        let planned = plan_shard_moves(&inputs.candidates, &inputs.statuses, may_rebalance);
        let max_writes = context.settings.site.store.txn_ops;
        Moves::new(&state, version, &inputs, &planned, max_writes)
    }

    /// Records the moves in the history and commits them.
    async fn commit(&mut self, mut moves: Moves) {
        for lease in &moves.cut_off {
            self.parts.peers.record_owner_cut_off(lease);
        }
        self.history.record_planned(&moves);
        let transaction = std::mem::take(&mut moves.transaction);
        let leadership = &self.parts.leadership;
        if leadership
            .commit(transaction, WritePriority::Coordination)
            .await
        {
            self.history.record_committed(moves);
        }
    }
}
