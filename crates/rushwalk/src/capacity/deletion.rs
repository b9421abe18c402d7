//! Deletes machines in the cloud that are marked as `Deleting` in the cluster state.

use super::CloudLoopParts;
use crate::store::WritePriority;
use rushwalk_protocol::cloud::MAX_DELETE;
use rushwalk_protocol::ids::MachineId;
use rushwalk_state::records::MachineLifecycle;
use rushwalk_state::{ClusterState, Mutation};
use std::cmp::Reverse;
use tokio::time::{Instant, sleep};

/// Deletes machines while this process leads.
pub(crate) struct Deletion {
    /// Dependencies of this loop.
    pub parts: CloudLoopParts,
}

/// A machine to be deleted.
struct Candidate<'a> {
    id: &'a MachineId,
    /// Number of tasks assigned to it.
    tasks: usize,
}

/// The machines of the next deletion call.
struct DeletionBatch {
    machines: Vec<MachineId>,
    /// Whether any of the machines still has tasks. The tasks count as lost, and can be restarted,
    /// only once the deletion is confirmed.
    is_urgent: bool,
}

impl Deletion {
    /// Deletes machines until the process ends. A call is made without delay if any of its
    /// machines has tasks or if it contains [`MAX_DELETE`] machines. Otherwise there is at most
    /// one call per round, since the cloud's rate limit counts a call for one machine like a call
    /// for a hundred.
    pub(crate) async fn run(self) {
        let mut last_call: Option<Instant> = None;
        loop {
            sleep(self.parts.context.timing.round / 4).await;
            if !self.parts.leadership.is_leader() {
                continue;
            }
            let batch = self.next_batch();
            let is_deferred = last_call
                .is_some_and(|at| at.elapsed() < self.parts.context.timing.round)
                && !batch.is_urgent
                && batch.machines.len() < MAX_DELETE;
            if batch.machines.is_empty() || is_deferred {
                continue;
            }
            self.delete(batch.machines).await;
            last_call = Some(Instant::now());
        }
    }

    fn next_batch(&self) -> DeletionBatch {
        let state = self.parts.replica.state();
        let deleting = state
            .machines
            .iter()
            .filter(|(_, machine)| machine.record.lifecycle == MachineLifecycle::Deleting);
        // Machines with the most tasks come first, since the tasks can be restarted only after
        // the deletion.
        let mut candidates: Vec<Candidate> = deleting
            .map(|(id, machine)| Candidate {
                id,
                tasks: machine.tasks.len(),
            })
            .collect();
        candidates.sort_by_key(|candidate| (Reverse(candidate.tasks), candidate.id));
        let is_urgent = candidates
            .first()
            .is_some_and(|candidate| candidate.tasks > 0);
        let machines = candidates.iter().take(MAX_DELETE);
        DeletionBatch {
            machines: machines.map(|candidate| candidate.id.clone()).collect(),
            is_urgent,
        }
    }

    /// Deletes machines in the cloud. Once the cloud has confirmed that, the machines and
    /// everything on them are gone, and this is committed.
    async fn delete(&self, machines: Vec<MachineId>) {
        let names = machines.iter().map(|id| id.to_string()).collect();
        if let Err(error) = self.parts.cloud.delete(names).await {
            tracing::info!(%error, "cloud did not confirm the deletion of machines");
            return;
        }
        let version = {
            let state = self.parts.replica.state();
            let Some(version) = self.parts.leadership.version(&state) else {
                return;
            };
            self.record_deleted(&state, &machines);
            version
        };
        let deleted = [Mutation::MachinesDeleted(machines)];
        self.parts
            .leadership
            .append(version, &deleted, WritePriority::Scheduling)
            .await;
    }

    /// Remembers the deleted machines, which the cloud's list shows for a while longer, and logs
    /// them.
    fn record_deleted(&self, state: &ClusterState, machines: &[MachineId]) {
        let now = Instant::now();
        let deleted = machines.iter().map(|id| (id.clone(), now));
        self.parts.tracker.state().deleted.extend(deleted);
        let known = machines.iter().filter_map(|id| state.machines.get(id));
        let tasks: usize = known.map(|machine| machine.tasks.len()).sum();
        tracing::info!(?machines, tasks, "machines deleted");
    }
}
