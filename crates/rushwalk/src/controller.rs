//! One controller, put together from its parts, and the loops that they run.
//!
//! Every part keeps its own state behind its own lock, and every loop gets just the parts
//! that it uses (see `docs/ARCHITECTURE.md`).

use crate::capacity::{Deletion, Inventory, RentalTracker, Rentals};
use crate::connections::ConnectionTable;
use crate::context::Context;
use crate::failure_detection::heartbeats::heartbeat_loop;
use crate::failure_detection::{FailureDetection, HeartbeatSource, LocalHealthSource};
use crate::leadership::Leadership;
use crate::leadership::election::{Election, ElectionParts};
use crate::leadership::snapshot_writer::SnapshotWriter;
use crate::observability::incidents::IncidentRecorder;
use crate::observability::rejections::RejectionCounter;
use crate::observability::runtime_lag::RuntimeLag;
use crate::observability::work_profile::WorkProfile;
use crate::peers::PeerMonitor;
use crate::reporting::{IncidentObserver, UsageReport};
use crate::scheduling::{PendingReasons, Scheduler, SchedulerParts};
use crate::shards::assignment::ShardAssignerParts;
use crate::shards::{Dispatcher, Fencing, Reconciler, ShardAssigner};
use crate::store::replica::{read_loop, watch_loop};
use crate::store::{Committer, LogWriter, Membership, Replica, UserWriteQueue, UserWrites};
use crate::workers::WorkerRegistry;
use parking_lot::Mutex;
use rushwalk_clients::cloud::CloudClient;
use rushwalk_clients::http::parse_address;
use rushwalk_clients::peers::PeerClient;
use rushwalk_clients::store::StoreClient;
use rushwalk_clients::workers::WorkerClient;
use rushwalk_clients::{Error, HttpClient};
use rushwalk_protocol::settings::Settings;
use std::sync::Arc;
use tokio::task::JoinHandle;

/// Looks at the runtime's lag in a round.
const LAG_LOOKS_PER_ROUND: u32 = 8;

/// How many idle connections may be kept, and calls to workers be under way, if the number
/// of sockets is not limited.
const DEFAULT_MAX_IDLE: usize = 256;

/// One in so many sockets is for idle connections, which leaves the others and the memory to
/// callers; as many are for calls to workers.
const IDLE_SOCKET_SHARE: f64 = 16.0;

/// One in so many sockets is left free by the public address.
const FREE_SOCKET_SHARE: usize = 8;

/// How many idle connections may be kept; 0 sockets means no limit.
pub fn max_idle_connections(sockets: f64) -> usize {
    match sockets as usize {
        0 => DEFAULT_MAX_IDLE,
        sockets => sockets.div_ceil(IDLE_SOCKET_SHARE as usize),
    }
}

/// How many connections the public address may have; 0 sockets means no limit.
fn max_public_connections(sockets: f64) -> usize {
    match sockets as usize {
        0 => usize::MAX,
        sockets => sockets - sockets / FREE_SOCKET_SHARE,
    }
}

/// The parts of a controller.
pub struct Controller {
    /// Identity, settings and timing of this process.
    pub context: Arc<Context>,
    /// The replica of the cluster's state.
    pub replica: Arc<Replica>,
    /// Commits within the write budget.
    pub committer: Arc<Committer>,
    /// Appends to the log.
    pub log: Arc<LogWriter>,
    /// Where users' writes are handed in.
    pub user_writes: UserWrites,
    /// The member lease and record.
    pub membership: Arc<Membership>,
    /// Whether this process leads.
    pub leadership: Arc<Leadership>,
    /// What is known of the other controllers.
    pub peers: Arc<PeerMonitor>,
    /// How the other controllers are called.
    pub peer_client: PeerClient,
    /// This controller's own heartbeat.
    pub heartbeats: Arc<HeartbeatSource>,
    /// This controller's own health.
    pub local_health: LocalHealthSource,
    /// What is known of workers.
    pub workers: Arc<WorkerRegistry>,
    /// Why jobs wait.
    pub pending_reasons: Arc<PendingReasons>,
    /// Whether this thread keeps up.
    pub runtime_lag: Arc<RuntimeLag>,
    /// Where the time goes.
    pub work_profile: Arc<WorkProfile>,
    /// How long this controller did not serve as usual.
    pub incidents: Arc<Mutex<IncidentRecorder>>,
    /// Requests of users that were rejected.
    pub rejections: Arc<RejectionCounter>,
    /// Connections at the public address.
    pub connections: Arc<ConnectionTable>,
}

