//! Access to the internal state of running controllers, for tests and measurements.

use rushwalk::controller::Controller;
use rushwalk::observability::work_profile::WorkKind;
use rushwalk_failure_detector::{PeerHealth, SuspicionReason};
use rushwalk_protocol::jobs::JobStatus;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// A controller that another controller, the observer, suspects or has declared failed.
#[derive(Debug, Clone, PartialEq)]
pub struct UnhealthyPeer {
    /// The name of the unhealthy controller.
    pub member: String,
    /// Whether the controller is declared failed; otherwise it is suspected.
    pub failed: bool,
    /// Whether the reason is the expiry of the controller's member lease in the store, and not
    /// other evidence such as refused connections, missing heartbeats or reported lag.
    pub lease_expired: bool,
    /// When the controller became unhealthy, in seconds of the observer's uptime.
    pub since_s: f64,
}

/// A machine in a controller's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineInfo {
    /// The machine's name, which the cloud assigned.
    pub name: String,
    /// The name of the shard that the machine belongs to.
    pub shard: String,
    /// Whether the machine has become ready since it was rented.
    pub ready: bool,
}

/// Whether a controller considers itself the leader.
pub fn is_leader(controller: &Controller) -> bool {
    controller.leadership.is_leader()
}

/// The revision at which the leader key was written, as known to a controller; `None` if there
/// is no leader.
pub fn leader_revision(controller: &Controller) -> Option<u64> {
    let state = controller.replica.state();
    state.leader.as_ref().map(|leader| leader.version)
}

/// The store revision up to which a controller's state is complete.
pub fn revision(controller: &Controller) -> u64 {
    controller.replica.state().revision
}

/// The generation of the latest snapshot that a controller knows of.
pub fn snapshot_generation(controller: &Controller) -> u64 {
    controller.replica.state().snapshot.generation
}

/// The number of jobs in a controller's state.
pub fn job_count(controller: &Controller) -> usize {
    controller.replica.state().jobs.len()
}

/// The status of a job in a controller's state; `None` if the state does not hold the job.
pub fn job_status(controller: &Controller, job: &str) -> Option<JobStatus> {
    controller.replica.state().job_status(job)
}

/// Whether a controller's state holds a machine.
pub fn has_machine(controller: &Controller, machine: &str) -> bool {
    controller.replica.state().machines.contains_key(machine)
}

/// The machines in a controller's state.
pub fn machines(controller: &Controller) -> Vec<MachineInfo> {
    let state = controller.replica.state();
    let machines = state.machines.iter().map(|(name, row)| MachineInfo {
        name: name.to_string(),
        shard: row.record.shard.to_string(),
        ready: row.record.ready_ms.is_some(),
    });
    machines.collect()
}

/// The owner of each leased shard in a controller's state, by the shard's name.
pub fn shard_owners(controller: &Controller) -> BTreeMap<String, String> {
    let state = controller.replica.state();
    let leases = state.shard_leases.iter();
    leases
        .map(|(shard, lease)| (shard.to_string(), lease.value.owner.clone()))
        .collect()
}

/// Whether a controller's state holds the membership of its present process, and no shard lease
/// of an earlier process with the same name.
pub fn is_registered_without_earlier_leases(controller: &Controller) -> bool {
    let state = controller.replica.state();
    let context = &controller.context;
    let own = &state.members[context.member()];
    let is_registered = own.incarnation == context.incarnation;
    is_registered && !state.has_stale_lease(context.member(), context.incarnation)
}

/// When a controller last finished a scheduling round as leader or, if that is later, acquired
/// leadership; `None` if it has done neither.
pub fn last_round(controller: &Controller) -> Option<Instant> {
    controller.leadership.last_round()
}

/// The controllers that `controller` suspects or has declared failed.
pub fn unhealthy_peers(controller: &Controller) -> Vec<UnhealthyPeer> {
    let local_health = controller.local_health().now();
    let now_s = controller.context.uptime_s();
    let statuses = controller.peers.detector().statuses(now_s, local_health);
    let unhealthy = statuses
        .into_iter()
        .filter(|peer| peer.health != PeerHealth::Healthy);
    unhealthy
        .map(|peer| UnhealthyPeer {
            failed: peer.health == PeerHealth::Failed,
            lease_expired: peer.reason == Some(SuspicionReason::LeaseExpired),
            since_s: now_s - peer.since_s,
            member: peer.member,
        })
        .collect()
}

/// The machines among `names` whose shard is owned by the controller and whose latest heartbeat
/// or response reached it after `since`.
pub fn machines_with_heartbeat_since(
    controller: &Controller,
    since: Instant,
    names: impl IntoIterator<Item = impl AsRef<str>>,
) -> Vec<String> {
    let state = controller.replica.state();
    let sessions = controller.workers.sessions();
    let with_heartbeat = |name: &str| {
        let row = state.machines.get(name)?;
        controller
            .replica
            .fencing_token(&state, &row.record.shard)?;
        let last_contact = sessions.by_machine.get(name)?.last_contact?;
        (last_contact > since).then(|| name.to_string())
    };
    let names = names.into_iter();
    names
        .filter_map(|name| with_heartbeat(name.as_ref()))
        .collect()
}

/// Adds a simulated lag to a controller's timers, in quarters of the round interval; 0 removes
/// it.
pub fn set_timer_lag(controller: &Controller, quarters_of_round: u32) {
    let lag = controller.context.timing.round * quarters_of_round / 4;
    controller.runtime_lag.set_simulated_lag(lag);
}

/// Makes a controller try to acquire leadership once with a new member lease. The attempt is made
/// even if the controller is not registered as a member; it must have no effect then. Panics if
/// the store grants no lease.
pub async fn campaign(controller: &Controller) {
    let lease = controller.membership.new_lease().await.unwrap();
    controller.election().campaign(lease).await;
}

/// How many machines a controller has reconciled since its start. A machine counts once for each
/// time it is reconciled.
pub fn reconciled_machines(controller: &Controller) -> u64 {
    controller.work_profile.items(WorkKind::Reconcile)
}
