//! Fencing of starts whose outcome is unknown.

use crate::context::Context;
use crate::store::{Committer, Replica, WritePriority};
use crate::workers::WorkerRegistry;
use rushwalk_clients::store::CommitOutcome;
use rushwalk_protocol::ids::ShardId;
use rushwalk_protocol::store::Transaction;
use rushwalk_state::records::{MachineLifecycle, ShardLease};
use rushwalk_state::{MachineState, Revision, keys};
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::time::sleep;

/// A start whose outcome is unknown keeps its machine's absences from being proved. A new
/// fencing token, which the owner of the shard gives itself, makes the worker refuse it.
pub(crate) struct Fencing {
    /// This process's context.
    pub context: Arc<Context>,
    /// Shows the shards that are owned.
    pub replica: Arc<Replica>,
    /// Commits the new leases.
    pub committer: Arc<Committer>,
    /// Shows the unresolved starts.
    pub workers: Arc<WorkerRegistry>,
}

impl Fencing {
    /// Fences what is unresolved, until the process ends.
    pub(crate) async fn run(self) {
        loop {
            sleep(self.context.timing.unreachable_after).await;
            for (shard, token) in self.shards_to_fence() {
                self.fence(&shard, token).await;
            }
        }
    }

    fn shards_to_fence(&self) -> BTreeMap<ShardId, Revision> {
        let state = self.replica.state();
        let sessions = self.workers.sessions();
        let owned = self.replica.owned_shards(&state);
        let unresolved = sessions.by_machine.iter().filter_map(|(id, session)| {
            let start = session.unresolved_start?;
            let machine = state.machines.get(id)?;
            let shard = &machine.record.shard;
            let token = *owned.get(shard)?;
            (needs_fencing(machine) && start.token >= token).then(|| (shard.clone(), token))
        });
        unresolved.collect()
    }

    async fn fence(&self, shard: &ShardId, token: Revision) {
        tracing::info!(shard = &**shard, "fencing token advanced");
        let lease = ShardLease {
            owner: self.context.member().into(),
            incarnation: self.context.incarnation,
        };
        let key = keys::shard_lease(shard);
        let transaction = Transaction::default()
            .expect_version(&key, token)
            .put(&key, &lease);
        let commit = self
            .committer
            .commit(transaction, WritePriority::Maintenance);
        if let CommitOutcome::Committed(new_token) = commit.await {
            // No other controller owned it in between: what is known stays known.
            let mut sessions = self.workers.sessions();
            for session in sessions.by_machine.values_mut() {
                if let Some(owned) = &mut session.owned
                    && owned.token == token
                {
                    owned.token = new_token;
                }
            }
        }
    }
}

/// Whether an unresolved start on a machine must be fenced. Not if no task there has to be
/// proved gone, or the machine is deleted with all on it; an unreachable machine's starts end
/// with its lease.
fn needs_fencing(machine: &MachineState) -> bool {
    let record = &machine.record;
    !machine.tasks.is_empty()
        && record.unreachable_since_ms.is_none()
        && record.lifecycle != MachineLifecycle::Deleting
}
