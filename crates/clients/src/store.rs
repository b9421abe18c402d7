//! Client of the consensus-backed key-value store: listing, watches, conditional transactions
//! and leases.

use crate::http::{Error, HttpClient, Request, Response, json_body};
use hyper::Method;
use rushwalk_protocol::store::{
    CommitResponse, KeyValuePage, LeaseGranted, LeaseRequest, Transaction, WatchResponse,
};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of entries requested in a page of a listing.
const PAGE_SIZE: usize = 1000;

const LIST_TIMEOUT: Duration = Duration::from_secs(5);

const GRANT_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the store. It doesn't limit its request rate: callers must stay within the
/// store's limits.
#[derive(Clone)]
pub struct StoreClient {
    http: HttpClient,
    address: SocketAddr,
}

/// The outcome of a transaction.
#[derive(Debug, Clone)]
pub enum CommitOutcome {
    /// The transaction was committed with this revision.
    Committed(u64),
    /// A condition did not hold, so nothing was changed.
    Conflict,
    /// A lease that the transaction attaches a key to has expired.
    LeaseExpired,
    /// The transaction was not carried out: the store responded with another status, such as
    /// 429 or 503, which are temporary refusals, or the request was never sent.
    Rejected(Error),
    /// No valid response was received. The transaction may have been committed, or may still
    /// be.
    Unanswered(Error),
}

impl StoreClient {
    /// Creates a client of the store at `address`.
    pub fn new(http: HttpClient, address: SocketAddr) -> Self {
        StoreClient { http, address }
    }

    /// Gets a page of the listing of keys under `prefix`: the keys that come after `since`.
    ///
    /// # Errors
    ///
    /// The errors of [`HttpClient::json`].
    pub async fn list(&self, prefix: &str, since: &str) -> Result<KeyValuePage, Error> {
        let path = format!("/store?under={prefix}&since={since}&limit={PAGE_SIZE}");
        self.get(&path, LIST_TIMEOUT).await
    }

    /// Gets the changes under `prefix` after the revision `since`. The store waits up to `block`
    /// for the first change; the request times out `grace` after that.
    ///
    /// # Errors
    ///
    /// The errors of [`HttpClient::json`]. [`Error::Status`] can mean that the store no longer
    /// retains all changes after `since`.
    pub async fn watch(
        &self,
        prefix: &str,
        since: u64,
        block: Duration,
        grace: Duration,
    ) -> Result<WatchResponse, Error> {
        let block_ms = block.as_millis();
        let path = format!("/changes?under={prefix}&since={since}&blockMs={block_ms}");
        self.get(&path, block + grace).await
    }

    /// Commits a transaction, if all of its conditions hold.
    pub async fn commit(&self, transaction: &Transaction, timeout: Duration) -> CommitOutcome {
        let request = self.request(Method::POST, "/commit", json_body(transaction), timeout);
        match self.http.call(request).await {
            Ok(response) => commit_outcome(&response),
            Err(error @ (Error::NotSent(_) | Error::ConnectionRefused)) => {
                CommitOutcome::Rejected(error)
            }
            Err(error) => CommitOutcome::Unanswered(error),
        }
    }

    /// Requests a lease with the time to live `ttl`, and returns its id.
    ///
    /// # Errors
    ///
    /// The errors of [`HttpClient::json`].
    pub async fn grant_lease(&self, ttl: Duration) -> Result<u64, Error> {
        let body = json_body(&LeaseRequest {
            ttl_ms: ttl.as_millis() as u64,
        });
        let request = self.request(Method::POST, "/leases", body, GRANT_TIMEOUT);
        let granted: LeaseGranted = self.http.json(request).await?;
        Ok(granted.lease)
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`Error::Status`] if the store didn't renew the lease, for example because it has
    /// expired; otherwise the errors of [`HttpClient::call`].
    pub async fn renew_lease(&self, lease: u64, timeout: Duration) -> Result<(), Error> {
        let path = format!("/leases/{lease}/touch");
        let request = self.request(Method::POST, &path, Vec::new(), timeout);
        let response = self.http.call(request).await?;
        if response.status.is_success() {
            Ok(())
        } else {
            Err(Error::Status(response.status.as_u16()))
        }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str, timeout: Duration) -> Result<T, Error> {
        let request = self.request(Method::GET, path, Vec::new(), timeout);
        self.http.json(request).await
    }

    fn request<'a>(
        &self,
        method: Method,
        path: &'a str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Request<'a> {
        Request {
            address: self.address,
            method,
            path,
            body,
            timeout,
        }
    }
}

fn commit_outcome(response: &Response) -> CommitOutcome {
    match response.status.as_u16() {
        200 => match response.json::<CommitResponse>() {
            Ok(committed) => CommitOutcome::Committed(committed.revision),
            Err(error) => CommitOutcome::Unanswered(error),
        },
        409 => CommitOutcome::Conflict,
        400 if response.body_contains("lease") => CommitOutcome::LeaseExpired,
        other => CommitOutcome::Rejected(Error::Status(other)),
    }
}
