//! What all loops of one controller share.

use crate::http::connections::ConnectionTable;
use crate::leadership::leader::LeaderState;
pub use crate::lock::lock;
use crate::observability::incidents::IncidentRecorder;
use crate::observability::runtime_lag::RuntimeLag;
use crate::observability::work_profile::WorkProfile;
use crate::observable::Observable;
use crate::random;
use crate::store::log_writer::{EntryKeyAllocator, PendingWrite};
use crate::view::ClusterState;
use crate::view::served::JobCounts;
use crate::workers::registry::WorkerRegistry;
use rushwalk_clients::rate_limiter::RateLimiter;
use rushwalk_clients::store::{CommitOutcome, StoreClient};
use rushwalk_clients::{HttpClient, cloud::CloudClient, peers::PeerClient, workers::WorkerClient};
use rushwalk_failure_detector::reachability::MisroutedWorkers;
use rushwalk_failure_detector::{DetectorConfig, FailureDetector};
use rushwalk_protocol::settings::Settings;
use rushwalk_protocol::store::Transaction;
use rushwalk_scheduler::durations::DurationEstimator;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

/// Spans that follow from the platform's figures.
#[derive(Debug, Clone)]
pub struct Timing {
    /// How long a block is lent without the holder reading the state service.
    /// A cancellation told elsewhere must reach a task within `cancel_s`: an
    /// unaware holder renews the worker's lease for at most this long.
    pub lease_validity: Duration,
    /// The member lease: its end shows the others that this node is gone.
    pub member_lease: Duration,
    pub round: Duration,
    /// Between two greetings of the same peer.
    pub peer_heartbeat: Duration,
    pub heartbeat: Duration,
    pub worker_lease: Duration,
    /// A machine silent for this long is suspect.
    pub unreachable_after: Duration,
    /// Finishes closer than this count as equal.
    pub tie: Duration,
}

impl Timing {
    pub fn new(settings: &Settings) -> Timing {
        let w = &settings.site.workers;
        let secs = Duration::from_secs_f64;
        let round = (w.heartbeat_s / 3.0).min(w.lease_s / 40.0);
        // With many peers each is greeted less often: others tell of them too.
        let many = (settings.peers.len() as f64 / 4.0).max(1.0);
        Timing {
            lease_validity: secs(0.8 * (w.cancel_s - w.lease_s)),
            member_lease: secs((2.0 * w.heartbeat_s).min(w.lease_s / 7.0).max(1.0)),
            round: secs(round),
            peer_heartbeat: secs(round / 3.0 * many),
            heartbeat: secs(w.heartbeat_s),
            worker_lease: secs(w.lease_s),
            unreachable_after: secs((3.0 * w.heartbeat_s).min(w.lease_s / 3.0)),
            tie: secs(w.heartbeat_s.min(w.lease_s / 14.0)),
        }
    }
}

pub struct Controller {
    pub settings: Settings,
    pub timing: Timing,
    /// One per process: a restarted controller inherits nothing by its name.
    pub incarnation: u64,
    pub store: StoreClient,
    pub cloud: CloudClient,
    pub workers: WorkerClient,
    pub peers: PeerClient,
    pub view: Mutex<ClusterState>,
    pub workers_seen: Mutex<WorkerRegistry>,
    pub leader_state: Mutex<LeaderState>,
    /// What this controller thinks of the others.
    pub detector: Mutex<FailureDetector>,
    /// Workers of others' blocks that turned up here.
    pub misrouted: Mutex<MisroutedWorkers>,
    /// When the latest planning round was finished, or the lead was taken.
    pub last_round: Mutex<Option<Instant>>,
    /// The share of time in which the thread was busy of late, in thousandths.
    pub busy_permille: AtomicU16,
    /// When the lead last passed from one who lives to another.
    pub leadership_moved: Mutex<Option<Instant>>,
    /// How far this leader's rounds are apart in the mean.
    pub round_interval: Mutex<Duration>,
    /// The process before this one ended within a member lease of its beginning: this one
    /// may, too.
    pub crash_looping: AtomicBool,
    /// The lead was taken: the first round need not wait for its turn.
    pub leadership_acquired: Notify,
    pub write_budget: Mutex<RateLimiter>,
    pub entry_keys: Mutex<EntryKeyAllocator>,
    /// Users' changes on their way into the log.
    pub user_writes: mpsc::Sender<PendingWrite>,
    user_write_queue: Mutex<Option<mpsc::Receiver<PendingWrite>>>,
    /// The newest of our own commits: nothing is decided before it is seen.
    committed: AtomicU64,
    /// Rises with every change of the view.
    pub changed: Observable<u64>,
    /// When the newest successful read of the state service was sent.
    pub last_read_sent: Observable<Option<Instant>>,
    pub read_requested: Notify,
    pub member_lease: Mutex<Option<u64>>,
    pub work_profile: WorkProfile,
    pub runtime_lag: Arc<RuntimeLag>,
    pub incidents: Mutex<IncidentRecorder>,
    /// Answers 429 and 503 to users since somebody looked.
    pub rejected_requests: AtomicU64,
    /// Connections at the public address.
    pub connections: Arc<ConnectionTable>,
    started: Instant,
}

