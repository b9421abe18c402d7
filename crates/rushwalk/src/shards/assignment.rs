//! The leader assigns shards to controllers.
//!
//! This has a loop of its own beside the scheduling rounds: while shards have no owner
//! their workers ask again every second, and a controller that is busy rejecting them finds
//! no time for its rounds. That once left shards without an owner until all worker leases
//! expired.
//!
//! A pass gathers its inputs, plans moves by
//! [`plan_shard_moves`](rushwalk_scheduler::shard_assignment::plan_shard_moves), which is
//! pure, and commits them in one transaction.

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

/// Passes in each scheduling round.
const PASSES_PER_ROUND: u32 = 4;

/// The parts that the assignment uses.
pub struct ShardAssignerParts {
    /// This process's context.
    pub context: Arc<Context>,
    /// Shows members, machines and leases.
    pub replica: Arc<Replica>,
    /// Only the leader assigns.
    pub leadership: Arc<Leadership>,
    /// Shows who has failed.
    pub peers: Arc<PeerMonitor>,
    /// Shows which controller receives the heartbeats of which machines.
    pub heartbeats: Arc<HeartbeatSource>,
    /// Shows whether this controller keeps up.
    pub runtime_lag: Arc<RuntimeLag>,
    /// Where the time goes.
    pub work_profile: Arc<WorkProfile>,
}

/// Assigns shards while this process leads.
pub struct ShardAssigner {
    parts: ShardAssignerParts,
    history: MoveHistory,
}

impl ShardAssigner {
    /// An assigner that has moved nothing.
    pub fn new(parts: ShardAssignerParts) -> ShardAssigner {
        ShardAssigner {
            parts,
            history: MoveHistory::default(),
        }
    }

    /// Assigns shards a few times in each round, for good.
    pub async fn run(mut self) {
        let round = self.parts.context.timing.round;
        loop {
            sleep(round / PASSES_PER_ROUND).await;
            let Some(version) = self.parts.leadership.version_to_act() else {
                continue;
            };
            let Some(moves) = self.plan(version) else {
                continue;
            };
            self.commit(moves).await;
            self.parts.replica.linearizable_read(round).await;
        }
    }

    /// Gathers the inputs, plans the moves, and puts them into a transaction; `None` if
    /// nothing is to be moved.
    fn plan(&self, version: LeaderVersion) -> Option<Moves> {
        let context = &self.parts.context;
        let _timer = self.parts.work_profile.start(WorkKind::AssignShards);
        let reachability = ShardReachability::now(context, &self.parts.heartbeats);
        let state = self.parts.replica.state();
        let gatherer = InputGatherer {
            parts: &self.parts,
            history: &self.history,
            state: &state,
            reachability: &reachability,
        };
        let ids = gatherer.assignable_shards();
        let inputs = gatherer.gather(&ids);
        // Each move leads a shard's workers elsewhere: one at a time.
        let may_rebalance = !self.history.rebalanced_within(context.timing.round);
        let planned = plan_shard_moves(&inputs.candidates, &inputs.statuses, may_rebalance);
        let max_writes = context.settings.site.store.txn_ops;
        Moves::new(&state, version, &inputs, &planned, max_writes)
    }

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
