//! Returns machines to the cloud.

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
    /// The parts it uses.
    pub parts: CloudLoopParts,
}

/// A machine that is to be deleted.
struct Candidate<'a> {
    id: &'a MachineId,
    /// How many tasks are on it.
    tasks: usize,
}

/// Machines for the next call.
struct DeletionBatch {
    machines: Vec<MachineId>,
    /// Tasks are on them, which are lost only when their deletion is confirmed.
    is_urgent: bool,
}

impl Deletion {
    /// Deletes machines until the process ends: at once if tasks are on them or a call is full,
    /// else once in a round, for a call costs the same for one machine as for a hundred.
    pub(crate) async fn run(self) {
        let mut last_call: Option<Instant> = None;
        loop {
            sleep(self.parts.context.timing.round / 4).await;
            if !self.parts.leadership.is_leader() {
                continue;
            }
            let batch = self.next_batch();
            let waits = last_call.is_some_and(|at| at.elapsed() < self.parts.context.timing.round)
                && !batch.is_urgent
                && batch.machines.len() < MAX_DELETE;
            if batch.machines.is_empty() || waits {
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
        // Those with the most tasks come first: the tasks can start anew only then.
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

    /// Deletes machines; once the cloud has confirmed it, all on them is surely gone.
    async fn delete(&self, machines: Vec<MachineId>) {
        let names = machines.iter().map(|id| id.to_string()).collect();
        if let Err(error) = self.parts.cloud.delete(names).await {
            tracing::info!(%error, "deletion not confirmed");
            return;
        }
        let version = {
            let state = self.parts.replica.state();
            let Some(version) = self.parts.leadership.version(&state) else {
                return;
            };
            self.record(&state, &machines);
            version
        };
        let deleted = [Mutation::MachinesDeleted(machines)];
        self.parts
            .leadership
            .append(version, &deleted, WritePriority::Scheduling)
            .await;
    }

    fn record(&self, state: &ClusterState, machines: &[MachineId]) {
        let now = Instant::now();
        let deleted = machines.iter().map(|id| (id.clone(), now));
        self.parts.tracker.state().deleted.extend(deleted);
        let known = machines.iter().filter_map(|id| state.machines.get(id));
        let tasks: usize = known.map(|machine| machine.tasks.len()).sum();
        tracing::info!(?machines, tasks, "machines deleted");
    }
}