/// The loops of a controller that has not started yet.
pub struct BackgroundLoops {
    controller: Arc<Controller>,
    cloud: Arc<CloudClient>,
    worker_client: WorkerClient,
    tracker: Arc<RentalTracker>,
    user_write_queue: UserWriteQueue,
}

impl Controller {
    /// Puts a controller together.
    ///
    /// # Errors
    ///
    /// If an address in the settings is none.
    pub fn new(
        settings: Settings,
        http: HttpClient,
    ) -> Result<(Arc<Controller>, BackgroundLoops), Error> {
        let store = StoreClient::new(http.clone(), parse_address(&settings.endpoints.store)?);
        let cloud_address = parse_address(&settings.endpoints.cloud)?;
        let site = &settings.site;
        let cloud = Arc::new(CloudClient::new(
            http.clone(),
            cloud_address,
            site.cloud.rps,
        ));
        let max_calls = max_idle_connections(site.limits.fd_limit);
        let worker_client = WorkerClient::new(http.clone(), max_calls);
        let max_connections = max_public_connections(site.limits.fd_limit);
        let context = Arc::new(Context::new(settings));
        let replica = Arc::new(Replica::new(context.clone(), store.clone()));
        let committer = Committer::new(&context, store.clone(), replica.clone());
        let committer = Arc::new(committer);
        let log = LogWriter::new(context.clone(), replica.clone(), committer.clone());
        let log = Arc::new(log);
        let (user_writes, user_write_queue) = UserWrites::new();
        let membership = Arc::new(Membership::new(
            context.clone(),
            store.clone(),
            replica.clone(),
            committer.clone(),
        ));
        let leadership = Arc::new(Leadership::new(
            context.clone(),
            replica.clone(),
            committer.clone(),
            log.clone(),
        ));
        let peers = Arc::new(PeerMonitor::new(context.clone()));
        let workers = Arc::new(WorkerRegistry::new(context.timing.clone()));
        let lag_interval = context.timing.round / LAG_LOOKS_PER_ROUND;
        let runtime_lag = Arc::new(RuntimeLag::new(lag_interval));
        let heartbeats = Arc::new(HeartbeatSource {
            context: context.clone(),
            replica: replica.clone(),
            leadership: leadership.clone(),
            peers: peers.clone(),
            workers: workers.clone(),
            runtime_lag: runtime_lag.clone(),
        });
        let local_health = LocalHealthSource {
            replica: replica.clone(),
            leadership: leadership.clone(),
            runtime_lag: runtime_lag.clone(),
            peers: peers.clone(),
        };
        let controller = Arc::new(Controller {
            context,
            replica,
            committer,
            log,
            user_writes,
            membership,
            leadership,
            peers,
            peer_client: PeerClient::new(http),
            heartbeats,
            local_health,
            workers,
            pending_reasons: Arc::default(),
            runtime_lag,
            work_profile: Arc::default(),
            incidents: Arc::default(),
            rejections: Arc::default(),
            connections: Arc::new(ConnectionTable::new(max_connections)),
        });
        let loops = BackgroundLoops {
            controller: controller.clone(),
            cloud,
            worker_client,
            tracker: Arc::default(),
            user_write_queue,
        };
        Ok((controller, loops))
    }

    /// This controller's part in elections.
    pub fn election(&self) -> Election {
        Election::new(ElectionParts {
            context: self.context.clone(),
            replica: self.replica.clone(),
            committer: self.committer.clone(),
            membership: self.membership.clone(),
            leadership: self.leadership.clone(),
            peers: self.peers.clone(),
            runtime_lag: self.runtime_lag.clone(),
        })
    }
}

impl BackgroundLoops {
    /// Starts all loops. None of them ends by itself.
    pub fn spawn(self) -> Vec<JoinHandle<()>> {
        let controller = &self.controller;
        let context = &controller.context;
        let replica = &controller.replica;
        let work_profile = &controller.work_profile;
        let worker_lease = context.timing.worker_lease;
        let mut loops = vec![
            tokio::spawn(watch_loop(replica.clone(), work_profile.clone())),
            tokio::spawn(read_loop(replica.clone(), work_profile.clone())),
            tokio::spawn(controller.membership.clone().run()),
            tokio::spawn(self.reconciler().run()),
            tokio::spawn(self.fencing().run()),
            tokio::spawn(self.scheduler().run()),
            tokio::spawn(self.shard_assigner().run()),
            tokio::spawn(self.rentals().run()),
            tokio::spawn(self.deletion().run()),
            tokio::spawn(self.inventory().run()),
            tokio::spawn(self.snapshot_writer().run()),
            tokio::spawn(heartbeat_loop(
                controller.heartbeats.clone(),
                controller.peer_client.clone(),
            )),
            tokio::spawn(self.failure_detection().run()),
            tokio::spawn(controller.election().run()),
            tokio::spawn(self.usage_report().run()),
            tokio::spawn(controller.runtime_lag.clone().sampling_loop()),
            tokio::spawn(controller.connections.clone().sweep_loop(worker_lease)),
            tokio::spawn(self.incident_observer().run()),
        ];
        let user_writes =
            self.user_write_queue
                .run(context.clone(), replica.clone(), controller.log.clone());
        loops.push(tokio::spawn(user_writes));
        loops
    }

