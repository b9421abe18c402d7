//! Commits to the store within this controller's share of the write budget.

use super::replica::Replica;
use crate::context::Context;
use parking_lot::Mutex;
use rushwalk_clients::Error;
use rushwalk_clients::rate_limiter::RateLimiter;
use rushwalk_clients::store::{CommitOutcome, StoreClient};
use rushwalk_protocol::store::Transaction;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// HTTP 429: too many requests.
const TOO_MANY_REQUESTS: u16 = 429;

/// A commit that the store has not answered within this time counts as of unknown outcome.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// The shortest pause between two checks of the write budget.
const MIN_BUDGET_WAIT: Duration = Duration::from_millis(5);

/// The share of the store's write limit that all controllers together may use. The rest is a
/// margin for errors in their rate limiting.
const USED_SHARE: f64 = 0.9;

/// The priority of a write, the most urgent first. The lower priorities leave a part of the
/// write budget to the higher ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WritePriority {
    /// Membership, leadership and shard leases: without them the cluster makes no progress.
    Coordination,
    /// A user's request. The user waits for the response, so such a write is rejected after a
    /// shorter wait for the budget.
    UserRequest,
    /// Placement of tasks, and state changes of tasks and machines.
    Scheduling,
    /// Writes that can be delayed, such as the chunks of snapshots.
    Maintenance,
}

impl WritePriority {
    /// The number of writes that must remain in the budget for more urgent commits.
    fn reserve(self) -> f64 {
        match self {
            WritePriority::Coordination | WritePriority::UserRequest => 0.0,
            WritePriority::Scheduling => 2.0,
            WritePriority::Maintenance => 4.0,
        }
    }

    /// How long a commit may wait for the budget before it is rejected.
    fn max_wait(self) -> Duration {
        match self {
            WritePriority::UserRequest => Duration::from_millis(400),
            _ => Duration::from_secs(3),
        }
    }
}

/// Commits transactions to the store within the write budget.
pub struct Committer {
    client: StoreClient,
    replica: Arc<Replica>,
    budget: Mutex<RateLimiter>,
}

impl Committer {
    /// A committer with this controller's share of the store's write limit.
    pub fn new(context: &Context, client: StoreClient, replica: Arc<Replica>) -> Committer {
        let writes = USED_SHARE * context.settings.site.store.write_rps;
        let share = writes / context.controllers() as f64;
        Committer {
            client,
            replica,
            budget: Mutex::new(RateLimiter::with_share(share, writes, Instant::now())),
        }
    }

    /// Waits until the write budget allows the transaction, then commits it. If that wait would
    /// exceed the maximum of `priority`, the outcome is [`CommitOutcome::Rejected`]. The replica
    /// contains the changes only after the watch has delivered them.
    pub async fn commit(&self, transaction: Transaction, priority: WritePriority) -> CommitOutcome {
        let writes = transaction.writes.len() as f64;
        if !self.wait_for_budget(writes, priority).await {
            return CommitOutcome::Rejected(Error::Status(TOO_MANY_REQUESTS));
        }
        let outcome = self.client.commit(&transaction, COMMIT_TIMEOUT).await;
        self.record(&outcome);
        outcome
    }

    /// Waits until the budget allows `writes` writes; returns false if that would exceed the
    /// maximum wait of `priority`.
    async fn wait_for_budget(&self, writes: f64, priority: WritePriority) -> bool {
        let started = Instant::now();
        let reserve = priority.reserve();
        loop {
            let wait = {
                let mut budget = self.budget.lock();
                let now = Instant::now();
                if budget.try_acquire(writes, reserve, now) {
                    return true;
                }
                budget.time_until_available(writes, reserve, now)
            };
            if started.elapsed() + wait > priority.max_wait() {
                return false;
            }
            sleep(wait.max(MIN_BUDGET_WAIT)).await;
        }
    }

    fn record(&self, outcome: &CommitOutcome) {
        match outcome {
            CommitOutcome::Committed(revision) => {
                self.replica.record_commit(*revision);
                self.budget.lock().on_success();
            }
            CommitOutcome::Rejected(error) => {
                if error.status() == Some(TOO_MANY_REQUESTS) {
                    self.budget.lock().on_throttled(Instant::now());
                }
                tracing::debug!(%error, "commit rejected");
            }
            CommitOutcome::Unanswered(error) => {
                tracing::info!(%error, "commit unanswered: its outcome is unknown");
            }
            CommitOutcome::Conflict | CommitOutcome::LeaseExpired => self.replica.request_read(),
        }
    }

    /// Time until the budget allows one write of the highest priority; zero if it does now.
    pub fn time_until_write(&self) -> Duration {
        self.budget
            .lock()
            .time_until_available(1.0, 0.0, Instant::now())
    }
}
