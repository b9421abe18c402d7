//! What all loops of one controller share.

use crate::chance;
use crate::leader::LeaderMemory;
use crate::load::Load;
pub use crate::lock::lock;
use crate::log::{Asked, Slots};
use crate::meter::Meter;
use crate::recovery::Recovery;
use crate::reports::Reports;
use crate::seats::Seats;
use crate::signal::Signal;
use crate::view::View;
use crate::view::served::Count;
use rushwalk_clients::rate_limiter::Budget;
use rushwalk_clients::store::{Outcome, State};
use rushwalk_clients::{Http, cloud::Cloud, peers::Mesh, workers::Workers};
use rushwalk_failure_detector::reachability::Strays;
use rushwalk_failure_detector::{Detector, Limits};
use rushwalk_protocol::settings::Settings;
use rushwalk_protocol::store::Transaction;
use rushwalk_scheduler::durations::Averages;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

/// Spans that follow from the platform's figures.
#[derive(Debug, Clone)]
pub struct Times {
    /// How long a block is lent without the holder reading the state service.
    /// A cancellation told elsewhere must reach a task within `cancel_s`: an
    /// unaware holder renews the worker's lease for at most this long.
    pub loan: Duration,
    /// The member lease: its end shows the others that this node is gone.
    pub member: Duration,
    pub round: Duration,
    /// Between two greetings of the same peer.
    pub greet: Duration,
    pub report: Duration,
    pub lease: Duration,
    /// A machine silent for this long is suspect.
    pub silent: Duration,
    /// Finishes closer than this count as equal.
    pub tie: Duration,
}

impl Times {
    pub fn new(settings: &Settings) -> Times {
        let w = &settings.site.workers;
        let secs = Duration::from_secs_f64;
        let round = (w.report_s / 3.0).min(w.lease_s / 40.0);
        // With many peers each is greeted less often: others tell of them too.
        let many = (settings.peers.len() as f64 / 4.0).max(1.0);
        Times {
            loan: secs(0.8 * (w.cancel_s - w.lease_s)),
            member: secs((2.0 * w.report_s).min(w.lease_s / 7.0).max(1.0)),
            round: secs(round),
            greet: secs(round / 3.0 * many),
            report: secs(w.report_s),
            lease: secs(w.lease_s),
            silent: secs((3.0 * w.report_s).min(w.lease_s / 3.0)),
            tie: secs(w.report_s.min(w.lease_s / 14.0)),
        }
    }
}