    fn reconciler(&self) -> Reconciler {
        let controller = &self.controller;
        Reconciler {
            context: controller.context.clone(),
            replica: controller.replica.clone(),
            log: controller.log.clone(),
            workers: controller.workers.clone(),
            dispatcher: Dispatcher {
                context: controller.context.clone(),
                replica: controller.replica.clone(),
                workers: controller.workers.clone(),
                client: self.worker_client.clone(),
                runtime_lag: controller.runtime_lag.clone(),
            },
            work_profile: controller.work_profile.clone(),
        }
    }

    fn fencing(&self) -> Fencing {
        let controller = &self.controller;
        Fencing {
            context: controller.context.clone(),
            replica: controller.replica.clone(),
            committer: controller.committer.clone(),
            workers: controller.workers.clone(),
        }
    }

    fn scheduler(&self) -> Scheduler {
        let controller = &self.controller;
        Scheduler::new(SchedulerParts {
            context: controller.context.clone(),
            replica: controller.replica.clone(),
            leadership: controller.leadership.clone(),
            peers: controller.peers.clone(),
            cloud: self.cloud.clone(),
            tracker: self.tracker.clone(),
            pending_reasons: controller.pending_reasons.clone(),
            runtime_lag: controller.runtime_lag.clone(),
            work_profile: controller.work_profile.clone(),
        })
    }

    fn shard_assigner(&self) -> ShardAssigner {
        let controller = &self.controller;
        ShardAssigner::new(ShardAssignerParts {
            context: controller.context.clone(),
            replica: controller.replica.clone(),
            leadership: controller.leadership.clone(),
            peers: controller.peers.clone(),
            heartbeats: controller.heartbeats.clone(),
            runtime_lag: controller.runtime_lag.clone(),
            work_profile: controller.work_profile.clone(),
        })
    }

    fn rentals(&self) -> Rentals {
        let controller = &self.controller;
        Rentals {
            context: controller.context.clone(),
            replica: controller.replica.clone(),
            leadership: controller.leadership.clone(),
            cloud: self.cloud.clone(),
            tracker: self.tracker.clone(),
        }
    }

    fn deletion(&self) -> Deletion {
        let controller = &self.controller;
        Deletion {
            context: controller.context.clone(),
            replica: controller.replica.clone(),
            leadership: controller.leadership.clone(),
            cloud: self.cloud.clone(),
            tracker: self.tracker.clone(),
        }
    }

    fn inventory(&self) -> Inventory {
        let controller = &self.controller;
        Inventory {
            context: controller.context.clone(),
            replica: controller.replica.clone(),
            leadership: controller.leadership.clone(),
            cloud: self.cloud.clone(),
            tracker: self.tracker.clone(),
        }
    }

    fn snapshot_writer(&self) -> SnapshotWriter {
        let controller = &self.controller;
        SnapshotWriter {
            context: controller.context.clone(),
            replica: controller.replica.clone(),
            committer: controller.committer.clone(),
            log: controller.log.clone(),
            leadership: controller.leadership.clone(),
            work_profile: controller.work_profile.clone(),
        }
    }

    fn failure_detection(&self) -> FailureDetection {
        let controller = &self.controller;
        FailureDetection::new(
            controller.context.clone(),
            controller.membership.clone(),
            controller.local_health.clone(),
        )
    }

    fn usage_report(&self) -> UsageReport {
        let controller = &self.controller;
        UsageReport {
            context: controller.context.clone(),
            replica: controller.replica.clone(),
            connections: controller.connections.clone(),
            runtime_lag: controller.runtime_lag.clone(),
            work_profile: controller.work_profile.clone(),
        }
    }

    fn incident_observer(&self) -> IncidentObserver {
        let controller = &self.controller;
        IncidentObserver {
            context: controller.context.clone(),
            replica: controller.replica.clone(),
            workers: controller.workers.clone(),
            runtime_lag: controller.runtime_lag.clone(),
            rejections: controller.rejections.clone(),
            recorder: controller.incidents.clone(),
        }
    }
}
