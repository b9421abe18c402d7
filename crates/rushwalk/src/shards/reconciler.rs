//! The loop of a shard owner. Each tick reconciles the workers' heartbeats with the state and
//! places tasks, commits both in one log entry, and only then commands workers.

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

/// A shard that this process owns.
struct OwnedShard {
    shard: ShardId,
    /// Fencing token: the version of its lease.
    token: Revision,
}

/// Reconciles the state of the owned shards with the heartbeats of their workers.
pub(crate) struct Reconciler {
    /// Settings, timing and identity of this process.
    pub context: Arc<Context>,
    /// Copy of the cluster's state, with the owned shards and the assigned tasks.
    pub replica: Arc<Replica>,
    /// Commits outcomes and placements as entries of the store's log.
    pub log: Arc<LogWriter>,
    /// Worker sessions, which hold the latest heartbeats.
    pub workers: Arc<WorkerRegistry>,
    /// Sends commands and probes to workers.
    pub dispatcher: Dispatcher,
    /// Records how long the reconciliation takes.
    pub work_profile: Arc<WorkProfile>,
}

/// State that is kept between ticks.
#[derive(Default)]
struct TickState {
    /// When the owned machines were last scanned on schedule; `None` if the next tick must scan
    /// them.
    last_full_scan: Option<Instant>,
    /// The shards owned at the last scan, with their fencing tokens.
    scanned_shards: BTreeMap<ShardId, Revision>,
    /// Machines that the next tick examines.
    changed: BTreeSet<MachineId>,
}

impl Reconciler {
    /// Ticks up to three times in each scheduling round, until the process ends.
    pub(crate) async fn run(self) {
        let interval = self.context.timing.round / 3;
        let mut tick = TickState::default();
        loop {
            sleep(interval).await;
            if !self.replica.shard_leases_valid() {
                self.log_lapse(&mut tick);
                tick.last_full_scan = None;
                continue;
            }
            let owned = self.collect_changed(&mut tick);
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

    /// Logs that this process may not act on its shard leases any more, because it could not read
    /// the store for too long.
    fn log_lapse(&self, tick: &mut TickState) {
        let lapsed = std::mem::take(&mut tick.scanned_shards);
        if !lapsed.is_empty() {
            let read_age_ms = self.replica.staleness().as_millis() as u64;
            let shards = lapsed.len();
            tracing::info!(
                shards,
                read_age_ms,
                "shard leases not valid: the store was not read"
            );
        }
    }

    /// Collects the machines to examine in this tick, and returns the owned shards. Every tick
    /// examines the machines whose tasks or sessions changed. Once per scheduling round, and
    /// when the owned shards change, it scans the owned machines and also examines those that
    /// are due: with an overdue heartbeat, a session under another token, or no session.
    fn collect_changed(&self, tick: &mut TickState) -> Vec<OwnedShard> {
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
        if is_full || tick.scanned_shards != owned {
            sessions.retain_known(&state);
            self.add_due_machines(&state, &sessions, &owned, &mut tick.changed);
            self.log_ownership(&tick.scanned_shards, &owned, state.revision);
            tick.scanned_shards.clone_from(&owned);
        }
        timer.add_items(tick.changed.len());
        let owned = owned.into_iter();
        owned
            .map(|(shard, token)| OwnedShard { shard, token })
            .collect()
    }

    /// Logs which shards this process owns under a token that it did not own them under before, and
    /// which it owns no longer, with what the store was read for that.
    fn log_ownership(
        &self,
        before: &BTreeMap<ShardId, Revision>,
        owned: &BTreeMap<ShardId, Revision>,
        revision: Revision,
    ) {
        let read_age_ms = self.replica.staleness().as_millis() as u64;
        for (shard, token) in owned {
            if before.get(shard) != Some(token) {
                tracing::info!(
                    shard = &**shard,
                    token,
                    revision,
                    read_age_ms,
                    "shard owned"
                );
            }
        }
        for (shard, token) in before {
            if !owned.contains_key(shard) {
                tracing::info!(
                    shard = &**shard,
                    token,
                    revision,
                    read_age_ms,
                    "shard not owned"
                );
            }
        }
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

    /// Commits outcomes and placements of the owned shards; false if any commit failed. All
    /// shards share one log entry, unless the preconditions on their leases exceed the limit
    /// of a transaction: a single controller may have to own the shards of nine controllers.
    async fn commit(&self, owned: Vec<OwnedShard>, changed: &BTreeSet<MachineId>) -> bool {
        let max_shards = 2 * self.context.settings.site.store.txn_ops;
        let mut committed = true;
        for shards in owned.chunks(max_shards) {
            committed &= self.commit_shards(shards, changed).await;
        }
        committed
    }

    /// Commits the mutations of `shards` on the condition that their leases are unchanged.
    async fn commit_shards(&self, shards: &[OwnedShard], changed: &BTreeSet<MachineId>) -> bool {
        let mutations = self.plan_mutations(shards, changed);
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

    /// The mutations for the changed machines and the unplaced tasks of `shards`.
    fn plan_mutations(
        &self,
        shards: &[OwnedShard],
        changed: &BTreeSet<MachineId>,
    ) -> Vec<Mutation> {
        let _timer = self.work_profile.start(WorkKind::Reconcile);
        let state = self.replica.state();
        let mut sessions = self.workers.sessions();
        // The replica may have changed since the shards were collected: leave out those that
        // this process no longer owns under the same token.
        let owned: BTreeMap<ShardId, Revision> = shards
            .iter()
            .filter(|owned| self.replica.fencing_token(&state, &owned.shard) == Some(owned.token))
            .map(|owned| (owned.shard.clone(), owned.token))
            .collect();
        let timing = &self.context.timing;
        let events = self.workers.events();
        let mut mutations = outcomes(&state, &mut sessions, &owned, changed, timing, events);
        mutations.extend(placements(&self.context, &state, &owned));
        mutations
    }
}
