//! This controller's membership: its lease, and the record attached to it.

use super::committer::{Committer, WritePriority};
use super::replica::Replica;
use crate::clock::now_ms;
use crate::context::Context;
use parking_lot::Mutex;
use rushwalk_clients::Error;
use rushwalk_clients::store::{CommitOutcome, StoreClient};
use rushwalk_protocol::store::Transaction;
use rushwalk_state::keys;
use rushwalk_state::records::MemberRecord;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::sleep;

/// HTTP 404: the lease has expired.
const NOT_FOUND: u16 = 404;

/// The member lease and record.
pub struct Membership {
    context: Arc<Context>,
    client: StoreClient,
    replica: Arc<Replica>,
    committer: Arc<Committer>,
    lease: Mutex<Option<u64>>,
    /// The previous process ended within a member lease of its start: this one may, too.
    crash_looping: AtomicBool,
}

impl Membership {
    /// A controller that is no member yet.
    pub fn new(
        context: Arc<Context>,
        client: StoreClient,
        replica: Arc<Replica>,
        committer: Arc<Committer>,
    ) -> Membership {
        Membership {
            context,
            client,
            replica,
            committer,
            lease: Mutex::default(),
            crash_looping: AtomicBool::new(false),
        }
    }

    /// The member lease, if there is one.
    pub fn lease(&self) -> Option<u64> {
        *self.lease.lock()
    }

    /// The lease was found expired: a new one is needed.
    pub fn forget_lease(&self) {
        *self.lease.lock() = None;
    }

    /// Whether this process has not yet lived for longer than the previous one, which ended
    /// soon after its start.
    pub fn is_crash_looping(&self) -> bool {
        self.crash_looping.load(Ordering::Relaxed)
            && self.context.uptime() < self.context.timing.member_lease
    }

    /// Keeps the lease and the record until the process ends.
    pub async fn run(self: Arc<Self>) {
        let interval = self.context.timing.member_lease / 5;
        loop {
            let next = match self.lease() {
                None => self.grant_lease().await,
                Some(lease) => self.keep(lease, interval).await,
            };
            match next {
                NextStep::Now => {}
                NextStep::Soon => sleep(interval / 8).await,
                NextStep::AfterInterval => sleep(interval).await,
            }
        }
    }

    /// Asks the store for a member lease.
    ///
    /// # Errors
    ///
    /// If the store does not grant one.
    pub async fn new_lease(&self) -> Result<u64, Error> {
        let ttl = self.context.timing.member_lease;
        self.client.grant_lease(ttl).await
    }

    async fn grant_lease(&self) -> NextStep {
        match self.new_lease().await {
            Ok(lease) => {
                *self.lease.lock() = Some(lease);
                NextStep::Now
            }
            Err(error) => {
                tracing::debug!(%error, "member lease not granted");
                NextStep::AfterInterval
            }
        }
    }

    /// Renews the lease, and registers with it if need be.
    async fn keep(&self, lease: u64, interval: Duration) -> NextStep {
        match self.client.renew_lease(lease, interval * 2).await {
            Ok(()) => {}
            Err(error) if error.status() == Some(NOT_FOUND) => {
                tracing::info!("member lease expired");
                self.forget_lease();
                return NextStep::Now;
            }
            Err(error) => tracing::debug!(%error, "member lease not renewed"),
        }
        if !self.replica.has_been_read() {
            return NextStep::AfterInterval;
        }
        self.register(lease).await;
        if self.replica.is_registered() {
            return NextStep::AfterInterval;
        }
        // The record of the previous process was in the way, and expired just then.
        let max_wait = self.context.timing.round / 2;
        self.replica.linearizable_read(max_wait).await;
        NextStep::Soon
    }

    async fn register(&self, lease: u64) {
        if self.replica.is_registered() {
            return;
        }
        let transaction = self.registration(lease);
        let outcome = self
            .committer
            .commit(transaction, WritePriority::Coordination);
        match outcome.await {
            CommitOutcome::LeaseExpired => self.forget_lease(),
            CommitOutcome::Committed(revision) => {
                let max_wait = self.context.timing.round * 2;
                self.replica.wait_for_revision(revision, max_wait).await;
            }
            _ => {}
        }
    }

    fn registration(&self, lease: u64) -> Transaction {
        let state = self.replica.state();
        let previous = state.members.get(self.context.member());
        let previous = previous.filter(|m| m.incarnation != self.context.incarnation);
        if let Some(previous) = previous {
            let member_lease_ms = self.context.timing.member_lease.as_millis() as u64;
            let soon = now_ms() < previous.registered_ms + member_lease_ms;
            self.crash_looping.store(soon, Ordering::Relaxed);
        }
        let record = MemberRecord {
            zone: self.context.settings.zone.clone(),
            incarnation: self.context.incarnation,
            registered_ms: now_ms(),
        };
        let key = keys::member(self.context.member());
        Transaction::default()
            .expect_version(&key, state.key_version(&key))
            .put_leased(&key, &record, lease)
    }

    /// Writes the member record again as it is, which shows the others in the log that this
    /// process is alive.
    pub async fn rewrite_record(&self, lease: u64) {
        let transaction = {
            let state = self.replica.state();
            let record = state.members.get(self.context.member());
            let record = record.filter(|m| m.incarnation == self.context.incarnation);
            let Some(record) = record else {
                return;
            };
            let key = keys::member(self.context.member());
            Transaction::default()
                .expect_version(&key, state.key_version(&key))
                .put_leased(&key, record, lease)
        };
        let commit = self
            .committer
            .commit(transaction, WritePriority::Maintenance);
        if let CommitOutcome::LeaseExpired = commit.await {
            self.forget_lease();
        }
    }
}

/// When the membership is renewed next.
enum NextStep {
    Now,
    Soon,
    AfterInterval,
}
