//! This controller's membership of the cluster: the member lease, and the member record that
//! is attached to it.

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

/// HTTP 404: the response of the store to a renewal if the lease has expired.
const NOT_FOUND: u16 = 404;

/// Keeps the member lease and record of this process.
pub struct Membership {
    context: Arc<Context>,
    client: StoreClient,
    replica: Arc<Replica>,
    committer: Arc<Committer>,
    /// The id of the member lease; `None` before it is granted, and after it was found expired.
    lease: Mutex<Option<u64>>,
    /// Whether the previous process of this controller registered less than a member lease before
    /// this one: it ended soon after its start, so this one may, too.
    crash_looping: AtomicBool,
}

impl Membership {
    /// The membership of a process that has no lease and is not registered.
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

    /// The id of the member lease; `None` before it is granted, and after it was found expired.
    pub fn lease(&self) -> Option<u64> {
        *self.lease.lock()
    }

    /// Discards the lease after the store reported it as expired, so that [`Membership::run`]
    /// requests a new one.
    pub fn forget_lease(&self) {
        *self.lease.lock() = None;
    }

    /// Whether the previous process of this controller ended soon after its start, and this one
    /// has not been up for a member lease yet.
    pub fn is_crash_looping(&self) -> bool {
        self.crash_looping.load(Ordering::Relaxed)
            && self.context.uptime() < self.context.timing.member_lease
    }

    /// Keeps the lease renewed and the member record registered until the process ends.
    pub async fn run(self: Arc<Self>) {
        let interval = self.context.timing.member_lease / 5;
        loop {
            let next = match self.lease() {
                None => self.request_lease().await,
                Some(lease) => self.renew_and_register(lease, interval).await,
            };
            match next {
                NextStep::Now => {}
                NextStep::Soon => sleep(interval / 8).await,
                NextStep::AfterInterval => sleep(interval).await,
            }
        }
    }

    /// Requests a member lease from the store and returns its id.
    ///
    /// # Errors
    ///
    /// If the store does not grant one.
    pub async fn new_lease(&self) -> Result<u64, Error> {
        let ttl = self.context.timing.member_lease;
        self.client.grant_lease(ttl).await
    }

    async fn request_lease(&self) -> NextStep {
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

    /// Renews the lease, and writes the member record if this process is not registered.
    async fn renew_and_register(&self, lease: u64, interval: Duration) -> NextStep {
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
        // Most likely the record of the previous process expired while it was being replaced,
        // so that the commit's condition failed: read the store and retry soon.
        let max_wait = self.context.timing.round / 2;
        self.replica.linearizable_read(max_wait).await;
        NextStep::Soon
    }

    /// Writes the member record, attached to the lease, unless this process is registered.
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

    /// The transaction that writes the member record. Also notes whether the previous process of
    /// this controller registered less than a member lease ago.
    fn registration(&self, lease: u64) -> Transaction {
        let state = self.replica.state();
        let previous = state.members.get(self.context.member());
        let previous = previous.filter(|m| m.incarnation != self.context.incarnation);
        if let Some(previous) = previous {
            let member_lease_ms = self.context.timing.member_lease.as_millis() as u64;
            let ended_soon = now_ms() < previous.registered_ms + member_lease_ms;
            self.crash_looping.store(ended_soon, Ordering::Relaxed);
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

    /// Rewrites the member record without a change. The other controllers see the write in the
    /// store, which proves that this process is alive.
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

/// When [`Membership::run`] takes its next step; `Soon` is an eighth of the interval.
enum NextStep {
    Now,
    Soon,
    AfterInterval,
}
