//! Runs failover scenarios on virtual time and measures their effects.

mod actions;
mod observer;
mod scenario;

pub use scenario::FailoverScenario;

use crate::cluster::{ClusterConfig, SimulatedCluster, job};
use actions::ActionSchedule;
use observer::Observer;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rushwalk_protocol::jobs::JobSpec;
use serde::Serialize;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Measurements of one run of a failover scenario.
#[derive(Debug, Clone, Serialize)]
pub struct FailoverMeasurements {
    /// The scenario that was run.
    #[serde(rename = "failure")]
    pub scenario: FailoverScenario,
    /// Number of controllers in the cluster, failed ones included.
    pub controllers: usize,
    /// The seed of all random choices of the run.
    pub seed: u64,
    /// Delay until a crashed controller is restarted, in seconds.
    pub restart_s: f64,
    /// The longest time in which no leader finished a scheduling round or acquired leadership, in
    /// seconds. At most one second of it lies before the failure.
    #[serde(rename = "no_round_s")]
    pub longest_round_gap_s: f64,
    /// Time from the failure until a failed controller is suspected for the first time, in
    /// seconds; `None` if none was suspected.
    pub suspected_s: Option<f64>,
    /// Time from the failure until a failed controller is declared failed, because of evidence or
    /// of the expiry of its lease, in seconds; `None` if none was declared failed.
    #[serde(rename = "judged_s")]
    pub declared_failed_s: Option<f64>,
    /// How often a controller without a fault was declared failed for another reason than the
    /// expiry of its lease.
    #[serde(rename = "false_verdicts")]
    pub false_positives: usize,
    /// For each recovered machine among those whose shards the failed controllers owned: time from
    /// the failure until an owner of its shard received a heartbeat from it, in seconds.
    #[serde(rename = "heard_s")]
    pub machine_recovery_s: Vec<f64>,
    /// Number of machines whose shards the failed controllers owned and from which no owner of
    /// their shard received a heartbeat between the failure and the end of the run.
    #[serde(rename = "unheard")]
    pub unrecovered_machines: usize,
    /// Number of versions of the leader key that were observed. Each election writes one, and so
    /// does a leader that renews its term after a commit of unknown outcome.
    pub leaders: usize,
    /// Number of shards that had an owner at any time of the observation.
    #[serde(rename = "blocks")]
    pub shards: usize,
    /// How often a shard's owner changed.
    #[serde(rename = "moved")]
    pub shard_moves: usize,
    /// Number of task starts.
    pub started: usize,
    /// Violations of invariants, one line each; empty if all invariants hold.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// Number of machines in each run: enough for their heartbeats to be spread over several shards.
pub const MACHINES: u32 = 60;

/// GPU quota of the team: more than any run needs.
const TEAM_GPUS: f64 = 4000.0;
/// Number of observations per second of virtual time.
const OBSERVATIONS_PER_S: u32 = 20;
/// Time between two observations, in seconds.
const OBSERVATION_INTERVAL_S: f64 = 1.0 / OBSERVATIONS_PER_S as f64;
/// Number of observations between two submissions of arrays. The invariants are checked before
/// each submission.
const OBSERVATIONS_PER_SUBMISSION: u32 = 2 * OBSERVATIONS_PER_S;
/// Number in the id of the first array. The service has the number 1.
const FIRST_ARRAY: u32 = 101;
/// Number of arrays submitted before the failure, one every two seconds.
const ARRAYS_BEFORE_FAILURE: u32 = 5;

/// Runs a scenario with a number of controllers. The current runtime must use simulated time.
/// Crashed controllers are restarted after `restart_s` seconds.
pub async fn run(
    scenario: FailoverScenario,
    controllers: usize,
    seed: u64,
    restart_s: f64,
) -> FailoverMeasurements {
    let mut cluster = busy_cluster(controllers, seed).await;
    let mut random = SmallRng::seed_from_u64(seed);
    sleep(Duration::from_millis(random.random_range(0..2000))).await;
    let leader = cluster.leader();
    let failed = scenario.failed_controllers(leader, controllers);
    let mut observer = Observer::new(&cluster, &failed);
    let mut actions = ActionSchedule::new(scenario, controllers, leader, restart_s);
    let duration_s = scenario.duration_s(controllers);
    observe_failover(&mut cluster, &mut actions, &mut observer, duration_s).await;
    let checker = cluster.platform.checker();
    FailoverMeasurements {
        scenario,
        controllers,
        seed,
        restart_s,
        longest_round_gap_s: observer.longest_round_gap.as_secs_f64(),
        suspected_s: observer.suspected_after.map(|d| d.as_secs_f64()),
        declared_failed_s: observer.declared_failed_after.map(|d| d.as_secs_f64()),
        false_positives: observer.false_positives.len(),
        machine_recovery_s: observer.machine_recovery_s,
        unrecovered_machines: observer.unrecovered_machines.len(),
        leaders: observer.leader_revisions.len(),
        shards: observer.shard_owners.len(),
        shard_moves: observer.shard_moves,
        started: checker.started,
        violations: checker.violations.clone(),
    }
}

/// Observes the cluster for `duration_s` seconds, while the scenario's actions are taken when due
/// and an array is submitted every two seconds.
async fn observe_failover(
    cluster: &mut SimulatedCluster,
    actions: &mut ActionSchedule,
    observer: &mut Observer,
    duration_s: u32,
) {
    let mut next_array = FIRST_ARRAY + ARRAYS_BEFORE_FAILURE;
    for observation in 0..OBSERVATIONS_PER_S * duration_s {
        let now_s = f64::from(observation) / f64::from(OBSERVATIONS_PER_S);
        for successor in actions.run_due(cluster, now_s) {
            observer.add_failed(successor);
        }
        sleep(Duration::from_secs(1) / OBSERVATIONS_PER_S).await;
        observer.observe(cluster);
        if observation % OBSERVATIONS_PER_SUBMISSION == 0 {
            cluster.platform.check_invariants();
            spawn_submission(cluster, next_array);
            next_array += 1;
        }
    }
}

/// A cluster in which a service occupies `MACHINES` machines and short arrays have been submitted,
/// one every two seconds, so that scheduling rounds have tasks to start.
async fn busy_cluster(controllers: usize, seed: u64) -> SimulatedCluster {
    let config = ClusterConfig {
        controllers,
        ..ClusterConfig::with_gpus(TEAM_GPUS)
    };
    let mut cluster = SimulatedCluster::warmed_up(config, seed).await;
    cluster.submit(1, "standing", MACHINES, 4.0, 0.0).await;
    cluster.run_for(30).await;
    for number in FIRST_ARRAY..FIRST_ARRAY + ARRAYS_BEFORE_FAILURE {
        cluster.submit(number, "sweep", 4, 1.0, 20.0).await;
        cluster.run_for(2).await;
    }
    cluster
}

/// Submits an array in the background, because the scenario must continue while no controller
/// responds.
fn spawn_submission(cluster: &SimulatedCluster, number: u32) {
    let id = format!("j-{number:06}");
    let body = job(&id, "sweep", 4, 1.0, 20.0);
    if let Ok(spec) = JobSpec::parse(body.as_bytes()) {
        cluster.platform.checker().jobs.insert(id, spec);
    }
    let (platform, controllers) = (cluster.platform.clone(), cluster.processes.len());
    tokio::spawn(async move {
        for attempt in 0..20 {
            let controller = attempt % controllers;
            let call =
                platform.user_request(controller, "POST", "/api/jobs", body.clone().into_bytes());
            let response = timeout(Duration::from_secs(5), call).await;
            if let Ok(Some(response)) = response
                && matches!(response.status, 200 | 201)
            {
                return;
            }
            sleep(Duration::from_secs(1)).await;
        }
    });
}