thread_local! {
    /// On threads whose time is virtual, when it began.
    static VIRTUAL: std::cell::Cell<Option<Instant>> = const { std::cell::Cell::new(None) };
}

/// From now on the time of day on this thread follows its runtime's clock, which trials
/// pause, and its random numbers follow a seed.
pub fn virtual_time(seed: u64) {
    VIRTUAL.set(Some(Instant::now()));
    random::seed(seed);
}

/// The time of day, in milliseconds.
pub fn now_ms() -> u64 {
    if let Some(began) = VIRTUAL.get() {
        return 1_000_000 + began.elapsed().as_millis() as u64;
    }
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// How the sockets are shared out: a sixteenth for connections kept for later, which
/// leaves them and the memory to those who call; as many for calls to workers under
/// way; the public address leaves an eighth free. 0 means no limit.
pub fn kept(sockets: f64) -> usize {
    match sockets as usize {
        0 => 256,
        sockets => sockets.div_ceil(16),
    }
}

pub fn taken(sockets: f64) -> usize {
    match sockets as usize {
        0 => usize::MAX,
        sockets => sockets - sockets / 8,
    }
}

/// Whom a write serves: users' requests go before housekeeping.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WritePriority {
    /// Who is a member, leads, or holds a block: without that nothing goes on.
    Coordination,
    UserRequest,
    WorkKind,
    Maintenance,
}

/// Starts all loops of a controller.
pub fn start(node: &Arc<Controller>) -> Vec<tokio::task::JoinHandle<()>> {
    let mut loops = vec![
        tokio::spawn(crate::store::replica::watch_loop(node.clone())),
        tokio::spawn(crate::store::replica::fresh_loop(node.clone())),
        tokio::spawn(crate::store::replica::member_loop(node.clone())),
        tokio::spawn(crate::shards::ownership::holder_loop(node.clone())),
        tokio::spawn(crate::shards::ownership::fence_loop(node.clone())),
        tokio::spawn(crate::leadership::leader::leader_loop(node.clone())),
        tokio::spawn(crate::leadership::leader::lend_loop(node.clone())),
        tokio::spawn(crate::capacity::cloud::rent_loop(node.clone())),
        tokio::spawn(crate::capacity::cloud::return_loop(node.clone())),
        tokio::spawn(crate::capacity::cloud::list_loop(node.clone())),
        tokio::spawn(crate::store::snapshot::snapshot_loop(node.clone())),
        tokio::spawn(crate::http::peers::hello_loop(node.clone())),
        tokio::spawn(crate::leadership::election::standing_loop(node.clone())),
        tokio::spawn(crate::leadership::election::lead_loop(node.clone())),
        tokio::spawn(tell_loop(node.clone())),
        tokio::spawn(node.runtime_lag.clone().sampling_loop()),
        tokio::spawn(
            node.connections
                .clone()
                .sweep_loop(node.timing.worker_lease),
        ),
        tokio::spawn(crate::observability::incidents::incident_loop(node.clone())),
    ];
    if let Some(queue) = lock(&node.user_write_queue).take() {
        loops.push(tokio::spawn(crate::store::log_writer::users_loop(
            node.clone(),
            queue,
        )));
    }
    loops
}

/// Says once in a lease where the time went, for whoever follows the log.
async fn tell_loop(node: Arc<Controller>) {
    loop {
        tokio::time::sleep(node.timing.worker_lease).await;
        let (up_s, busy_s) = node.busy_seconds();
        let (connections, workers) = node.connections.count();
        let late_ms = node.runtime_lag.recent_lag().as_millis() as u64;
        let lag_ms = node.runtime_lag.mean_lag().as_millis() as u64;
        let work = node.work_profile.summary();
        tracing::info!(up_s, busy_s, late_ms, lag_ms, connections, workers, %work, "time spent");
        let view = node.view();
        let [class, team] = view.service_counts.least_served();
        let share = |c: JobCounts| (c.started_share() * 1000.0).round() / 1000.0;
        if let (Some((class, c)), Some((team, t))) = (class, team) {
            let (started, of_team) = (share(c), share(t));
            tracing::info!(class, started, ?c, team, of_team, ?t, "served least");
        }
    }
}