pub struct Node {
    pub settings: Settings,
    pub times: Times,
    /// One per process: a restarted controller inherits nothing by its name.
    pub nonce: u64,
    pub state: State,
    pub cloud: Cloud,
    pub workers: Workers,
    pub mesh: Mesh,
    pub view: Mutex<View>,
    pub reports: Mutex<Reports>,
    pub leading: Mutex<LeaderMemory>,
    /// What this controller thinks of the others.
    pub detector: Mutex<Detector>,
    /// Workers of others' blocks that turned up here.
    pub strays: Mutex<Strays>,
    /// When the latest planning round was finished, or the lead was taken.
    pub planned: Mutex<Option<Instant>>,
    /// The share of time in which the thread was busy of late, in thousandths.
    pub busy_share: AtomicU16,
    /// When the lead last passed from one who lives to another.
    pub passed: Mutex<Option<Instant>>,
    /// How far this leader's rounds are apart in the mean.
    pub pace: Mutex<Duration>,
    /// The process before this one ended within a member lease of its beginning: this one
    /// may, too.
    pub comes_and_goes: AtomicBool,
    /// The lead was taken: the first round need not wait for its turn.
    pub led: Notify,
    pub write_budget: Mutex<Budget>,
    pub slots: Mutex<Slots>,
    /// Users' changes on their way into the log.
    pub users: mpsc::Sender<Asked>,
    users_queue: Mutex<Option<mpsc::Receiver<Asked>>>,
    /// The newest of our own commits: nothing is decided before it is seen.
    committed: AtomicU64,
    /// Rises with every change of the view.
    pub changed: Signal<u64>,
    /// When the newest successful read of the state service was sent.
    pub synced: Signal<Option<Instant>>,
    pub fresh_wanted: Notify,
    pub member_lease: Mutex<Option<u64>>,
    pub meter: Meter,
    pub load: Arc<Load>,
    pub recovery: Mutex<Recovery>,
    /// Answers 429 and 503 to users since somebody looked.
    pub refused: AtomicU64,
    /// Connections at the public address.
    pub seats: Arc<Seats>,
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
    chance::seed(seed);
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
pub enum For {
    /// Who is a member, leads, or holds a block: without that nothing goes on.
    Order,
    Users,
    Work,
    Upkeep,
}

/// Starts all loops of a controller.
pub fn start(node: &Arc<Node>) -> Vec<tokio::task::JoinHandle<()>> {
    let mut loops = vec![
        tokio::spawn(crate::sync::watch_loop(node.clone())),
        tokio::spawn(crate::sync::fresh_loop(node.clone())),
        tokio::spawn(crate::sync::member_loop(node.clone())),
        tokio::spawn(crate::holder::holder_loop(node.clone())),
        tokio::spawn(crate::holder::fence_loop(node.clone())),
        tokio::spawn(crate::leader::leader_loop(node.clone())),
        tokio::spawn(crate::leader::lend_loop(node.clone())),
        tokio::spawn(crate::cloud::rent_loop(node.clone())),
        tokio::spawn(crate::cloud::return_loop(node.clone())),
        tokio::spawn(crate::cloud::list_loop(node.clone())),
        tokio::spawn(crate::snapshot::snapshot_loop(node.clone())),
        tokio::spawn(crate::mesh::hello_loop(node.clone())),
        tokio::spawn(crate::handover::standing_loop(node.clone())),
        tokio::spawn(crate::handover::lead_loop(node.clone())),
        tokio::spawn(tell_loop(node.clone())),
        tokio::spawn(node.load.clone().watch_loop()),
        tokio::spawn(node.seats.clone().sweep_loop(node.times.lease)),
        tokio::spawn(crate::recovery::recovery_loop(node.clone())),
    ];
    if let Some(queue) = lock(&node.users_queue).take() {
        loops.push(tokio::spawn(crate::log::users_loop(node.clone(), queue)));
    }
    loops
}

/// Says once in a lease where the time went, for whoever follows the log.
async fn tell_loop(node: Arc<Node>) {
    loop {
        tokio::time::sleep(node.times.lease).await;
        let (up_s, busy_s) = node.busy();
        let (connections, workers) = node.seats.count();
        let late_ms = node.load.late().as_millis() as u64;
        let lag_ms = node.load.lag().as_millis() as u64;
        let work = node.meter.told();
        tracing::info!(up_s, busy_s, late_ms, lag_ms, connections, workers, %work, "time spent");
        let view = node.view();
        let [class, team] = view.served.least();
        let share = |c: Count| (c.share() * 1000.0).round() / 1000.0;
        if let (Some((class, c)), Some((team, t))) = (class, team) {
            let (started, of_team) = (share(c), share(t));
            tracing::info!(class, started, ?c, team, of_team, ?t, "served least");
        }
    }
}

impl Node {
    pub fn new(settings: Settings, http: Http) -> Result<Arc<Node>, rushwalk_clients::Error> {
        let state: SocketAddr = rushwalk_clients::http::address(&settings.services.state)?;
        let cloud: SocketAddr = rushwalk_clients::http::address(&settings.services.cloud)?;
        let times = Times::new(&settings);
        let now = Instant::now();
        // All controllers share the limit; a tenth is left for misjudgement.
        let writes = 0.9 * settings.site.state.write_rps;
        let share = writes / (1.0 + settings.peers.len() as f64);
        let averages = Averages::new(10, 0.25 * settings.site.workers.report_s);
        let (users, queue) = mpsc::channel(1024);
        let limits = Limits {
            every_s: times.greet.as_secs_f64(),
            round_s: times.round.as_secs_f64(),
            member_s: times.member.as_secs_f64(),
            lease_s: times.lease.as_secs_f64(),
            phi: 8.0,
            refusals: 2,
        };
        let peers = settings.peers.iter().map(|p| p.member.as_str());
        let detector = Detector::new(limits, peers, 0.0);
        Ok(Arc::new(Node {
            nonce: chance::nonce(),
            state: State::new(http.clone(), state),
            cloud: Cloud::new(http.clone(), cloud, settings.site.cloud.rps),
            workers: Workers::new(http.clone(), kept(settings.site.limits.fd_limit)),
            mesh: Mesh::new(http),
            view: Mutex::new(View::new(averages)),
            reports: Mutex::default(),
            leading: Mutex::default(),
            detector: Mutex::new(detector),
            strays: Mutex::default(),
            planned: Mutex::default(),
            passed: Mutex::default(),
            pace: Mutex::new(times.round),
            // Until more is known there is no room for others' work.
            busy_share: AtomicU16::new(1000),
            comes_and_goes: AtomicBool::new(false),
            led: Notify::new(),
            write_budget: Mutex::new(Budget::shared(share, writes, now)),
            slots: Mutex::default(),
            users,
            users_queue: Mutex::new(Some(queue)),
            committed: AtomicU64::new(0),
            changed: Signal::default(),
            synced: Signal::default(),
            fresh_wanted: Notify::new(),
            member_lease: Mutex::default(),
            meter: Meter::default(),
            seats: Arc::new(Seats::new(taken(settings.site.limits.fd_limit))),
            recovery: Mutex::default(),
            refused: AtomicU64::new(0),
            load: Arc::new(Load::new(times.round / 8)),
            started: now,
            settings,
            times,
        }))
    }

    pub fn me(&self) -> &str {
        &self.settings.member
    }

