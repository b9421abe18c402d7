//! The body of `/admin/status`: a controller's own state and what it knows of the cluster.

use crate::connections::ConnectionCounts;
use crate::controller::Controller;
use crate::observability::incidents::Incident;
use crate::observability::work_profile::WorkSummary;
use rushwalk_failure_detector::LocalHealth;
use rushwalk_failure_detector::detector::PeerStatus;
use rushwalk_state::records::MachineLifecycle;
use rushwalk_state::service_counts::ServiceCounts;
use rushwalk_state::{ClusterState, MachineState};
use serde::Serialize;
use std::collections::BTreeMap;

/// Maximum number of jobs that are named for each pending reason.
const JOBS_NAMED_PER_REASON: usize = 10;

/// The body of `/admin/status`.
#[derive(Serialize)]
pub(super) struct StatusResponse<'a> {
    member: &'a str,
    #[serde(rename = "leads")]
    is_leader: bool,
    #[serde(flatten)]
    cluster: ClusterStatus<'a>,
    #[serde(flatten)]
    process: ProcessStatus,
    /// The health of the other controllers, as judged by this one's failure detector.
    #[serde(rename = "standings")]
    peers: Vec<PeerStatus>,
    /// The pending jobs by reason; empty unless this controller leads.
    #[serde(rename = "waiting")]
    pending: Vec<PendingJobs<'a>>,
}

/// The cluster state, as this controller's replica holds it.
#[derive(Serialize)]
struct ClusterStatus<'a> {
    /// The member that leads; `None` if no member does.
    leader: Option<&'a str>,
    /// The store revision up to which the replica has applied all changes.
    revision: u64,
    /// The first key whose record this version can't read; `None` if it can read all records.
    unreadable: Option<&'a str>,
    snapshot: SnapshotStatus,
    members: Vec<&'a str>,
    #[serde(rename = "grants")]
    shard_leases: Vec<ShardLeaseStatus<'a>>,
    machines: Vec<MachineGroup<'a>>,
    /// Job counts by class and by team.
    #[serde(rename = "served")]
    service_counts: &'a ServiceCounts,
    /// Number of open rental requests.
    rentals: usize,
    /// Number of active jobs.
    #[serde(rename = "jobs_active")]
    active_jobs: usize,
    /// Number of jobs that have assigned tasks.
    #[serde(rename = "jobs_live")]
    jobs_with_tasks: usize,
}

/// The load of a controller's process, and the incidents that it observed.
#[derive(Serialize)]
struct ProcessStatus {
    /// Seconds since the latest successful read of the store was sent; `None` if none has
    /// succeeded.
    #[serde(rename = "state_age_s")]
    staleness_s: Option<f64>,
    /// Seconds since the start of the process.
    #[serde(rename = "up_s")]
    uptime_s: f64,
    /// Seconds since the start of the process in which its thread was busy.
    busy_s: f64,
    /// The recent lag of the event loop, in milliseconds.
    #[serde(rename = "late_ms")]
    lag_ms: u64,
    /// The ongoing incident; `None` while none is ongoing.
    #[serde(rename = "trouble")]
    incident: Option<Incident>,
    /// The last incident that was resolved; `None` if none was.
    #[serde(rename = "last_trouble")]
    last_incident: Option<Incident>,
    connections: ConnectionCounts,
    work: WorkSummary,
}

/// The snapshot that the store holds, and the length of the log since.
#[derive(Serialize)]
struct SnapshotStatus {
    /// The store revision of the snapshot.
    #[serde(rename = "at")]
    revision: u64,
    chunks: usize,
    /// Number of log entries since the snapshot.
    entries_since: usize,
}

#[derive(Serialize)]
struct ShardLeaseStatus<'a> {
    #[serde(rename = "block")]
    shard: &'a str,
    #[serde(rename = "holder")]
    owner: &'a str,
    /// The version of the lease's record in the store.
    #[serde(rename = "token")]
    fencing_token: u64,
    /// Number of machines in the shard.
    machines: usize,
}

/// The properties that all machines of a group share.
#[derive(Serialize, PartialEq, Eq, PartialOrd, Ord)]
struct MachineGroupKey<'a> {
    zone: &'a str,
    #[serde(rename = "type")]
    machine_type: &'a str,
    spot: bool,
}

/// The number of machines in a group, and how many of them are in each condition.
#[derive(Default, Serialize)]
struct MachineCounts {
    machines: usize,
    /// Machines that have sent a heartbeat.
    #[serde(rename = "up")]
    ready: usize,
    /// Machines whose heartbeats do not arrive at the owner of their shard.
    #[serde(rename = "silent")]
    unreachable: usize,
    /// Machines that accept no new tasks, because they are draining or to be deleted.
    #[serde(rename = "leaving")]
    draining: usize,
    /// Machines to which no task is assigned.
    idle: usize,
    /// Tasks assigned to any machine of the group.
    tasks: usize,
}

#[derive(Serialize)]
struct MachineGroup<'a> {
    #[serde(flatten)]
    key: MachineGroupKey<'a>,
    #[serde(flatten)]
    counts: MachineCounts,
}

