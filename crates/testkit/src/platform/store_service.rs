//! HTTP interface of the key-value store, with its faults.

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

/// A commit that a test wants delayed: the next one whose body contains `text`.
pub(super) struct CommitDelay {
    pub(super) text: String,
    pub(super) delay: Duration,
}

/// Latency of the store.
const LATENCY: Duration = Duration::from_millis(5);
/// How often a watch looks for changes and for the end of an outage.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longer than any client waits for the response to a commit.
const COMMIT_RESPONSE_LOST: Duration = Duration::from_secs(60);

/// Parameters of a request's query string.
struct Query<'a>(HashMap<&'a str, &'a str>);

impl<'a> Query<'a> {
    fn parse(query: &'a str) -> Query<'a> {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        Query(pairs.collect())
    }

    /// A parameter; empty if it is missing.
    fn get(&self, name: &str) -> &'a str {
        self.0.get(name).copied().unwrap_or("")
    }

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

    fn store_refuses(&self, controller: usize) -> bool {
        self.is_active(Fault::StoreOutage) || self.is_active(Fault::StoreUnreachable(controller))
    }

    fn list_keys(&self, query: &Query) -> HttpResponse {
        let page = lock(&self.store).list(query.get("under"), query.get("since"));
        HttpResponse::json(200, &page)
    }

    /// Responds once there are changes or the caller's time is over. A watch that is open
    /// when the store becomes unreachable stays open.
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
        let delay = self.commit_delay(body);
        if let Some(delay) = delay {
            sleep(delay).await;
            // A delayed commit is not refused: an outage only delays it further.
            while self.is_active(Fault::StoreOutage) {
                sleep(POLL_INTERVAL).await;
            }
            lock(&self.store).expire_leases();
        }
        let result = lock(&self.store).commit(&transaction);
        self.record_event(|| {
            let body = String::from_utf8_lossy(body);
            let result = result.map_err(CommitError::status);
            format!("{controller} commits {body}: {result:?}")
        });
        self.store_changed.notify_waiters();
        if delay.is_some() || self.is_active(Fault::CommitResponsesLost) && self.one_in(8) {
            sleep(COMMIT_RESPONSE_LOST).await;
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

    /// How long a commit is delayed, by request of a test or by a random draw of the active
    /// faults.
    fn commit_delay(&self, body: &[u8]) -> Option<Duration> {
        let drawn = self.is_active(Fault::FewCommitsDelayed) && self.one_in(12)
            || self.is_active(Fault::ManyCommitsDelayed) && self.one_in(4);
        // Drawn for every commit, so that a fault doesn't shift the draws after it.
        let random_delay = self.random_ms(2_000, 12_000);
        self.take_commit_delay(body)
            .or(drawn.then_some(random_delay))
    }

    fn take_commit_delay(&self, body: &[u8]) -> Option<Duration> {
        let mut delays = lock(&self.commit_delays);
        let body = String::from_utf8_lossy(body);
        let index = delays
            .iter()
            .position(|wanted| body.contains(&wanted.text))?;
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