impl Controller {
    pub fn new(
        settings: Settings,
        http: HttpClient,
    ) -> Result<Arc<Controller>, rushwalk_clients::Error> {
        let state: SocketAddr = rushwalk_clients::http::address(&settings.endpoints.store)?;
        let cloud: SocketAddr = rushwalk_clients::http::address(&settings.endpoints.cloud)?;
        let times = Timing::new(&settings);
        let now = Instant::now();
        // All controllers share the limit; a tenth is left for misjudgement.
        let writes = 0.9 * settings.site.store.write_rps;
        let share = writes / (1.0 + settings.peers.len() as f64);
        let averages = DurationEstimator::new(10, 0.25 * settings.site.workers.heartbeat_s);
        let (users, queue) = mpsc::channel(1024);
        let limits = DetectorConfig {
            heartbeat_s: times.peer_heartbeat.as_secs_f64(),
            round_s: times.round.as_secs_f64(),
            member_lease_s: times.member_lease.as_secs_f64(),
            worker_lease_s: times.worker_lease.as_secs_f64(),
            phi_threshold: 8.0,
            refusal_threshold: 2,
        };
        let peers = settings.peers.iter().map(|p| p.member.as_str());
        let detector = FailureDetector::new(limits, peers, 0.0);
        Ok(Arc::new(Controller {
            incarnation: random::random_id(),
            store: StoreClient::new(http.clone(), state),
            cloud: CloudClient::new(http.clone(), cloud, settings.site.cloud.rps),
            workers: WorkerClient::new(http.clone(), kept(settings.site.limits.fd_limit)),
            peers: PeerClient::new(http),
            view: Mutex::new(ClusterState::new(averages)),
            workers_seen: Mutex::default(),
            leader_state: Mutex::default(),
            detector: Mutex::new(detector),
            misrouted: Mutex::default(),
            last_round: Mutex::default(),
            leadership_moved: Mutex::default(),
            round_interval: Mutex::new(times.round),
            // Until more is known there is no room for others' work.
            busy_permille: AtomicU16::new(1000),
            crash_looping: AtomicBool::new(false),
            leadership_acquired: Notify::new(),
            write_budget: Mutex::new(RateLimiter::with_share(share, writes, now)),
            entry_keys: Mutex::default(),
            user_writes: users,
            user_write_queue: Mutex::new(Some(queue)),
            committed: AtomicU64::new(0),
            changed: Observable::default(),
            last_read_sent: Observable::default(),
            read_requested: Notify::new(),
            member_lease: Mutex::default(),
            work_profile: WorkProfile::default(),
            connections: Arc::new(ConnectionTable::new(taken(settings.site.limits.fd_limit))),
            incidents: Mutex::default(),
            rejected_requests: AtomicU64::new(0),
            runtime_lag: Arc::new(RuntimeLag::new(times.round / 8)),
            started: now,
            settings,
            timing: times,
        }))
    }

    pub fn member(&self) -> &str {
        &self.settings.member
    }

