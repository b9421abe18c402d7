//! Access to a running controller's internal state, in one place.

use rushwalk::controller::Controller;
use rushwalk::observability::work_profile::WorkKind;
use rushwalk_failure_detector::{PeerHealth, SuspicionReason};
use rushwalk_protocol::jobs::JobStatus;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// Another controller that a controller does not take for healthy.
#[derive(Debug, Clone, PartialEq)]
pub struct UnhealthyPeer {
    /// The other controller's name.
    pub member: String,
    /// Whether it is declared failed, not only suspected.
    pub failed: bool,
    /// Whether the reason is the end of its lease in the store, not other evidence.
    pub lease_expired: bool,
    /// Since when, in seconds of the observing controller's uptime.
    pub since_s: f64,
}

/// A machine in a controller's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineInfo {
    /// The machine's name.
    pub name: String,
    /// The shard it belongs to.
    pub shard: String,
    /// Whether it has been ready.
    pub ready: bool,
}

/// Whether a controller leads, by its own state.
pub fn is_leader(controller: &Controller) -> bool {
    controller.leadership.is_leader()
}

/// The revision of the leader's key in a controller's state, if there is a leader.
pub fn leader_revision(controller: &Controller) -> Option<u64> {
    let state = controller.replica.state();
    state.leader.as_ref().map(|leader| leader.version)
}

/// The store's revision that a controller's state has reached.
pub fn revision(controller: &Controller) -> u64 {
    controller.replica.state().revision
}

/// Generation of the latest snapshot in a controller's state.
pub fn snapshot_generation(controller: &Controller) -> u64 {
    controller.replica.state().snapshot.generation
}

/// Number of jobs in a controller's state.
pub fn job_count(controller: &Controller) -> usize {
    controller.replica.state().jobs.len()
}

/// A job's status in a controller's state.
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

/// The owner of each shard in a controller's state.
pub fn shard_owners(controller: &Controller) -> BTreeMap<String, String> {
    let state = controller.replica.state();
    let leases = state.shard_leases.iter();
    leases
        .map(|(shard, lease)| (shard.to_string(), lease.value.owner.clone()))
        .collect()
}

/// Whether a controller's state holds its own membership, and no shard lease of a process
/// that ran under its name before.
pub fn is_registered_without_earlier_leases(controller: &Controller) -> bool {
    let state = controller.replica.state();
    let context = &controller.context;
    let own = &state.members[context.member()];
    let is_registered = own.incarnation == context.incarnation;
    is_registered && !state.has_stale_lease(context.member(), context.incarnation)
}

/// When a controller last finished a scheduling round as leader, or came to lead.
pub fn last_round(controller: &Controller) -> Option<Instant> {
    controller.leadership.last_round()
}

/// The other controllers that a controller suspects or has declared failed.
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

/// Of some machines, those whose shard a controller owns and that sent it a heartbeat after
/// a time.
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

/// Pretends that a controller's timers are late by some quarters of its round.
pub fn set_timer_lag(controller: &Controller, quarters_of_round: u32) {
    let lag = controller.context.timing.round * quarters_of_round / 4;
    controller.runtime_lag.set_simulated_lag(lag);
}

/// Lets a controller campaign for leadership once, with a new lease, whatever its membership.
/// Panics if the store grants no lease.
pub async fn campaign(controller: &Controller) {
    let lease = controller.membership.new_lease().await.unwrap();
    controller.election().campaign(lease).await;
}

/// Machines that a controller has reconciled so far, counted each time.
pub fn reconciled_machines(controller: &Controller) -> u64 {
    controller.work_profile.items(WorkKind::Reconcile)
}
