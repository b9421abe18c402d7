//! A cluster of complete controllers on the simulated platform, with operations for tests.

mod jobs;
mod requests;

pub use jobs::{JobProperties, job, job_with};
pub use requests::{JobResponse, request, send_requests_to_all_controllers};

use crate::inspect;
use poem::endpoint::{BoxEndpoint, EndpointExt};
use poem::{Endpoint as _, Response};
use rushwalk::clock::use_virtual_time;
use rushwalk::controller::Controller;
use rushwalk::http::{peer_routes, public_routes};
use rushwalk_clients::HttpClient;
use rushwalk_protocol::jobs::JobSpec;
use rushwalk_protocol::settings::{PeerSettings, Settings, Team};
use rushwalk_testkit::platform::{ControllerTransport, Endpoint, HttpResponse};
use rushwalk_testkit::store::TransactionLimits;
use rushwalk_testkit::{Fault, SimulatedPlatform, TeamLimit, ZONES};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// The settings file from which the settings of all controllers are made.
const SETTINGS: &str = include_str!("../../protocol/tests/settings.toml");
/// Interval of workers' heartbeats; equal to `report_s` in the settings.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3);
/// Time without a response after which a worker drops its tasks; equal to `lease_s` in the
/// settings.
const WORKER_LEASE: Duration = Duration::from_secs(40);
/// Limit of the time from a confirmed cancellation to the end of the job's last task; equal to
/// `cancel_s` in the settings.
const CANCELLATION_DEADLINE: Duration = Duration::from_secs(65);

/// The process of a running controller.
pub struct ControllerProcess {
    /// The background tasks of the controller.
    pub loops: Vec<JoinHandle<()>>,
    /// The controller, whose state the background tasks share.
    pub controller: Arc<Controller>,
    /// Shared with the process's transport, which sends nothing more once this is false.
    alive: Arc<AtomicBool>,
}

impl ControllerProcess {
    fn stop(self) {
        self.alive.store(false, Ordering::Relaxed);
        self.loops.iter().for_each(JoinHandle::abort);
    }
}

/// A team and its quota.
#[derive(Debug, Clone, Copy)]
pub struct TeamQuota {
    /// The team's name, which jobs give to belong to the team.
    pub team: &'static str,
    /// Maximum number of GPUs that the team's running tasks may use together; 0 means no limit.
    pub gpus: f64,
}

/// The configuration of a simulated cluster.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    /// Number of controllers. They are assigned to the zones in turn.
    pub controllers: usize,
    /// The teams. A job belongs to the team `red` unless it names another.
    pub teams: Vec<TeamQuota>,
    /// Limit on writes to the store in the controllers' settings, per second. The simulated store
    /// does not enforce it.
    pub write_rps: f64,
    /// Limit on requests to the cloud in the controllers' settings, per second. The simulated
    /// cloud does not enforce it.
    pub cloud_rps: f64,
    /// Limit on the size of a value in the store, in KB.
    pub value_kb: f64,
    /// Number of the latest changes that the store retains; 0 means all. A watch that begins
    /// before them gets status 410, so that the controller has to list the store.
    pub retained_changes: usize,
}

impl Default for ClusterConfig {
    fn default() -> ClusterConfig {
        ClusterConfig {
            controllers: 3,
            teams: vec![TeamQuota {
                team: "red",
                gpus: 20.0,
            }],
            write_rps: 50.0,
            cloud_rps: 8.0,
            value_kb: 32.0,
            retained_changes: 10_000,
        }
    }
}

impl ClusterConfig {
    /// The default configuration with a quota of `gpus` for its only team.
    pub fn with_gpus(gpus: f64) -> ClusterConfig {
        ClusterConfig {
            teams: vec![TeamQuota { team: "red", gpus }],
            ..ClusterConfig::default()
        }
    }
}

