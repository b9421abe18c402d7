//! Fencing of unresolved starts: start commands that were not answered and that a worker may
//! still execute.

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

/// Fences unresolved starts by advancing the fencing token of their shard.
///
/// While a start command that was not answered may still take effect, no task can be proved
/// absent from its machine. The owner of the shard therefore rewrites its own shard lease: with
/// the new fencing token the worker refuses the old start.
pub(crate) struct Fencing {
    /// Settings, timing and identity of this process.
    pub context: Arc<Context>,
    /// Copy of the cluster's state, with the owned shards and their fencing tokens.
    pub replica: Arc<Replica>,
    /// Commits the rewritten shard leases.
    pub committer: Arc<Committer>,
    /// Worker sessions, which hold the unresolved starts.
    pub workers: Arc<WorkerRegistry>,
}

impl Fencing {
    /// Fences unresolved starts, with pauses of `timing.unreachable_after`, until the process
    /// ends.
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
        tracing::info!(shard = &**shard, "advancing the fencing token");
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
            // No other controller owned the shard in between, so the ownership goes on under the
            // new token and keeps the time at which it began.
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

/// Whether an unresolved start on a machine must be fenced. There is no need if no task is placed
/// there, because no absence must be proved then. There is none either if the machine is being
/// deleted or is unreachable: the deletion ends its tasks, and on an unreachable machine they end
/// with its worker lease.
fn needs_fencing(machine: &MachineState) -> bool {
    let record = &machine.record;
    !machine.tasks.is_empty()
        && record.unreachable_since_ms.is_none()
        && record.lifecycle != MachineLifecycle::Deleting
}