/// The jobs that are pending for one reason.
#[derive(Serialize)]
struct PendingJobs<'a> {
    #[serde(rename = "why")]
    reason: &'a str,
    #[serde(rename = "jobs")]
    count: usize,
    /// The names of the first of these jobs, in alphabetical order.
    first: Vec<String>,
}

impl<'a> StatusResponse<'a> {
    /// The status of a controller whose replica holds `state`.
    pub(super) fn new(
        controller: &'a Controller,
        state: &'a ClusterState,
        health: LocalHealth,
    ) -> StatusResponse<'a> {
        let is_leader = controller.leadership.version(state).is_some();
        let now_s = controller.context.uptime_s();
        StatusResponse {
            member: controller.context.member(),
            is_leader,
            cluster: ClusterStatus::new(state),
            process: ProcessStatus::new(controller),
            peers: controller.peers.detector().statuses(now_s, health),
            pending: if is_leader {
                pending_jobs(controller)
            } else {
                // Only the leader runs scheduling rounds, which find why a job is pending.
                Vec::new()
            },
        }
    }
}

impl<'a> ClusterStatus<'a> {
    fn new(state: &'a ClusterState) -> ClusterStatus<'a> {
        let leader = state.leader.as_ref();
        ClusterStatus {
            leader: leader.map(|leader| leader.value.member.as_str()),
            revision: state.revision,
            unreadable: state.unreadable.as_deref(),
            snapshot: SnapshotStatus::new(state),
            members: state.members.keys().map(String::as_str).collect(),
            shard_leases: shard_lease_statuses(state),
            machines: machine_groups(state),
            service_counts: &state.service_counts,
            rentals: state.rentals.len(),
            active_jobs: state.queue.len(),
            jobs_with_tasks: state.jobs_with_tasks.len(),
        }
    }
}

impl ProcessStatus {
    fn new(controller: &Controller) -> ProcessStatus {
        let process = controller.context.process_times();
        let read_age = controller.replica.last_read_age();
        let incidents = controller.incidents.lock().summary();
        ProcessStatus {
            staleness_s: read_age.map(|age| age.as_secs_f64()),
            uptime_s: process.up_s,
            busy_s: process.busy_s,
            lag_ms: controller.runtime_lag.recent_lag().as_millis() as u64,
            incident: incidents.current,
            last_incident: incidents.last,
            connections: controller.connections.count(),
            work: controller.work_profile.summary(),
        }
    }
}

impl SnapshotStatus {
    fn new(state: &ClusterState) -> SnapshotStatus {
        SnapshotStatus {
            revision: state.snapshot.revision,
            chunks: state.snapshot.chunks,
            entries_since: state.entries_since_snapshot,
        }
    }
}

impl MachineCounts {
    fn add(&mut self, machine: &MachineState) {
        let record = &machine.record;
        self.machines += 1;
        self.ready += usize::from(record.ready_ms.is_some());
        self.unreachable += usize::from(record.unreachable_since_ms.is_some());
        self.draining += usize::from(record.lifecycle != MachineLifecycle::Active);
        self.idle += usize::from(machine.tasks.is_empty());
        self.tasks += machine.tasks.len();
    }
}

fn shard_lease_statuses(state: &ClusterState) -> Vec<ShardLeaseStatus<'_>> {
    let leases = state.shard_leases.iter();
    leases
        .map(|(shard, lease)| ShardLeaseStatus {
            shard,
            owner: &lease.value.owner,
            fencing_token: lease.version,
            machines: state.shards.get(shard).map_or(0, |machines| machines.len()),
        })
        .collect()
}

/// The machines in groups, sorted by zone, then by type, on-demand machines before spot
/// instances.
fn machine_groups(state: &ClusterState) -> Vec<MachineGroup<'_>> {
    let mut groups: BTreeMap<MachineGroupKey<'_>, MachineCounts> = BTreeMap::new();
    for machine in state.machines.values() {
        let key = MachineGroupKey {
            zone: &machine.record.zone,
            machine_type: &machine.record.machine_type,
            spot: machine.record.spot,
        };
        groups.entry(key).or_default().add(machine);
    }
    let groups = groups.into_iter();
    groups
        .map(|(key, counts)| MachineGroup { key, counts })
        .collect()
}

/// The pending jobs by reason, as of the latest scheduling round of this controller.
fn pending_jobs(controller: &Controller) -> Vec<PendingJobs<'static>> {
    let mut jobs_by_reason: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    for (job, reason) in &*controller.pending_reasons.by_job() {
        jobs_by_reason
            .entry(reason.as_str())
            .or_default()
            .push(job.clone());
    }
    let reasons = jobs_by_reason.into_iter();
    reasons
        .map(|(reason, mut jobs)| {
            let count = jobs.len();
            jobs.truncate(JOBS_NAMED_PER_REASON);
            PendingJobs {
                reason,
                count,
                first: jobs,
            }
        })
        .collect()
}