/// A simulated platform with controllers. Its methods are meant for tests: they panic if all
/// attempts of a job request fail without a response or with status 429 or 503, or if an asserted
/// condition does not hold.
pub struct SimulatedCluster {
    /// The platform on which the controllers run; it injects faults and checks the invariants.
    pub platform: Arc<SimulatedPlatform>,
    /// The process of each controller, by the controller's index; `None` while it is stopped.
    pub processes: Vec<Option<ControllerProcess>>,
    /// The registered jobs, by id.
    pub jobs: BTreeMap<String, JobSpec>,
    /// The configuration. Changes apply only to controllers that are started afterwards.
    pub config: ClusterConfig,
}

impl SimulatedCluster {
    /// A cluster with the default configuration: three controllers in three zones.
    pub fn new(seed: u64) -> SimulatedCluster {
        SimulatedCluster::with_config(ClusterConfig::default(), seed)
    }

    /// A cluster with all its controllers started.
    pub fn with_config(config: ClusterConfig, seed: u64) -> SimulatedCluster {
        use_virtual_time(seed);
        let platform =
            SimulatedPlatform::new(config.controllers, seed, HEARTBEAT_INTERVAL, WORKER_LEASE);
        platform.retain_changes(config.retained_changes);
        {
            let mut checker = platform.checker();
            checker.cancellation_deadline = CANCELLATION_DEADLINE;
            for quota in &config.teams {
                let limit = TeamLimit {
                    gpus: quota.gpus,
                    ..TeamLimit::default()
                };
                checker.limits.insert(quota.team.to_string(), limit);
            }
        }
        let mut cluster = SimulatedCluster {
            platform,
            processes: (0..config.controllers).map(|_| None).collect(),
            jobs: BTreeMap::new(),
            config,
        };
        let store = cluster.settings(0).site.store;
        cluster.platform.limit_transactions(TransactionLimits {
            max_writes: store.txn_ops,
            max_value_bytes: (store.value_kb * 1024.0) as usize,
        });
        cluster.start_all();
        cluster
    }

    /// A cluster that has run for ten seconds.
    pub async fn warmed_up(config: ClusterConfig, seed: u64) -> SimulatedCluster {
        let cluster = SimulatedCluster::with_config(config, seed);
        cluster.run_for(10).await;
        cluster
    }

    fn settings(&self, index: usize) -> Settings {
        let mut settings = Settings::parse(SETTINGS).unwrap();
        settings.member = member_name(index);
        settings.zone = zone_of(index);
        let others = (0..self.processes.len()).filter(|other| *other != index);
        settings.peers = others.map(peer_settings).collect();
        let template = settings.site.teams[0].clone();
        let teams = self.config.teams.iter().map(|quota| Team {
            name: quota.team.to_string(),
            gpus_max: quota.gpus,
            ..template.clone()
        });
        settings.site.teams = teams.collect();
        settings.site.store.write_rps = self.config.write_rps;
        settings.site.store.value_kb = self.config.value_kb;
        settings.site.cloud.rps = self.config.cloud_rps;
        settings
    }

    /// Starts a controller that is stopped.
    pub fn start(&mut self, index: usize) {
        let alive = Arc::new(AtomicBool::new(true));
        let transport = ControllerTransport {
            platform: self.platform.clone(),
            controller: index,
            alive: alive.clone(),
        };
        let client = HttpClient::with_transport(Arc::new(transport));
        let (controller, loops) = Controller::new(self.settings(index), client).unwrap();
        let public_endpoint = public_routes(&controller).map_to_response().boxed();
        let peer_endpoint = peer_routes(&controller).map_to_response().boxed();
        self.platform.clear(Fault::ControllerStopped(index));
        self.platform.register_user_endpoint(
            index,
            controller.context.member(),
            endpoint(public_endpoint),
        );
        self.platform
            .register_peer_endpoint(index, endpoint(peer_endpoint));
        self.processes[index] = Some(ControllerProcess {
            loops: loops.spawn(),
            controller,
            alive,
        });
    }

