//! This controller's replica of the cluster's state, and how fresh it is.

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

/// The latest samples of which a predicted duration is the mean.
const DURATION_SAMPLES: usize = 10;

/// The replica of the cluster's state, and how stale it is.
pub struct Replica {
    context: Arc<Context>,
    client: StoreClient,
    state: Mutex<ClusterState>,
    /// Counts the changes of the state.
    changes: Observable<u64>,
    /// When the newest read of the store that succeeded was sent.
    last_read_sent: Observable<Option<Instant>>,
    /// Wakes the read loop.
    read_requested: Notify,
    /// The newest commit of this process: nothing is decided before it is applied.
    last_commit: AtomicU64,
}

impl Replica {
    /// An empty replica, which [`watch_loop`] fills.
    pub fn new(context: Arc<Context>, client: StoreClient) -> Replica {
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

    /// The state as it is known now. This lock is taken before any other of the controller
    /// (see `docs/ARCHITECTURE.md`).
    pub fn state(&self) -> MutexGuard<'_, ClusterState> {
        self.state.lock()
    }

    /// The number of changes of the state so far, for [`Replica::changed_since`].
    pub fn change_count(&self) -> u64 {
        self.changes.get()
    }

    /// Waits until the state has changed since [`Replica::change_count`] gave `seen`.
    pub async fn changed_since(&self, seen: u64) {
        self.changes.wait_for(|count| count != seen).await;
    }

    /// Wakes the tasks that wait for a change of the state.
    pub fn notify_changed(&self) {
        self.changes.update(|count| *count += 1);
    }

    /// Whether the store was read at least once.
    pub fn has_been_read(&self) -> bool {
        self.last_read_sent.get().is_some()
    }

    /// How long ago the newest read that succeeded was sent; `None` if none has.
    pub fn last_read_age(&self) -> Option<Duration> {
        self.last_read_sent.get().map(|sent| sent.elapsed())
    }

    /// The same, infinitely long ago if no read has succeeded.
    pub fn staleness(&self) -> Duration {
        self.last_read_age().unwrap_or(Duration::MAX)
    }

    /// Records that a read which was sent then has succeeded.
    pub(crate) fn record_read(&self, sent: Instant) {
        self.last_read_sent
            .update(|last| *last = Some(last.map_or(sent, |before| before.max(sent))));
        self.notify_changed();
    }

    /// Records the revision of a commit of this process.
    pub fn record_commit(&self, revision: Revision) {
        self.last_commit.fetch_max(revision, Ordering::Relaxed);
    }

    /// Asks for a read without waiting for it.
    pub fn request_read(&self) {
        self.read_requested.notify_one();
    }

    /// Waits for a read that was sent after this call, so that the state holds all that was
    /// committed before it; false if none succeeded in time.
    pub async fn linearizable_read(&self, max_wait: Duration) -> bool {
        let called = Instant::now();
        self.read_requested.notify_one();
        let read = self
            .last_read_sent
            .wait_for(|sent| sent.is_some_and(|sent| sent >= called));
        timeout(max_wait, read).await.is_ok()
    }

    /// Waits until a revision is applied; false if it was not in time.
    pub async fn wait_for_revision(&self, revision: Revision, max_wait: Duration) -> bool {
        let until = Instant::now() + max_wait;
        loop {
            let seen = self.last_read_sent.get();
            if self.state().revision >= revision {
                return true;
            }
            // The watch brings it at once, unless its response is late.
            let step = (max_wait / 40).min(until.saturating_duration_since(Instant::now()));
            let read = self.last_read_sent.wait_for(|sent| sent != seen);
            if timeout(step, read).await.is_err() {
                self.read_requested.notify_one();
            }
            if Instant::now() >= until {
                return self.state().revision >= revision;
            }
        }
    }

    /// Whether the owner of a shard may act on its lease, as far as the age of the replica
    /// shows.
    pub fn shard_leases_valid(&self) -> bool {
        self.staleness() < self.context.timing.lease_validity
    }

    /// Whether the state holds everything that this process has ever read or committed.
    pub fn is_complete(&self, state: &ClusterState) -> bool {
        has_no_gap(state) && state.revision >= self.last_commit.load(Ordering::Relaxed)
    }

    /// The fencing token under which this process owns a shard: the version of its lease.
    /// `None` if it does not own it, or may not act on the lease any more.
    pub fn fencing_token(&self, state: &ClusterState, shard: &str) -> Option<Revision> {
        let lease = state.shard_leases.get(shard)?;
        let is_ours = lease.value.owner == self.context.member()
            && lease.value.incarnation == self.context.incarnation;
        (is_ours && has_no_gap(state) && self.shard_leases_valid()).then_some(lease.version)
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

    /// Waits until this process is registered and owns all shards that are leased to its
    /// name. Not until others own theirs: workers are redirected to them, and would come
    /// back every second to closed ports.
    pub async fn wait_until_registered(&self) {
        loop {
            let seen = self.change_count();
            if self.is_registered() && !self.has_stale_lease() {
                return;
            }
            self.changed_since(seen).await;
        }
    }

    fn has_stale_lease(&self) -> bool {
        self.state()
            .has_stale_lease(self.context.member(), self.context.incarnation)
    }
}

fn has_no_gap(state: &ClusterState) -> bool {
    state.unreadable.is_none() && !state.has_gap
}
