//! HTTP interface of the key-value store, and the faults of the store.

use super::{HttpResponse, SimulatedPlatform};
use crate::fault::Fault;
use crate::lock;
use crate::store::CommitError;
use rushwalk_clients::Method;
use rushwalk_protocol::store::{LeaseRequest, Transaction};
use serde_json::json;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// A delay that a test has requested for the next commit whose body contains `text`.
pub(super) struct CommitDelay {
    pub(super) text: String,
    pub(super) delay: Duration,
}

/// Delay of each request to the store.
const LATENCY: Duration = Duration::from_millis(5);
/// Interval at which an open watch checks for changes, and at which watches and delayed commits
/// check whether an outage has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Delay of a commit's response that is to be lost; longer than any client's timeout.
const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(60);

/// Parameters of a request's query string.
struct Query<'a>(HashMap<&'a str, &'a str>);

impl<'a> Query<'a> {
    fn parse(query: &'a str) -> Query<'a> {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        Query(pairs.collect())
    }

    /// The value of a parameter; empty if it is missing.
    fn get(&self, name: &str) -> &'a str {
        self.0.get(name).copied().unwrap_or("")
    }

    /// The value of a numeric parameter; 0 if it is missing or not a number.
    fn number(&self, name: &str) -> u64 {
        self.get(name).parse().unwrap_or(0)
    }
}