    /// Starts all controllers, which must be stopped.
    pub fn start_all(&mut self) {
        (0..self.processes.len()).for_each(|index| self.start(index));
    }

    /// Starts a controller unless it is running.
    pub fn start_if_stopped(&mut self, index: usize) {
        if self.processes[index].is_none() {
            self.start(index);
        }
    }

    /// Ends a controller's process without a shutdown; no effect if it is stopped.
    pub fn crash(&mut self, index: usize) {
        self.platform.inject(Fault::ControllerStopped(index));
        if let Some(process) = self.processes[index].take() {
            process.stop();
        }
    }

    /// Ends the processes of all controllers without a shutdown.
    pub fn crash_all(&mut self) {
        (0..self.processes.len()).for_each(|index| self.crash(index));
    }

    /// The running controllers with their indexes.
    pub fn controllers(&self) -> impl Iterator<Item = (usize, &Arc<Controller>)> {
        let processes = self.processes.iter().enumerate();
        processes.filter_map(|(index, process)| Some((index, &process.as_ref()?.controller)))
    }

    /// The running controller with the lowest index. Panics if none is running.
    pub fn first_controller(&self) -> &Arc<Controller> {
        let (_, controller) = self.controllers().next().unwrap();
        controller
    }

    /// The index of the leader; 0 if there is no leader.
    pub fn leader(&self) -> usize {
        self.elected_leader().unwrap_or(0)
    }

    /// The lowest index of a running controller that considers itself the leader; `None` if no
    /// running controller does.
    pub fn elected_leader(&self) -> Option<usize> {
        let mut controllers = self.controllers();
        let leader = controllers.find(|(_, controller)| inspect::is_leader(controller));
        leader.map(|(index, _)| index)
    }

    /// Lets virtual time pass, and checks the invariants every second. Violations are collected by
    /// the platform's checker.
    pub async fn run_for(&self, seconds: u64) {
        for _ in 0..seconds {
            sleep(Duration::from_secs(1)).await;
            self.platform.check_invariants();
        }
    }

    /// Panics if an invariant was violated or no task was ever started.
    pub fn assert_invariants(&self) {
        let checker = self.platform.checker();
        assert!(checker.violations.is_empty(), "{:#?}", checker.violations);
        assert!(checker.started > 0, "no task was ever started");
    }

    /// Records in the checker that all faults have ended. After the first call, the checker also
    /// reports jobs that wait too long although they could start, and applies a stricter limit to
    /// unanswered queries. Further calls have no effect.
    pub fn declare_faults_ended(&self) {
        let mut checker = self.platform.checker();
        checker
            .faults_ended_at
            .get_or_insert_with(tokio::time::Instant::now);
    }
}

/// The member name of the controller with an index.
pub(crate) fn member_name(index: usize) -> String {
    format!("node-{index}")
}

fn zone_of(index: usize) -> String {
    ZONES[index % ZONES.len()].to_string()
}

fn peer_settings(index: usize) -> PeerSettings {
    PeerSettings {
        member: member_name(index),
        zone: zone_of(index),
        endpoint: SimulatedPlatform::peer_address(index),
    }
}

/// Converts a controller's HTTP routes to the form in which the platform calls them.
fn endpoint(routes: BoxEndpoint<'static, Response>) -> Endpoint {
    let routes = Arc::new(routes);
    Arc::new(move |method: String, path: String, body: Vec<u8>| {
        let routes = routes.clone();
        Box::pin(async move {
            let request = poem::Request::builder()
                .method(method.parse().unwrap())
                .uri(path.parse().unwrap())
                .body(body);
            let response = match routes.call(request).await {
                Ok(response) => response,
                Err(error) => error.into_response(),
            };
            let status = response.status().as_u16();
            let body = response.into_body().into_bytes().await.unwrap_or_default();
            HttpResponse {
                status,
                body: body.to_vec(),
            }
        })
    })
}
