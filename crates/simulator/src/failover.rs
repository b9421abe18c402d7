//! One failover scenario, run on virtual time and measured.

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

/// What a failover cost.
#[derive(Debug, Clone, Serialize)]
pub struct FailoverMeasurements {
    /// What was run.
    #[serde(rename = "failure")]
    pub scenario: FailoverScenario,
    /// Number of controllers.
    pub controllers: usize,
    /// The seed.
    pub seed: u64,
    /// Time after which processes that ended are started again, in seconds.
    pub restart_s: f64,
    /// The longest time without a scheduling round of any leader from the failure on, in
    /// seconds.
    #[serde(rename = "no_round_s")]
    pub longest_round_gap_s: f64,
    /// From the failure to the first suspicion of a controller that failed, in seconds.
    pub suspected_s: Option<f64>,
    /// From the failure until such a controller is declared failed, by evidence or by the end
    /// of its lease, in seconds.
    #[serde(rename = "judged_s")]
    pub declared_failed_s: Option<f64>,
    /// How often a controller without any fault was declared failed by evidence.
    #[serde(rename = "false_verdicts")]
    pub false_positives: usize,
    /// Of each machine of the failed controllers: from the failure until its shard's owner
    /// has its heartbeat, in seconds.
    #[serde(rename = "heard_s")]
    pub machine_recovery_s: Vec<f64>,
    /// Machines whose heartbeat no owner had at the end.
    #[serde(rename = "unheard")]
    pub unrecovered_machines: usize,
    /// Number of terms in which some controller led.
    pub leaders: usize,
    /// Number of shards.
    #[serde(rename = "blocks")]
    pub shards: usize,
    /// How often a shard changed its owner.
    #[serde(rename = "moved")]
    pub shard_moves: usize,
    /// Starts of tasks.
    pub started: usize,
    /// Violations of invariants, a line each.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// Machines of each run: enough for several shards' worth of heartbeats.
pub const MACHINES: u32 = 60;

/// The team's GPUs: more than any run needs.
const TEAM_GPUS: f64 = 4000.0;
/// Observations per second.
const OBSERVATIONS_PER_S: u32 = 20;
/// Time between two observations, in seconds.
const OBSERVATION_INTERVAL_S: f64 = 1.0 / OBSERVATIONS_PER_S as f64;
/// Observations between two submissions and checks of the invariants.
const OBSERVATIONS_PER_SUBMISSION: u32 = 2 * OBSERVATIONS_PER_S;
/// Number of the first array's id.
const FIRST_ARRAY: u32 = 101;
/// Arrays submitted before the failure, one each two seconds.
const ARRAYS_BEFORE_FAILURE: u32 = 5;

/// Runs a scenario with some controllers, on a runtime with simulated time. Processes that
/// end are started again after `restart_s` seconds.
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

/// Carries out the scenario's actions on time and observes the cluster for `duration_s`
/// seconds, while arrays are submitted.
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

/// A cluster whose machines all run a service, and that starts arrays in every round.
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

/// Submits an array without waiting for the response: the failure goes on meanwhile.
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
