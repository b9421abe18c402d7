//! Observes what keeps this controller from serving as usual.

use crate::context::Context;
use crate::observability::incidents::{IncidentCause, IncidentRecorder};
use crate::observability::rejections::RejectionCounter;
use crate::observability::runtime_lag::RuntimeLag;
use crate::store::Replica;
use crate::workers::WorkerRegistry;
use crate::workers::registry::expects_heartbeats;
use parking_lot::Mutex;
use rushwalk_state::ClusterState;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Rounds without a cause after which an incident is over, and that one must last to be
/// logged: a single late timer is not worth an entry.
const RESOLVE_ROUNDS: u32 = 3;

/// Rounds after which a replica that was not read is a cause.
const STALE_ROUNDS: u32 = 4;

/// Heartbeats of one in so many workers may be missing.
const WORKERS_PER_MISSING_HEARTBEAT: usize = 20;

/// Checks for causes of incidents once a round.
pub(crate) struct IncidentObserver {
    /// This process's context.
    pub context: Arc<Context>,
    /// Shows the leader and the shard leases.
    pub replica: Arc<Replica>,
    /// Shows which workers send heartbeats.
    pub workers: Arc<WorkerRegistry>,
    /// Shows whether this controller keeps up.
    pub runtime_lag: Arc<RuntimeLag>,
    /// Shows rejected requests.
    pub rejections: Arc<RejectionCounter>,
    /// Where incidents are kept.
    pub recorder: Arc<Mutex<IncidentRecorder>>,
}

impl IncidentObserver {
    /// Observes until the process ends. A controller that starts has an incident until it
    /// serves as usual.
    pub(crate) async fn run(self) {
        let round = self.context.timing.round;
        let resolve_after = round * RESOLVE_ROUNDS;
        let mut last = Instant::now();
        loop {
            sleep(round).await;
            let passed_s = last.elapsed().as_secs_f64();
            last = Instant::now();
            let causes = self.causes();
            let ended =
                self.recorder
                    .lock()
                    .observe(passed_s, &causes, resolve_after.as_secs_f64());
            if let Some(incident) = ended
                && Duration::from_secs_f64(incident.duration_s) > resolve_after
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
                self.has_missing_heartbeats(&state),
                IncidentCause::WorkersUnreachable,
            ),
            (self.runtime_lag.is_lagging(), IncidentCause::RuntimeLagging),
            (self.rejections.take() > 0, IncidentCause::RequestsRejected),
        ]
        .into_iter()
        .filter_map(|(is_present, cause)| is_present.then_some(cause))
        .collect()
    }

    /// Whether heartbeats of too many workers of the owned shards are missing. Machines that
    /// are known to be unreachable are no incident of this controller.
    fn has_missing_heartbeats(&self, state: &ClusterState) -> bool {
        let sessions = self.workers.sessions();
        let limit = self.context.timing.unreachable_after;
        let mut workers = 0;
        let mut missing = 0;
        for shard in self.replica.owned_shards(state).keys() {
            for id in state.shards.get(shard).into_iter().flatten() {
                if !state.machines.get(id).is_some_and(expects_heartbeats) {
                    continue;
                }
                let session = sessions.by_machine.get(id);
                let last_contact = session.and_then(|session| session.last_contact);
                workers += 1;
                missing += usize::from(last_contact.is_none_or(|at| at.elapsed() > limit));
            }
        }
        missing * WORKERS_PER_MISSING_HEARTBEAT > workers
    }
}

fn has_unowned_shards(state: &ClusterState) -> bool {
    state.shards.iter().any(|(shard, machines)| {
        let lease = state.shard_leases.get(shard);
        let is_owned = lease.is_some_and(|lease| state.is_owner_registered(&lease.value));
        !machines.is_empty() && !is_owned
    })
}
