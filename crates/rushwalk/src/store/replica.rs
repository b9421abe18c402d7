//! This controller's replica of the cluster's state, and how stale it is.

mod follow;

pub(crate) use follow::{read_loop, watch_loop};

use crate::context::Context;
use crate::observable::Observable;
use parking_lot::{Mutex, MutexGuard};
use rushwalk_clients::store::StoreClient;
use rushwalk_protocol::ids::ShardId;
use rushwalk_scheduler::durations::DurationEstimator;
use rushwalk_state::{ClusterState, Revision};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// The number of latest samples over which a predicted duration is averaged.
const DURATION_SAMPLES: usize = 10;

/// The replica of the cluster's state, and how stale it is.
pub struct Replica {
    context: Arc<Context>,
    client: StoreClient,
    state: Mutex<ClusterState>,
    /// Incremented whenever the state has changed, and whenever waiting tasks should check it again
    /// for another reason, such as a change of a peer's health.
    changes: Observable<u64>,
    /// When the newest successful read of the store was sent; `None` before the first.
    last_read_sent: Observable<Option<Instant>>,
    /// Wakes the read loop.
    read_requested: Notify,
    /// The revision of this process's newest commit, 0 before the first. The leader makes no
    /// decisions before it is applied.
    last_commit: AtomicU64,
}

impl Replica {
    /// An empty replica, which [`watch_loop`] fills.
    pub fn new(context: Arc<Context>, client: StoreClient) -> Replica {
        // The predicted start-up overhead of a task until one has been observed.
        let start_overhead_s = 0.25 * context.settings.site.workers.heartbeat_s;
        let durations = DurationEstimator::new(DURATION_SAMPLES, start_overhead_s);
        Replica {
            context,
            client,
            state: Mutex::new(ClusterState::new(durations)),
            changes: Observable::default(),
            last_read_sent: Observable::default(),
            read_requested: Notify::new(),
            last_commit: AtomicU64::new(0),
        }
    }

    /// Locks the current state. This lock is acquired before any other lock of the controller
    /// (see `docs/ARCHITECTURE.md`).
    pub fn state(&self) -> MutexGuard<'_, ClusterState> {
        self.state.lock()
    }

    /// The number of changes so far, for [`Replica::changed_since`].
    pub fn change_count(&self) -> u64 {
        self.changes.get()
    }

    /// Waits until [`Replica::change_count`] differs from `seen`.
    pub async fn changed_since(&self, seen: u64) {
        self.changes.wait_for(|count| count != seen).await;
    }

    /// Wakes the tasks in [`Replica::changed_since`], so that they check the state again.
    pub fn notify_changed(&self) {
        self.changes.update(|count| *count += 1);
    }

    /// Whether at least one read of the store has succeeded.
    pub fn has_been_read(&self) -> bool {
        self.last_read_sent.get().is_some()
    }

    /// How long ago the newest successful read of the store was sent; `None` before the first.
    pub fn last_read_age(&self) -> Option<Duration> {
        self.last_read_sent.get().map(|sent| sent.elapsed())
    }

    /// How long ago the newest successful read of the store was sent; [`Duration::MAX`] before the
    /// first.
    pub fn staleness(&self) -> Duration {
        self.last_read_age().unwrap_or(Duration::MAX)
    }

    /// Records that a read of the store which was sent at `sent` has succeeded.
    pub(crate) fn record_read(&self, sent: Instant) {
        self.last_read_sent
            .update(|last| *last = Some(last.map_or(sent, |before| before.max(sent))));
        self.notify_changed();
    }

    /// Records the revision of a commit of this process.
    pub fn record_commit(&self, revision: Revision) {
        self.last_commit.fetch_max(revision, Ordering::Relaxed);
    }

    /// Requests a read of the store from [`read_loop`] without waiting for it.
    pub fn request_read(&self) {
        self.read_requested.notify_one();
    }

    /// Waits for a read that was sent after this call, so that the state contains all that was
    /// committed before the call; returns false if none succeeds within `max_wait`.
    pub async fn linearizable_read(&self, max_wait: Duration) -> bool {
        let called = Instant::now();
        self.read_requested.notify_one();
        let read = self
            .last_read_sent
            .wait_for(|sent| sent.is_some_and(|sent| sent >= called));
        timeout(max_wait, read).await.is_ok()
    }

    /// Waits until the state contains a revision; returns false if it does not within `max_wait`.
    pub async fn wait_for_revision(&self, revision: Revision, max_wait: Duration) -> bool {
        let deadline = Instant::now() + max_wait;
        loop {
            let seen = self.last_read_sent.get();
            if self.state().revision >= revision {
                return true;
            }
            // The watch usually delivers the revision without delay. If its response is late, a
            // read is requested.
            let step = (max_wait / 40).min(deadline.saturating_duration_since(Instant::now()));
            let read = self.last_read_sent.wait_for(|sent| sent != seen);
            if timeout(step, read).await.is_err() {
                self.read_requested.notify_one();
            }
            if Instant::now() >= deadline {
                return self.state().revision >= revision;
            }
        }
    }

    /// Whether the replica is fresh enough for this process to act on the shard leases that it
    /// owns: its staleness is below
    /// [`Timing::lease_validity`](crate::timing::Timing::lease_validity).
    pub fn shard_leases_valid(&self) -> bool {
        self.staleness() < self.context.timing.lease_validity
    }

    /// Whether `state` contains everything that this process has read or committed: no change was
    /// missed, all records could be read, and this process's newest commit is applied.
    pub fn is_complete(&self, state: &ClusterState) -> bool {
        is_intact(state) && state.revision >= self.last_commit.load(Ordering::Relaxed)
    }

    /// The fencing token under which this process owns a shard, which is the version of the shard's
    /// lease. `None` if this process does not own the shard, if `state` has missed a change or has
    /// an unreadable record, or if the replica is too stale to act on the lease.
    pub fn fencing_token(&self, state: &ClusterState, shard: &str) -> Option<Revision> {
        let lease = state.shard_leases.get(shard)?;
        let is_ours = lease.value.owner == self.context.member()
            && lease.value.incarnation == self.context.incarnation;
        (is_ours && is_intact(state) && self.shard_leases_valid()).then_some(lease.version)
    }

    /// The shards that this process owns, with their fencing tokens.
    pub fn owned_shards(&self, state: &ClusterState) -> BTreeMap<ShardId, Revision> {
        let shards = state.shard_leases.keys();
        let owned =
            shards.filter_map(|shard| Some((shard.clone(), self.fencing_token(state, shard)?)));
        owned.collect()
    }

    /// Whether this process is registered as a member.
    pub fn is_registered(&self) -> bool {
        let state = self.state();
        let member = state.members.get(self.context.member());
        member.is_some_and(|member| member.incarnation == self.context.incarnation)
    }

    /// Waits until this process is registered and no shard is leased to an earlier process of this
    /// controller. It does not wait for the shards of other controllers: if all controllers did,
    /// workers would be redirected to closed ports and retry every second.
    pub async fn wait_until_ready(&self) {
        loop {
            let seen = self.change_count();
            if self.is_registered() && !self.has_stale_lease() {
                return;
            }
            self.changed_since(seen).await;
        }
    }

    /// Whether a shard is still leased to an earlier process of this controller.
    fn has_stale_lease(&self) -> bool {
        self.state()
            .has_stale_lease(self.context.member(), self.context.incarnation)
    }
}

/// Whether the state has missed no change and all of its records could be read.
fn is_intact(state: &ClusterState) -> bool {
    state.unreadable.is_none() && !state.has_gap
}
