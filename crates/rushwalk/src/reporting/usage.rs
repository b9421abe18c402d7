//! Logs the load of this process, and which class and team have the smallest share of started
//! jobs.

use crate::connections::ConnectionTable;
use crate::context::Context;
use crate::observability::runtime_lag::RuntimeLag;
use crate::observability::work_profile::WorkProfile;
use crate::store::Replica;
use crate::workers::WorkerRegistry;
use std::sync::Arc;
use tokio::time::sleep;

/// Writes its log entries at intervals of the duration of a worker lease.
pub(crate) struct UsageReport {
    /// Settings, timing and identity of this process.
    pub context: Arc<Context>,
    /// Copy of the cluster's state, with the counts of started jobs by class and team.
    pub replica: Arc<Replica>,
    /// Connections that are open at the public address.
    pub connections: Arc<ConnectionTable>,
    /// Lag of this controller's event loop.
    pub runtime_lag: Arc<RuntimeLag>,
    /// Time spent on each kind of work since the start of the process.
    pub work_profile: Arc<WorkProfile>,
    /// Worker sessions, with the figures about workers since the start of the process.
    pub workers: Arc<WorkerRegistry>,
}

impl UsageReport {
    /// Logs until the process ends.
    pub(crate) async fn run(self) {
        loop {
            sleep(self.context.timing.worker_lease).await;
            self.log_load();
            self.log_workers();
            self.log_least_served();
        }
    }

    fn log_load(&self) {
        let times = self.context.process_times();
        let (up_s, busy_s) = (times.up_s, times.busy_s);
        let connections = self.connections.count();
        let recent_lag_ms = self.runtime_lag.recent_lag().as_millis() as u64;
        let mean_lag_ms = self.runtime_lag.mean_lag().as_millis() as u64;
        let work = self.work_profile.summary();
        tracing::info!(
            up_s,
            busy_s,
            recent_lag_ms,
            mean_lag_ms,
            connections = connections.open,
            workers = connections.workers,
            %work,
            "time spent"
        );
    }

    fn log_workers(&self) {
        let figures = self.workers.events().figures();
        tracing::info!(
            token_advances = figures.token_advances,
            most_kept_attempts = figures.most_kept_attempts,
            largest_heartbeat_bytes = figures.largest_heartbeat_bytes,
            "worker figures"
        );
    }

    fn log_least_served(&self) {
        let state = self.replica.state();
        let counts = &state.service_counts;
        let (Some(class), Some(team)) = (counts.least_served_class(), counts.least_served_team())
        else {
            return;
        };
        tracing::info!(
            class = class.name,
            started_share = rounded(class.counts.started_share()),
            class_counts = ?class.counts,
            team = team.name,
            team_started_share = rounded(team.counts.started_share()),
            team_counts = ?team.counts,
            "least served"
        );
    }
}

/// Rounds a share to thousandths.
fn rounded(share: f64) -> f64 {
    (share * 1000.0).round() / 1000.0
}