impl SimulatedPlatform {
    /// Serves a controller's request to the store.
    pub(super) async fn serve_store(
        &self,
        controller: usize,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> HttpResponse {
        sleep(LATENCY).await;
        if self.is_active(Fault::StoreSlow) {
            sleep(self.random_ms(400, 900)).await;
        }
        if self.store_refuses(controller) {
            return HttpResponse::empty(503);
        }
        lock(&self.store).expire_leases();
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query = Query::parse(query);
        match (method.as_str(), path) {
            ("GET", "/store") => self.list_keys(&query),
            ("GET", "/changes") => self.watch(controller, &query).await,
            ("POST", "/commit") => self.commit(controller, body).await,
            ("POST", "/leases") => self.grant_lease(body),
            ("POST", path) => self.renew_lease(path),
            _ => HttpResponse::empty(404),
        }
    }

    /// Whether a store outage is active, or a fault that cuts this controller off from the
    /// store.
    fn store_refuses(&self, controller: usize) -> bool {
        self.is_active(Fault::StoreOutage) || self.is_active(Fault::StoreUnreachable(controller))
    }

    fn list_keys(&self, query: &Query) -> HttpResponse {
        let page = lock(&self.store).list(query.get("under"), query.get("since"));
        HttpResponse::json(200, &page)
    }

    /// Serves a watch: responds with the changes after revision `since` as soon as there are
    /// any, or without changes after `blockMs` milliseconds; with status 410 if changes after
    /// `since` are no longer retained. While the store is unreachable an open watch gets no
    /// response but stays open, also beyond `blockMs`.
    async fn watch(&self, controller: usize, query: &Query<'_>) -> HttpResponse {
        let since = query.number("since");
        let until = Instant::now() + Duration::from_millis(query.number("blockMs"));
        loop {
            while self.store_refuses(controller) {
                sleep(POLL_INTERVAL).await;
            }
            lock(&self.store).expire_leases();
            let changes = lock(&self.store).changes(query.get("under"), since);
            let Some(changes) = changes else {
                return HttpResponse::empty(410);
            };
            if !changes.events.is_empty() || Instant::now() >= until {
                return HttpResponse::json(200, &changes);
            }
            let _ = timeout(POLL_INTERVAL, self.store_changed.notified()).await;
        }
    }

    async fn commit(&self, controller: usize, body: &[u8]) -> HttpResponse {
        let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else {
            return HttpResponse::empty(400);
        };
        if self.exceeds_limit(controller, &transaction, body.len()) {
            return HttpResponse::empty(400);
        }
        let delay = self.commit_delay(body);
        if let Some(delay) = delay {
            sleep(delay).await;
            // An outage delays a delayed commit further instead of refusing it.
            while self.is_active(Fault::StoreOutage) {
                sleep(POLL_INTERVAL).await;
            }
            lock(&self.store).expire_leases();
        }
        let result = lock(&self.store).commit(&transaction);
        if result.is_ok() {
            self.keep_commit(body);
        }
        self.record_event(|| {
            let body = String::from_utf8_lossy(body);
            let result = result.map_err(CommitError::status);
            format!("{controller} commits {body}: {result:?}")
        });
        self.store_changed.notify_waiters();
        if delay.is_some() || self.is_active(Fault::CommitResponsesLost) && self.one_in(8) {
            sleep(LOST_RESPONSE_DELAY).await;
        }
        match result {
            Ok(revision) => HttpResponse::json(200, &json!({ "ledger": revision })),
            Err(error @ CommitError::UnknownLease) => {
                HttpResponse::json(error.status(), &json!({ "error": "no such lease" }))
            }
            Err(error @ CommitError::ConditionFailed) => {
                HttpResponse::json(error.status(), &json!({"failed": [], "ledger": 0}))
            }
        }
    }

    /// Keeps a copy of the next commit whose body contains `text`, once it has been carried out.
    pub fn keep_next_commit(&self, text: &str) {
        *lock(&self.commit_to_keep) = Some(text.into());
    }

    fn keep_commit(&self, body: &[u8]) {
        let mut to_keep = lock(&self.commit_to_keep);
        let text = to_keep.as_deref();
        if text.is_some_and(|text| String::from_utf8_lossy(body).contains(text)) {
            *lock(&self.kept_commit) = Some(body.to_vec());
            *to_keep = None;
        }
    }

    /// Carries out the kept copy of a commit once more, if its conditions still hold. Returns
    /// whether a commit was kept.
    pub fn replay_kept_commit(&self) -> bool {
        let Some(body) = lock(&self.kept_commit).take() else {
            return false;
        };
        if let Ok(transaction) = serde_json::from_slice::<Transaction>(&body) {
            let result = lock(&self.store).commit(&transaction);
            self.record_event(|| format!("copy of a commit: {result:?}"));
            self.store_changed.notify_waiters();
        }
        true
    }

    /// Whether a transaction exceeds a limit of the store; reported as a violation.
    fn exceeds_limit(&self, controller: usize, transaction: &Transaction, bytes: usize) -> bool {
        let limits = lock(&self.store).limits;
        let Some(limit) = limits.and_then(|limits| limits.exceeded_by(transaction, bytes)) else {
            return false;
        };
        let keys: Vec<_> = transaction.writes.iter().flat_map(|w| &w.put).collect();
        let violation = format!("store_limit: {limit} ({bytes} bytes, {controller}, {keys:?})");
        self.checker().violations.push(violation);
        true
    }

    /// The delay of a commit: one that a test requested, otherwise a random one if a fault that
    /// delays commits is active and selects this commit; `None` if the commit is not delayed.
    fn commit_delay(&self, body: &[u8]) -> Option<Duration> {
        let drawn = self.is_active(Fault::FewCommitsDelayed) && self.one_in(12)
            || self.is_active(Fault::ManyCommitsDelayed) && self.one_in(4);
        // The duration is drawn for every commit, also if it is not delayed, so that a delay
        // doesn't shift the random draws that follow.
        let random_delay = self.random_ms(2_000, 12_000);
        self.take_commit_delay(body)
            .or(drawn.then_some(random_delay))
    }

    /// Removes and returns the first delay requested by a test that matches a commit.
    fn take_commit_delay(&self, body: &[u8]) -> Option<Duration> {
        let mut delays = lock(&self.commit_delays);
        let body = String::from_utf8_lossy(body);
        let index = delays
            .iter()
            .position(|requested| body.contains(&requested.text))?;
        Some(delays.remove(index).delay)
    }

    fn grant_lease(&self, body: &[u8]) -> HttpResponse {
        let Ok(request) = serde_json::from_slice::<LeaseRequest>(body) else {
            return HttpResponse::empty(400);
        };
        let id = lock(&self.store).grant_lease(Duration::from_millis(request.ttl_ms));
        HttpResponse::json(200, &json!({ "tenure": id }))
    }

    fn renew_lease(&self, path: &str) -> HttpResponse {
        let id = path.trim_start_matches("/leases/");
        let id = id.trim_end_matches("/touch").parse().unwrap_or(0);
        if lock(&self.store).renew_lease(id) {
            HttpResponse::json(200, &json!({}))
        } else {
            HttpResponse::empty(404)
        }
    }
}
