//! Returns machines to the cloud.

use crate::context::Context;
use crate::leadership::Leadership;
use crate::store::{Replica, WritePriority};
use rushwalk_clients::cloud::CloudClient;
use rushwalk_protocol::cloud::MAX_DELETE;
use rushwalk_protocol::ids::MachineId;
use rushwalk_state::records::MachineLifecycle;
use rushwalk_state::{ClusterState, Mutation};
use std::cmp::Reverse;
use std::sync::Arc;
use tokio::time::{Instant, sleep};

use super::rentals::RentalTracker;

/// Deletes machines while this process leads.
pub(crate) struct Deletion {
    /// This process's context.
    pub context: Arc<Context>,
    /// Shows what is to be deleted.
    pub replica: Arc<Replica>,
    /// Only the leader deletes.
    pub leadership: Arc<Leadership>,
    /// How the cloud is asked.
    pub cloud: Arc<CloudClient>,
    /// Remembers what was deleted.
    pub tracker: Arc<RentalTracker>,
}

/// Machines for the next call.
struct Candidates {
    machines: Vec<MachineId>,
    /// Tasks on them wait to be gone.
    is_urgent: bool,
}

impl Deletion {
    /// Deletes what is to be deleted: at once if tasks wait to be gone or a call is full,
    /// else once in a round, for a call costs the same for one machine as for a hundred.
    pub(crate) async fn run(self) {
        let mut last_call: Option<Instant> = None;
        loop {
            sleep(self.context.timing.round / 4).await;
            if !self.leadership.is_leader() {
                continue;
            }
            let candidates = self.candidates();
            let waits = last_call.is_some_and(|at| at.elapsed() < self.context.timing.round)
                && !candidates.is_urgent
                && candidates.machines.len() < MAX_DELETE;
            if candidates.machines.is_empty() || waits {
                continue;
            }
            self.delete(candidates.machines).await;
            last_call = Some(Instant::now());
        }
    }

    fn candidates(&self) -> Candidates {
        let state = self.replica.state();
        let deleting = state
            .machines
            .iter()
            .filter(|(_, machine)| machine.record.lifecycle == MachineLifecycle::Deleting);
        // Those on which tasks wait to be gone come first.
        let mut by_tasks: Vec<(Reverse<usize>, MachineId)> = deleting
            .map(|(id, machine)| (Reverse(machine.tasks.len()), id.clone()))
            .collect();
        by_tasks.sort();
        let is_urgent = by_tasks.first().is_some_and(|(tasks, _)| tasks.0 > 0);
        let machines = by_tasks.into_iter().map(|(_, id)| id).take(MAX_DELETE);
        Candidates {
            machines: machines.collect(),
            is_urgent,
        }
    }

    /// Deletes machines; once the cloud has confirmed it, all on them is surely gone.
    async fn delete(&self, machines: Vec<MachineId>) {
        let names = machines.iter().map(|id| id.to_string()).collect();
        if let Err(error) = self.cloud.delete(names).await {
            tracing::info!(%error, "deletion not confirmed");
            return;
        }
        let version = {
            let state = self.replica.state();
            let Some(version) = self.leadership.version(&state) else {
                return;
            };
            self.record(&state, &machines);
            version
        };
        let deleted = [Mutation::MachinesDeleted(machines)];
        self.leadership
            .append(version, &deleted, WritePriority::Scheduling)
            .await;
    }

    fn record(&self, state: &ClusterState, machines: &[MachineId]) {
        let now = Instant::now();
        let deleted = machines.iter().map(|id| (id.clone(), now));
        self.tracker.state().deleted.extend(deleted);
        let known = machines.iter().filter_map(|id| state.machines.get(id));
        let tasks: usize = known.map(|machine| machine.tasks.len()).sum();
        tracing::info!(?machines, tasks, "machines deleted");
    }
}
