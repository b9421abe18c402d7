//! Advancing the fencing token of a shard, so that its workers refuse old start commands.

use crate::context::Context;
use crate::store::{Committer, Replica, WritePriority};
use crate::timing::Timing;
use crate::workers::{WorkerRegistry, WorkerSession};
use rushwalk_clients::store::CommitOutcome;
use rushwalk_protocol::ids::ShardId;
use rushwalk_protocol::store::Transaction;
use rushwalk_state::records::{MachineLifecycle, ShardLease};
use rushwalk_state::{MachineState, Revision, keys};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Number of exited attempts that a worker keeps from which on it makes the advance of the token
/// urgent: a quarter of the tasks that a heartbeat may list.
const MANY_KEPT_ATTEMPTS: usize = 128;

/// Why the token of a shard is to be advanced, the most urgent reason last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FencingReason {
    /// A worker must keep exited attempts because copies of their starts may arrive.
    KeptAttempts,
    /// The call with a start was not answered, so no absence of its task can be proved.
    UnresolvedStart,
    /// A worker keeps at least [`MANY_KEPT_ATTEMPTS`], and may soon take no further tasks.
    ManyKeptAttempts,
}

impl FencingReason {
    /// The shortest time between two advances of a shard's token for this reason. A worker counts
    /// a higher token as a change, which it reports at once, only once in half of its lease.
    fn min_interval(self, timing: &Timing) -> Duration {
        match self {
            FencingReason::KeptAttempts => timing.worker_lease / 2,
            FencingReason::UnresolvedStart => timing.unreachable_after,
            FencingReason::ManyKeptAttempts => timing.heartbeat,
        }
    }
}

/// A shard whose token is to be advanced.
struct ShardToFence {
    shard: ShardId,
    token: Revision,
    reason: FencingReason,
}

/// Advances the fencing tokens of owned shards while workers may accept old starts.
///
/// A worker may accept a call with a start again until it has seen a higher token. Until then it
/// must not forget the attempt, and if the call was not answered, no task can be proved absent from
/// its machine. The owner of the shard therefore rewrites its own shard lease: with the new fencing
/// token the worker refuses the old start.
pub(crate) struct Fencing {
    /// Settings, timing and identity of this process.
    pub context: Arc<Context>,
    /// Copy of the cluster's state, with the owned shards and their fencing tokens.
    pub replica: Arc<Replica>,
    /// Commits the rewritten shard leases.
    pub committer: Arc<Committer>,
    /// Worker sessions, which hold the outstanding starts.
    pub workers: Arc<WorkerRegistry>,
}

impl Fencing {
    /// Advances tokens where that is needed, with pauses of a heartbeat interval, until the process
    /// ends.
    pub(crate) async fn run(self) {
        let mut advanced: HashMap<ShardId, Instant> = HashMap::new();
        loop {
            sleep(self.context.timing.heartbeat).await;
            for fenced in self.shards_to_fence() {
                let min_interval = fenced.reason.min_interval(&self.context.timing);
                let last = advanced.get(&fenced.shard);
                if last.is_none_or(|at| at.elapsed() >= min_interval) {
                    advanced.insert(fenced.shard.clone(), Instant::now());
                    self.advance_token(&fenced).await;
                }
            }
        }
    }

    /// The owned shards whose token is to be advanced, each with its most urgent reason.
    fn shards_to_fence(&self) -> Vec<ShardToFence> {
        let state = self.replica.state();
        let sessions = self.workers.sessions();
        let owned = self.replica.owned_shards(&state);
        let mut reasons: BTreeMap<&ShardId, FencingReason> = BTreeMap::new();
        for (id, session) in &sessions.by_machine {
            let Some(machine) = state.machines.get(id) else {
                continue;
            };
            let shard = &machine.record.shard;
            let Some(token) = owned.get(shard) else {
                continue;
            };
            let kept = session.kept_attempts(*token);
            self.workers.events().attempts_kept(kept);
            if let Some(reason) = fencing_reason(machine, session, *token, kept) {
                let known = reasons.entry(shard).or_insert(reason);
                *known = reason.max(*known);
            }
        }
        let fenced = reasons.into_iter().map(|(shard, reason)| ShardToFence {
            shard: shard.clone(),
            token: owned[shard],
            reason,
        });
        fenced.collect()
    }

    async fn advance_token(&self, fenced: &ShardToFence) {
        let ShardToFence {
            shard,
            token,
            reason,
        } = fenced;
        tracing::debug!(
            shard = &**shard,
            token,
            ?reason,
            "advancing the fencing token"
        );
        let before = {
            let state = self.replica.state();
            let machines = state.shards.get(shard).into_iter().flatten();
            self.workers
                .sessions()
                .shard_ownership(shard, machines, *token)
        };
        let lease = ShardLease {
            owner: self.context.member().into(),
            incarnation: self.context.incarnation,
        };
        let key = keys::shard_lease(shard);
        let transaction = Transaction::default()
            .expect_version(&key, *token)
            .put(&key, &lease);
        let commit = self
            .committer
            .commit(transaction, WritePriority::Maintenance);
        if let CommitOutcome::Committed(new_token) = commit.await {
            self.workers
                .sessions()
                .continue_ownership(before, new_token);
            self.workers.events().token_advanced();
        }
    }
}

/// Why the token of a machine's shard is to be advanced; `None` if it needs not be. There is no
/// need if the machine is being deleted or is unreachable: the deletion ends its tasks, and on an
/// unreachable machine they end with its worker lease. An unresolved start alone needs none if no
/// task is placed there, because no absence must be proved then. `kept` is the number of exited
/// attempts that the worker has to keep.
fn fencing_reason(
    machine: &MachineState,
    session: &WorkerSession,
    token: Revision,
    kept: usize,
) -> Option<FencingReason> {
    let record = &machine.record;
    if record.unreachable_since_ms.is_some() || record.lifecycle == MachineLifecycle::Deleting {
        return None;
    }
    let has_unresolved_start = session.has_unresolved_start(token);
    if kept >= MANY_KEPT_ATTEMPTS {
        Some(FencingReason::ManyKeptAttempts)
    } else if has_unresolved_start && (kept > 0 || !machine.tasks.is_empty()) {
        Some(FencingReason::UnresolvedStart)
    } else {
        (kept > 0).then_some(FencingReason::KeptAttempts)
    }
}
