//! Observes what keeps this controller from serving normally.

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

/// An incident is over after this many scheduling rounds without a cause. It is logged only if
/// it lasted longer than this: a single late timer is not worth a log entry.
const RESOLVE_ROUNDS: u32 = 3;

/// [`IncidentCause::StoreUnreachable`] is present after this many scheduling rounds without a
/// successful read of the store.
const STALE_ROUNDS: u32 = 4;

/// [`IncidentCause::WorkersUnreachable`] is present if more than one worker in this many is
/// without contact.
const WORKERS_PER_MISSING_HEARTBEAT: usize = 20;

/// Checks for causes of incidents once per scheduling round.
pub(crate) struct IncidentObserver {
    /// Settings, timing and identity of this process.
    pub context: Arc<Context>,
    /// Copy of the cluster's state, with the leader and the shard leases.
    pub replica: Arc<Replica>,
    /// Worker sessions, with the time of the last contact of each.
    pub workers: Arc<WorkerRegistry>,
    /// Lag of this controller's event loop.
    pub runtime_lag: Arc<RuntimeLag>,
    /// Number of rejected requests since the last check.
    pub rejections: Arc<RejectionCounter>,
    /// Holds the current incident and the last one.
    pub recorder: Arc<Mutex<IncidentRecorder>>,
}

impl IncidentObserver {
    /// Observes until the process ends. The start of a controller counts as an incident until
    /// no cause is present.
    pub(crate) async fn run(self) {
        let round = self.context.timing.round;
        let resolve_after = round * RESOLVE_ROUNDS;
        let mut last_check = Instant::now();
        loop {
            sleep(round).await;
            let elapsed_s = last_check.elapsed().as_secs_f64();
            last_check = Instant::now();
            let causes = self.causes();
            let ended =
                self.recorder
                    .lock()
                    .observe(elapsed_s, &causes, resolve_after.as_secs_f64());
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

    /// The causes that are present now.
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

    /// Whether too many workers of the owned shards are without contact. Machines that the state
    /// already shows as unreachable do not count as an incident of this controller.
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

/// Whether a shard that has machines is not leased to a registered controller.
fn has_unowned_shards(state: &ClusterState) -> bool {
    state.shards.iter().any(|(shard, machines)| {
        let lease = state.shard_leases.get(shard);
        let is_owned = lease.is_some_and(|lease| state.is_owner_registered(&lease.value));
        !machines.is_empty() && !is_owned
    })
}
