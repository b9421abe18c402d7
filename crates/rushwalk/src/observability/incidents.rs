//! How long incidents last: since when this controller has not served as usual, for which
//! causes, and how long the last incident took.

#[cfg(test)]
mod tests;

use crate::controller::{Controller, lock};
use crate::view::{ClusterState, Name};
use crate::workers::registry::WorkerRegistry;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The store counts as unreachable when no read was answered for this many rounds.
const STORE_UNREACHABLE_ROUNDS: u32 = 4;

/// An incident is over when there was no cause for this many rounds, and only one that
/// lasted for longer than this is logged: a single late timer interests nobody.
const HEALTHY_ROUNDS: u32 = 3;

/// The causes of an incident.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum IncidentCause {
    /// The key-value store has answered no read for some rounds.
    #[serde(rename = "state_out_of_reach")]
    StoreUnreachable,
    /// No controller leads.
    NoLeader,
    /// Some machines' shard has no owner: nothing is placed on them.
    #[serde(rename = "blocks_without_holder")]
    UnownedShards,
    /// More than one in twenty of the workers of this controller's shards have sent no
    /// heartbeat lately.
    #[serde(rename = "workers_not_heard")]
    WorkersUnreachable,
    /// Timers fire late: there is more work than this thread can do.
    #[serde(rename = "thread_behind")]
    RuntimeLagging,
    /// Users' requests were answered with status 429 or 503.
    #[serde(rename = "users_refused")]
    RequestsRejected,
}

/// One incident.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Incident {
    /// How long it lasted, or has lasted so far, in seconds.
    #[serde(rename = "took_s")]
    pub duration_s: f64,
    /// For how many seconds of these each cause was present.
    pub causes: BTreeMap<IncidentCause, f64>,
}

/// The incident that is going on, and the last one that is over.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct IncidentSummary {
    /// The incident that is going on.
    pub current: Option<Incident>,
    /// The last incident that is over.
    pub last: Option<Incident>,
}

/// Derives incidents with a beginning and an end from the causes present at each check.
#[derive(Debug, Default)]
pub struct IncidentRecorder {
    current: Option<Incident>,
    last: Option<Incident>,
    /// For how many seconds there has been no cause.
    healthy_s: f64,
}

impl Incident {
    /// With times in tenths of seconds: the checks are no closer than that.
    fn rounded(&self) -> Incident {
        let causes = self.causes.iter();
        Incident {
            duration_s: tenths(self.duration_s),
            causes: causes.map(|(cause, s)| (*cause, tenths(*s))).collect(),
        }
    }
}

fn tenths(seconds: f64) -> f64 {
    (seconds * 10.0).round() / 10.0
}

impl IncidentRecorder {
    /// Records a check, `elapsed_s` after the one before, with the causes present at it.
    ///
    /// An incident is over when there has been no cause for `resolve_after_s`, which doesn't
    /// count as part of it; then it is returned.
    pub fn observe(
        &mut self,
        elapsed_s: f64,
        causes: &[IncidentCause],
        resolve_after_s: f64,
    ) -> Option<Incident> {
        if causes.is_empty() {
            self.healthy_s += elapsed_s;
            if self.healthy_s < resolve_after_s {
                return None;
            }
            self.last = Some(self.current.take()?.rounded());
            return self.last.clone();
        }
        if self.current.is_none() {
            self.healthy_s = 0.0;
        }
        let incident = self.current.get_or_insert_default();
        // A pause shorter than `resolve_after_s` belongs to the incident.
        incident.duration_s += elapsed_s + self.healthy_s;
        self.healthy_s = 0.0;
        for cause in causes {
            *incident.causes.entry(*cause).or_default() += elapsed_s;
        }
        None
    }

    /// The current incident and the last one, with rounded times.
    pub fn summary(&self) -> IncidentSummary {
        IncidentSummary {
            current: self.current.as_ref().map(Incident::rounded),
            last: self.last.clone(),
        }
    }
}

/// The workers of this controller's shards that should send heartbeats.
#[derive(Debug, Default)]
struct WorkerReachability {
    expected: usize,
    /// Of these, those without a recent heartbeat.
    silent: usize,
}

impl WorkerReachability {
    /// Counts a machine, unless it is not ready or already known to be unreachable: that
    /// is then an incident of the machine, not of this controller.
    fn count(
        &mut self,
        machine: &Name,
        state: &ClusterState,
        registry: &WorkerRegistry,
        unreachable_after: Duration,
    ) {
        let record = state.machines.get(machine).map(|m| &m.record);
        if !record.is_some_and(|r| r.ready_ms.is_some() && r.unreachable_since_ms.is_none()) {
            return;
        }
        let session = registry.sessions.get(machine);
        let last_heartbeat = session.and_then(|session| session.last_heard);
        self.expected += 1;
        self.silent +=
            usize::from(last_heartbeat.is_none_or(|at| at.elapsed() > unreachable_after));
    }

    /// Whether more than one in twenty are silent.
    fn is_degraded(&self) -> bool {
        self.silent * 20 > self.expected
    }
}

/// Whether a shard that has machines has no live owner.
fn has_unowned_shard(state: &ClusterState) -> bool {
    let is_unowned = |shard: &Name, machines: &BTreeSet<Name>| {
        let lease = state.shard_leases.get(shard);
        !machines.is_empty() && !lease.is_some_and(|(_, lease)| state.is_owner_registered(lease))
    };
    state
        .shards
        .iter()
        .any(|(shard, machines)| is_unowned(shard, machines))
}

/// The causes that are present now. Rejected requests are counted since the last call.
fn current_causes(controller: &Controller) -> Vec<IncidentCause> {
    let timing = &controller.timing;
    let state = controller.view();
    let registry = lock(&controller.workers_seen);
    let mut reachability = WorkerReachability::default();
    for (shard, machines) in &state.shards {
        if controller.fencing_token(&state, shard).is_some() {
            for machine in machines {
                reachability.count(machine, &state, &registry, timing.unreachable_after);
            }
        }
    }
    let store_unreachable = controller.staleness() > timing.round * STORE_UNREACHABLE_ROUNDS;
    let rejected = controller.rejected_requests.swap(0, Ordering::Relaxed);
    let causes = [
        (store_unreachable, IncidentCause::StoreUnreachable),
        (state.leader.is_none(), IncidentCause::NoLeader),
        (has_unowned_shard(&state), IncidentCause::UnownedShards),
        (
            reachability.is_degraded(),
            IncidentCause::WorkersUnreachable,
        ),
        (
            controller.runtime_lag.is_lagging(),
            IncidentCause::RuntimeLagging,
        ),
        (rejected > 0, IncidentCause::RequestsRejected),
    ];
    let present = causes.into_iter().filter(|(is_present, _)| *is_present);
    present.map(|(_, cause)| cause).collect()
}

/// Checks for causes once in a round, for ever. A process begins with an incident, which
/// lasts until there is no cause any more.
pub async fn incident_loop(controller: Arc<Controller>) {
    let round = controller.timing.round;
    let resolve_after_s = (round * HEALTHY_ROUNDS).as_secs_f64();
    let mut last_check = Instant::now();
    loop {
        sleep(round).await;
        let elapsed_s = last_check.elapsed().as_secs_f64();
        last_check = Instant::now();
        let causes = current_causes(&controller);
        let resolved = lock(&controller.incidents).observe(elapsed_s, &causes, resolve_after_s);
        if let Some(incident) = resolved
            && Duration::from_secs_f64(incident.duration_s) > round * HEALTHY_ROUNDS
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
