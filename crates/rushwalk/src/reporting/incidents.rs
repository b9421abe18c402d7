//! Observes what keeps this controller from serving as usual.

use crate::context::Context;
use crate::observability::incidents::{IncidentCause, IncidentRecorder};
use crate::observability::rejections::RejectionCounter;
use crate::observability::runtime_lag::RuntimeLag;
use crate::store::Replica;
use crate::workers::WorkerRegistry;
use parking_lot::Mutex;
use rushwalk_state::{ClusterState, MachineState};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Rounds without a cause after which an incident is over, and that one must last to be
/// logged: a single late timer is no incident that anybody wants to read of.
const CALM_ROUNDS: u32 = 3;

/// Rounds after which a replica that was not read is a cause.
const STALE_ROUNDS: u32 = 4;

/// One in so many of the workers may be unheard.
const UNHEARD_WORKERS: usize = 20;

/// Looks for causes once a round.
pub(crate) struct IncidentObserver {
    /// This process's context.
    pub context: Arc<Context>,
    /// Shows the leader and the shard leases.
    pub replica: Arc<Replica>,
    /// Shows the workers that are heard.
    pub workers: Arc<WorkerRegistry>,
    /// Shows whether this controller keeps up.
    pub runtime_lag: Arc<RuntimeLag>,
    /// Shows rejected requests.
    pub rejections: Arc<RejectionCounter>,
    /// Where incidents are kept.
    pub recorder: Arc<Mutex<IncidentRecorder>>,
}

impl IncidentObserver {
    /// Observes for good. From its start a controller has an incident until all is well.
    pub(crate) async fn run(self) {
        let round = self.context.timing.round;
        let calm = round * CALM_ROUNDS;
        let mut last = Instant::now();
        loop {
            sleep(round).await;
            let passed_s = last.elapsed().as_secs_f64();
            last = Instant::now();
            let causes = self.causes();
            let ended = self
                .recorder
                .lock()
                .observe(passed_s, &causes, calm.as_secs_f64());
            if let Some(incident) = ended
                && Duration::from_secs_f64(incident.duration_s) > calm
            {
                let causes = serde_json::to_string(&incident.causes).unwrap_or_default();
                tracing::info!(
                    duration_s = incident.duration_s,
                    causes,
                    "incident resolved"
                );
            }
        }
    }

    fn causes(&self) -> Vec<IncidentCause> {
        let state = self.replica.state();
        let is_stale = self.replica.staleness() > self.context.timing.round * STALE_ROUNDS;
        [
            (is_stale, IncidentCause::StoreUnreachable),
            (state.leader.is_none(), IncidentCause::NoLeader),
            (has_unowned_shards(&state), IncidentCause::UnownedShards),
            (
                self.has_unheard_workers(&state),
                IncidentCause::WorkersUnreachable,
            ),
            (self.runtime_lag.is_lagging(), IncidentCause::RuntimeLagging),
            (self.rejections.take() > 0, IncidentCause::RequestsRejected),
        ]
        .into_iter()
        .filter_map(|(is_present, cause)| is_present.then_some(cause))
        .collect()
    }

    /// Whether too many workers of our shards are not heard. Those known to be unreachable
    /// are no incident of this controller.
    fn has_unheard_workers(&self, state: &ClusterState) -> bool {
        let sessions = self.workers.sessions();
        let limit = self.context.timing.unreachable_after;
        let (mut workers, mut unheard) = (0, 0);
        for shard in self.replica.owned_shards(state).keys() {
            for id in state.shards.get(shard).into_iter().flatten() {
                if !state.machines.get(id).is_some_and(should_be_heard) {
                    continue;
                }
                let session = sessions.by_machine.get(id);
                let last_heard = session.and_then(|session| session.last_heard);
                workers += 1;
                unheard += usize::from(last_heard.is_none_or(|at| at.elapsed() > limit));
            }
        }
        unheard * UNHEARD_WORKERS > workers
    }
}

fn has_unowned_shards(state: &ClusterState) -> bool {
    state.shards.iter().any(|(shard, machines)| {
        let lease = state.shard_leases.get(shard);
        let is_owned = lease.is_some_and(|lease| state.is_owner_registered(&lease.value));
        !machines.is_empty() && !is_owned
    })
}

fn should_be_heard(machine: &MachineState) -> bool {
    machine.record.ready_ms.is_some() && machine.record.unreachable_since_ms.is_none()
}
