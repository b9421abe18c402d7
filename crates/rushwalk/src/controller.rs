//! A controller: its parts, how they are constructed, and its background loops.
//!
//! Every part keeps its own state behind its own lock, and every loop gets only the parts
//! that it uses (see `docs/ARCHITECTURE.md`).

mod background_loops;
mod socket_limits;

pub use self::background_loops::BackgroundLoops;
pub use self::socket_limits::max_idle_connections;

use self::socket_limits::max_public_connections;
use crate::connections::ConnectionTable;
use crate::context::Context;
use crate::failure_detection::{HeartbeatSource, LocalHealthSource};
use crate::leadership::Leadership;
use crate::leadership::election::{Election, ElectionParts};
use crate::observability::incidents::IncidentRecorder;
use crate::observability::rejections::RejectionCounter;
use crate::observability::runtime_lag::RuntimeLag;
use crate::observability::work_profile::WorkProfile;
use crate::peers::PeerMonitor;
use crate::scheduling::PendingReasons;
use crate::store::{Committer, LogWriter, Membership, Replica, UserWrites};
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

/// The number of samples of the event loop's lag in each scheduling round.
const LAG_SAMPLES_PER_ROUND: u32 = 8;

/// The parts of a controller.
pub struct Controller {
    /// Identity, settings and timing of this process.
    pub context: Arc<Context>,
    /// The replica of the cluster's state.
    pub replica: Arc<Replica>,
    /// Commits transactions to the store within the write budget.
    pub committer: Arc<Committer>,
    /// Appends mutations to the log in the store.
    pub log: Arc<LogWriter>,
    /// The sending side of the queue of users' writes.
    pub user_writes: UserWrites,
    /// The member lease and record of this process.
    pub membership: Arc<Membership>,
    /// Whether this process is the leader, and its commits as the leader.
    pub leadership: Arc<Leadership>,
    /// The failure detector for the other controllers, and other observations of them.
    pub peers: Arc<PeerMonitor>,
    /// The client for calls to the other controllers.
    pub peer_client: PeerClient,
    /// Builds the heartbeats that this controller sends to its peers.
    pub heartbeats: Arc<HeartbeatSource>,
    /// The sessions of the workers.
    pub workers: Arc<WorkerRegistry>,
    /// Why jobs are pending, as of the latest scheduling round of this process.
    pub pending_reasons: Arc<PendingReasons>,
    /// The lag of the event loop, which is the controller's only thread.
    pub runtime_lag: Arc<RuntimeLag>,
    /// The time spent on each kind of work since the start of this process.
    pub work_profile: Arc<WorkProfile>,
    /// The current and the last incident in which this controller's service was impaired.
    pub incidents: Arc<Mutex<IncidentRecorder>>,
    /// Counts responses to users with status 429 or 503.
    pub rejections: Arc<RejectionCounter>,
    /// The open connections at the public address.
    pub connections: Arc<ConnectionTable>,
}

impl Controller {
    /// Constructs a controller, and its background loops, which are not started yet.
    ///
    /// # Errors
    ///
    /// If the address of the store or of the cloud in the settings is malformed.
    pub fn new(
        settings: Settings,
        http: HttpClient,
    ) -> Result<(Arc<Controller>, BackgroundLoops), Error> {
        let clients = Clients::new(&settings, http)?;
        let max_connections = max_public_connections(settings.site.limits.fd_limit);
        let context = Arc::new(Context::new(settings));
        let (user_writes, user_write_queue) = UserWrites::new();
        let StoreParts {
            replica,
            committer,
            log,
            membership,
            leadership,
        } = StoreParts::new(&context, clients.store);
        let peers = Arc::new(PeerMonitor::new(context.clone()));
        let workers = Arc::new(WorkerRegistry::new(context.timing.clone()));
        let lag_interval = context.timing.round / LAG_SAMPLES_PER_ROUND;
        let runtime_lag = Arc::new(RuntimeLag::new(lag_interval));
        let heartbeats = Arc::new(HeartbeatSource {
            context: context.clone(),
            replica: replica.clone(),
            leadership: leadership.clone(),
            peers: peers.clone(),
            workers: workers.clone(),
            runtime_lag: runtime_lag.clone(),
        });
        let controller = Arc::new(Controller {
            context,
            replica,
            committer,
            log,
            user_writes,
            membership,
            leadership,
            peers,
            peer_client: clients.peers,
            heartbeats,
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
            cloud: clients.cloud,
            worker_client: clients.workers,
            tracker: Arc::default(),
            user_write_queue,
        };
        Ok((controller, loops))
    }

    /// The source of this controller's own health, which its failure detector takes into account.
    pub fn local_health(&self) -> LocalHealthSource {
        LocalHealthSource {
            replica: self.replica.clone(),
            leadership: self.leadership.clone(),
            runtime_lag: self.runtime_lag.clone(),
            peers: self.peers.clone(),
        }
    }

    /// This controller's participation in leader elections.
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

/// The clients for the services that a controller calls.
struct Clients {
    store: StoreClient,
    cloud: Arc<CloudClient>,
    workers: WorkerClient,
    peers: PeerClient,
}

impl Clients {
    fn new(settings: &Settings, http: HttpClient) -> Result<Clients, Error> {
        let site = &settings.site;
        let store = parse_address(&settings.endpoints.store)?;
        let cloud = parse_address(&settings.endpoints.cloud)?;
        let cloud = CloudClient::new(http.clone(), cloud, site.cloud.rps);
        let max_calls = max_idle_connections(site.limits.fd_limit);
        Ok(Clients {
            store: StoreClient::new(http.clone(), store),
            cloud: Arc::new(cloud),
            workers: WorkerClient::new(http.clone(), max_calls),
            peers: PeerClient::new(http),
        })
    }
}

/// The parts that read and write the store.
struct StoreParts {
    replica: Arc<Replica>,
    committer: Arc<Committer>,
    log: Arc<LogWriter>,
    membership: Arc<Membership>,
    leadership: Arc<Leadership>,
}

impl StoreParts {
    fn new(context: &Arc<Context>, store: StoreClient) -> StoreParts {
        let replica = Arc::new(Replica::new(context.clone(), store.clone()));
        let committer = Committer::new(context, store.clone(), replica.clone());
        let committer = Arc::new(committer);
        let log = LogWriter::new(context.clone(), replica.clone(), committer.clone());
        let membership =
            Membership::new(context.clone(), store, replica.clone(), committer.clone());
        let log = Arc::new(log);
        let leadership = Leadership::new(
            context.clone(),
            replica.clone(),
            committer.clone(),
            log.clone(),
        );
        StoreParts {
            replica,
            committer,
            log,
            membership: Arc::new(membership),
            leadership: Arc::new(leadership),
        }
    }
}