    pub fn view(&self) -> MutexGuard<'_, ClusterState> {
        lock(&self.view)
    }

    /// Seconds since the start, and how many of them its thread was busy.
    pub fn busy_seconds(&self) -> (f64, f64) {
        let metrics = tokio::runtime::Handle::current().metrics();
        // Virtual time stands still while the thread works.
        let busy = match VIRTUAL.get() {
            Some(_) => Duration::ZERO,
            None => metrics.worker_total_busy_duration(0),
        };
        let tenths = |d: Duration| (d.as_secs_f64() * 10.0).round() / 10.0;
        (tenths(self.started.elapsed()), tenths(busy))
    }

    /// Whether this process has not yet lived for longer than the one before it, which
    /// ended soon.
    pub fn is_crash_looping(&self) -> bool {
        self.crash_looping.load(Ordering::Relaxed)
            && self.started.elapsed() < self.timing.member_lease
    }

    /// Seconds since the start, by the steady clock.
    pub fn uptime_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn notify_changed(&self) {
        self.changed.update(|n| *n += 1);
    }

    /// How long ago the state service last answered a read, from its sending.
    pub fn staleness(&self) -> Duration {
        self.last_read_sent
            .get()
            .map_or(Duration::MAX, |at| at.elapsed())
    }

    pub fn shard_leases_valid(&self) -> bool {
        self.staleness() < self.timing.lease_validity
    }

    /// Whether the view holds all that this node ever saw or did.
    fn is_complete(&self, view: &ClusterState) -> bool {
        let known = view.unreadable.is_none() && !view.has_gap;
        known && view.revision >= self.committed.load(Ordering::Relaxed)
    }

    /// The token under which this process holds `block`, if it does.
    pub fn fencing_token(&self, view: &ClusterState, block: &str) -> Option<u64> {
        let (version, grant) = view.shard_leases.get(block)?;
        let known = view.unreadable.is_none() && !view.has_gap;
        (grant.owner == self.member()
            && grant.incarnation == self.incarnation
            && known
            && self.shard_leases_valid())
        .then_some(*version)
    }

    /// The version of our leader key, if we lead.
    pub fn leadership(&self, view: &ClusterState) -> Option<u64> {
        let (version, leader) = view.leader.as_ref()?;
        let nonce = lock(&self.leader_state).election_id;
        // Changes come in their order, so a leader that sees its key has seen
        // all that its predecessor committed; its own commits must be in too,
        // or it would count too little against the teams' limits.
        let all_seen = self.is_complete(view);
        (leader.member == self.member() && Some(leader.election_id) == nonce && all_seen)
            .then_some(*version)
    }

    /// Whether the others know of this process.
    pub fn is_registered(&self) -> bool {
        let view = self.view();
        let there = view.members.get(self.member());
        there.is_some_and(|m| m.incarnation == self.incarnation)
    }

    /// Waits for a view in which this process is known, and no block belongs to
    /// its predecessor. Not for others' blocks: workers are sent to their holders,
    /// and behind closed ports would come back each second.
    pub async fn wait_until_registered(&self) {
        loop {
            let seen = self.changed.get();
            if self.is_registered() && !self.view().has_stale_lease(self.member(), self.incarnation)
            {
                return;
            }
            self.changed.wait_for(|n| n != seen).await;
        }
    }

    /// Waits until the view has reached a revision.
    pub async fn wait_for_revision(&self, revision: u64, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        loop {
            let seen = self.last_read_sent.get();
            if self.view().revision >= revision {
                return true;
            }
            // The watch brings it at once, unless its answer is late.
            let step = (patience / 40).min(until.saturating_duration_since(Instant::now()));
            let synced = self.last_read_sent.wait_for(|at| at != seen);
            if tokio::time::timeout(step, synced).await.is_err() {
                self.read_requested.notify_one();
            }
            if Instant::now() >= until {
                return self.view().revision >= revision;
            }
        }
    }

    /// Waits for a view at least as new as this call; false if none came.
    pub async fn linearizable_read(&self, patience: Duration) -> bool {
        let asked = Instant::now();
        self.read_requested.notify_one();
        let newer = self
            .last_read_sent
            .wait_for(|at| at.is_some_and(|at| at >= asked));
        tokio::time::timeout(patience, newer).await.is_ok()
    }

    /// Commits within the write budget. The watch brings the result.
    pub async fn commit(&self, txn: Transaction, whom: WritePriority) -> CommitOutcome {
        let cost = txn.writes.len() as f64;
        let patience = match whom {
            WritePriority::UserRequest => Duration::from_millis(400),
            _ => Duration::from_secs(3),
        };
        let started = Instant::now();
        loop {
            let wait = {
                let mut budget = lock(&self.write_budget);
                let now = Instant::now();
                // Upkeep leaves a part of the burst for users and placements.
                let reserve = match whom {
                    WritePriority::Coordination | WritePriority::UserRequest => 0.0,
                    WritePriority::WorkKind => 2.0,
                    WritePriority::Maintenance => 4.0,
                };
                if budget.try_take(cost, reserve, now) {
                    break;
                }
                budget.time_until(cost, reserve, now)
            };
            if started.elapsed() + wait > patience {
                return CommitOutcome::Rejected(rushwalk_clients::Error::Status(429));
            }
            tokio::time::sleep(wait.max(Duration::from_millis(5))).await;
        }
        let outcome = self.store.commit(&txn, Duration::from_secs(2)).await;
        match &outcome {
            CommitOutcome::Committed(revision) => {
                self.committed.fetch_max(*revision, Ordering::Relaxed);
                lock(&self.write_budget).on_success();
            }
            CommitOutcome::Rejected(error) => {
                if error.status() == Some(429) {
                    lock(&self.write_budget).on_throttled(Instant::now());
                }
                tracing::debug!(%error, "commit refused");
            }
            CommitOutcome::Unanswered(error) => tracing::info!(%error, "commit unanswered"),
            CommitOutcome::Conflict | CommitOutcome::LeaseExpired => {
                self.read_requested.notify_one()
            }
        }
        outcome
    }
}