    pub fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// Seconds since the start, and how many of them its thread was busy.
    pub fn busy(&self) -> (f64, f64) {
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
    pub fn unsteady(&self) -> bool {
        self.comes_and_goes.load(Ordering::Relaxed) && self.started.elapsed() < self.times.member
    }

    /// Seconds since the start, by the steady clock.
    pub fn uptime(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn poke(&self) {
        self.changed.modify(|n| *n += 1);
    }

    /// How long ago the state service last answered a read, from its sending.
    pub fn state_age(&self) -> Duration {
        self.synced.get().map_or(Duration::MAX, |at| at.elapsed())
    }

    pub fn loan_valid(&self) -> bool {
        self.state_age() < self.times.loan
    }

    /// Whether the view holds all that this node ever saw or did.
    fn whole(&self, view: &View) -> bool {
        let known = view.unreadable.is_none() && !view.missed;
        known && view.revision >= self.committed.load(Ordering::Relaxed)
    }

    /// The token under which this process holds `block`, if it does.
    pub fn token(&self, view: &View, block: &str) -> Option<u64> {
        let (version, grant) = view.grants.get(block)?;
        let known = view.unreadable.is_none() && !view.missed;
        (grant.holder == self.me() && grant.nonce == self.nonce && known && self.loan_valid())
            .then_some(*version)
    }

    /// The version of our leader key, if we lead.
    pub fn leadership(&self, view: &View) -> Option<u64> {
        let (version, leader) = view.leader.as_ref()?;
        let nonce = lock(&self.leading).nonce;
        // Changes come in their order, so a leader that sees its key has seen
        // all that its predecessor committed; its own commits must be in too,
        // or it would count too little against the teams' limits.
        let all_seen = self.whole(view);
        (leader.member == self.me() && Some(leader.nonce) == nonce && all_seen).then_some(*version)
    }

    /// Whether the others know of this process.
    pub fn registered(&self) -> bool {
        let view = self.view();
        let there = view.members.get(self.me());
        there.is_some_and(|m| m.nonce == self.nonce)
    }

    /// Waits for a view in which this process is known, and no block belongs to
    /// its predecessor. Not for others' blocks: workers are sent to their holders,
    /// and behind closed ports would come back each second.
    pub async fn settled(&self) {
        loop {
            let seen = self.changed.get();
            if self.registered() && !self.view().left_over(self.me(), self.nonce) {
                return;
            }
            self.changed.wait_for(|n| n != seen).await;
        }
    }

    /// Waits until the view has reached a revision.
    pub async fn reached(&self, revision: u64, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        loop {
            let seen = self.synced.get();
            if self.view().revision >= revision {
                return true;
            }
            // The watch brings it at once, unless its answer is late.
            let step = (patience / 40).min(until.saturating_duration_since(Instant::now()));
            let synced = self.synced.wait_for(|at| at != seen);
            if tokio::time::timeout(step, synced).await.is_err() {
                self.fresh_wanted.notify_one();
            }
            if Instant::now() >= until {
                return self.view().revision >= revision;
            }
        }
    }

    /// Waits for a view at least as new as this call; false if none came.
    pub async fn fresh(&self, patience: Duration) -> bool {
        let asked = Instant::now();
        self.fresh_wanted.notify_one();
        let newer = self.synced.wait_for(|at| at.is_some_and(|at| at >= asked));
        tokio::time::timeout(patience, newer).await.is_ok()
    }

    /// Commits within the write budget. The watch brings the result.
    pub async fn commit(&self, txn: Transaction, whom: For) -> Outcome {
        let cost = txn.writes.len() as f64;
        let patience = match whom {
            For::Users => Duration::from_millis(400),
            _ => Duration::from_secs(3),
        };
        let started = Instant::now();
        loop {
            let wait = {
                let mut budget = lock(&self.write_budget);
                let now = Instant::now();
                // Upkeep leaves a part of the burst for users and placements.
                let reserve = match whom {
                    For::Order | For::Users => 0.0,
                    For::Work => 2.0,
                    For::Upkeep => 4.0,
                };
                if budget.take(cost, reserve, now) {
                    break;
                }
                budget.wait(cost, reserve, now)
            };
            if started.elapsed() + wait > patience {
                return Outcome::Refused(rushwalk_clients::Error::Status(429));
            }
            tokio::time::sleep(wait.max(Duration::from_millis(5))).await;
        }
        let outcome = self.state.commit(&txn, Duration::from_secs(2)).await;
        match &outcome {
            Outcome::Done(revision) => {
                self.committed.fetch_max(*revision, Ordering::Relaxed);
                lock(&self.write_budget).served();
            }
            Outcome::Refused(error) => {
                if error.status() == Some(429) {
                    lock(&self.write_budget).drain(Instant::now());
                }
                tracing::debug!(%error, "commit refused");
            }
            Outcome::Unknown(error) => tracing::info!(%error, "commit unanswered"),
            Outcome::Conflict | Outcome::NoLease => self.fresh_wanted.notify_one(),
        }
        outcome
    }
}
