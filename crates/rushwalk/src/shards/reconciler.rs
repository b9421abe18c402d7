//! The loop of a shard owner: it reconciles reports with the state, places tasks, commits
//! both, and only then commands workers. All that one tick decides and learns goes into
//! one log entry.

use super::dispatch::Dispatcher;
use super::outcomes::outcomes;
use super::placement::placements;
use crate::context::Context;
use crate::observability::work_profile::{WorkKind, WorkProfile};
use crate::store::log_writer::Precondition;
use crate::store::{LogWriter, Replica, WritePriority};
use crate::workers::WorkerRegistry;
use crate::workers::registry::Sessions;
use rushwalk_clients::store::CommitOutcome;
use rushwalk_protocol::ids::{MachineId, ShardId};
use rushwalk_state::{ClusterState, Mutation, Revision, keys};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tokio::time::{Instant, sleep};

/// An owned shard.
struct OwnedShard {
    shard: ShardId,
    /// Its fencing token.
    token: Revision,
}

/// Reconciles the owned shards with what workers report.
pub(crate) struct Reconciler {
    /// This process's context.
    pub context: Arc<Context>,
    /// Shows which shards are owned, and what should be.
    pub replica: Arc<Replica>,
    /// Commits outcomes and placements.
    pub log: Arc<LogWriter>,
    /// Shows what workers report.
    pub workers: Arc<WorkerRegistry>,
    /// Sends commands to workers.
    pub dispatcher: Dispatcher,
    /// Measures the work that is done.
    pub work_profile: Arc<WorkProfile>,
}

/// State that is kept between ticks.
#[derive(Default)]
struct TickState {
    /// When all machines were last examined.
    last_full_scan: Option<Instant>,
    /// The shards that were owned then, with their tokens.
    known: BTreeMap<ShardId, Revision>,
    /// Machines to examine.
    changed: BTreeSet<MachineId>,
}

impl Reconciler {
    /// Ticks a few times in each round, until the process ends.
    pub(crate) async fn run(self) {
        let interval = self.context.timing.round / 3;
        let mut tick = TickState::default();
        loop {
            sleep(interval).await;
            if !self.replica.shard_leases_valid() {
                tick.last_full_scan = None;
                continue;
            }
            let owned = self.gather(&mut tick);
            if !self.commit(owned, &tick.changed).await {
                tick.last_full_scan = None;
                continue;
            }
            let _timer = self.work_profile.start(WorkKind::Reconcile);
            tick.changed
                .append(&mut self.replica.state().changed_machines);
            let changed = std::mem::take(&mut tick.changed);
            tick.changed = self.dispatcher.dispatch(&changed);
        }
    }

    /// Gathers the machines to look at, and the shards that are owned. What has changed is
    /// looked at in each tick; once a round also what time alone changes: machines that were
    /// without contact lately, or that have come under another token.
    fn gather(&self, tick: &mut TickState) -> Vec<OwnedShard> {
        let is_full = tick
            .last_full_scan
            .is_none_or(|at| at.elapsed() >= self.context.timing.round);
        if is_full {
            tick.last_full_scan = Some(Instant::now());
        }
        let mut timer = self.work_profile.start(WorkKind::Reconcile);
        let mut state = self.replica.state();
        let mut sessions = self.workers.sessions();
        tick.changed.append(&mut state.changed_machines);
        tick.changed.append(&mut sessions.changed);
        let owned = self.replica.owned_shards(&state);
        if is_full || tick.known != owned {
            sessions.retain_known(&state);
            self.add_due_machines(&state, &sessions, &owned, &mut tick.changed);
            tick.known.clone_from(&owned);
        }
        timer.add_items(tick.changed.len());
        let owned = owned.into_iter();
        owned
            .map(|(shard, token)| OwnedShard { shard, token })
            .collect()
    }

    fn add_due_machines(
        &self,
        state: &ClusterState,
        sessions: &Sessions,
        owned: &BTreeMap<ShardId, Revision>,
        due: &mut BTreeSet<MachineId>,
    ) {
        for (shard, token) in owned {
            let machines = state.shards.get(shard).into_iter().flatten();
            let is_due = |machine: &&MachineId| {
                let session = sessions.by_machine.get(*machine);
                session.is_none_or(|session| {
                    session.heartbeat_overdue(&self.context.timing)
                        || session.owned.is_none_or(|owned| owned.token != *token)
                })
            };
            due.extend(machines.filter(is_due).cloned());
        }
    }

    /// Commits what is decided and learnt of all owned shards; false if any of it was not
    /// taken. All shards in one entry, unless the preconditions on their leases would be too
    /// many: one controller may be left with the shards of nine.
    async fn commit(&self, owned: Vec<OwnedShard>, changed: &BTreeSet<MachineId>) -> bool {
        let max_shards = 2 * self.context.settings.site.store.txn_ops;
        let mut committed = true;
        for shards in owned.chunks(max_shards) {
            committed &= self.commit_shards(shards, changed).await;
        }
        committed
    }

    async fn commit_shards(&self, shards: &[OwnedShard], changed: &BTreeSet<MachineId>) -> bool {
        let mutations = self.decide(shards, changed);
        if mutations.is_empty() {
            return true;
        }
        let preconditions: Vec<Precondition> = shards
            .iter()
            .map(|owned| Precondition {
                key: keys::shard_lease(&owned.shard),
                version: owned.token,
            })
            .collect();
        let append = self
            .log
            .append(&preconditions, &mutations, WritePriority::Scheduling);
        match append.await {
            CommitOutcome::Committed(_) => true,
            outcome => {
                tracing::debug!(?outcome, "reconciliation not committed");
                if let CommitOutcome::Conflict = outcome {
                    let max_wait = self.context.timing.round;
                    self.replica.linearizable_read(max_wait).await;
                }
                false
            }
        }
    }

    fn decide(&self, shards: &[OwnedShard], changed: &BTreeSet<MachineId>) -> Vec<Mutation> {
        let _timer = self.work_profile.start(WorkKind::Reconcile);
        let state = self.replica.state();
        let mut sessions = self.workers.sessions();
        // Those still ours, as far as is known by now.
        let owned: BTreeMap<ShardId, Revision> = shards
            .iter()
            .filter(|owned| self.replica.fencing_token(&state, &owned.shard) == Some(owned.token))
            .map(|owned| (owned.shard.clone(), owned.token))
            .collect();
        let timing = &self.context.timing;
        let mut mutations = outcomes(&state, &mut sessions, &owned, changed, timing);
        mutations.extend(placements(&self.context, &state, &owned));
        mutations
    }
}
